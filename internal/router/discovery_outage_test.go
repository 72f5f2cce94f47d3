package router

import (
	"fmt"
	"slices"
	"testing"

	"spurtrestle/core/clock"
)

// outage is a discovery that cannot be reached in one way, and then answers each call after its turn.
type outage struct {
	l     *notedLoop
	fails string
	turn  clock.Time // a call waits so long for its answer
	ended bool
	conns []*notedConn
	due   map[*notedConn]clock.Time // when the call on a connection is answered
	has   string                    // the list
}

const (
	dialRefused  = "a dial is refused"
	dialHangs    = "a dial hangs"
	callSilent   = "a call is never answered"
	callRefused  = "a call is answered with 503"
	callReset    = "a call is reset"
	callHalfTold = "an answer breaks off"
)

func (o *outage) dial(_ string, p connHandler, failed func(error)) {
	fail := func() {
		o.l.r.pendingDials--
		failed(errIncompleteResponse)
	}
	switch {
	case !o.ended && o.fails == dialRefused:
		o.l.r.runAsync(fail)
	case !o.ended && o.fails == dialHangs:
		o.l.r.after(o.l.r.limits.WatchGrace, fail)
	default:
		o.l.r.runAsync(func() { o.conns = append(o.conns, o.l.open(p)) })
	}
}

// step has discovery do what is due at this time.
func (o *outage) step() {
	now := o.l.r.clock()
	for _, c := range o.conns {
		if c.closed || c.wrote == "" {
			continue
		}
		if o.due[c] == 0 {
			o.due[c] = now + o.turn
			if !o.ended {
				o.due[c] = o.answersBadly(c, now)
			}
		}
		if now >= o.due[c] {
			c.wrote, o.due[c] = "", 0
			o.l.comes(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(o.has), o.has))
		}
	}
	o.conns = slices.DeleteFunc(o.conns, func(c *notedConn) bool { return c.closed })
}

// answersBadly is when the call on c is answered: never.
func (o *outage) answersBadly(c *notedConn, now clock.Time) clock.Time {
	const never = 1 << 60
	switch o.fails {
	case callRefused:
		c.wrote = ""
		o.l.comes(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return 0
	case callReset:
		_ = o.l.Close(c)
	case callHalfTold:
		o.l.comes(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":1,")
		_ = o.l.Close(c)
	}
	return never
}

// However calls to discovery have failed, and for however long, the list is here within 6 s of its being reachable again: from
// then on what it tells counts as told. Where lists are asked for a call waits its turn for up to two seconds, and so may one
// that was made just before, in vain.
func TestListIsHereSixSecondsAfterAnOutage(t *testing.T) {
	const most, step = 5.6e6, 50e3 // the rest is for what is already on its way
	for _, asked := range []string{"pushed", "on_request"} {
		for _, fails := range []string{dialRefused, dialHangs, callSilent, callRefused, callReset, callHalfTold} {
			t.Run(asked+", "+fails, func(t *testing.T) {
				longest := clock.Time(0)
				for phase := range clock.Time(40) {
					longest = max(longest, listAfterOutage(t, asked, fails, 30e6+phase*150e3, step))
					if asked == "pushed" { // where a wait of 20 s may be out, its end goes before
						longest = max(longest, listAfterOutage(t, asked, fails, phase*150e3, step))
					}
				}
				if longest > most {
					t.Errorf("the list came %.2f s after discovery could be reached", float64(longest)/1e6)
				}
				t.Logf("%.2f s", float64(longest)/1e6)
			})
		}
	}
}

// listAfterOutage is the time from the end of an outage until the list is here.
func listAfterOutage(t *testing.T, asked, fails string, lasts, step clock.Time) clock.Time {
	l, _ := loaded(t, asked)
	o := &outage{l: l, fails: fails, due: map[*notedConn]clock.Time{},
		has: `{"rev":5,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"}]}`}
	if asked == "on_request" {
		o.turn = 2e6 - step // an answer in the very last moment crosses its call's end
	}
	l.r.dialFunc = o.dial
	l.r.restartWatch(l.r.cfg.Discovery)
	l.rounds()
	advance := func() {
		o.step()
		l.pass(step)
	}
	if asked == "pushed" { // a watch is out as the outage begins, and is never answered
		o.ended = true
		for l.r.counts.Lists < 2 {
			advance()
		}
		o.ended = false
	}
	for passed := clock.Time(0); passed < lasts; passed += step {
		advance()
	}
	before := l.r.counts.Lists
	o.ended = true // what was asked in the outage stays without an answer
	for passed := clock.Time(0); passed < 20e6; passed += step {
		if l.r.counts.Lists > before {
			return passed
		}
		advance()
	}
	t.Fatal("no list comes any more")
	return 0
}

// Discovery refuses what is beyond the calls that it can take, of all routers together. Routers that asked again too soon
// kept each other out: some had no list for fourteen seconds.
func TestRefusedCallsAreSpread(t *testing.T) {
	const lasts, step, most = clock.Time(40e6), clock.Time(50e3), 20 // with 1.5 s at most between two there were over 30
	l, _ := loaded(t, "on_request")
	o := &outage{l: l, fails: callRefused, due: map[*notedConn]clock.Time{}}
	l.r.dialFunc = o.dial
	l.r.restartWatch(l.r.cfg.Discovery)
	l.rounds()
	for passed := clock.Time(0); passed < lasts; passed += step {
		o.step()
		l.pass(step)
	}
	if n := l.r.counts.ListsFailed; n > most {
		t.Errorf("%d calls in %v", n, toDuration(lasts))
	}
	t.Logf("%d calls", l.r.counts.ListsFailed)
}
