package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurtrestle/internal/resp"
)

// harness starts the program and talks to it over sockets, as clients, cache servers, origin, discovery and operators. It runs
// the scripts of testdata: a line names an actor and its action, and the indented lines below are what the actor received.
// Clients are a, b and c; servers are s1, s2, origin and discovery.
type harness struct {
	t                *testing.T
	transcript       strings.Builder
	sockets          int
	idleCloseSeconds float64
	ownRouters       bool     // each client process has its own router: hedged requests are allowed
	replacements     []string // in the settings: pairs of old and new text
	binary           string   // path of the program; "" means the test binary
	startProgram     func(*exec.Cmd) error
	noAdmin          bool // without an admin endpoint
	listen           string
	admin            string
	tempDir          string // TMPDIR of the processes
	configFile       string // path of the configuration
	config           string
	program          *exec.Cmd
	log              syncBuffer
	exited           chan error
	endpointsMu      sync.Mutex
	endpoints        map[string]*endpoint // by name; see endpoint, setEndpoint and startedEndpoint
	lastDeadline     string
	recordsPings     bool // a cache server's PING is a message like others; otherwise it is answered at once
}

// lastAddress counts the listen addresses that tests have used.
var lastAddress atomic.Int32

// Networks of the listen addresses, which differ between processes with tests.
const (
	processes           = 60
	networksPerProcess  = 4
	addressesPerNetwork = 250
)

// waitTimeout bounds the wait for one event.
const waitTimeout = 3 * time.Second

// syncBuffer is a buffer that a process writes to while a test reads it.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// endpoint is a client's connection, or a server with all of its connections. Received messages are queued as text.
type endpoint struct {
	ln       net.Listener
	received chan message
	mu       sync.Mutex
	conns    []net.Conn
	current  net.Conn // the connection of the message that the script received last
}

// message is a received message and its connection.
type message struct {
	conn net.Conn
	text string
}

func (e *endpoint) accept(read func(*endpoint, net.Conn)) {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.mu.Unlock()
		go read(e, c)
	}
}

func (e *endpoint) record(c net.Conn, line string) {
	if e.ln != nil {
		e.mu.Lock()
		line = fmt.Sprint("on ", slices.Index(e.conns, c)+1, ": ", line)
		e.mu.Unlock()
	}
	e.received <- message{c, line}
}

// readCommands reads what a cache server receives, readReplies what a client receives, and readRequests what the origin and
// discovery receive.
func (h *harness) readCommands(e *endpoint, c net.Conn) {
	readMessages(e, c, func(buf []byte) (string, int, error) {
		words, used, err := resp.ReadCommand(buf, nil, resp.Bounds{Bulk: 1 << 20, Line: 1 << 10, Args: 16})
		if len(words) == 1 && string(words[0]) == "PING" && !h.recordsPings {
			_, _ = io.WriteString(c, "+PONG\r\n") // the router pings only behind an answer
			return "", used, err
		}
		return abbreviate(string(bytes.Join(words, []byte(" ")))), used, err
	})
}

func readReplies(e *endpoint, c net.Conn) {
	readMessages(e, c, func(buf []byte) (string, int, error) {
		r, used, err := resp.ReadReply(buf, resp.Bounds{Bulk: 1 << 20, Line: 1 << 10, Args: 16})
		return string(r.Kind) + abbreviate(string(r.Text)), used, err
	})
}

func readMessages(e *endpoint, c net.Conn, next func([]byte) (string, int, error)) {
	var have []byte
	buf := make([]byte, 1<<16)
	for {
		n, err := c.Read(buf)
		have = append(have, buf[:n]...)
		for len(have) > 0 {
			text, used, parseErr := next(have)
			if parseErr != nil || used == 0 {
				break
			}
			if text != "" {
				e.record(c, text)
			}
			have = have[used:]
		}
		if err != nil {
			e.record(c, "the end")
			return
		}
	}
}

func readRequests(e *endpoint, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			e.record(c, "the end")
			return
		}
		body, _ := io.ReadAll(request.Body)
		line := request.Method + " " + request.RequestURI
		if id := request.Header.Get("X-Trace-Id"); id != "" {
			line += " " + id + " " + request.Header.Get("X-Props")
		}
		if len(body) > 0 {
			line += " " + abbreviate(string(body))
		}
		e.record(c, line)
	}
}

// abbreviate quotes a text and cuts a long one.
func abbreviate(text string) string {
	if len(text) > 200 {
		return fmt.Sprintf("%s... (%d bytes)", text[:60], len(text))
	}
	return strings.Trim(strconv.Quote(text), `"`)
}

func (e *endpoint) closeAll(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if reset {
			resetConn(c)
			continue
		}
		c.Close()
	}
}

// resetConn resets a connection over TCP.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, sockets: 256, idleCloseSeconds: 60, endpoints: map[string]*endpoint{}, exited: make(chan error, 1),
		startProgram: (*exec.Cmd).Start}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(h.log.text())
		}
		if h.program != nil {
			_ = h.program.Process.Kill()
		}
		h.endpointsMu.Lock()
		defer h.endpointsMu.Unlock()
		for _, s := range h.endpoints {
			if s.ln != nil {
				s.ln.Close()
			}
			s.closeAll(false)
		}
	})
	return h
}

const settingsFormat = `{"balancers":1,"discovery":"pushed","domain":{"mode":"aside","origin-kind":1},` +
	`"flavors":["std","origin"],"load-report":{"fields":["avg_ms","x0"],"how":"piggyback"},"policy-limits":` +
	`{"cancel":true,"retry-after":true,"max-retry-after-s":1,"send-cap":3,"connect-timeout-s":0.2,"idle-close-s":%g},` +
	`"rules":{"cold-s":8,"cold-share":0.3,"fall-s":3,"tip-multiple":3,"stop-sending-within-s":1},` +
	`"resolution-s":0.005,"request-classes":[{"name":"get","effect":"free","slo-s":1.5,"deadline-s":3,"worth":1},` +
	`{"name":"pay","effect":"single_shot","slo-s":1.5,"deadline-s":3,"worth":1}]}`

// listBody returns a list in discovery's format. A word is NAME[=ADDRESS_OF][@ZONE][:STATE], for example "s2:leaving".
func (h *harness) listBody(all bool, rev int, words []string) string {
	targets := []map[string]any{}
	for _, w := range words {
		name, state, _ := strings.Cut(w, ":")
		name, zone, _ := strings.Cut(name, "@")
		name, at, moved := strings.Cut(name, "=") // a server under this name at another one's address
		if !moved {
			at = name
		}
		kind := "std"
		if name == "origin" {
			kind = "origin"
		}
		if state == "" {
			state = "active"
		}
		targets = append(targets, map[string]any{"uid": name, "endpoint": h.endpoint(at).ln.Addr().String(), "az": cmp.Or(zone, "a"),
			"model": kind, "state": state, "capacity_hint": 1, "boot_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets})
	return string(text)
}

// setEndpoint makes an endpoint the one of this name.
func (h *harness) setEndpoint(name string, e *endpoint) {
	h.endpointsMu.Lock()
	defer h.endpointsMu.Unlock()
	h.endpoints[name] = e
}

// startedEndpoint returns the endpoint of this name, or nil if there is none.
func (h *harness) startedEndpoint(name string) *endpoint {
	h.endpointsMu.Lock()
	defer h.endpointsMu.Unlock()
	return h.endpoints[name]
}

// endpoint returns the endpoint of this name, which it starts if there is none. Several goroutines may call it.
func (h *harness) endpoint(name string) *endpoint {
	h.endpointsMu.Lock()
	defer h.endpointsMu.Unlock()
	if h.endpoints[name] == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			h.t.Fatal(err)
		}
		s := &endpoint{ln: ln, received: make(chan message, 1024)}
		h.endpoints[name] = s
		read := h.readCommands
		if name == "origin" || strings.HasPrefix(name, "discovery") {
			read = readRequests
		}
		go s.accept(read)
	}
	return h.endpoints[name]
}

// start starts the program with a configuration whose known list holds these servers.
func (h *harness) start(known []string) {
	// Uses an address of its own: a free port of 127.0.0.1 may be taken by a connection before the program binds it.
	n := lastAddress.Add(1)
	network := int32(os.Getpid())%processes*networksPerProcess + n/addressesPerNetwork
	h.listen = fmt.Sprintf("127.77.%d.%d:6379", network, 1+n%addressesPerNetwork)
	h.admin = strings.Replace(h.listen, ":6379", ":6380", 1)
	if h.tempDir == "" {
		h.tempDir = h.t.TempDir()
	}
	h.configFile = filepath.Join(h.t.TempDir(), "config.json")
	h.config = fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,`+
		`"memory_mb":192,"sockets":%d},"known":%s,"settings":`+settingsFormat+`}`, h.listen,
		h.endpoint("discovery").ln.Addr(), h.sockets, h.listBody(true, 1, known), h.idleCloseSeconds)
	if h.ownRouters {
		h.config = strings.NewReplacer(`"balancers":1`, `"balancers":400,"weights":"nominal"`,
			`"cancel":true`, `"cancel":true,"parallel-tries":true`).Replace(h.config)
	}
	h.config = strings.NewReplacer(h.replacements...).Replace(h.config)
	h.configure(h.config)
	h.startProcess()
}

// startNextProcess starts a process that replaces the running one. It has another admin endpoint.
func (h *harness) startNextProcess() {
	h.admin = strings.Replace(h.listen, ":6379", ":6400", 1)
	h.startProcess()
}

// startProcess starts another process with the current configuration and waits until it serves. A running process is not
// stopped.
func (h *harness) startProcess() {
	if h.binary == "" {
		h.binary = os.Args[0]
	}
	h.program = exec.Command(h.binary)
	h.program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+h.configFile, "TMPDIR="+h.tempDir,
		"EDGE_DISCOVERY="+h.endpoint("discovery").ln.Addr().String())
	if !h.noAdmin {
		h.program.Env = append(h.program.Env, "EDGE_ADMIN="+h.admin)
	}
	h.program.Stderr = &h.log
	program, before := h.program, strings.Count(h.log.text(), "msg=serving") // by earlier processes
	if err := h.startProgram(program); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = program.Process.Kill() })
	go func() { h.exited <- program.Wait() }()
	for range 300 {
		if strings.Count(h.log.text(), "msg=serving") > before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatal("the program did not start:\n", h.log.text())
}

func (h *harness) configure(text string) {
	if err := os.WriteFile(h.configFile, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

var deadlinePattern = regexp.MustCompile(`\bd=([0-9]+)`)

// receive waits for the next message to s. Deadlines shorter than the last one sent are shown as "d<" that one, since the
// remaining time varies.
func (h *harness) receive(s *endpoint) string {
	select {
	case m := <-s.received:
		s.current = m.conn
		return deadlinePattern.ReplaceAllStringFunc(m.text, func(d string) string {
			if sent, _ := strconv.Atoi(h.lastDeadline); d != "d="+h.lastDeadline {
				if remaining, _ := strconv.Atoi(d[2:]); remaining > 0 && remaining < sent {
					return "d<" + h.lastDeadline
				}
			}
			return d
		})
	case <-time.After(waitTimeout):
		return "nothing"
	}
}

// execute performs one line of a script and returns what the actor received.
func (h *harness) execute(actor, action string, arguments string) (received []string) {
	words := strings.Fields(arguments)
	quoted := func() []byte {
		text, err := strconv.Unquote(arguments)
		if err != nil {
			h.t.Fatalf("%s is not a quoted string", arguments)
		}
		return []byte(strings.ReplaceAll(text, "LONG", strings.Repeat("0123456789abcdef", 4096)))
	}
	number := func(otherwise int) int {
		if len(words) == 0 {
			return otherwise
		}
		n, err := strconv.Atoi(words[0])
		if err != nil {
			h.t.Fatal(err)
		}
		return n
	}
	switch actor + " " + action {
	case "sockets are":
		h.sockets = number(0)
		return nil
	case "clients have":
		h.ownRouters = true // the arguments are "routers of their own"
		return nil
	case "idle after":
		h.idleCloseSeconds, _ = strconv.ParseFloat(arguments, 64)
		return nil
	case "settings have": // NEW for OLD
		old, with, _ := strings.Cut(arguments, " for ")
		h.replacements = append(h.replacements, with, old)
		return nil
	case "router starts":
		h.start(words)
		return nil
	case "router ends":
		select {
		case err := <-h.exited:
			return []string{fmt.Sprint("exit: ", err), h.counters()}
		case <-time.After(waitTimeout):
			return []string{"still running"}
		}
	case "router counts":
		before := strings.Count(h.log.text(), "taken=")
		_ = h.program.Process.Signal(syscall.SIGUSR1)
		for range 300 {
			if strings.Count(h.log.text(), "taken=") > before {
				return []string{h.counters()}
			}
			time.Sleep(10 * time.Millisecond)
		}
		return []string{"no counts"}
	case "router term":
		_ = h.program.Process.Signal(syscall.SIGTERM)
		return nil
	case "router rereads": // its configuration, which is changed or invalid now
		text := strings.ReplaceAll(h.config, h.endpoint("discovery").ln.Addr().String(), arguments)
		if arguments == "as-another" { // the configuration of another service
			text = strings.Replace(h.config, `"name":"get"`, `"name":"tile"`, 1)
		} else if arguments != "badly" {
			text = strings.ReplaceAll(h.config, h.endpoint("discovery").ln.Addr().String(), h.endpoint(arguments).ln.Addr().String())
		}
		h.configure(text)
		before := strings.Count(h.log.text(), "configuration")
		_ = h.program.Process.Signal(syscall.SIGHUP)
		for range 300 {
			if log := h.log.text(); strings.Count(log, "configuration") > before {
				return []string{strings.ReplaceAll(logMessagePattern.FindString(log[strings.LastIndex(log, "level="):]), h.configFile, "FILE")}
			}
			time.Sleep(10 * time.Millisecond)
		}
		return []string{"nothing is logged"}
	case "operator puts", "operator gets":
		body := ""
		if len(words) > 1 {
			body = strings.ReplaceAll(words[1], "LONG", strings.Repeat("x", 4096))
		}
		return []string{h.adminCall(strings.ToUpper(strings.TrimSuffix(action, "s")), words[0], body)}
	case "operator reads-now", "operator reads": // the metrics with this prefix
		if action == "reads" {
			time.Sleep(200 * time.Millisecond) // metrics are published with a delay
		}
		for line := range strings.Lines(h.adminCall("GET", "/ops/stats", "")) {
			if line = strings.TrimSpace(strings.TrimPrefix(line, "200 ")); strings.HasPrefix(line, "router."+arguments) {
				received = append(received, line)
			}
		}
		return received
	case "idlers come": // idle connections to the admin endpoint: half of them send nothing, half of them half a call
		for i := range number(0) {
			if c, err := net.Dial("tcp", h.admin); err == nil {
				h.t.Cleanup(func() { c.Close() })
				_, _ = io.WriteString(c, "PUT /ops/drain/start HTT"[:i%2*24])
			}
		}
		return nil
	case "clients come":
		for range number(0) {
			if c, err := net.Dial("tcp", h.listen); err == nil {
				h.t.Cleanup(func() { c.Close() })
			}
		}
		return nil
	case "clients flood":
		return []string{h.flood()}
	case "time passes":
		d, err := time.ParseDuration(arguments)
		if err != nil {
			h.t.Fatal(err)
		}
		time.Sleep(d)
		return nil
	}
	s := h.startedEndpoint(actor)
	if s == nil && action != "opens" || s != nil && s.current == nil && (action == "writes" || action == "lists" || action == "changes") {
		return []string{"nothing has come to answer"}
	}
	switch action {
	case "opens":
		c, err := net.Dial("tcp", h.listen)
		if err != nil {
			return []string{"refused"}
		}
		s = &endpoint{received: make(chan message, 1024), conns: []net.Conn{c}, current: c}
		h.setEndpoint(actor, s)
		go readReplies(s, c)
	case "sends":
		if m := deadlinePattern.FindStringSubmatch(arguments); m != nil {
			h.lastDeadline = m[1]
		}
		var args [][]byte
		for _, w := range words {
			args = append(args, []byte(strings.ReplaceAll(w, "LONG", strings.Repeat("0123456789abcdef", 4096))))
		}
		_, _ = s.current.Write(resp.AppendCommand(nil, args...))
	case "writes", "writes-on-1":
		if action == "writes-on-1" {
			s.mu.Lock()
			s.current = s.conns[0]
			s.mu.Unlock()
		}
		if m := deadlinePattern.FindStringSubmatch(arguments); m != nil {
			h.lastDeadline = m[1]
		}
		_, _ = s.current.Write(quoted())
	case "gets":
		for range number(1) {
			received = append(received, h.receive(s))
		}
	case "gets-in-any-order": // each on its own connection; the next answer is sent on the newest one
		for range number(1) {
			received = append(received, h.receive(s))
		}
		slices.Sort(received)
		s.mu.Lock()
		s.current = s.conns[len(s.conns)-1]
		s.mu.Unlock()
	case "gets-nothing":
		select {
		case m := <-s.received:
			received = append(received, m.text)
		case <-time.After(300 * time.Millisecond):
		}
	case "lists", "changes":
		body := h.listBody(action == "lists", number(0), words[1:])
		fmt.Fprintf(s.current, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "lists-without-length", "lists-and-resets":
		fmt.Fprintf(s.current, "HTTP/1.1 200 OK\r\n\r\n%s", h.listBody(true, number(0), words[1:]))
		if action == "lists-and-resets" {
			resetConn(s.current)
		}
	case "half-closes": // and goes on reading
		_ = s.current.(*net.TCPConn).CloseWrite()
	case "closes", "resets", "stops":
		if action == "stops" {
			s.ln.Close()
			for { // a pending Accept keeps the socket open for a moment
				c, err := net.Dial("tcp", s.ln.Addr().String())
				if err != nil {
					break
				}
				c.Close()
			}
		}
		s.closeAll(action == "resets")
	default:
		h.t.Fatalf("script: actor %q has no action %q", actor, action)
	}
	return received
}

// adminCall calls the admin endpoint, which has a second to answer.
func (h *harness) adminCall(method, path, body string) string {
	request, err := http.NewRequest(method, "http://"+h.admin+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", strings.TrimSpace(string(text)))
}

var logMessagePattern = regexp.MustCompile(`msg="[^"]*" *(error="[^\\]*)?`)

// flood sends commands to which no server responds until the router takes no more, and returns what became of them.
func (h *harness) flood() string {
	const kernelBytes = 64 << 20 // more than the buffers of both ends of a connection hold
	const commandsPerWrite = 100
	c, err := net.Dial("tcp", h.listen)
	if err != nil {
		return "refused"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	sent := 0
	for i := 0; err == nil; i++ {
		var commands []byte
		for k := range commandsPerWrite {
			commands = resp.AppendCommand(commands, []byte("CACHE.GET"), []byte("k"), []byte(fmt.Sprint("f", i, k)), []byte("c=get,d=60000"))
		}
		var n int
		n, err = c.Write(commands)
		sent += n
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return "cut off"
	}
	if h.t.Logf("flood: %d bytes were accepted", sent); sent > kernelBytes {
		return "goes on"
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err = io.ReadFull(c, make([]byte, 1)); err != nil {
		return "held back, and never answered"
	}
	return "held back, and answered"
}

var countersPattern = regexp.MustCompile(`taken=.* left=\d+`)

// counters returns the newest line of counters in the log.
func (h *harness) counters() string {
	found := countersPattern.FindAllString(h.log.text(), -1)
	if len(found) == 0 {
		return "no counts"
	}
	return found[len(found)-1]
}

// runScript runs a script and returns it with what the actors received.
func (h *harness) runScript(script string) string {
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		h.transcript.WriteString(line)
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		who, rest, _ := strings.Cut(line, " ")
		what, rest, _ := strings.Cut(rest, " ")
		for _, saw := range h.execute(who, what, rest) {
			fmt.Fprintf(&h.transcript, "  %s\n", saw)
		}
	}
	return h.transcript.String()
}
