package cacheserver

import (
	"testing"

	"spurtrestle/internal/lab/event"
)

func TestParseProps_Deadline(t *testing.T) {
	for _, c := range []struct {
		text string
		want event.Micros
		bad  bool
	}{
		{"c=read,d=480", 480e3, false},
		{"d=1,c=read", 1e3, false},
		{"c=read,d=0.25", 250, false},
		{"c=read,d=0.0001", 1, false}, // rounded up to one microsecond
		{"c=read", 0, false},
		{"c=read,xd=480", 0, false},
		{"c=read, d=480", 0, false},
		{"c=read,t=d=7,size=40", 0, false},
		{"c=read,d=", 0, true},
		{"c=read,d=0", 0, true},
		{"c=read,d=-5", 0, true},
		{"c=read,d=soon", 0, true},
		{"c=read,d=NaN", 0, true},
		{"c=read,d=480,d=500", 500e3, false}, // the longest counts, so that a second deadline cannot hide it
		{"c=read,d=500,d=480", 500e3, false},
		{"c=read,d=480,d=0", 480e3, true},
		{"c=read,d=0,d=480", 480e3, true},
	} {
		if got := ParseProps(c.text); got.DeadlineSent != c.want || got.BadDeadline != c.bad {
			t.Errorf("%q: %+v", c.text, got)
		}
	}
	if got := ParseProps("d=inf").DeadlineSent; got <= 1e12 || got+1e15 < got {
		t.Errorf("an infinite deadline was parsed as %d", got)
	}
}
