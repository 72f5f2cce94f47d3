package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// show writes a value for people, with three digits. K, M, G and T are powers of ten.
func show(value float64, unit Unit) string {
	switch unit {
	case BytesPerSecond:
		return scaled(value, "B/s")
	case BitsPerSecond:
		return scaled(value, "bit/s")
	case Bytes:
		return scaled(value, "B")
	case Cores:
		return digits(value*100) + "% of a core"
	case Seconds:
		return showSeconds(value)
	case PerSecond:
		return grouped(value) + "/s"
	default:
		return grouped(value)
	}
}

func scaled(value float64, unit string) string {
	for _, prefix := range []struct {
		factor float64
		name   string
	}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "K"}} {
		if math.Abs(value) >= prefix.factor*0.9995 {
			return digits(value/prefix.factor) + " " + prefix.name + unit
		}
	}
	return digits(value) + " " + unit
}

func showSeconds(value float64) string {
	const minute, hour = 60, 3600
	switch {
	case value == 0 || value >= 1 && value < 2*minute:
		return digits(value) + " s"
	case value >= 2*hour:
		return digits(value/hour) + " h"
	case value >= 2*minute:
		return digits(value/minute) + " min"
	case value >= 1e-3:
		return digits(value*1e3) + " ms"
	default:
		return digits(value*1e6) + " us"
	}
}

// digits rounds to three of them, without an exponent.
func digits(value float64) string {
	if value == 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	after := max(0, 2-int(math.Floor(math.Log10(math.Abs(value)))))
	text := strconv.FormatFloat(value, 'f', after, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// grouped rounds as digits does, and parts the thousands; whole numbers below a million keep all of their digits.
func grouped(value float64) string {
	if math.Abs(value) < 1000 {
		return digits(value)
	}
	const whole = 1e6
	if math.Abs(value) >= whole {
		magnitude := math.Pow(10, math.Floor(math.Log10(math.Abs(value)))-2)
		value = math.Round(value/magnitude) * magnitude
	}
	text := strconv.FormatFloat(math.Abs(value), 'f', 0, 64)
	var parts []string
	for len(text) > 3 {
		parts = append([]string{text[len(text)-3:]}, parts...)
		text = text[:len(text)-3]
	}
	text = strings.Join(append([]string{text}, parts...), ",")
	if value < 0 {
		return "-" + text
	}
	return text
}

// cell is an estimate in a table.
func cell(e Estimate) string {
	switch e.Basis {
	case Missing:
		return "not measured"
	case Counted:
		return show(e.Value, e.Unit)
	}
	if e.Low == e.High {
		return show(e.Value, e.Unit) + beyond(e)
	}
	return showBetween(e.Value, e.Low, e.High, e.Unit) + beyond(e)
}

// showBetween writes a value and its bounds, the unit once where it is the same.
func showBetween(value, low, high float64, unit Unit) string {
	texts := [3]string{show(value, unit), show(low, unit), show(high, unit)}
	suffix := strings.TrimLeft(texts[0], "0123456789.,")
	for _, text := range texts {
		if strings.TrimLeft(text, "0123456789.,") != suffix {
			return fmt.Sprintf("%s (%s to %s)", texts[0], texts[1], texts[2])
		}
	}
	bare := func(text string) string { return strings.TrimSuffix(text, suffix) }
	return fmt.Sprintf("%s (%s to %s)", texts[0], bare(texts[1]), bare(texts[2]))
}

// beyond tells by which factor a value is extrapolated.
func beyond(e Estimate) string {
	if e.Basis != Extrapolated {
		return ""
	}
	return fmt.Sprintf(", x%s beyond", digits(e.Factor))
}

// from is what a row's estimates rest on.
func from(r Row) string {
	var all []string
	seen := map[string]bool{"": true}
	for _, e := range []Estimate{r.Ordinary, r.Herd, r.Cut} {
		for _, text := range []string{e.From, e.Note} {
			if !seen[text] {
				seen[text] = true
				all = append(all, text)
			}
		}
	}
	if len(all) > 0 {
		return strings.Join(all, "; ")
	}
	if r.Ordinary.Basis == Counted {
		return "counted"
	}
	return "-"
}

func share(r Row) string {
	part, upTo, ok := r.Share()
	switch {
	case !ok:
		return "-"
	case upTo > part:
		return fmt.Sprintf("%s%%, up to %s%%", digits(part*100), digits(upTo*100))
	}
	return digits(part*100) + "%"
}

func limit(r Row) string {
	if r.Limit == nil {
		return "-"
	}
	return show(r.Limit.Value, r.Limit.Unit)
}
