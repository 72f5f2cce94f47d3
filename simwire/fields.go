package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/settings"
)

const (
	// absent is the text of a field without a value.
	absent = "-"
	// maxNumber bounds the magnitude of numbers.
	maxNumber = 1e12
)

// fields reads the fields of one line in order. It keeps the error of the first malformed field; later errors are dropped.
type fields struct {
	name string
	rest string
	more bool // whether fields are left
	err  error
}

func (f *fields) fail(field, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %s", f.name, field, why)
	}
}

// text reads a field. It is an error if the field is missing or empty.
func (f *fields) text(field string) string {
	if !f.more {
		f.fail(field, "is missing")
		return ""
	}
	value, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.more = rest, more
	if value == "" {
		f.fail(field, "is empty")
	}
	return value
}

// optional reads a field that may be absent, and returns the empty string if it is.
func (f *fields) optional(field string) string {
	value := f.text(field)
	if value == absent {
		return ""
	}
	return value
}

// unsigned reads a whole number of at most the limit.
func (f *fields) unsigned(field string, limit uint64) uint64 {
	value := f.text(field)
	n, err := strconv.ParseUint(value, 10, 64)
	if f.err == nil && (err != nil || n > limit) {
		f.fail(field, fmt.Sprintf("%q is not a whole number up to %d", value, limit))
	}
	return n
}

// number reads a number that may be absent, and returns 0 if it is.
func (f *fields) number(field string) float64 {
	value := f.optional(field)
	if value == "" {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
		f.fail(field, fmt.Sprintf("%q is not a number", value))
		return 0
	}
	return x
}

func (f *fields) seconds(field string) clock.Time { return settings.Seconds(f.number(field)) }

func (f *fields) flag(field string) bool {
	value := f.optional(field)
	if value != "" && value != "0" && value != "1" {
		f.fail(field, fmt.Sprintf("%q is neither 0 nor 1", value))
	}
	return value == "1"
}

// report reads the comma-separated figures of a load report. An absent figure is NaN.
func (f *fields) report(field string) routing.Report {
	value := f.optional(field)
	if value == "" {
		return nil
	}
	var report routing.Report
	for figure := range strings.SplitSeq(value, ",") {
		if figure == absent {
			report = append(report, math.NaN())
			continue
		}
		x, err := strconv.ParseFloat(figure, 64)
		if err != nil {
			f.fail(field, fmt.Sprintf("%q is not a number", figure))
			return nil
		}
		report = append(report, x)
	}
	return report
}

// keyword reads a keyword and returns the value it stands for.
func keyword[T any](line *fields, field string, values map[string]T) T {
	text := line.text(field)
	value, known := values[text]
	if !known {
		line.fail(field, fmt.Sprintf("%q is not known", text))
	}
	return value
}
