package router

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire/http1"
)

// FuzzRouter lets clients, servers, discovery, dials and the clock do what the input says, in its order. Whatever
// that is, each request that was taken gets one answer or loses its client, nothing is left of it, and what is counted as
// open is what is open.
func FuzzRouter(f *testing.F) {
	f.Add([]byte{0, 1, 2, 4, 1, 2, 3, 5, 0, 7, 2, 5, 0})
	f.Add([]byte{0, 1, 1, 4, 12, 0, 2, 3, 9, 9, 0, 2, 12, 2, 0, 7, 12, 4, 9, 99, 12, 6})
	f.Add([]byte("commands, answers, breaks, lists and time-outs in some order, over and over; 0123456789"))
	f.Fuzz(func(t *testing.T, steps []byte) { inThisOrder(t, steps, nil) })
}

// TestRandomOrders plays some thousand random steps a hundred times; FuzzRouter looks for worse ones.
func TestRandomOrders(t *testing.T) {
	for seed := range byte(100) {
		inThisOrder(t, randomSteps(seed), nil)
	}
}

func randomSteps(seed byte) []byte {
	steps := make([]byte, 2400)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(steps) // it cannot fail
	return steps
}

// What the referee of random orders is for is found, wherever it comes in.
func TestRandomOrdersFindPlanted(t *testing.T) {
	for name, plant := range map[string]func(*notedLoop){
		"an answer is lost": func(l *notedLoop) {
			for _, q := range l.r.requests {
				q.over = true
				return
			}
		},
		"an answer comes twice": func(l *notedLoop) {
			for c := range l.r.clients {
				c.write([]byte("-BUSY\r\n"))
				return
			}
		},
		"a connection is not counted": func(l *notedLoop) { l.r.upstreams++ },
		"what may have run is told as never run": func(l *notedLoop) {
			for _, q := range l.r.requests {
				for _, w := range slices.Clone(q.attempts) {
					if w.whole && q.Write {
						l.r.giveUp(w, routing.NotSent)
						return
					}
				}
			}
		},
		"a write-out to a server that goes": func(l *notedLoop) {
			for _, s := range l.r.servers {
				for _, q := range l.r.requests {
					if !s.ready && !q.over && len(q.attempts) == 0 {
						s.ready = true
						l.r.beginAttempt(routing.Decision{Request: q.ID, Server: s.id, After: 1e6})
						s.ready = false
						return
					}
				}
			}
		},
		"a write-out for a req that is over": func(l *notedLoop) {
			for _, q := range l.r.requests {
				if q.over && len(q.attempts) == 0 {
					for id := range l.r.servers {
						q.over = false
						l.r.beginAttempt(routing.Decision{Request: q.ID, Server: id, After: 1e6})
						q.over = true
						return
					}
				}
			}
		},
		"a drain leaves one in hand": func(l *notedLoop) { l.r.lim.ShutdownTimeout = 1e12 },
	} {
		found := 0
		for seed := range byte(10) {
			left := 200 // steps until it strikes
			told := &judged{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { told.said = told.said || recover() != nil }()
				inThisOrder(told, randomSteps(seed), func(l *notedLoop) {
					if left--; left <= 0 && left%3 == 0 {
						plant(l)
					}
				})
			}()
			if <-done; told.said {
				found++
			}
		}
		if found < 3 { // some strike only where a rare thing is at hand
			t.Errorf("%s: found in %d of 10 plays", name, found)
		}
	}
}

// judged notes that a test would fail.
type judged struct {
	testing.TB
	said bool
}

func (j *judged) Errorf(string, ...any) { j.said = true }
func (j *judged) Fatalf(string, ...any) {
	j.said = true
	runtime.Goexit()
}

// kinds of steps, each as often as keeps requests coming, going out and being answered: with all alike hardly one got so far.
var kinds = []byte{0, 0, 0, 0, 1, 1, 2, 3, 3, 4, 5, 5, 5, 5, 6, 7, 7, 7, 7, 7, 8, 9, 9, 10, 11, 11, 11, 11, 11, 11, 12, 13}

// inThisOrder plays steps; after each, also does something else, if there is something.
func inThisOrder(t testing.TB, steps []byte, also func(*notedLoop)) {
	cfg := notedConfig()
	// Little room, so that clients stall, dials wait and connections are shed.
	cfg.Limits.Descriptors, cfg.Limits.MaxDescriptors, cfg.Limits.ServerConnections = 12, 14, 6
	cfg.Limits.PipelinedCommands, cfg.Limits.RequestBytes, cfg.Limits.IdleClientEvictionAge, cfg.Limits.ClientWriteTimeout = 3, 100, 10e3, 1e6
	cfg.Limits.ServerIdleTimeout = 2e6
	cfg.Settings.MaxAttempts, cfg.Settings.CancelAllowed, cfg.Settings.HedgingAllowed = 3, true, len(steps)%2 == 1
	cfg.Settings.Methods = append(cfg.Settings.Methods, routing.MethodSettings{Name: "get", LatencyBudget: 6e6, Criticality: 1})
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},` +
		`{"uid":"s","endpoint":"127.0.0.1:2","model":"m","state":"active"},` +
		`{"uid":"u","endpoint":"127.0.0.1:3","model":"m","state":"active"}]}`)
	l := newLoop(t, cfg)
	r := l.r
	type dial struct {
		p      peer
		failed func(error)
	}
	var dials []dial
	r.dialer = func(_ string, p peer, failed func(error)) { dials = append(dials, dial{p, failed}) }
	clients, servers := []*notedConn{l.open(nil)}, []*notedConn(nil)
	asked, out := map[*notedConn]int{}, map[string]clock.Time{}
	close(r.ready)
	r.lim.ShutdownTimeout, r.lim.DrainAcceptPeriod, r.lim.LargeValueRetryInterval = 3e6, 500e3, 5e3
	endBy := clock.Time(0)    // by when all is answered, after SIGTERM
	gone := map[string]bool{} // that drain, or are no more, by the last list
	type sent struct {
		on *notedConn
		w  *attempt
	}
	outs := map[sent]bool{}               // that were there after the last step; true: the last byte had left
	ran := map[routing.RequestID]string{} // that may have run, and where
	never := (*attempt)(nil)              // answered in this step as never run
	traffic := func(c *notedConn) {
		if r.OnTraffic(c) == gnet.Close {
			_ = l.Close(c)
		}
	}
	dialled := func(up bool) {
		if len(dials) == 0 {
			return
		}
		d := dials[0]
		dials = dials[1:]
		if up {
			servers = append(servers, l.open(d.p))
			return
		}
		r.dials--
		d.failed(errors.New("refused"))
	}
	open := func(of []*notedConn) []*notedConn {
		return slices.DeleteFunc(slices.Clone(of), func(c *notedConn) bool { return c.closed })
	}
	pick := func(from []*notedConn, n byte) *notedConn { // one that is open; nil: there is none
		if from = open(from); len(from) > 0 {
			return from[int(n)%len(from)]
		}
		return nil
	}
	for i := 0; i+1 < len(steps); i += 2 {
		if r.stopped {
			break
		}
		n := steps[i+1]
		switch kind := kinds[int(steps[i])%len(kinds)]; kind {
		case 0, 1, 2:
			if c := pick(clients, n); c != nil {
				asked[c]++
				if kind == 2 {
					c.in = append(c.in, "*2\r\n$4\r\nPING\r\n$1\r\nx\r\n"...)
					traffic(c)
					break
				}
				if n%2 == 0 {
					c.in = resp.AppendCommand(c.in, []byte("CACHE.GET"), []byte{'k', n}, fmt.Append(nil, "r", i), fmt.Appendf(nil, "c=get,d=%d", 1900+int(n)%16/14*7000))
					traffic(c)
					break
				}
				c.in = resp.AppendCommand(c.in, []byte("CACHE.SET"), []byte("k"), fmt.Append(nil, "r", i), []byte("c=pay,d=900"), []byte("v"))
				traffic(c)
			}
		case 3:
			clients = append(clients, l.open(nil))
		case 4:
			if c := pick(clients, n); c != nil {
				_ = l.Close(c)
			}
		case 5:
			if c := pick(servers, n); c != nil {
				if _, http := c.ctx.(*upstream).server.speaks.(http1.Back); !http {
					c.in = append(c.in, []string{"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-BUSY\r\n",
						"-ERR failed\r\n", "*1\r", "nonsense\r\n"}[int(n)%6]...)
					traffic(c)
					break
				}
				if len(c.in) == 0 && n%6 == 2 {
					never = c.ctx.(*upstream).carries
				}
				c.in = append(c.in, []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", "HTTP/1.1 5",
					"HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
					"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nv", "HTTP/1.1 200 OK\r\n\r\nhalf"}[int(n)%6]...)
				traffic(c)
			}
		case 6:
			if c := pick(servers, n); c != nil && n/16%2 == 0 {
				l.ends(c, os.NewSyscallError("read", unix.ECONNRESET))
			} else if c != nil {
				if bytes.Contains(c.in, []byte("half")) {
					c.in = append(c.in, ", whole"...)
				}
				l.ends(c, os.NewSyscallError("read", io.EOF))
			}
		case 7:
			dialled(n%4 > 0)
		case 8:
			state := []string{"active", "leaving", "left", "active", "active", "active", "active", "active"}[n%8]
			uid, kind := []string{"o", "s", "u"}[n/8%3], []string{"origin", "m", "m"}[n/8%3]
			if list, err := r.book.Apply(fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[{"uid":%q,"endpoint":`+
				`"127.0.0.1:%d","model":%q,"state":%q}]}`, i+2, n%64 == 0, uid, 1+n/128%2, kind, state)); err == nil {
				r.listCame(list)
				if n%64 == 0 {
					gone = map[string]bool{"o": true, "s": true, "u": true}
				}
				gone[uid] = state != "active"
			}
		case 9:
			r.began += clock.Time(n) * []clock.Time{1e3, 1e3, 1e3, 10e3}[n%4]
			r.batch()
		case 10:
			if c := pick(servers, n); c != nil {
				c.left = int(n) % 8 / 7
			}
		case 11:
			l.rounds()
		case 12: // operators take out and give back, drain and undo it
			asked, uid := r.ops.wanted, []string{"s", "u"}[n%2]
			asked.UnbannedAt = map[string]int64{}
			switch n / 2 % 4 {
			case 0:
				if !asked.IsBanned(uid) {
					out[uid] = r.clock()
				}
				_ = asked.Ban(uid)
			case 1:
				asked.Unban(uid, time.UnixMicro(int64(r.clock())))
			default:
				asked.Drain = n/2%4 == 2
			}
			r.obey(asked)
		case 13:
			if n < 4 && !r.draining {
				endBy = r.clock() + 3e6
				r.Drain()
				l.rounds()
			}
		}
		if also != nil {
			also(l)
		}
		inHand := 0
		for _, q := range r.requests {
			if !q.over {
				inHand++
			}
		}
		if r.publish(); r.ops.told.Load().open != inHand {
			t.Fatalf("%d reqs are open, and %d said to be", inHand, r.ops.told.Load().open)
		}
		for s, whole := range outs {
			up, on := s.on.ctx.(*upstream)
			if whole && s.w != never && r.cfg.Settings.Methods[s.w.q.method].Idempotency == routing.NonIdempotent && !(on && up.carries == s.w) {
				ran[s.w.q.ID] = string(r.book.UID(s.w.server.id))
			}
		}
		never = nil
		was := outs
		outs = map[sent]bool{}
		carried := map[*request]int{}
		for _, c := range servers {
			if up, ok := c.ctx.(*upstream); ok && up.carries != nil {
				w := up.carries
				outs[sent{c, w}] = c.left == 0
				if _, old := was[sent{c, w}]; !old {
					if at, may := ran[w.q.ID]; may {
						t.Fatalf("%s is sent again, and may have run at %s", w.q.ID, at)
					}
					if w.q.over || gone[string(r.book.UID(w.server.id))] {
						t.Fatalf("%s is sent to %v, over: %v, gone: %v", w.q.ID, w.server.id, w.q.over, gone)
					}
				}
				if uid := string(r.book.UID(up.server.id)); uid != "" && up.server.out && up.carries.sent > out[uid] {
					t.Fatalf("a write-out to %s, which is out", uid)
				}
				most := 1
				if cfg.Settings.HedgingAllowed {
					most = 2
				}
				if carried[up.carries.q]++; carried[up.carries.q] > most {
					t.Fatalf("%d write-outs of one req are out", carried[up.carries.q])
				}
			}
		}
	}
	if !r.draining {
		endBy = r.clock() + 3e6
		r.Drain()
		l.rounds()
	}
	r.began += max(0, endBy+50e3-r.clock())
	r.batch()
	l.rounds()
	for _, q := range r.requests {
		if !q.over {
			t.Fatalf("%s is in hand after the end of the drain", q.ID)
		}
	}
	for range 400 + len(steps)/2 { // all deadlines pass, and what is out comes to its end, also of a thousand pipelined commands
		l.rounds()
		dialled(false)
		r.began += 1e6
		r.batch()
	}
	l.rounds()
	for _, c := range clients {
		answers := 0
		for rest := []byte(c.wrote); len(rest) > 0; answers++ {
			a, used, err := resp.ReadReply(rest, r.lim.RESP)
			if err != nil || used == 0 || bytes.Contains(a.Text, []byte("half")) && !bytes.HasSuffix(a.Text, []byte("whole")) {
				t.Fatalf("a client got %q", c.wrote)
			}
			rest = rest[used:]
		}
		if !c.closed && answers != asked[c] || answers > asked[c] {
			t.Errorf("%d commands got %d answers: %q", asked[c], answers, c.wrote)
		}
	}
	n := r.counts
	var ended [3]int
	for _, m := range n.Ended {
		for i := range m {
			ended[i] += m[i]
		}
	}
	if ended != [3]int{n.Served, n.Rejected, n.Failed} {
		t.Errorf("%v by method, %v in all", ended, n)
	}
	if n.Taken != n.Served+n.Rejected+n.Failed+n.Left || len(r.requests) != 0 || r.held != 0 {
		t.Errorf("%v, %d reqs, %d bytes", n, len(r.requests), r.held)
	}
	if n.Attempts != n.OK+n.Miss+n.NeverRan+n.MayHave+n.GivenUp {
		t.Errorf("write-outs without an outcome: %v", n)
	}
	up := len(open(servers))
	if in := len(open(clients)) > 0; up != r.upstreams || in != (len(r.clients) > 0) ||
		r.conns != r.upstreams+len(r.clients) || r.dials != len(dials) {
		t.Errorf("%d of %d to servers are open, %d in all, %d dials of %d", r.upstreams, up, r.conns, r.dials, len(dials))
	}
}
