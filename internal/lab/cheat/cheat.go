// Package cheat holds scripted routers that break one rule each, and an honest one. They exist so that the referee and
// the stand-ins are themselves put to the test: each cheat must be caught, and the honest one must not be.
//
// A scripted router is no router to use: it dials for every attempt, and knows no health, no retries and no limits.
package cheat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/resp"
)

// Kind is what a scripted router does wrong.
type Kind string

// The cheats.
const (
	Honest   Kind = "honest"
	Twice    Kind = "twice"    // answers twice
	Never    Kind = "never"    // lets every tenth request hang
	Late     Kind = "late"     // answers every tenth after its deadline
	Cutting  Kind = "cutting"  // ends the connection of every tenth that it has sent on
	Forges   Kind = "forges"   // answers with a value of its own making
	After    Kind = "after"    // sends an attempt for a request that is answered
	Parallel Kind = "parallel" // two attempts at once
	Repeats  Kind = "repeats"  // sends a non-retryable request again though it may have run
	Hides    Kind = "hides"    // rejections a request that may have run
	Window   Kind = "window"   // repeats a deduplicated request after its window
	Strays   Kind = "strays"   // repeats a deduplicated request outside its group
	Greedy   Kind = "greedy"   // more attempts than are allowed
	Drains   Kind = "drains"   // goes on sending to servers that drain
	Floods   Kind = "floods"   // sends all to the server that started last
	Garbles  Kind = "garbles"  // sends servers what no client sent
	Serves   Kind = "serves"   // serves what cannot be read
	Ignores  Kind = "ignores"  // neither answers nor closes on what cannot be read
	Crashes  Kind = "crashes"  // ends by itself
	Lingers  Kind = "lingers"  // does not end after SIGTERM
	Bars     Kind = "bars"     // says yes to operators and goes on sending to a server that they take out
	Invents  Kind = "invents"  // sends on requests that no client asked for

	FirstDeadlineOrigin Kind = "first-deadline-origin" // sends the origin its client's first deadline, however late it is
	FirstDeadlineCache  Kind = "first-deadline-cache"  // the same with cache servers
	NoDeadline          Kind = "no-deadline"           // sends the origin none
)

// Starter starts scripted routers within this process.
func Starter(kind Kind) fleet.Starter {
	return func(s fleet.Spec) (fleet.Instance, error) {
		text, err := os.ReadFile(s.Config)
		if err != nil {
			return nil, err
		}
		var c struct {
			Known json.RawMessage `json:"known"`
		}
		if err := json.Unmarshal(text, &c); err != nil {
			return nil, err
		}
		ln, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := &router{kind: kind, spec: s, ln: ln, done: make(chan struct{}), cancel: cancel, conns: map[net.Conn]bool{}, barred: map[string]bool{}}
		if _, err := r.take(c.Known); err != nil {
			return nil, err
		}
		door, err := net.Listen("tcp", s.Admin)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { door.Close() })
		r.work.Go(func() { _ = http.Serve(door, http.HandlerFunc(r.operators)) }) // ends with the admin endpoint
		r.work.Go(r.accept)
		r.work.Go(func() { r.watch(ctx) })
		if kind == Crashes {
			time.AfterFunc(1500*time.Millisecond, func() { r.finish(errors.New("exit status 2")) })
		}
		return r, nil
	}
}

type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Kind     string `json:"model"`
	State    string `json:"state"`
	Boot     int64  `json:"boot_ms"`
}

type router struct {
	kind   Kind
	spec   fleet.Spec
	ln     net.Listener
	cancel context.CancelFunc
	work   sync.WaitGroup
	once   sync.Once
	done   chan struct{}
	err    error
	n      atomic.Int64

	mu     sync.Mutex
	list   []target
	barred map[string]bool
	conns  map[net.Conn]bool
	inHand atomic.Int64
}

func (r *router) Done() <-chan struct{}               { return r.done }
func (r *router) Err() error                          { return r.err }
func (r *router) Usage() (time.Duration, int64, bool) { return 0, 0, false }

// End returns once its listener is free: a closed one lives on until nobody accepts on it any more.
func (r *router) End() {
	r.finish(errors.New("killed"))
	r.work.Wait()
}

func (r *router) finish(err error) {
	r.once.Do(func() {
		r.err = err
		r.cancel()
		r.ln.Close()
		r.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		close(r.done)
	})
}

func (r *router) Signal(s os.Signal) error {
	if s == syscall.SIGTERM && r.kind != Lingers {
		go func() {
			time.Sleep(500 * time.Millisecond)
			for r.inHand.Load() > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			r.finish(nil)
		}()
	}
	return nil
}

// take reads a list; a change of single servers is applied to the old one.
func (r *router) take(body []byte) (rev int, err error) {
	var a struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.All {
		r.list = nil
	}
	for _, t := range a.Targets {
		kept := r.list[:0:0]
		for _, x := range r.list {
			if x.UID != t.UID {
				kept = append(kept, x)
			}
		}
		if r.list = kept; t.State == "active" {
			r.list = append(r.list, t)
		}
	}
	return a.Rev, nil
}

func (r *router) watch(ctx context.Context) {
	path := "/registry/instances"
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.spec.Discovery+path, nil)
		if err != nil {
			return
		}
		answer, err := http.DefaultClient.Do(req)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, _ := io.ReadAll(answer.Body) // what is cut off cannot be read
		answer.Body.Close()
		if r.kind == Drains && path != "/registry/instances" {
			<-ctx.Done()
			return
		}
		rev, err := r.take(body)
		if err == nil {
			path = fmt.Sprintf("/registry/instances?index=%d&wait=5000", rev)
		}
	}
}

// operators answers their calls: yes to all.
func (r *router) operators(_ http.ResponseWriter, q *http.Request) {
	uid, _ := io.ReadAll(q.Body) // what is cut off is no name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.barred[string(uid)] = strings.HasSuffix(q.URL.Path, "/down")
}

func (r *router) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.client(c)
	}
}

var bounds = resp.Bounds{Bulk: 1 << 17, Line: 1 << 12, Args: 16}

// cmd is one command of a client.
type cmd struct {
	verb, key, id, props string
	value                []byte
	method               string
	due                  time.Time
}

func (r *router) client(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	var have []byte
	buf := make([]byte, 64<<10)
	for {
		words, used, err := resp.ReadCommand(have, nil, bounds)
		if err != nil {
			switch r.kind {
			case Serves:
				_, _ = c.Write([]byte("$2\r\nhi\r\n"))
			case Ignores:
				time.Sleep(5 * time.Second)
			default:
				_, _ = c.Write([]byte("-ERR protocol\r\n"))
			}
			return
		}
		if used > 0 {
			if !r.command(c, words) {
				return
			}
			have = append([]byte(nil), have[used:]...)
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // an error shows in Read
		n, err := c.Read(buf)
		if err != nil {
			if len(have) > 0 && r.kind == Ignores {
				time.Sleep(5 * time.Second)
			}
			return
		}
		have = append(have, buf[:n]...)
	}
}

// command answers one command; false: the connection is to end.
func (r *router) command(c net.Conn, words [][]byte) bool {
	reply := func(text []byte) bool {
		_, err := c.Write(text)
		return err == nil
	}
	verb := string(bytes.ToUpper(words[0]))
	if verb == "PING" {
		return reply([]byte("+PONG\r\n"))
	}
	if !strings.HasPrefix(verb, "CACHE.") || len(words) < 4 {
		return reply([]byte("-ERR unknown command\r\n"))
	}
	q := cmd{verb: verb, key: string(words[1]), id: string(words[2]), props: string(words[3])}
	if len(words) > 4 {
		q.value = bytes.Clone(words[4])
	}
	for part := range strings.SplitSeq(q.props, ",") {
		switch name, value, _ := strings.Cut(part, "="); name {
		case "c":
			q.method = value
		case "d":
			ms, _ := strconv.ParseFloat(value, 64) // 0 is refused below
			q.due = time.Now().Add(time.Duration(ms * 1e6))
		}
	}
	if q.id == "" || q.due.IsZero() || q.method == "" || q.method == "x" || q.method == "nothing" || q.method == "unknown" {
		if r.kind == Serves {
			return reply([]byte("$2\r\nhi\r\n"))
		}
		return reply([]byte("-ERR a req needs more\r\n"))
	}
	r.inHand.Add(1)
	defer r.inHand.Add(-1)
	tenth := r.n.Add(1)%10 == 0
	text := r.serve(q)
	switch {
	case r.kind == Twice:
		text = append(text, text...)
	case r.kind == Never && tenth:
		time.Sleep(time.Until(q.due) + time.Second)
		return false
	case r.kind == Late && tenth:
		time.Sleep(time.Until(q.due) + 200*time.Millisecond)
	case r.kind == Cutting && tenth:
		return false
	case r.kind == Forges:
		text = resp.AppendBulk(nil, []byte("made up"))
	}
	if !reply(text) {
		return false
	}
	if r.kind == After && tenth {
		time.Sleep(150 * time.Millisecond)
		_, _ = r.ask(q, r.pick(q, 0)) // the answer is not needed: that it is sent is the cheat
	}
	return true
}

var (
	busyLine   = []byte("-BUSY 100\r\n")
	failedLine = []byte("-ERR failed\r\n")
)

// serve does what an honest router does, but for its cheat.
func (r *router) serve(q cmd) []byte {
	if r.kind == Invents && r.n.Load()%10 == 0 {
		stray := q
		stray.id = "invented" + q.id
		_, _ = r.ask(stray, r.pick(q, 0)) // only that it is sent counts
	}
	if r.kind == Garbles {
		q.props = "c=what,d=100"
	}
	t := r.pick(q, 0)
	if t.Endpoint == "" {
		return busyLine
	}
	write := q.verb == "CACHE.SET"
	if o := r.origin(); write && o.Endpoint != "" {
		return r.fetch(q, o)
	}
	if r.kind == Parallel {
		go func() { _, _ = r.ask(q, r.pick(q, 1)) }() // the second of the two
	}
	if r.kind == Greedy {
		for i := range 4 {
			_, _ = r.ask(q, r.pick(q, i)) // each ends before the next
		}
	}
	a, err := r.ask(q, t)
	switch {
	case err == nil && a.Kind == '*' && len(a.Items) == 3 && !a.Items[0].Null:
		return resp.AppendBulk(nil, a.Items[0].Text)
	case err == nil && a.Kind == '*' && len(a.Items) == 3:
		if o := r.origin(); o.Endpoint != "" {
			return r.fetch(q, o)
		}
		return failedLine
	case err == nil && a.Kind == '-' && strings.HasPrefix(string(a.Text), "BUSY"), errors.Is(err, errNeverRan):
		return busyLine
	}
	// It may have run.
	again := -1
	switch {
	case !write:
		again = 1
	case r.kind == Hides:
		return busyLine
	case r.kind == Repeats && q.method == "book":
		again = 0
	case r.kind == Strays && q.method == "order":
		again = 1 // servers stand at the sites in turns: the next one is elsewhere
	case r.kind == Window && q.method == "order":
		time.Sleep(500 * time.Millisecond)
		again = 0
	}
	if again >= 0 {
		if a, err := r.ask(q, r.pick(q, again)); err == nil && a.Kind == '*' && len(a.Items) == 3 && !a.Items[0].Null {
			return resp.AppendBulk(nil, a.Items[0].Text)
		}
	}
	if !write {
		return busyLine
	}
	return failedLine
}

func (r *router) origin() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.list {
		if t.Kind == "origin" {
			return t
		}
	}
	return target{}
}

// pick is the server of a key, or one so many places further.
func (r *router) pick(q cmd, further int) target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var caches []target
	var newest target
	for _, t := range r.list {
		if t.Kind != "origin" && (r.kind == Bars || !r.barred[t.UID]) {
			if caches = append(caches, t); t.Boot > newest.Boot {
				newest = t
			}
		}
	}
	if len(caches) == 0 {
		return target{}
	}
	if r.kind == Floods && newest.Boot > 0 {
		return newest
	}
	return caches[(int(crc32.ChecksumIEEE([]byte(q.key))%997)+further)%len(caches)]
}

var errNeverRan = errors.New("it never ran")

// ask sends an attempt and waits for its answer.
func (r *router) ask(q cmd, t target) (resp.Reply, error) {
	c, err := net.DialTimeout("tcp", t.Endpoint, 100*time.Millisecond)
	if err != nil {
		return resp.Reply{}, errNeverRan
	}
	defer c.Close()
	_ = c.SetDeadline(q.due.Add(-margin)) // an error shows below
	words := [][]byte{[]byte(q.verb), []byte(q.key), []byte(q.id), []byte(r.propsForCache(q))}
	if q.verb == "CACHE.SET" {
		words = append(words, q.value)
	}
	if _, err := c.Write(resp.AppendCommand(nil, words...)); err != nil {
		return resp.Reply{}, err
	}
	var have []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if have = append(have, buf[:n]...); n > 0 {
			a, used, bad := resp.ReadReply(have, bounds)
			if bad != nil || used > 0 {
				return a, bad
			}
		}
		if err != nil {
			return resp.Reply{}, err
		}
	}
}

// fetch has the origin answer.
func (r *router) fetch(q cmd, o target) []byte {
	ctx, cancel := context.WithDeadline(context.Background(), q.due.Add(-margin))
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if q.verb == "CACHE.SET" {
		method, body = http.MethodPut, bytes.NewReader(q.value)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Endpoint+"/"+url.PathEscape(q.key), body)
	if err != nil {
		return failedLine
	}
	req.Header.Set("X-Trace-Id", q.id)
	req.Header.Set("X-Props", r.propsForOrigin(q))
	// A connection of its own: the library would send some requests again by itself on one that was kept.
	t := &http.Transport{DisableKeepAlives: true}
	answer, err := t.RoundTrip(req)
	if err != nil {
		return failedLine
	}
	defer answer.Body.Close()
	value, err := io.ReadAll(answer.Body)
	switch {
	case err == nil && answer.StatusCode == http.StatusOK:
		return resp.AppendBulk(nil, value)
	case answer.Header.Get("X-Never-Ran") == "1":
		return busyLine
	}
	return failedLine
}
