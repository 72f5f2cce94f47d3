package router

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
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
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/wire/http1"
)

// FuzzRouter makes clients, servers, discovery, dials and the clock act as the input says, in its order. In any
// order, each admitted request gets one answer or loses its client, nothing of it is left behind, and the counts
// match what is open.
func FuzzRouter(f *testing.F) {
	f.Add([]byte{0, 1, 2, 4, 1, 2, 3, 5, 0, 7, 2, 5, 0})
	f.Add([]byte{0, 1, 1, 4, 12, 0, 2, 3, 9, 9, 0, 2, 12, 2, 0, 7, 12, 4, 9, 99, 12, 6})
	f.Add([]byte("commands, answers, breaks, lists and time-outs in some order, over and over; 0123456789"))
	f.Fuzz(func(t *testing.T, steps []byte) { runSteps(t, steps, nil) })
}

// TestRandomOrders runs a hundred sequences of some thousand random steps; FuzzRouter searches for worse ones.
func TestRandomOrders(t *testing.T) {
	for seed := range byte(100) {
		runSteps(t, randomSteps(seed), nil)
	}
}

func randomSteps(seed byte) []byte {
	steps := make([]byte, 2400)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(steps) // it cannot fail
	return steps
}

// The checks in runSteps detect each of these injected faults.
func TestRandomOrdersDetectInjectedFaults(t *testing.T) {
	for name, inject := range map[string]func(*fakeLoop){
		"an answer is lost": func(l *fakeLoop) {
			for _, request := range l.r.requests {
				request.finished = true
				return
			}
		},
		"an answer comes twice": func(l *fakeLoop) {
			for client := range l.r.clients {
				client.write([]byte("-BUSY\r\n"))
				return
			}
		},
		"a connection is not counted": func(l *fakeLoop) { l.r.serverConnCount++ },
		"what may have run is reported as never run": func(l *fakeLoop) {
			for _, request := range l.r.requests {
				for _, attempt := range slices.Clone(request.attempts) {
					if attempt.fullySent && request.Write {
						l.r.abortAttempt(attempt, routing.NotSent)
						return
					}
				}
			}
		},
		"an attempt at a server that is draining": func(l *fakeLoop) {
			for _, s := range l.r.servers {
				for _, request := range l.r.requests {
					if !s.ready && !request.finished && len(request.attempts) == 0 {
						s.ready = true
						l.r.beginAttempt(routing.Decision{Request: request.ID, Server: s.id, After: 1e6})
						s.ready = false
						return
					}
				}
			}
		},
		"an attempt of a finished request": func(l *fakeLoop) {
			for _, requestID := range slices.Sorted(maps.Keys(l.r.requests)) { // not in an order by chance
				if request := l.r.requests[requestID]; request.finished && len(request.attempts) == 0 {
					for _, id := range slices.Sorted(maps.Keys(l.r.servers)) {
						request.finished = false
						l.r.beginAttempt(routing.Decision{Request: request.ID, Server: id, After: 1e6})
						request.finished = true
						return
					}
				}
			}
		},
		"a drain leaves a request unanswered": func(l *fakeLoop) { l.r.limits.ShutdownTimeout = 1e12 },
	} {
		found := 0
		for seed := range byte(10) {
			stepsLeft := 200 // steps until the fault is injected
			recorder := &failureRecorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { recorder.failed = recorder.failed || recover() != nil }()
				runSteps(recorder, randomSteps(seed), func(l *fakeLoop) {
					if stepsLeft--; stepsLeft <= 0 && stepsLeft%3 == 0 {
						inject(l)
					}
				})
			}()
			if <-done; recorder.failed {
				found++
			}
		}
		if found < 3 { // some faults need a rare situation
			t.Errorf("%s: detected in %d of 10 runs", name, found)
		}
	}
}

// failureRecorder records that a test would fail.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (f *failureRecorder) Errorf(string, ...any) { f.failed = true }
func (f *failureRecorder) Fatalf(string, ...any) {
	f.failed = true
	runtime.Goexit()
}

// stepKind is what a step of runSteps does; the byte after it selects the details.
type stepKind uint8

const (
	stepRequest         stepKind = iota // a client sends a read or a write
	stepPing                            // a client sends PING
	stepConnect                         // a client connects
	stepDisconnect                      // a client disconnects
	stepServerAnswer                    // a server sends an answer, valid or not
	stepServerClose                     // a server ends or resets a connection
	stepDialEnd                         // a dial succeeds or fails
	stepEndpoints                       // an endpoint list arrives
	stepAdvanceClock                    // time passes
	stepFillWriteBuffer                 // a server stops or resumes reading
	stepRunLoop                         // the loop runs what is queued
	stepOperatorChange                  // operators ban and unban servers, and start and undo a drain
	stepDrain                           // SIGTERM arrives
)

// stepKinds contains each kind of step as often as it takes for requests to be sent and answered; with equal
// frequencies hardly one got that far.
var stepKinds = []stepKind{
	stepRequest, stepRequest, stepRequest, stepRequest,
	stepRequest, stepRequest, stepPing, stepConnect,
	stepConnect, stepDisconnect, stepServerAnswer, stepServerAnswer,
	stepServerAnswer, stepServerAnswer, stepServerClose, stepDialEnd,
	stepDialEnd, stepDialEnd, stepDialEnd, stepDialEnd,
	stepEndpoints, stepAdvanceClock, stepAdvanceClock, stepFillWriteBuffer,
	stepRunLoop, stepRunLoop, stepRunLoop, stepRunLoop,
	stepRunLoop, stepRunLoop, stepOperatorChange, stepDrain,
}

// runSteps executes steps and checks the router after each; afterStep, if not nil, is called in between.
func runSteps(t testing.TB, steps []byte, afterStep func(*fakeLoop)) {
	cfg := originOnlyConfig()
	// The limits are low, so that clients stall, dials wait and connections are shed.
	cfg.Limits.Descriptors, cfg.Limits.MaxDescriptors, cfg.Limits.ServerConnections = 12, 14, 6
	cfg.Limits.PipelinedCommands, cfg.Limits.RequestBytes, cfg.Limits.ClientBufferBytes = 3, 100, 3<<16
	cfg.Limits.IdleClientEvictionAge, cfg.Limits.ClientWriteTimeout = 10e3, 1e6
	cfg.Limits.ServerIdleTimeout = 2e6
	cfg.Settings.MaxAttempts, cfg.Settings.CancelAllowed, cfg.Settings.HedgingAllowed = 3, true, len(steps)%2 == 1
	cfg.Settings.Methods = append(cfg.Settings.Methods, routing.MethodSettings{Name: "get", LatencyBudget: 6e6, Criticality: 1})
	cfg.SavedEndpoints = []byte(`{"rev":1,"all":true,"targets":[{"uid":"o","endpoint":"127.0.0.1:1","model":"origin","state":"active"},` +
		`{"uid":"s","endpoint":"127.0.0.1:2","model":"m","state":"active"},` +
		`{"uid":"u","endpoint":"127.0.0.1:3","model":"m","state":"active"}]}`)
	l := newFakeLoop(t, cfg)
	r := l.r
	passed := r.sinceStart() // the speed of the machine must not decide what is detected
	r.sinceStart = func() time.Duration {
		passed += time.Microsecond
		return passed
	}
	type dial struct {
		p      connHandler
		failed func(error)
	}
	var dials []dial
	r.dialFunc = func(_ string, p connHandler, failed func(error)) { dials = append(dials, dial{p, failed}) }
	clients, servers := []*fakeConn{l.open(nil)}, []*fakeConn(nil)
	commandsSent, bannedAt := map[*fakeConn]int{}, map[string]clock.Time{}
	close(r.ready)
	r.limits.ShutdownTimeout, r.limits.DrainAcceptPeriod, r.limits.LargeValueRetryInterval = 3e6, 500e3, 5e3
	shutdownDeadline := clock.Time(0) // of all answers, after SIGTERM
	unavailable := map[string]bool{}  // servers that drain or are gone, by the last list
	type sent struct {
		conn    *fakeConn
		attempt *activeAttempt
	}
	outstanding := map[sent]bool{}               // attempts outstanding after the last step; true: sent completely
	mayHaveRun := map[routing.RequestID]string{} // requests that may have run, and at which server
	neverRan := (*activeAttempt)(nil)            // answered in this step as never run
	handleInput := func(c *fakeConn) {
		if r.OnTraffic(c) == gnet.Close {
			_ = l.Close(c)
		}
	}
	endDial := func(succeeds bool) {
		if len(dials) == 0 {
			return
		}
		d := dials[0]
		dials = dials[1:]
		if succeeds {
			servers = append(servers, l.open(d.p))
			return
		}
		r.pendingDials--
		d.failed(errors.New("connection refused"))
	}
	open := func(of []*fakeConn) []*fakeConn {
		return slices.DeleteFunc(slices.Clone(of), func(c *fakeConn) bool { return c.closed })
	}
	pick := func(from []*fakeConn, n byte) *fakeConn { // an open connection; nil: there is none
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
		switch kind := stepKinds[int(steps[i])%len(stepKinds)]; kind {
		case stepRequest, stepPing:
			if c := pick(clients, n); c != nil {
				commandsSent[c]++
				if kind == stepPing {
					c.in = append(c.in, "*2\r\n$4\r\nPING\r\n$1\r\nx\r\n"...)
					handleInput(c)
					break
				}
				if n%2 == 0 {
					c.in = resp.AppendCommand(c.in, []byte("CACHE.GET"), []byte{'k', n}, fmt.Append(nil, "r", i), fmt.Appendf(nil, "c=get,d=%d", 1900+int(n)%16/14*7000))
					handleInput(c)
					break
				}
				c.in = resp.AppendCommand(c.in, []byte("CACHE.SET"), []byte("k"), fmt.Append(nil, "r", i), []byte("c=pay,d=900"), []byte("v"))
				handleInput(c)
			}
		case stepConnect:
			clients = append(clients, l.open(nil))
		case stepDisconnect:
			if c := pick(clients, n); c != nil {
				_ = l.Close(c)
			}
		case stepServerAnswer:
			if c := pick(servers, n); c != nil {
				if _, http := c.ctx.(*upstream).server.protocol.(http1.Codec); !http {
					c.in = append(c.in, []string{"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-BUSY\r\n",
						"-ERR failed\r\n", "*1\r", "nonsense\r\n"}[int(n)%6]...)
					handleInput(c)
					break
				}
				if up := c.ctx.(*upstream); len(up.partial) == 0 && n%6 == 2 {
					neverRan = up.attempt
				}
				c.in = append(c.in, []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", "HTTP/1.1 5",
					"HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
					"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nv", "HTTP/1.1 200 OK\r\n\r\nhalf"}[int(n)%6]...)
				handleInput(c)
			}
		case stepServerClose:
			if c := pick(servers, n); c != nil && n/16%2 == 0 {
				l.closeWith(c, os.NewSyscallError("read", unix.ECONNRESET))
			} else if c != nil {
				if bytes.Contains(c.ctx.(*upstream).partial, []byte("half")) {
					c.in = append(c.in, ", whole"...)
					handleInput(c)
				}
				l.closeWith(c, os.NewSyscallError("read", io.EOF))
			}
		case stepDialEnd:
			endDial(n%4 > 0)
		case stepEndpoints:
			state := []string{"active", "leaving", "left", "active", "active", "active", "active", "active"}[n%8]
			uid, kind := []string{"o", "s", "u"}[n/8%3], []string{"origin", "m", "m"}[n/8%3]
			if list, err := r.endpoints.Apply(discovery.Call{}, fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[{"uid":%q,"endpoint":`+
				`"127.0.0.1:%d","model":%q,"state":%q}]}`, i+2, n%64 == 0, uid, 1+n/128%2, kind, state)); err == nil {
				r.applyEndpoints(list)
				if n%64 == 0 {
					unavailable = map[string]bool{"o": true, "s": true, "u": true}
				}
				unavailable[uid] = state != "active"
			}
		case stepAdvanceClock:
			r.startWallClock += clock.Time(n) * []clock.Time{1e3, 1e3, 1e3, 10e3}[n%4]
			r.runBatch()
		case stepFillWriteBuffer:
			if c := pick(servers, n); c != nil {
				c.outboundBytes = int(n) % 8 / 7
			}
		case stepRunLoop:
			l.runQueued()
		case stepOperatorChange:
			state, uid := r.operator.state, []string{"s", "u"}[n%2]
			state.UnbannedAt = map[string]int64{}
			switch n / 2 % 4 {
			case 0:
				if !state.IsBanned(uid) {
					bannedAt[uid] = r.clock()
				}
				_ = state.Ban(uid)
			case 1:
				state.Unban(uid, time.UnixMicro(int64(r.clock())))
			default:
				state.Drain = n/2%4 == 2
			}
			r.applyOperatorState(state)
		case stepDrain:
			if n < 4 && !r.draining {
				shutdownDeadline = r.clock() + 3e6
				r.Drain()
				l.runQueued()
			}
		}
		if afterStep != nil {
			afterStep(l)
		}
		openRequests := 0
		for _, request := range r.requests {
			if !request.finished {
				openRequests++
			}
		}
		if r.publishStats(); r.operator.stats.Load().openRequests != openRequests {
			t.Fatalf("%d requests are open, the statistics say %d", openRequests, r.operator.stats.Load().openRequests)
		}
		for s, fullySent := range outstanding {
			up, isUpstream := s.conn.ctx.(*upstream)
			if fullySent && s.attempt != neverRan && r.cfg.Settings.Methods[s.attempt.request.method].Idempotency == routing.NonIdempotent && !(isUpstream && up.attempt == s.attempt) {
				mayHaveRun[s.attempt.request.ID] = string(r.endpoints.UID(s.attempt.server.id))
			}
		}
		neverRan = nil
		previous := outstanding
		outstanding = map[sent]bool{}
		carried := map[*pendingRequest]int{}
		for _, c := range servers {
			if up, isUpstream := c.ctx.(*upstream); isUpstream && up.attempt != nil {
				attempt := up.attempt
				outstanding[sent{c, attempt}] = c.outboundBytes == 0
				if _, old := previous[sent{c, attempt}]; !old {
					if server, found := mayHaveRun[attempt.request.ID]; found {
						t.Fatalf("%s is sent again, and may have run at %s", attempt.request.ID, server)
					}
					if attempt.request.finished || unavailable[string(r.endpoints.UID(attempt.server.id))] {
						t.Fatalf("%s is sent to %v; finished: %v, unavailable servers: %v", attempt.request.ID, attempt.server.id, attempt.request.finished, unavailable)
					}
				}
				if uid := string(r.endpoints.UID(up.server.id)); uid != "" && up.server.banned && up.attempt.startedAt > bannedAt[uid] {
					t.Fatalf("an attempt was sent to %s, which is banned", uid)
				}
				maxAttempts := 1
				if cfg.Settings.HedgingAllowed {
					maxAttempts = 2
				}
				if carried[up.attempt.request]++; carried[up.attempt.request] > maxAttempts {
					t.Fatalf("%d attempts of one request are outstanding", carried[up.attempt.request])
				}
			}
		}
	}
	if !r.draining {
		shutdownDeadline = r.clock() + 3e6
		r.Drain()
		l.runQueued()
	}
	r.startWallClock += max(0, shutdownDeadline+50e3-r.clock())
	r.runBatch()
	l.runQueued()
	for _, request := range r.requests {
		if !request.finished {
			t.Fatalf("%s is unanswered after the shutdown deadline", request.ID)
		}
	}
	for range 400 + len(steps)/2 { // all deadlines pass and everything outstanding ends, even a thousand pipelined commands
		l.runQueued()
		endDial(false)
		r.startWallClock += 1e6
		r.runBatch()
	}
	l.runQueued()
	for _, c := range clients {
		answers := 0
		for rest := []byte(c.written); len(rest) > 0; answers++ {
			a, used, err := resp.ReadReply(rest, r.limits.RESP)
			if err != nil || used == 0 || bytes.Contains(a.Text, []byte("half")) && !bytes.HasSuffix(a.Text, []byte("whole")) {
				t.Fatalf("a client got %q", c.written)
			}
			rest = rest[used:]
		}
		if !c.closed && answers != commandsSent[c] || answers > commandsSent[c] {
			t.Errorf("%d commands got %d answers: %q", commandsSent[c], answers, c.written)
		}
	}
	n := r.counts
	var ended [3]int
	for _, m := range n.OutcomesByMethod {
		for i := range m {
			ended[i] += m[i]
		}
	}
	if ended != [3]int{n.Served, n.Rejected, n.Failed} {
		t.Errorf("outcomes: %v by method, %v in all", ended, n)
	}
	if n.Requests != n.Served+n.Rejected+n.Failed+n.Abandoned || len(r.requests) != 0 || r.held.Total() != 0 {
		t.Errorf("counters %v; %d requests and %d bytes are left", n, len(r.requests), r.held.Total())
	}
	if n.Attempts != n.OK+n.Misses+n.NotExecuted+n.MaybeExecuted+n.Canceled {
		t.Errorf("attempts without an outcome: %v", n)
	}
	openServers := len(open(servers))
	if hasClients := len(open(clients)) > 0; openServers != r.serverConnCount || hasClients != (len(r.clients) > 0) ||
		r.connCount != r.serverConnCount+len(r.clients) || r.pendingDials != len(dials) {
		t.Errorf("server connections: counted %d, open %d; all connections: counted %d; dials: counted %d, pending %d", r.serverConnCount, openServers, r.connCount, r.pendingDials, len(dials))
	}
}
