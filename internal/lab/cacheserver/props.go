package cacheserver

import (
	"math"
	"strconv"
	"strings"

	"spurtrestle/internal/lab/event"
)

// Props holds the properties that a router sends with an attempt. Fields that are missing or malformed are zero.
type Props struct {
	Method       string
	Size         int          // requested size of the value in bytes
	DeadlineSent event.Micros // the longest, if it is given more than once
	BadDeadline  bool         // at least one deadline is not a positive time
}

// ParseProps parses a list of the form name=value,name=value.
func ParseProps(text string) (p Props) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "c":
			p.Method = value
		case "d":
			sent := deadline(value)
			p.DeadlineSent = max(p.DeadlineSent, sent)
			p.BadDeadline = p.BadDeadline || sent == 0
		case "size":
			p.Size, _ = strconv.Atoi(value) // 0 if it is not a number
		}
	}
	return p
}

// deadline parses a time in milliseconds. It returns at least one microsecond, or 0 if text is not a positive number.
func deadline(text string) event.Micros {
	const longest = math.MaxInt64 / 1e4 // leaves room for sums without overflow
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return event.Micros(min(max(ms*1e3, 1), longest))
}
