package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// formatValue formats a value with three digits and its unit. K, M, G and T are powers of ten.
func formatValue(value float64, unit Unit) string {
	switch unit {
	case BytesPerSecond:
		return formatSI(value, "B/s")
	case BitsPerSecond:
		return formatSI(value, "bit/s")
	case Bytes:
		return formatSI(value, "B")
	case Cores:
		return formatDigits(value*100) + "% of a core"
	case Seconds:
		return formatSeconds(value)
	case PerSecond:
		return formatGrouped(value) + "/s"
	default:
		return formatGrouped(value)
	}
}

// formatSI formats a value with an SI prefix.
func formatSI(value float64, unit string) string {
	for _, prefix := range []struct {
		factor float64
		name   string
	}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "K"}} {
		if math.Abs(value) >= prefix.factor*0.9995 {
			return formatDigits(value/prefix.factor) + " " + prefix.name + unit
		}
	}
	return formatDigits(value) + " " + unit
}

func formatSeconds(value float64) string {
	const minute, hour = 60, 3600
	switch {
	case value == 0 || value >= 1 && value < 2*minute:
		return formatDigits(value) + " s"
	case value >= 2*hour:
		return formatDigits(value/hour) + " h"
	case value >= 2*minute:
		return formatDigits(value/minute) + " min"
	case value >= 1e-3:
		return formatDigits(value*1e3) + " ms"
	default:
		return formatDigits(value*1e6) + " us"
	}
}

// formatDigits rounds to three significant digits, without an exponent.
func formatDigits(value float64) string {
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

// formatGrouped rounds as formatDigits does and separates thousands by commas. Numbers from 1,000 to a million keep all digits
// before the decimal point.
func formatGrouped(value float64) string {
	if math.Abs(value) < 1000 {
		return formatDigits(value)
	}
	const maxExact = 1e6
	if math.Abs(value) >= maxExact {
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

// formatEstimate formats an estimate for a table cell.
func formatEstimate(e Estimate) string {
	switch e.Basis {
	case NotMeasured:
		return "not measured"
	case Calculated:
		return formatValue(e.Value, e.Unit)
	}
	if e.Low == e.High {
		return formatValue(e.Value, e.Unit) + formatExtrapolation(e)
	}
	return formatRange(e.Value, e.Low, e.High, e.Unit) + formatExtrapolation(e)
}

// formatRange formats a value and its bounds. The unit is written once if all three have the same.
func formatRange(value, low, high float64, unit Unit) string {
	texts := [3]string{formatValue(value, unit), formatValue(low, unit), formatValue(high, unit)}
	suffix := strings.TrimLeft(texts[0], "0123456789.,")
	for _, text := range texts {
		if strings.TrimLeft(text, "0123456789.,") != suffix {
			return fmt.Sprintf("%s (%s to %s)", texts[0], texts[1], texts[2])
		}
	}
	bare := func(text string) string { return strings.TrimSuffix(text, suffix) }
	return fmt.Sprintf("%s (%s to %s)", texts[0], bare(texts[1]), bare(texts[2]))
}

// formatExtrapolation formats the factor by which an estimate is extrapolated; empty if it is not.
func formatExtrapolation(e Estimate) string {
	if e.Basis != Extrapolated {
		return ""
	}
	return fmt.Sprintf(", x%s beyond", formatDigits(e.SizeRatio))
}

// formatSources lists the sources and notes of a row's estimates, each once.
func formatSources(r Row) string {
	var all []string
	seen := map[string]bool{"": true}
	for _, e := range []Estimate{r.Normal, r.RestartBurst, r.RegionPartition} {
		for _, text := range []string{e.Source, e.Note} {
			if !seen[text] {
				seen[text] = true
				all = append(all, text)
			}
		}
	}
	if len(all) > 0 {
		return strings.Join(all, "; ")
	}
	if r.Normal.Basis == Calculated {
		return "counted"
	}
	return "-"
}

func formatLimitShare(r Row) string {
	part, upTo, ok := r.LimitShare()
	switch {
	case !ok:
		return "-"
	case upTo > part:
		return fmt.Sprintf("%s%%, up to %s%%", formatDigits(part*100), formatDigits(upTo*100))
	}
	return formatDigits(part*100) + "%"
}

func formatLimit(r Row) string {
	if r.Limit == nil {
		return "-"
	}
	return formatValue(r.Limit.Value, r.Limit.Unit)
}
