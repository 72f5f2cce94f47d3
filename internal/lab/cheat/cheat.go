// Package cheat contains faulty routers that violate one rule each, and a correct one. Its tests run them in the lab to
// verify the referee and the simulated servers and clients: each violation must be detected, and the correct router must
// pass.
//
// A scripted router is not usable as a router: it opens a connection for every attempt and has no health checks, retries or
// limits.
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

// Kind says which rule a scripted router violates.
type Kind string

// The violations.
const (
	Correct             Kind = "honest"
	AnswersTwice        Kind = "twice"    // answers every request twice
	NeverAnswers        Kind = "never"    // never answers every tenth request
	AnswersLate         Kind = "late"     // answers every tenth request after its deadline
	ClosesConnection    Kind = "cutting"  // closes the connection of every tenth request after an attempt
	ForgesValue         Kind = "forges"   // answers with a value that no server sent
	AttemptsAfterAnswer Kind = "after"    // sends an attempt for a request that has been answered
	ParallelAttempts    Kind = "parallel" // sends two attempts at the same time
	RetriesNonRetryable Kind = "repeats"  // retries a non-retryable request that may have been executed
	RejectsAfterAttempt Kind = "hides"    // rejects a request that may have been executed
	RetriesAfterWindow  Kind = "window"   // retries a deduplicated request after its deduplication window
	RetriesOutsideGroup Kind = "strays"   // retries a deduplicated request outside its deduplication group
	TooManyAttempts     Kind = "greedy"   // sends more attempts than allowed
	IgnoresDrain        Kind = "drains"   // keeps sending to draining servers
	OverloadsColdServer Kind = "floods"   // sends everything to the server that started last
	SendsUnknownCommand Kind = "garbles"  // sends commands to servers that no client sent
	AnswersBadInput     Kind = "serves"   // answers malformed input with a value
	IgnoresBadInput     Kind = "ignores"  // neither answers malformed input nor closes the connection
	Crashes             Kind = "crashes"  // exits without being told to
	IgnoresSIGTERM      Kind = "lingers"  // does not exit after SIGTERM
	IgnoresBan          Kind = "bars"     // confirms an operator's ban of a server and keeps sending to it
	InventsRequests     Kind = "invents"  // sends requests to servers that no client sent

	FirstDeadlineOrigin Kind = "first-deadline-origin" // sends the origin the client's original deadline, not the remaining time
	FirstDeadlineCache  Kind = "first-deadline-cache"  // the same with cache servers
	NoDeadline          Kind = "no-deadline"           // sends the origin no deadline
)

// Starter returns a function that starts routers of a kind within this process.
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
		r := &router{kind: kind, spec: s, ln: ln, done: make(chan struct{}), cancel: cancel, conns: map[net.Conn]bool{}, banned: map[string]bool{}}
		if _, err := r.applyServerList(c.Known); err != nil {
			return nil, err
		}
		adminListener, err := net.Listen("tcp", s.Admin)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { adminListener.Close() })
		r.work.Go(func() { _ = http.Serve(adminListener, http.HandlerFunc(r.handleAdmin)) }) // returns when the listener is closed
		r.work.Go(r.accept)
		r.work.Go(func() { r.watchDiscovery(ctx) })
		if kind == Crashes {
			time.AfterFunc(1500*time.Millisecond, func() { r.finish(errors.New("exit status 2")) })
		}
		return r, nil
	}
}

// target is a server as discovery describes it.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Kind     string `json:"model"`
	State    string `json:"state"`
	Boot     int64  `json:"boot_ms"`
}

// router is a scripted router. It runs within the process of the test.
type router struct {
	kind     Kind
	spec     fleet.Spec
	ln       net.Listener
	cancel   context.CancelFunc
	work     sync.WaitGroup
	once     sync.Once
	done     chan struct{}
	err      error
	requests atomic.Int64

	mu       sync.Mutex
	servers  []target
	banned   map[string]bool
	conns    map[net.Conn]bool
	inFlight atomic.Int64
}

// Done returns a channel that is closed when the router has ended.
func (r *router) Done() <-chan struct{} { return r.done }

// Err returns how the router ended; it is valid after Done is closed.
func (r *router) Err() error { return r.err }

// Usage returns false: a router within the process of the test has no usage of its own.
func (*router) Usage() (time.Duration, int64, bool) { return 0, 0, false }

// End stops the router and returns once its address is free: a closed listener holds it until the last accept returns.
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

// Signal ends the router in order on SIGTERM, once no request is in flight. It ignores other signals.
func (r *router) Signal(s os.Signal) error {
	if s == syscall.SIGTERM && r.kind != IgnoresSIGTERM {
		go func() {
			time.Sleep(500 * time.Millisecond)
			for r.inFlight.Load() > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			r.finish(nil)
		}()
	}
	return nil
}

// applyServerList replaces the list of servers, or applies a change of single servers to it, and returns its revision.
func (r *router) applyServerList(body []byte) (rev int, err error) {
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
		r.servers = nil
	}
	for _, t := range a.Targets {
		kept := r.servers[:0:0]
		for _, x := range r.servers {
			if x.UID != t.UID {
				kept = append(kept, x)
			}
		}
		if r.servers = kept; t.State == "active" {
			r.servers = append(r.servers, t)
		}
	}
	return a.Rev, nil
}

func (r *router) watchDiscovery(ctx context.Context) {
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
		body, _ := io.ReadAll(answer.Body) // a truncated body fails to decode below
		answer.Body.Close()
		if r.kind == IgnoresDrain && path != "/registry/instances" {
			<-ctx.Done()
			return
		}
		rev, err := r.applyServerList(body)
		if err == nil {
			path = fmt.Sprintf("/registry/instances?index=%d&wait=5000", rev)
		}
	}
}

// handleAdmin confirms every command of an operator to ban or unban a server.
func (r *router) handleAdmin(_ http.ResponseWriter, q *http.Request) {
	uid, _ := io.ReadAll(q.Body) // a truncated uid matches no server
	r.mu.Lock()
	defer r.mu.Unlock()
	r.banned[string(uid)] = strings.HasSuffix(q.URL.Path, "/down")
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
		go r.serveClient(c)
	}
}

// bounds limit what a command or a reply may hold.
var bounds = resp.Bounds{Bulk: 1 << 17, Line: 1 << 12, Args: 16}

// command is one cache command of a client.
type command struct {
	verb, key, id, props string
	value                []byte
	method               string
	due                  time.Time
}

func (r *router) serveClient(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	var buffered []byte
	buf := make([]byte, 64<<10)
	for {
		words, used, err := resp.ReadCommand(buffered, nil, bounds)
		if err != nil {
			switch r.kind {
			case AnswersBadInput:
				_, _ = c.Write([]byte("$2\r\nhi\r\n"))
			case IgnoresBadInput:
				time.Sleep(5 * time.Second)
			default:
				_, _ = c.Write([]byte("-ERR protocol\r\n"))
			}
			return
		}
		if used > 0 {
			if !r.handleCommand(c, words) {
				return
			}
			buffered = append([]byte(nil), buffered[used:]...)
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // a failure shows in Read
		n, err := c.Read(buf)
		if err != nil {
			if len(buffered) > 0 && r.kind == IgnoresBadInput {
				time.Sleep(5 * time.Second)
			}
			return
		}
		buffered = append(buffered, buf[:n]...)
	}
}

// parseCommand reads a command of four words at least.
func parseCommand(verb string, words [][]byte) command {
	q := command{verb: verb, key: string(words[1]), id: string(words[2]), props: string(words[3])}
	if len(words) > 4 {
		q.value = bytes.Clone(words[4])
	}
	for part := range strings.SplitSeq(q.props, ",") {
		switch name, value, _ := strings.Cut(part, "="); name {
		case "c":
			q.method = value
		case "d":
			ms, _ := strconv.ParseFloat(value, 64) // an invalid number counts as 0
			q.due = time.Now().Add(time.Duration(ms * 1e6))
		}
	}
	return q
}

// handleCommand answers one command. It returns false if the connection must be closed.
func (r *router) handleCommand(c net.Conn, words [][]byte) bool {
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
	q := parseCommand(verb, words)
	if q.id == "" || q.due.IsZero() || q.method == "" || q.method == "x" || q.method == "nothing" || q.method == "unknown" {
		if r.kind == AnswersBadInput {
			return reply([]byte("$2\r\nhi\r\n"))
		}
		return reply([]byte("-ERR a req needs more\r\n"))
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	tenth := r.requests.Add(1)%10 == 0
	text := r.handleRequest(q)
	switch {
	case r.kind == AnswersTwice:
		text = append(text, text...)
	case r.kind == NeverAnswers && tenth:
		time.Sleep(time.Until(q.due) + time.Second)
		return false
	case r.kind == AnswersLate && tenth:
		time.Sleep(time.Until(q.due) + 200*time.Millisecond)
	case r.kind == ClosesConnection && tenth:
		return false
	case r.kind == ForgesValue:
		text = resp.AppendBulk(nil, []byte("made up"))
	}
	if !reply(text) {
		return false
	}
	if r.kind == AttemptsAfterAnswer && tenth {
		time.Sleep(150 * time.Millisecond)
		_, _ = r.sendAttempt(q, r.serverForKey(q, 0)) // only that it is sent matters
	}
	return true
}

var (
	busyLine   = []byte("-BUSY 100\r\n")
	failedLine = []byte("-ERR failed\r\n")
)

// handleRequest does what a correct router does, apart from the violation of its kind. It returns the answer.
func (r *router) handleRequest(q command) []byte {
	if r.kind == InventsRequests && r.requests.Load()%10 == 0 {
		stray := q
		stray.id = "invented" + q.id
		_, _ = r.sendAttempt(stray, r.serverForKey(q, 0)) // only that it is sent matters
	}
	if r.kind == SendsUnknownCommand {
		q.props = "c=what,d=100"
	}
	t := r.serverForKey(q, 0)
	if t.Endpoint == "" {
		return busyLine
	}
	write := q.verb == "CACHE.SET"
	if o := r.origin(); write && o.Endpoint != "" {
		return r.fetchFromOrigin(q, o)
	}
	r.sendExtraAttempts(q)
	a, err := r.sendAttempt(q, t)
	switch {
	case err == nil && a.Kind == '*' && len(a.Items) == 3 && !a.Items[0].Null:
		return resp.AppendBulk(nil, a.Items[0].Text)
	case err == nil && a.Kind == '*' && len(a.Items) == 3:
		if o := r.origin(); o.Endpoint != "" {
			return r.fetchFromOrigin(q, o)
		}
		return failedLine
	case err == nil && a.Kind == '-' && strings.HasPrefix(string(a.Text), "BUSY"), errors.Is(err, errNeverRan):
		return busyLine
	}
	return r.retry(q, write)
}

// sendExtraAttempts sends the attempts that routers of some kinds send beside the regular one.
func (r *router) sendExtraAttempts(q command) {
	if r.kind == ParallelAttempts {
		go func() { _, _ = r.sendAttempt(q, r.serverForKey(q, 1)) }() // concurrent with the regular attempt
	}
	if r.kind == TooManyAttempts {
		for i := range 4 {
			_, _ = r.sendAttempt(q, r.serverForKey(q, i)) // one after the other
		}
	}
}

// retry answers a request whose first attempt may have been executed, after another attempt where the kind of the router
// has one.
func (r *router) retry(q command, write bool) []byte {
	retryOffset := -1
	switch {
	case !write:
		retryOffset = 1
	case r.kind == RejectsAfterAttempt:
		return busyLine
	case r.kind == RetriesNonRetryable && q.method == "book":
		retryOffset = 0
	case r.kind == RetriesOutsideGroup && q.method == "order":
		retryOffset = 1 // servers are assigned to sites in rotation, so the next one is at another site
	case r.kind == RetriesAfterWindow && q.method == "order":
		time.Sleep(500 * time.Millisecond)
		retryOffset = 0
	}
	if retryOffset >= 0 {
		if a, err := r.sendAttempt(q, r.serverForKey(q, retryOffset)); err == nil && a.Kind == '*' && len(a.Items) == 3 && !a.Items[0].Null {
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
	for _, t := range r.servers {
		if t.Kind == "origin" {
			return t
		}
	}
	return target{}
}

// serverForKey returns the cache server of a key, or the one offset places after it.
func (r *router) serverForKey(q command, offset int) target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var caches []target
	var newest target
	for _, t := range r.servers {
		if t.Kind != "origin" && (r.kind == IgnoresBan || !r.banned[t.UID]) {
			if caches = append(caches, t); t.Boot > newest.Boot {
				newest = t
			}
		}
	}
	if len(caches) == 0 {
		return target{}
	}
	if r.kind == OverloadsColdServer && newest.Boot > 0 {
		return newest
	}
	return caches[(int(crc32.ChecksumIEEE([]byte(q.key))%997)+offset)%len(caches)]
}

var errNeverRan = errors.New("the attempt was not executed")

// sendAttempt sends an attempt to a cache server and waits for the reply.
func (r *router) sendAttempt(q command, t target) (resp.Reply, error) {
	c, err := net.DialTimeout("tcp", t.Endpoint, 100*time.Millisecond)
	if err != nil {
		return resp.Reply{}, errNeverRan
	}
	defer c.Close()
	_ = c.SetDeadline(q.due.Add(-answerMargin)) // an error shows below
	words := [][]byte{[]byte(q.verb), []byte(q.key), []byte(q.id), []byte(r.propsForCache(q))}
	if q.verb == "CACHE.SET" {
		words = append(words, q.value)
	}
	if _, err := c.Write(resp.AppendCommand(nil, words...)); err != nil {
		return resp.Reply{}, err
	}
	var buffered []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if buffered = append(buffered, buf[:n]...); n > 0 {
			a, used, bad := resp.ReadReply(buffered, bounds)
			if bad != nil || used > 0 {
				return a, bad
			}
		}
		if err != nil {
			return resp.Reply{}, err
		}
	}
}

// fetchFromOrigin sends an attempt to the origin and returns the answer to the client.
func (r *router) fetchFromOrigin(q command, o target) []byte {
	ctx, cancel := context.WithDeadline(context.Background(), q.due.Add(-answerMargin))
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
	// No keep-alive: on a reused connection the library would retry some requests by itself.
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
