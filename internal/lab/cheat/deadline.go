package cheat

import (
	"strconv"
	"strings"
	"time"
)

// answerMargin is how long before a client's deadline a scripted router abandons an attempt, so that it can answer in time.
const answerMargin = 30 * time.Millisecond

// propsForCache returns the properties of an attempt that is sent now to a cache server.
func (r *router) propsForCache(q command) string {
	if r.kind == FirstDeadlineCache {
		return q.props
	}
	return withDeadline(q.props, time.Until(q.due)-answerMargin)
}

// propsForOrigin returns the properties of an attempt that is sent now to the origin.
func (r *router) propsForOrigin(q command) string {
	switch r.kind {
	case FirstDeadlineOrigin:
		return q.props
	case NoDeadline:
		return withoutDeadline(q.props)
	}
	return withDeadline(q.props, time.Until(q.due)-answerMargin)
}

// withDeadline sets the deadline in props to the time left, in whole milliseconds and at least one. The rest is unchanged.
func withDeadline(props string, left time.Duration) string {
	sent := "d=" + strconv.FormatInt(max(1, left.Milliseconds()), 10)
	parts := strings.Split(props, ",")
	for i, part := range parts {
		if strings.HasPrefix(part, "d=") {
			parts[i] = sent
		}
	}
	return strings.Join(parts, ",")
}

func withoutDeadline(props string) string {
	var kept []string
	for part := range strings.SplitSeq(props, ",") {
		if !strings.HasPrefix(part, "d=") {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, ",")
}
