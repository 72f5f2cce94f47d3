package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// runCommand is `run` of deploy/balancer.toml.
const runCommand = "exec bin/cache-router"

// Process is a router's process.
type Process struct {
	// Name stands in the record.
	Name string
	// Admin is the address for operators.
	Admin string

	run     *Run
	command *exec.Cmd
	ended   chan struct{}
}

// RouterConfig is the configuration of a router.
type RouterConfig struct {
	Listen    string // for clients
	Discovery string
	Known     []Target // the list that the router starts with
	Settings  string   // JSON
}

// WriteConfig writes a configuration and returns its path.
func (r *Run) WriteConfig(c RouterConfig) (string, error) {
	path := filepath.Join(r.Temp, "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		c.Listen, c.Discovery, listBody(1, true, c.Known), c.Settings)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// StartRouter starts a router's process with a configuration file, as the platform does.
func (r *Run) StartRouter(name, config string) (*Process, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(r.Temp, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.Temp, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", runCommand)
	command.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_CONFIG="+config, "EDGE_ADMIN="+admin, "TMPDIR="+tmp)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{Name: name, Admin: admin, run: r, command: command, ended: make(chan struct{})}
	if err := command.Start(); err != nil {
		return nil, err
	}
	r.Note(name, "started, pid %d, admin %s", command.Process.Pid, admin)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		err := command.Wait()
		r.Note(name, "ended: %v", err)
		_ = log.Close()
		p.copyLog(filepath.Join(r.Temp, name+".log"))
		close(p.ended)
	}()
	return p, nil
}

// copyLog copies the first lines of the process's log to the record.
func (p *Process) copyLog(path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	const most = 40
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[:min(most, len(lines))] {
		p.run.Note(p.Name, "log: %.300s", line)
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	p.run.Note("platform", "%v to %s", s, p.Name)
	return p.command.Process.Signal(s)
}

// Kill kills the process if it has not ended, waits for its end, and reports whether it still ran.
func (p *Process) Kill() (ran bool) {
	if !p.HasEnded() {
		ran = true
		p.run.Note("platform", "SIGKILL to %s", p.Name)
		_ = p.command.Process.Kill() // it may just have ended
	}
	<-p.ended
	return ran
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

var errNotInTime = errors.New("the router did not say yes in time")

// AwaitReady waits until the process says at its address for operators that it takes clients.
func (p *Process) AwaitReady(most time.Duration) error {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _ := p.Call(http.MethodGet, "/ops/readiness", ""); status/100 == 2 {
			p.run.Note(p.Name, "says yes")
			return nil
		}
		if p.HasEnded() {
			return errors.New("the router has ended")
		}
	}
	return errNotInTime
}

// Call makes one call of an operator. The status is 0 if there was no answer within a second.
func (p *Process) Call(method, path, body string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+p.Admin+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if method != http.MethodGet {
		p.run.Note("operator", "%s %s %q to %s: %s", method, path, body, p.Name, response.Status)
	}
	return response.StatusCode, string(answer)
}

// FreeAddress returns a loopback address with a port that was free a moment ago.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
