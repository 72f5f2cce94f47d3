// Package standin has the stand-ins of the review's cases: discovery, cache servers, the origin, clients, and the start of a
// router by the command of the deploy file. All addresses are loopback addresses, all times are those of the real clock.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its folder for temporary files and the processes that it has started.
type Case struct {
	Trouble bool // whether the disruption is played: false with TROUBLE=0

	start  time.Time
	temp   string
	mu     sync.Mutex
	record *os.File
	ended  []func()
	broken bool
	ending sync.Once
}

// New begins a case that writes its record to the given file.
func New(recordFile string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c.Log("trouble is played: %v", c.Trouble)
	time.AfterFunc(110*time.Second, func() { c.Fatal("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	go func() { c.Fatal("ended by a signal: %v", <-signals) }()
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Break notes that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.Log("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// AtEnd registers a function that ends something that the case has started.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, f)
}

// Fatal ends a case that could not run.
func (c *Case) Fatal(format string, args ...any) {
	c.Log("NOT RUN: "+format, args...)
	c.exit(NotRun)
}

// Finish ends the case with the code that tells whether the rule held.
func (c *Case) Finish() {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken {
		c.Log("the rule was broken")
		c.exit(Broken)
	}
	c.Log("the rule held")
	c.exit(Held)
}

// exit ends all that the case has started, and the process. A second call waits for the first.
func (c *Case) exit(code int) {
	c.ending.Do(func() { c.end(code) })
}

func (c *Case) end(code int) {
	text, _ := os.ReadFile(c.record.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for i, line := range lines {
		if i+1 == len(lines) || strings.Contains(line, "BROKEN") {
			fmt.Println(line)
		}
	}
	c.Log("the case ends what it has started")
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	for _, f := range ended {
		f()
	}
	_ = os.RemoveAll(c.temp) // what is left is in the system's temporary folder
	_ = c.record.Close()
	os.Exit(code)
}

// TempDir returns a new folder that is removed at the end.
func (c *Case) TempDir() string {
	dir, err := os.MkdirTemp(c.temp, "")
	if err != nil {
		c.Fatal("%v", err)
	}
	return dir
}

// Listen opens a listener on a free loopback port.
func (c *Case) Listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	c.AtEnd(func() { _ = ln.Close() })
	return ln
}

// freeAddress returns a loopback address on which nobody listens.
func (c *Case) freeAddress() string {
	ln := c.Listen()
	defer ln.Close()
	return ln.Addr().String()
}

// Target is an entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// Discovery is an agent of discovery that answers at once with what it has: a list that does not change.
type Discovery struct {
	Addr string
	list json.RawMessage
}

// listVersion is the version of the list.
const listVersion = 1

// StartDiscovery starts an agent with this list.
func (c *Case) StartDiscovery(targets []Target) *Discovery {
	encode := func(all bool, targets []Target) []byte {
		text, err := json.Marshal(map[string]any{"rev": listVersion, "all": all, "targets": targets})
		if err != nil {
			c.Fatal("%v", err)
		}
		return text
	}
	whole, unchanged := encode(true, targets), encode(false, []Target{})
	ln := c.Listen()
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		query := request.URL.Query()
		if !query.Has("index") {
			_, _ = w.Write(whole) // the router may have closed the connection
			return
		}
		wait, _ := strconv.Atoi(query.Get("wait")) // 0 if it is no number
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
			_, _ = w.Write(unchanged)
		case <-request.Context().Done():
		}
	})}
	go func() { _ = server.Serve(ln) }() // ends with Close
	c.AtEnd(func() { _ = server.Close() })
	return &Discovery{Addr: ln.Addr().String(), list: whole}
}

// Router is one process of a router.
type Router struct {
	Listen string
	Exited chan struct{} // closed when it has ended

	c   *Case
	cmd *exec.Cmd
}

// Config is the configuration of a router. Settings is the object of the service.
type Config struct {
	MemoryMB, Sockets int
	Discovery         *Discovery
	Settings          map[string]any
}

// StartRouter starts a router by the command of the deploy file and waits until it answers PING with yes.
func (c *Case) StartRouter(config Config) *Router {
	r := &Router{c: c, Listen: c.freeAddress()}
	dir := c.TempDir()
	file := filepath.Join(dir, "config.json")
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": r.Listen, "discovery": config.Discovery.Addr,
		"seed": "8c1f30d27a5be964", "known": config.Discovery.list, "settings": config.Settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": config.MemoryMB, "sockets": config.Sockets}})
	if err == nil {
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		c.Fatal("%v", err)
	}
	r.start(file, c.TempDir())
	if !r.isReady() {
		c.Fatal("the router is not ready")
	}
	return r
}

const readyWithin = 10 * time.Second

// isReady waits until the router answers PING with yes, and reports whether it has.
func (r *Router) isReady() bool {
	for start := time.Now(); time.Since(start) < readyWithin; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", r.Listen)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("*1\r\n$4\r\nPING\r\n")) // Read tells if that failed
		answer := make([]byte, 64)
		n, _ := conn.Read(answer)
		_ = conn.Close()
		if string(answer[:n]) == "+PONG\r\n" {
			r.c.Log("router: ready")
			return true
		}
	}
	return false
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the process by the command of the deploy file, from the root of the repository.
func (r *Router) start(file, temp string) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	command := runLine.FindSubmatch(deploy)
	if err != nil || command == nil {
		r.c.Fatal("deploy/balancer.toml names no run: %v", err)
	}
	r.cmd = exec.Command("/bin/sh", "-c", string(command[1]))
	r.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_NAME=n1", "EDGE_LISTEN="+r.Listen, "TMPDIR="+temp)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.cmd.Stdout, r.cmd.Stderr = logWriter{r}, logWriter{r}
	if err := r.cmd.Start(); err != nil {
		r.c.Fatal("%v", err)
	}
	r.Exited = make(chan struct{})
	r.c.Log("router: started by %q", command[1])
	go func() {
		err := r.cmd.Wait()
		r.c.Log("router: ended: %v", err)
		close(r.Exited)
	}()
	r.c.AtEnd(func() {
		_ = r.cmd.Process.Kill() // it may have ended
		<-r.Exited
	})
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(s syscall.Signal) {
	r.c.Log("router: gets %v", s)
	if err := r.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.c.Fatal("%v", err)
	}
}

var anonymous = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// Memory returns the resident memory of the router's process, in bytes, without the pages of its program file; 0 if it has ended.
func (r *Router) Memory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	match := anonymous.FindSubmatch(status)
	if err != nil || match == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(match[1]))
	return kb << 10
}

type logWriter struct{ r *Router }

// Write passes on what the router logs.
func (w logWriter) Write(text []byte) (int, error) {
	for line := range strings.Lines(string(text)) {
		w.r.c.Log("router logs: %s", strings.TrimSpace(line))
	}
	return len(text), nil
}
