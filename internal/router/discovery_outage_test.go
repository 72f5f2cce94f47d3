package router

import (
	"fmt"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

// discoveryOutage is a discovery service that fails in one way until the outage is over, and then answers each
// call after a delay.
type discoveryOutage struct {
	loop        *fakeLoop
	fault       string
	answerDelay clock.Time // time from a call to its answer
	over        bool
	conns       []*fakeConn
	answerAt    map[*fakeConn]clock.Time // when the call on a connection is answered
	list        string                   // the endpoint list that is served
}

const (
	dialRefused   = "a dial is refused"
	dialHangs     = "a dial hangs"
	callSilent    = "a call is never answered"
	callRejected  = "a call is answered with 503"
	callReset     = "a call is reset"
	callTruncated = "an answer is truncated"
)

func (o *discoveryOutage) dial(_ string, p connHandler, failed func(error)) {
	fail := func() {
		o.loop.r.pendingDials--
		failed(errIncompleteResponse)
	}
	switch {
	case !o.over && o.fault == dialRefused:
		o.loop.r.runAsync(fail)
	case !o.over && o.fault == dialHangs:
		o.loop.r.after(o.loop.r.limits.WatchGrace, fail)
	default:
		o.loop.r.runAsync(func() { o.conns = append(o.conns, o.loop.open(p)) })
	}
}

// step does what is due at this time.
func (o *discoveryOutage) step() {
	now := o.loop.r.clock()
	for _, c := range o.conns {
		if c.closed || c.written == "" {
			continue
		}
		if o.answerAt[c] == 0 {
			o.answerAt[c] = now + o.answerDelay
			if !o.over {
				o.answerAt[c] = o.answerFaulty(c)
			}
		}
		if now >= o.answerAt[c] {
			c.written, o.answerAt[c] = "", 0
			o.loop.receive(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(o.list), o.list))
		}
	}
	o.conns = slices.DeleteFunc(o.conns, func(c *fakeConn) bool { return c.closed })
}

// answerFaulty handles the call on c during the outage and returns when to answer it: never, in most cases.
func (o *discoveryOutage) answerFaulty(c *fakeConn) clock.Time {
	const never = 1 << 60
	switch o.fault {
	case callRejected:
		c.written = ""
		o.loop.receive(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return 0
	case callReset:
		_ = o.loop.Close(c)
	case callTruncated:
		o.loop.receive(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":1,")
		_ = o.loop.Close(c)
	}
	return never
}

// However calls to discovery have failed, and for however long, the list arrives within 6 s of discovery being
// reachable again; from then on, the router is expected to know what the list says. In mode on_request a call
// waits up to two seconds for its answer, and so may an unsuccessful one just before it.
func TestListArrivesWithinSixSecondsOfAnOutage(t *testing.T) {
	const limit, step = 5.6e6, 50e3 // the rest of the 6 s is for requests already on their way
	for _, mode := range []string{"pushed", "on_request"} {
		for _, fault := range []string{dialRefused, dialHangs, callSilent, callRejected, callReset, callTruncated} {
			t.Run(mode+", "+fault, func(t *testing.T) {
				longest := clock.Time(0)
				for phase := range clock.Time(40) {
					longest = max(longest, timeToListAfterOutage(t, mode, fault, 30e6+phase*150e3, step))
					if mode == "pushed" { // a wait of 20 s that is pending at the end of the outage ends first
						longest = max(longest, timeToListAfterOutage(t, mode, fault, phase*150e3, step))
					}
				}
				if longest > limit {
					t.Errorf("the list arrived %.2f s after discovery was reachable again, want at most %.2f s", float64(longest)/1e6, limit/1e6)
				}
				t.Logf("the list arrived after %.2f s", float64(longest)/1e6)
			})
		}
	}
}

// timeToListAfterOutage returns the time from the end of an outage until the list arrives.
func timeToListAfterOutage(t *testing.T, mode, fault string, duration, step clock.Time) clock.Time {
	loop, _ := newConfiguredRouter(t, mode)
	o := &discoveryOutage{loop: loop, fault: fault, answerAt: map[*fakeConn]clock.Time{},
		list: `{"rev":5,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`}
	if mode == "on_request" {
		o.answerDelay = 2e6 - step // an answer at the last moment crosses the end of its call
	}
	loop.r.dialFunc = o.dial
	loop.r.restartWatch(loop.r.cfg.Discovery)
	loop.runQueued()
	advance := func() {
		o.step()
		loop.advance(step)
	}
	if mode == "pushed" { // a watch is pending when the outage begins, and is never answered
		o.over = true
		for loop.r.counts.ServerLists < 2 {
			advance()
		}
		o.over = false
	}
	for passed := clock.Time(0); passed < duration; passed += step {
		advance()
	}
	before := loop.r.counts.ServerLists
	o.over = true // calls made during the outage stay unanswered
	for passed := clock.Time(0); passed < 20e6; passed += step {
		if loop.r.counts.ServerLists > before {
			return passed
		}
		advance()
	}
	t.Fatal("no list arrived within 20 s of the end of the outage")
	return 0
}

// Discovery rejects calls beyond its capacity, which all routers share. Routers that retried too soon kept each
// other out: some had no list for fourteen seconds.
func TestRejectedCallsAreSpreadOut(t *testing.T) {
	const duration, step, limit = clock.Time(40e6), clock.Time(50e3), 20 // with at most 1.5 s between two calls there were over 30
	loop, _ := newConfiguredRouter(t, "on_request")
	o := &discoveryOutage{loop: loop, fault: callRejected, answerAt: map[*fakeConn]clock.Time{}}
	loop.r.dialFunc = o.dial
	loop.r.restartWatch(loop.r.cfg.Discovery)
	loop.runQueued()
	for passed := clock.Time(0); passed < duration; passed += step {
		o.step()
		loop.advance(step)
	}
	if n := loop.r.counts.FailedDiscoveryCalls; n > limit {
		t.Errorf("got %d rejected calls in %v, want at most %d", n, toDuration(duration), limit)
	}
	t.Logf("%d rejected calls", loop.r.counts.FailedDiscoveryCalls)
}
