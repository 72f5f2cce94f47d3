// Package process runs router programs as child processes and reports their resource usage. The lab's fleet and scale
// packages use it. It signals only processes that it started, by their own handles.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// Process is a child process. Its methods may be called from any goroutine.
type Process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // written before done is closed
}

// Start runs a program with the given variables added to the environment. Its output is appended to logfile.
func Start(program string, args, env []string, logfile string) (*Process, error) {
	log, err := os.OpenFile(logfile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process group of its own keeps Ctrl-C from reaching the child. Pdeathsig kills it when the lab exits for any reason.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("starting %s: %w", program, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It returns an error if the process has exited.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended, or nil for exit status 0. It is valid only after Done is closed.
func (p *Process) Err() error { return p.err }

// End kills the process and waits until it has exited.
func (p *Process) End() {
	_ = p.cmd.Process.Kill() // fails only if the process has already exited
	<-p.done
}

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ).
const ticksPerSecond = 100

// Usage returns the CPU time used so far and the resident memory in bytes. ok is false if the process has exited.
func (p *Process) Usage() (cpu time.Duration, rss int64, ok bool) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, 0, false
	}
	// The process name is in parentheses and may contain spaces. Of the fields after it, the 12th and 13th are user and
	// system time and the 22nd is the number of resident pages.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) < 22 {
		return 0, 0, false
	}
	user, err1 := strconv.ParseInt(string(fields[11]), 10, 64)
	system, err2 := strconv.ParseInt(string(fields[12]), 10, 64)
	pages, err3 := strconv.ParseInt(string(fields[21]), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return 0, 0, false
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, pages * int64(os.Getpagesize()), true
}

// Listen opens a TCP listener at an address whose previous listener was just closed. It retries while the address is in
// use: a child that another goroutine is starting holds copies of all descriptors between fork and exec, which made about
// one in fifty CI runs of the scenarios fail.
func Listen(addr string) (net.Listener, error) {
	const retryFor = time.Second
	for until := time.Now().Add(retryFor); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return ln, err
		}
	}
}
