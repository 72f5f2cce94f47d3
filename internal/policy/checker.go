package policy

import (
	"fmt"
	"math"
	"time"

	"spurtrestle/core/clock"
)

// checker copies the fields of a document that are set, and records the first error.
type checker struct {
	document Document
	err      error
}

// reject records an error, unless there is one already.
func (c *checker) reject(field, problem, remedy string) {
	if c.err == nil {
		c.err = c.document.fieldError(field, problem, remedy)
	}
}

func (c *checker) fraction(field string, value, into *float64) {
	switch {
	case value == nil:
	case *value >= 0 && *value <= 1:
		*into = *value
	default: // NaN as well
		c.reject(field, fmt.Sprintf("%v is no part of one", *value), "write a number from 0 to 1")
	}
}

func (c *checker) positive(field string, value, into *float64, remedy string) {
	switch {
	case value == nil:
	case *value > 0 && !math.IsInf(*value, 0):
		*into = *value
	default: // NaN as well
		c.reject(field, fmt.Sprintf("%v is not above zero", *value), remedy)
	}
}

func (c *checker) duration(field string, value *string, into *clock.Duration, least, most clock.Duration) {
	if value == nil {
		return
	}
	parsed, err := time.ParseDuration(*value)
	duration := clock.Duration(parsed / time.Microsecond)
	if err != nil || duration < least || duration > most {
		problem := fmt.Sprintf("%q is no span from %v to %v", *value, standardDuration(least), standardDuration(most))
		c.reject(field, problem, `write it as "250ms" or "4s"`)
		return
	}
	*into = duration
}

func standardDuration(d clock.Duration) time.Duration { return time.Duration(d) * time.Microsecond }
