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

// The player starts the program and speaks to it over sockets, as a script says. A line is somebody and what he does;
// below it, indented, stands what he saw. Clients are a, b, c; servers are s1, s2 and origin; discovery is one too.
type player struct {
	t       *testing.T
	out     strings.Builder
	sockets int
	idle    float64
	own     bool     // each client process has a router of its own
	swaps   []string // of the settings: what, by what
	binary  string   // the program; "": the test binary
	noDoor  bool     // for operators
	listen  string
	admin   string
	tmp     string // TMPDIR of the programs
	file    string // the configuration
	config  string
	program *exec.Cmd
	log     lockedBuffer
	ended   chan error
	peers   map[string]*side
	lastD   string
}

var started atomic.Int32

const patience = 3 * time.Second

type lockedBuffer struct {
	mu  sync.Mutex
	has bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has.String()
}

// side is a client's connection, or a server with all of its own. What comes is queued as lines.
type side struct {
	ln   net.Listener
	came chan message
	mu   sync.Mutex
	all  []net.Conn
	last net.Conn // the one of the message that the script saw last
}

type message struct {
	on   net.Conn
	text string
}

func (s *side) accept(read func(*side, net.Conn)) {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.all = append(s.all, c)
		s.mu.Unlock()
		go read(s, c)
	}
}

func (s *side) got(c net.Conn, line string) {
	if s.ln != nil {
		s.mu.Lock()
		line = fmt.Sprint("on ", slices.Index(s.all, c)+1, ": ", line)
		s.mu.Unlock()
	}
	s.came <- message{c, line}
}

// readCommands is a cache server's side, readReplies a client's, readRequests that of the origin and discovery.
func readCommands(s *side, c net.Conn) {
	readMessages(s, c, func(buf []byte) (string, int, error) {
		words, used, err := resp.ReadCommand(buf, nil, resp.Bounds{Bulk: 1 << 20, Line: 1 << 10, Args: 16})
		return short(string(bytes.Join(words, []byte(" ")))), used, err
	})
}

func readReplies(s *side, c net.Conn) {
	readMessages(s, c, func(buf []byte) (string, int, error) {
		r, used, err := resp.ReadReply(buf, resp.Bounds{Bulk: 1 << 20, Line: 1 << 10, Args: 16})
		return string(r.Kind) + short(string(r.Text)), used, err
	})
}

func readMessages(s *side, c net.Conn, next func([]byte) (string, int, error)) {
	var have []byte
	buf := make([]byte, 1<<16)
	for {
		n, err := c.Read(buf)
		have = append(have, buf[:n]...)
		for len(have) > 0 {
			text, used, broken := next(have)
			if broken != nil || used == 0 {
				break
			}
			s.got(c, text)
			have = have[used:]
		}
		if err != nil {
			s.got(c, "the end")
			return
		}
	}
}

func readRequests(s *side, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			s.got(c, "the end")
			return
		}
		body, _ := io.ReadAll(q.Body)
		line := q.Method + " " + q.RequestURI
		if id := q.Header.Get("X-Trace-Id"); id != "" {
			line += " " + id + " " + q.Header.Get("X-Props")
		}
		if len(body) > 0 {
			line += " " + short(string(body))
		}
		s.got(c, line)
	}
}

// short keeps long values readable.
func short(text string) string {
	if len(text) > 200 {
		return fmt.Sprintf("%s... (%d bytes)", text[:60], len(text))
	}
	return strings.Trim(strconv.Quote(text), `"`)
}

func (s *side) closeAll(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.all {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func newPlayer(t *testing.T) *player {
	p := &player{t: t, sockets: 256, idle: 60, peers: map[string]*side{}, ended: make(chan error, 1)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(p.log.text())
		}
		if p.program != nil {
			_ = p.program.Process.Kill()
		}
		for _, s := range p.peers {
			if s.ln != nil {
				s.ln.Close()
			}
			s.closeAll(false)
		}
	})
	return p
}

const settings = `{"balancers":1,"discovery":"pushed","domain":{"mode":"aside","origin-kind":1},` +
	`"flavors":["std","origin"],"load-report":{"fields":["avg_ms","x0"],"how":"piggyback"},"policy-limits":` +
	`{"cancel":true,"retry-after":true,"max-retry-after-s":1,"send-cap":3,"connect-timeout-s":0.2,"idle-close-s":%g},` +
	`"rules":{"cold-s":8,"cold-share":0.3,"fall-s":3,"tip-multiple":3,"stop-sending-within-s":1},` +
	`"resolution-s":0.005,"request-classes":[{"name":"get","effect":"free","slo-s":1.5,"deadline-s":3,"worth":1},` +
	`{"name":"pay","effect":"single_shot","slo-s":1.5,"deadline-s":3,"worth":1}]}`

// list is discovery's form of "s1 s2:leaving".
func (p *player) list(all bool, rev int, words []string) string {
	targets := []map[string]any{}
	for _, w := range words {
		name, state, _ := strings.Cut(w, ":")
		name, zone, _ := strings.Cut(name, "@")
		name, at, moved := strings.Cut(name, "=") // one's name at another's address
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
		targets = append(targets, map[string]any{"uid": name, "endpoint": p.server(at).ln.Addr().String(), "az": cmp.Or(zone, "a"),
			"model": kind, "state": state, "capacity_hint": 1, "boot_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets})
	return string(text)
}

func (p *player) server(name string) *side {
	if p.peers[name] == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.t.Fatal(err)
		}
		s := &side{ln: ln, came: make(chan message, 1024)}
		p.peers[name] = s
		read := readCommands
		if name == "origin" || strings.HasPrefix(name, "discovery") {
			read = readRequests
		}
		go s.accept(read)
	}
	return p.peers[name]
}

// start runs the program; its known list holds the servers that are named.
func (p *player) start(known []string) {
	// An address of its own: a free port of 127.0.0.1 may be taken by a connection before the program has it.
	p.listen = fmt.Sprintf("127.77.%d.%d:6379", os.Getpid()%250, started.Add(1))
	p.admin = strings.Replace(p.listen, ":6379", ":6380", 1)
	if p.tmp == "" {
		p.tmp = p.t.TempDir()
	}
	p.file = filepath.Join(p.t.TempDir(), "config.json")
	p.config = fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,`+
		`"memory_mb":192,"sockets":%d},"known":%s,"settings":`+settings+`}`, p.listen,
		p.server("discovery").ln.Addr(), p.sockets, p.list(true, 1, known), p.idle)
	if p.own {
		p.config = strings.NewReplacer(`"balancers":1`, `"balancers":400,"weights":"nominal"`,
			`"cancel":true`, `"cancel":true,"parallel-tries":true`).Replace(p.config)
	}
	p.config = strings.NewReplacer(p.swaps...).Replace(p.config)
	p.configure(p.config)
	p.run()
}

// run starts the program with what is set; one that runs already is not ended.
func (p *player) run() {
	if p.binary == "" {
		p.binary = os.Args[0]
	}
	p.program = exec.Command(p.binary)
	p.program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+p.file, "TMPDIR="+p.tmp,
		"EDGE_DISCOVERY="+p.server("discovery").ln.Addr().String())
	if !p.noDoor {
		p.program.Env = append(p.program.Env, "EDGE_ADMIN="+p.admin)
	}
	p.program.Stderr = &p.log
	program, before := p.program, strings.Count(p.log.text(), "msg=serving") // by programs before this one
	if err := program.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = program.Process.Kill() })
	go func() { p.ended <- program.Wait() }()
	for range 300 {
		if strings.Count(p.log.text(), "msg=serving") > before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatal("the program does not start:\n", p.log.text())
}

func (p *player) configure(text string) {
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

var dOf = regexp.MustCompile(`\bd=([0-9]+)`)

// see waits for the next thing that comes to s.
func (p *player) see(s *side) string {
	select {
	case m := <-s.came:
		s.last = m.on
		return dOf.ReplaceAllStringFunc(m.text, func(d string) string { // how much is left is not the same each time
			if had, _ := strconv.Atoi(p.lastD); d != "d="+p.lastD {
				if left, _ := strconv.Atoi(d[2:]); left > 0 && left < had {
					return "d<" + p.lastD
				}
			}
			return d
		})
	case <-time.After(patience):
		return "nothing"
	}
}

func (p *player) do(who, what string, rest string) (saw []string) {
	words := strings.Fields(rest)
	quoted := func() []byte {
		text, err := strconv.Unquote(rest)
		if err != nil {
			p.t.Fatalf("%s is not quoted", rest)
		}
		return []byte(strings.ReplaceAll(text, "LONG", strings.Repeat("0123456789abcdef", 4096)))
	}
	number := func(otherwise int) int {
		if len(words) == 0 {
			return otherwise
		}
		n, err := strconv.Atoi(words[0])
		if err != nil {
			p.t.Fatal(err)
		}
		return n
	}
	switch who + " " + what {
	case "sockets are":
		p.sockets = number(0)
		return nil
	case "clients have":
		p.own = true // "routers of their own"
		return nil
	case "idle after":
		p.idle, _ = strconv.ParseFloat(rest, 64)
		return nil
	case "settings have": // one text in place of another
		old, with, _ := strings.Cut(rest, " for ")
		p.swaps = append(p.swaps, with, old)
		return nil
	case "router starts":
		p.start(words)
		return nil
	case "router ends":
		select {
		case err := <-p.ended:
			return []string{fmt.Sprint("exit: ", err), p.counted()}
		case <-time.After(patience):
			return []string{"still running"}
		}
	case "router counts":
		before := strings.Count(p.log.text(), "taken=")
		_ = p.program.Process.Signal(syscall.SIGUSR1)
		for range 300 {
			if strings.Count(p.log.text(), "taken=") > before {
				return []string{p.counted()}
			}
			time.Sleep(10 * time.Millisecond)
		}
		return []string{"no counts"}
	case "router term":
		_ = p.program.Process.Signal(syscall.SIGTERM)
		return nil
	case "router rereads": // its file, which names another discovery now, or is bad
		text := strings.ReplaceAll(p.config, p.server("discovery").ln.Addr().String(), rest)
		if rest == "as-another" { // service's
			text = strings.Replace(p.config, `"name":"get"`, `"name":"tile"`, 1)
		} else if rest != "badly" {
			text = strings.ReplaceAll(p.config, p.server("discovery").ln.Addr().String(), p.server(rest).ln.Addr().String())
		}
		p.configure(text)
		before := strings.Count(p.log.text(), "configuration")
		_ = p.program.Process.Signal(syscall.SIGHUP)
		for range 300 {
			if log := p.log.text(); strings.Count(log, "configuration") > before {
				return []string{strings.ReplaceAll(saidOf.FindString(log[strings.LastIndex(log, "level="):]), p.file, "FILE")}
			}
			time.Sleep(10 * time.Millisecond)
		}
		return []string{"nothing is logged"}
	case "operator puts", "operator gets":
		body := ""
		if len(words) > 1 {
			body = strings.ReplaceAll(words[1], "LONG", strings.Repeat("x", 4096))
		}
		return []string{p.call(strings.ToUpper(strings.TrimSuffix(what, "s")), words[0], body)}
	case "operator reads-now", "operator reads": // the figures whose names begin so
		if what == "reads" {
			time.Sleep(200 * time.Millisecond) // they may be a little old
		}
		for line := range strings.Lines(p.call("GET", "/ops/stats", "")) {
			if line = strings.TrimSpace(strings.TrimPrefix(line, "200 ")); strings.HasPrefix(line, "router."+rest) {
				saw = append(saw, line)
			}
		}
		return saw
	case "idlers come": // to the admin endpoint: half say nothing, half say half a call
		for i := range number(0) {
			if c, err := net.Dial("tcp", p.admin); err == nil {
				p.t.Cleanup(func() { c.Close() })
				_, _ = io.WriteString(c, "PUT /ops/drain/start HTT"[:i%2*24])
			}
		}
		return nil
	case "clients come":
		for range number(0) {
			if c, err := net.Dial("tcp", p.listen); err == nil {
				p.t.Cleanup(func() { c.Close() })
			}
		}
		return nil
	case "clients flood": // commands without end, until the router cuts the connection
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return []string{"refused"}
		}
		defer c.Close()
		_ = c.SetWriteDeadline(time.Now().Add(patience))
		for i := 0; ; i++ {
			_, err := c.Write(resp.AppendCommand(nil, []byte("CACHE.GET"), []byte("k"), []byte(fmt.Sprint("f", i)),
				[]byte("c=get,d=60000")))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return []string{"goes on"}
			}
			if err != nil {
				return []string{"cut off"}
			}
		}
	case "time passes":
		d, err := time.ParseDuration(rest)
		if err != nil {
			p.t.Fatal(err)
		}
		time.Sleep(d)
		return nil
	}
	s := p.peers[who]
	if s == nil && what != "opens" || s != nil && s.last == nil && (what == "writes" || what == "lists" || what == "changes") {
		return []string{"nothing has come to answer"}
	}
	switch what {
	case "opens":
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return []string{"refused"}
		}
		s = &side{came: make(chan message, 1024), all: []net.Conn{c}, last: c}
		p.peers[who] = s
		go readReplies(s, c)
	case "sends":
		if m := dOf.FindStringSubmatch(rest); m != nil {
			p.lastD = m[1]
		}
		var args [][]byte
		for _, w := range words {
			args = append(args, []byte(strings.ReplaceAll(w, "LONG", strings.Repeat("0123456789abcdef", 4096))))
		}
		_, _ = s.last.Write(resp.AppendCommand(nil, args...))
	case "writes", "writes-on-1":
		if what == "writes-on-1" {
			s.mu.Lock()
			s.last = s.all[0]
			s.mu.Unlock()
		}
		if m := dOf.FindStringSubmatch(rest); m != nil {
			p.lastD = m[1]
		}
		_, _ = s.last.Write(quoted())
	case "gets":
		for range number(1) {
			saw = append(saw, p.see(s))
		}
	case "gets-in-any-order": // on connections of its own each; the next answer goes out on the newest
		for range number(1) {
			saw = append(saw, p.see(s))
		}
		slices.Sort(saw)
		s.mu.Lock()
		s.last = s.all[len(s.all)-1]
		s.mu.Unlock()
	case "gets-nothing":
		select {
		case m := <-s.came:
			saw = append(saw, m.text)
		case <-time.After(300 * time.Millisecond):
		}
	case "lists", "changes":
		body := p.list(what == "lists", number(0), words[1:])
		fmt.Fprintf(s.last, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "lists-without-length", "lists-and-resets":
		fmt.Fprintf(s.last, "HTTP/1.1 200 OK\r\n\r\n%s", p.list(true, number(0), words[1:]))
		if what == "lists-and-resets" {
			s.closeAll(true)
		}
	case "half-closes": // and reads on
		_ = s.last.(*net.TCPConn).CloseWrite()
	case "closes", "resets", "stops":
		if what == "stops" {
			s.ln.Close()
			for { // a pending Accept holds the socket open for a moment more
				c, err := net.Dial("tcp", s.ln.Addr().String())
				if err != nil {
					break
				}
				c.Close()
			}
		}
		s.closeAll(what == "resets")
	default:
		p.t.Fatalf("%q does not know how it %s", who, what)
	}
	return saw
}

// call is one call at the admin endpoint, which has a second for it.
func (p *player) call(method, path, body string) string {
	q, err := http.NewRequest(method, "http://"+p.admin+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return "no answer"
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return fmt.Sprint(a.StatusCode, " ", strings.TrimSpace(string(text)))
}

var saidOf = regexp.MustCompile(`msg="[^"]*" *(error="[^\\]*)?`)

var countsOf = regexp.MustCompile(`taken=.* left=\d+`)

func (p *player) counted() string {
	found := countsOf.FindAllString(p.log.text(), -1)
	if len(found) == 0 {
		return "no counts"
	}
	return found[len(found)-1]
}

func (p *player) play(script string) string {
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		p.out.WriteString(line)
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		who, rest, _ := strings.Cut(line, " ")
		what, rest, _ := strings.Cut(rest, " ")
		for _, saw := range p.do(who, what, rest) {
			fmt.Fprintf(&p.out, "  %s\n", saw)
		}
	}
	return p.out.String()
}
