package router

import (
	"fmt"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

// outage is a discovery that cannot be reached in one way, and then answers each call after its turn.
type discoveryOutage struct {
	loop        *fakeLoop
	fault       string
	answerDelay clock.Time // a call waits so long for its answer
	over        bool
	conns       []*fakeConn
	answerAt    map[*fakeConn]clock.Time // when the call on a connection is answered
	list        string                   // the list
}

const (
	dialRefused   = "a dial is refused"
	dialHangs     = "a dial hangs"
	callSilent    = "a call is never answered"
	callRefused   = "a call is answered with 503"
	callReset     = "a call is reset"
	callTruncated = "an answer breaks off"
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

// step has discovery do what is due at this time.
func (o *discoveryOutage) step() {
	now := o.loop.r.clock()
	for _, c := range o.conns {
		if c.closed || c.written == "" {
			continue
		}
		if o.answerAt[c] == 0 {
			o.answerAt[c] = now + o.answerDelay
			if !o.over {
				o.answerAt[c] = o.answerFaulty(c, now)
			}
		}
		if now >= o.answerAt[c] {
			c.written, o.answerAt[c] = "", 0
			o.loop.receive(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(o.list), o.list))
		}
	}
	o.conns = slices.DeleteFunc(o.conns, func(c *fakeConn) bool { return c.closed })
}

// answersBadly is when the call on c is answered: never.
func (o *discoveryOutage) answerFaulty(c *fakeConn, now clock.Time) clock.Time {
	const never = 1 << 60
	switch o.fault {
	case callRefused:
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

// However calls to discovery have failed, and for however long, the list is here within 6 s of its being reachable again: from
// then on what it tells counts as told. Where lists are asked for a call waits its turn for up to two seconds, and so may one
// that was made just before, in vain.
func TestListArrivesWithinSixSecondsOfAnOutage(t *testing.T) {
	const limit, step = 5.6e6, 50e3 // the rest is for what is already on its way
	for _, mode := range []string{"pushed", "on_request"} {
		for _, fault := range []string{dialRefused, dialHangs, callSilent, callRefused, callReset, callTruncated} {
			t.Run(mode+", "+fault, func(t *testing.T) {
				longest := clock.Time(0)
				for phase := range clock.Time(40) {
					longest = max(longest, timeToListAfterOutage(t, mode, fault, 30e6+phase*150e3, step))
					if mode == "pushed" { // where a wait of 20 s may be out, its end goes before
						longest = max(longest, timeToListAfterOutage(t, mode, fault, phase*150e3, step))
					}
				}
				if longest > limit {
					t.Errorf("the list came %.2f s after discovery could be reached", float64(longest)/1e6)
				}
				t.Logf("%.2f s", float64(longest)/1e6)
			})
		}
	}
}

// listAfterOutage is the time from the end of an outage until the list is here.
func timeToListAfterOutage(t *testing.T, mode, fault string, duration, step clock.Time) clock.Time {
	loop, _ := newConfiguredRouter(t, mode)
	o := &discoveryOutage{loop: loop, fault: fault, answerAt: map[*fakeConn]clock.Time{},
		list: `{"rev":5,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`}
	if mode == "on_request" {
		o.answerDelay = 2e6 - step // an answer in the very last moment crosses its call's end
	}
	loop.r.dialFunc = o.dial
	loop.r.restartWatch(loop.r.cfg.Discovery)
	loop.runQueued()
	advance := func() {
		o.step()
		loop.advance(step)
	}
	if mode == "pushed" { // a watch is out as the outage begins, and is never answered
		o.over = true
		for loop.r.counts.Lists < 2 {
			advance()
		}
		o.over = false
	}
	for passed := clock.Time(0); passed < duration; passed += step {
		advance()
	}
	before := loop.r.counts.Lists
	o.over = true // what was asked in the outage stays without an answer
	for passed := clock.Time(0); passed < 20e6; passed += step {
		if loop.r.counts.Lists > before {
			return passed
		}
		advance()
	}
	t.Fatal("no list comes any more")
	return 0
}

// Discovery refuses what is beyond the calls that it can take, of all routers together. Routers that asked again too soon
// kept each other out: some had no list for fourteen seconds.
func TestRefusedCallsAreSpreadOut(t *testing.T) {
	const duration, step, limit = clock.Time(40e6), clock.Time(50e3), 20 // with 1.5 s at most between two there were over 30
	loop, _ := newConfiguredRouter(t, "on_request")
	o := &discoveryOutage{loop: loop, fault: callRefused, answerAt: map[*fakeConn]clock.Time{}}
	loop.r.dialFunc = o.dial
	loop.r.restartWatch(loop.r.cfg.Discovery)
	loop.runQueued()
	for passed := clock.Time(0); passed < duration; passed += step {
		o.step()
		loop.advance(step)
	}
	if n := loop.r.counts.ListsFailed; n > limit {
		t.Errorf("%d calls in %v", n, toDuration(duration))
	}
	t.Logf("%d calls", loop.r.counts.ListsFailed)
}
