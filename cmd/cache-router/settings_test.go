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

// drawn is what one set of legal settings says that the referee of the script below has to know.
type drawn struct {
	text    string
	sendCap int
	aside   bool
	classes []drawnClass
}

type drawnClass struct {
	name, effect, group string
	window, deadline    float64
}

// draw makes legal settings: each key at a bound, somewhere between, or absent, with keys beside that nobody knows.
func draw(seed uint64) drawn {
	d := drawn{}
	dice := rand.New(rand.NewPCG(seed, 1))
	of := func(x ...any) any { return x[dice.IntN(len(x))] }
	type object = map[string]any
	some := func(o object) object { // a key of value nil is absent
		for k, v := range o {
			if v == nil {
				delete(o, k)
			}
		}
		o["x-"+fmt.Sprint(dice.IntN(9))] = of("unknown", 1, nil, object{"deep": []int{1}})
		return o
	}
	d.sendCap = of(1, 2, 3, 100).(int)
	cancel := of(true, false).(bool)
	routers := of(1, 3, 2000).(int)
	d.aside = of(true, true, false).(bool)
	domain := some(object{"mode": "through", "origin-kind": of(nil, -1)})
	if d.aside {
		domain = some(object{"mode": "aside", "origin-kind": 1, "origin-fall-multiple": of(nil, 0.0, 2.5), "origin-fall-s": of(nil, 0.0, 3.0)})
	}
	var classes []object
	for i := range 1 + dice.IntN(3) {
		deadline := of(0.15, 0.4, 1.2, 6.0).(float64)
		c := drawnClass{name: fmt.Sprintf("%s%d", of("get", "c", "a-name-as-nobody-has-it"), i), deadline: deadline,
			effect: of("free", "guarded", "single_shot").(string), group: of("all", "zone", "cell").(string), window: of(0.05, 0.3, 10.0).(float64)}
		d.classes = append(d.classes, c)
		classes = append(classes, some(object{"name": c.name, "effect": c.effect, "group": c.group, "window-s": c.window, "deadline-s": deadline,
			"slo-s": deadline * of(0.2, 0.5, 1.0).(float64), "worth": of(1e-6, 1.0, 5.0, 1e6), "late-value": of(nil, 0.0, 0.3, 1.0), "stream": of(nil, false)}))
	}
	s := some(object{"balancers": routers, "discovery": of("pushed", "on_request"), "weights": of(nil, "silent", "rough", "live", "nominal"), "resolution-s": of(nil, 0.0, 0.001, 0.02),
		"flavors": []string{"std", "origin"}, "over-share-worth": of(nil, 0.0, 1.0), "domain": domain, "request-classes": classes,
		"fees":        of(nil, some(object{"waste": of(nil, 0.0, 1.0), "connection": of(nil, 0.0, 1.0), "handshake": of(nil, 0.0, 1.0)})),
		"goal":        of(nil, some(object{"worst-class": of(nil, 0.0, 1.0)})),
		"load-report": of(nil, some(object{"how": of("silent", "piggyback", "pull"), "fields": of(nil, []string{}, []string{"avg_ms", "nobody-knows", "x0"})})),
		"policy-limits": some(object{"cancel": cancel, "parallel-tries": of(nil, true, false), "probes": of(nil, true, false), "retry-after": of(nil, true, false),
			"max-retry-after-s": of(nil, 0.0, 0.001, 600.0), "send-cap": d.sendCap, "connect-timeout-s": of(nil, 0.0, 0.05, 5.0), "idle-close-s": of(nil, 0.0, 0.1, 600.0)}),
		"rules": some(object{"cold-s": of(nil, 0.0, 60.0), "cold-share": of(nil, 0.0, 1.0), "fall-s": of(nil, 0.0, 10.0), "tip-multiple": of(nil, 0.0, 3.0),
			"stop-sending-within-s": of(nil, 0.0, 0.2, 10.0), "answer-slack-s": of(nil, 0.02), "ask-every-s": of(nil, 10.0)}),
		"tenants": of(nil, []object{}, []object{{"name": "one", "share": 0.0}, {"name": "two", "share": 1.0, "quota-per-s": 0.001}})})
	text, _ := json.Marshal(s) // plain values: it cannot fail
	d.text = string(text)
	return d
}

// arrivalAt is a request as a server saw it.
type arrivalAt struct {
	zone string
	at   time.Time
}

// The program keeps the rules whatever legal settings say: with each of a hundred, requests of each class are answered, failed,
// reset, missed and left hanging by the servers, and each gets one answer in time, and none runs twice where it must not.
func TestAnySettings(t *testing.T) {
	var asked, served atomic.Int32 // of those that the servers answer
	t.Run("drawn", func(t *testing.T) {
		for seed := range uint64(100) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				underSettings(t, draw(seed), &asked, &served)
			})
		}
	})
	if t.Logf("%d of %d served", served.Load(), asked.Load()); served.Load() < asked.Load()*3/4 {
		t.Errorf("of %d reqs that the servers answered clients got %d", asked.Load(), served.Load())
	}
}

func underSettings(t *testing.T, d drawn, asked, served *atomic.Int32) {
	defer func() {
		if t.Failed() {
			t.Log(d.text)
		}
	}()
	p := newPlayer(t)
	p.noDoor = true
	p.swaps = []string{fmt.Sprintf(settings, p.idle), d.text}
	servers := []string{"s1@a", "s2@b", "s3@a"}
	if d.aside {
		servers = append(servers, "origin@c")
	}
	p.start(servers)
	var mu sync.Mutex
	saw := map[string][]arrivalAt{}
	for name, zone := range map[string]string{"s1": "a", "s2": "b", "s3": "a", "origin": "c"} {
		s := p.server(name)
		go func() {
			for m := range s.came {
				words := strings.Fields(m.text[strings.IndexByte(m.text, ':')+1:])
				if len(words) < 4 {
					continue // an end, or a probe
				}
				id, http := words[2], name == "origin"
				mu.Lock()
				saw[id] = append(saw[id], arrivalAt{zone, time.Now()})
				mu.Unlock()
				mode, _, _ := strings.Cut(id, "-")
				text := map[string]string{"ok": fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(id), id), "err": "-ERR failed\r\n", "miss": "*3\r\n$-1\r\n$-1\r\n$-1\r\n"}[mode]
				if http {
					text = map[string]string{"err": "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}[mode]
					if mode == "ok" || mode == "miss" {
						text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					}
				}
				if _, _ = io.WriteString(m.on, text); mode == "reset" {
					m.on.Close()
				}
			}
		}()
	}
	const waits = 400 * time.Millisecond
	var all sync.WaitGroup
	for i, mode := range []string{"ok", "ok", "miss", "err", "reset", "hang", "err"} {
		if i == 2 {
			all.Wait() // from then on servers are in trouble
		}
		for _, c := range d.classes {
			all.Go(func() {
				got := p.oneAnswer(t, fmt.Sprintf("%s-%s-%d", mode, c.name, i), c, min(waits, time.Duration(c.deadline*1e9)))
				if mode == "ok" {
					asked.Add(1)
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
		for id, at := range saw {
			mode, rest, _ := strings.Cut(id, "-")
			if !strings.HasPrefix(rest, c.name+"-") {
				continue
			}
			if len(at) > d.sendCap {
				t.Errorf("%s was sent %d times", id, len(at))
			}
			if mode == "ok" || mode == "miss" || c.effect == "free" {
				continue
			}
			for _, again := range at[1:] { // all of them may have run
				late := again.at.Sub(at[0].at) > time.Duration(c.window*1e9)+50*time.Millisecond
				elsewhere := c.group != "all" && again.zone != at[0].zone
				if c.effect == "single_shot" || late || elsewhere {
					t.Errorf("%s (%s, %s, %g s) came to %v, and again to %v", id, c.effect, c.group, c.window, at[0], again)
				}
			}
		}
	}
	_ = p.program.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(4 * time.Second):
		t.Error("it does not end")
	}
	if log := p.log.text(); strings.Contains(log, "panic") || strings.Contains(log, "level=error") {
		t.Error(log)
	}
}

// oneAnswer sends one request, and wants one answer to it and nothing behind that; true: it was served.
func (p *player) oneAnswer(t *testing.T, id string, c drawnClass, within time.Duration) bool {
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Error(err)
		return false
	}
	defer conn.Close()
	from := time.Now()
	ask := [][]byte{[]byte("CACHE.GET"), []byte("key-" + id), []byte(id), fmt.Appendf(nil, "c=%s,t=one,d=%d", c.name, within.Milliseconds())}
	if _, err = conn.Write(resp.AppendCommand(nil, ask...)); err != nil {
		t.Error(err)
		return false
	}
	_ = conn.SetDeadline(from.Add(within + 2*time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' {
		line, err = in.ReadString('\n')
	}
	const slack = 400 * time.Millisecond // a hundred programs share the machine
	line = strings.TrimSpace(line)
	if took := time.Since(from); err != nil || took > within+slack {
		t.Errorf("%s (%s): %q after %v, %v", id, c.effect, line, took, err)
	}
	if !slices.Contains([]string{id, "-ERR failed"}, line) && !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("%s got %q", id, line)
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Millisecond))
	if more, err := in.ReadString('\n'); err == nil {
		t.Errorf("%s got more: %q", id, more)
	}
	return line == id
}
