package cacheserver

import (
	"math"
	"strconv"
	"strings"

	"spurtrestle/internal/lab/event"
)

// Props are what the props of an attempt tell its server. What is missing, or cannot be read, is zero.
type Props struct {
	Method       string
	Size         int          // bytes of the value that is asked for
	DeadlineSent event.Micros // the greatest, where it stands there more than once
	BadDeadline  bool         // one of them is no time
}

// ReadProps reads a list of names and values.
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
			p.Size, _ = strconv.Atoi(value) // 0 where it is none
		}
	}
	return p
}

// deadline reads a time in milliseconds, of a microsecond at least; 0 where it is none.
func deadline(text string) event.Micros {
	const most = math.MaxInt64 / 1e4 // far from overflowing whatever is added to it
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return event.Micros(min(max(ms*1e3, 1), most))
}
