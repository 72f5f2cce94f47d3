package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// randomSettings is a valid configuration with the values that checkRules needs.
type randomSettings struct {
	text    string
	sendCap int
	aside   bool
	classes []randomClass
}

type randomClass struct {
	name, effect, group string
	window, deadline    float64
}

// generateSettings returns valid settings: each key is at a bound, in between or absent, and unknown keys are added.
func generateSettings(seed uint64) randomSettings {
	d := randomSettings{}
	random := rand.New(rand.NewPCG(seed, 1))
	pick := func(values ...any) any { return values[random.IntN(len(values))] }
	type object = map[string]any
	build := func(o object) object { // removes keys with a nil value
		for k, v := range o {
			if v == nil {
				delete(o, k)
			}
		}
		o["x-"+fmt.Sprint(random.IntN(9))] = pick("unknown", 1, nil, object{"deep": []int{1}})
		return o
	}
	d.sendCap = pick(1, 2, 3, 100).(int)
	cancel := pick(true, false).(bool)
	routers := pick(1, 3, 2000).(int)
	d.aside = pick(true, true, false).(bool)
	domain := build(object{"mode": "through", "origin-kind": pick(nil, -1)})
	if d.aside {
		domain = build(object{"mode": "aside", "origin-kind": 1, "origin-fall-multiple": pick(nil, 0.0, 2.5), "origin-fall-s": pick(nil, 0.0, 3.0)})
	}
	var classes []object
	for i := range 1 + random.IntN(3) {
		deadline := pick(0.15, 0.4, 1.2, 6.0).(float64)
		c := randomClass{name: fmt.Sprintf("%s%d", pick("get", "c", "a-name-as-nobody-has-it"), i), deadline: deadline,
			effect: pick("free", "guarded", "single_shot").(string), group: pick("all", "zone", "cell").(string), window: pick(0.05, 0.3, 10.0).(float64)}
		d.classes = append(d.classes, c)
		classes = append(classes, build(object{"name": c.name, "effect": c.effect, "group": c.group, "window-s": c.window, "deadline-s": deadline,
			"slo-s": deadline * pick(0.2, 0.5, 1.0).(float64), "worth": pick(1e-6, 1.0, 5.0, 1e6), "late-value": pick(nil, 0.0, 0.3, 1.0), "stream": pick(nil, false)}))
	}
	s := build(object{"balancers": routers, "discovery": pick("pushed", "on_request"), "weights": pick(nil, "silent", "rough", "live", "nominal"), "resolution-s": pick(nil, 0.0, 0.001, 0.02),
		"flavors": []string{"std", "origin"}, "over-share-worth": pick(nil, 0.0, 1.0), "domain": domain, "request-classes": classes,
		"fees":        pick(nil, build(object{"waste": pick(nil, 0.0, 1.0), "connection": pick(nil, 0.0, 1.0), "handshake": pick(nil, 0.0, 1.0)})),
		"goal":        pick(nil, build(object{"worst-class": pick(nil, 0.0, 1.0)})),
		"load-report": pick(nil, build(object{"how": pick("silent", "piggyback", "pull"), "fields": pick(nil, []string{}, []string{"avg_ms", "nobody-knows", "x0"})})),
		"policy-limits": build(object{"cancel": cancel, "parallel-tries": pick(nil, true, false), "probes": pick(nil, true, false), "retry-after": pick(nil, true, false),
			"max-retry-after-s": pick(nil, 0.0, 0.001, 600.0), "send-cap": d.sendCap, "connect-timeout-s": pick(nil, 0.0, 0.05, 5.0), "idle-close-s": pick(nil, 0.0, 0.1, 600.0)}),
		"rules": build(object{"cold-s": pick(nil, 0.0, 60.0), "cold-share": pick(nil, 0.0, 1.0), "fall-s": pick(nil, 0.0, 10.0), "tip-multiple": pick(nil, 0.0, 3.0),
			"stop-sending-within-s": pick(nil, 0.0, 0.2, 10.0), "answer-slack-s": pick(nil, 0.02), "ask-every-s": pick(nil, 10.0)}),
		"tenants": pick(nil, []object{}, []object{{"name": "one", "share": 0.0}, {"name": "two", "share": 1.0, "quota-per-s": 0.001}})})
	text, _ := json.Marshal(s) // cannot fail with these values
	d.text = string(text)
	return d
}

// arrival is the receipt of an attempt at a server.
type arrival struct {
	zone string
	at   time.Time
}

// The program keeps its rules under any valid settings. With each of a hundred random ones, servers answer, fail, reset, miss or
// leave unanswered the requests of each class. Each request must get exactly one answer in time, and none may run twice where
// its class forbids it.
func TestRulesHoldUnderRandomSettings(t *testing.T) {
	var answerable, served atomic.Int32 // answerable: requests that the servers answer
	t.Run("drawn", func(t *testing.T) {
		for seed := range uint64(100) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				checkRules(t, generateSettings(seed), &answerable, &served)
			})
		}
	})
	if t.Logf("%d of %d served", served.Load(), answerable.Load()); served.Load() < answerable.Load()*3/4 {
		t.Errorf("servers answered %d requests, clients received %d answers", answerable.Load(), served.Load())
	}
}

// checkRules runs the program under these settings and checks its rules.
func checkRules(t *testing.T, d randomSettings, answerable, served *atomic.Int32) {
	defer func() {
		if t.Failed() {
			t.Log(d.text)
		}
	}()
	h := newHarness(t)
	h.noAdmin = true
	h.replacements = []string{fmt.Sprintf(settingsFormat, h.idleCloseSeconds), d.text}
	servers := []string{"s1@a", "s2@b", "s3@a"}
	if d.aside {
		servers = append(servers, "origin@c")
	}
	h.start(servers)
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	for name, zone := range map[string]string{"s1": "a", "s2": "b", "s3": "a", "origin": "c"} {
		s := h.endpoint(name)
		go func() {
			for m := range s.received {
				words := strings.Fields(m.text[strings.IndexByte(m.text, ':')+1:])
				if len(words) < 4 {
					continue // the end of a connection, or a probe
				}
				id, http := words[2], name == "origin"
				mu.Lock()
				arrivals[id] = append(arrivals[id], arrival{zone, time.Now()})
				mu.Unlock()
				mode, _, _ := strings.Cut(id, "-")
				text := map[string]string{"ok": fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(id), id), "err": "-ERR failed\r\n", "miss": "*3\r\n$-1\r\n$-1\r\n$-1\r\n"}[mode]
				if http {
					text = map[string]string{"err": "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}[mode]
					if mode == "ok" || mode == "miss" {
						text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					}
				}
				if _, _ = io.WriteString(m.conn, text); mode == "reset" {
					m.conn.Close()
				}
			}
		}()
	}
	const timeout = 400 * time.Millisecond
	var all sync.WaitGroup
	for i, mode := range []string{"ok", "ok", "miss", "err", "reset", "hang", "err"} {
		if i == 2 {
			all.Wait() // the following requests meet failing servers
		}
		for _, c := range d.classes {
			all.Go(func() {
				got := h.checkSingleAnswer(t, fmt.Sprintf("%s-%s-%d", mode, c.name, i), c, min(timeout, time.Duration(c.deadline*1e9)))
				if mode == "ok" {
					answerable.Add(1)
				}
				if mode == "ok" && got {
					served.Add(1)
				}
			})
		}
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, c := range d.classes {
		for id, at := range arrivals {
			mode, rest, _ := strings.Cut(id, "-")
			if !strings.HasPrefix(rest, c.name+"-") {
				continue
			}
			if len(at) > d.sendCap {
				t.Errorf("%s was sent %d times, the limit is %d", id, len(at), d.sendCap)
			}
			if mode == "ok" || mode == "miss" || c.effect == "free" {
				continue
			}
			for _, again := range at[1:] { // each of them may have run
				afterWindow := again.at.Sub(at[0].at) > time.Duration(c.window*1e9)+50*time.Millisecond
				elsewhere := c.group != "all" && again.zone != at[0].zone
				if c.effect == "single_shot" || afterWindow || elsewhere {
					t.Errorf("%s (%s, %s, %g s) was sent to %v, and again to %v", id, c.effect, c.group, c.window, at[0], again)
				}
			}
		}
	}
	_ = h.program.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-h.exited:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the program did not exit")
	}
	if log := h.log.text(); strings.Contains(log, "panic") || strings.Contains(log, "level=error") {
		t.Error(log)
	}
}

// checkSingleAnswer sends a request and checks that it gets one answer in time and nothing after it. It reports whether the
// request was served.
func (h *harness) checkSingleAnswer(t *testing.T, id string, c randomClass, within time.Duration) bool {
	conn, err := net.Dial("tcp", h.listen)
	if err != nil {
		t.Error(err)
		return false
	}
	defer conn.Close()
	began := time.Now()
	command := [][]byte{[]byte("CACHE.GET"), []byte("key-" + id), []byte(id), fmt.Appendf(nil, "c=%s,t=one,d=%d", c.name, within.Milliseconds())}
	if _, err = conn.Write(resp.AppendCommand(nil, command...)); err != nil {
		t.Error(err)
		return false
	}
	_ = conn.SetDeadline(began.Add(within + 2*time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' {
		line, err = in.ReadString('\n')
	}
	const slack = 400 * time.Millisecond // a hundred processes share the machine
	line = strings.TrimSpace(line)
	if took := time.Since(began); err != nil || took > within+slack {
		t.Errorf("%s (%s): %q after %v, %v", id, c.effect, line, took, err)
	}
	if !slices.Contains([]string{id, "-ERR failed"}, line) && !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("%s got %q", id, line)
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Millisecond))
	if more, err := in.ReadString('\n'); err == nil {
		t.Errorf("%s got a second answer: %q", id, more)
	}
	return line == id
}
