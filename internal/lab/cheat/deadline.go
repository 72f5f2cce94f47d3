package cheat

import (
	"strconv"
	"strings"
	"time"
)

// margin is how long before a client's deadline a scripted router gives up an attempt, so as to answer in time.
const margin = 30 * time.Millisecond

// propsForCache are the props of an attempt that goes out now to a cache server.
func (r *router) propsForCache(q cmd) string {
	if r.kind == FirstDeadlineCache {
		return q.props
	}
	return withDeadline(q.props, time.Until(q.due)-margin)
}

// propsForOrigin are the props of an attempt that goes out now to the origin.
func (r *router) propsForOrigin(q cmd) string {
	switch r.kind {
	case FirstDeadlineOrigin:
		return q.props
	case NoDeadline:
		return withoutDeadline(q.props)
	}
	return withDeadline(q.props, time.Until(q.due)-margin)
}

// withDeadline has props tell what is left, in whole milliseconds and one at least; the rest stays as it came.
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
