package policy

import (
	"fmt"
	"math"
	"time"

	"spurtrestle/core/clock"
)

// checker validates the fields that a document sets, copies them into settings, and records the first error.
type checker struct {
	document Document
	err      error
}

// reject records an error, unless one is recorded already.
func (c *checker) reject(field, problem, remedy string) {
	if c.err == nil {
		c.err = c.document.fieldError(field, problem, remedy)
	}
}

// fraction copies a value that must be from 0 to 1. A nil value is not set.
func (c *checker) fraction(field string, value, into *float64) {
	switch {
	case value == nil:
	case *value >= 0 && *value <= 1:
		*into = *value
	default: // also NaN, for which every comparison is false
		c.reject(field, fmt.Sprintf("%v is no part of one", *value), "write a number from 0 to 1")
	}
}

// positive copies a value that must be finite and above 0. A nil value is not set.
func (c *checker) positive(field string, value, into *float64, remedy string) {
	switch {
	case value == nil:
	case *value > 0 && !math.IsInf(*value, 0):
		*into = *value
	default: // also NaN, for which every comparison is false
		c.reject(field, fmt.Sprintf("%v is not above zero", *value), remedy)
	}
}

// duration parses and copies a value that must be from shortest to longest. A nil value is not set.
func (c *checker) duration(field string, value *string, into *clock.Duration, shortest, longest clock.Duration) {
	if value == nil {
		return
	}
	parsed, err := time.ParseDuration(*value)
	duration := clock.Duration(parsed / time.Microsecond)
	if err != nil || duration < shortest || duration > longest {
		problem := fmt.Sprintf("%q is no span from %v to %v", *value, standardDuration(shortest), standardDuration(longest))
		c.reject(field, problem, `write it as "250ms" or "4s"`)
		return
	}
	*into = duration
}

func standardDuration(d clock.Duration) time.Duration { return time.Duration(d) * time.Microsecond }
