// Package process starts router programs and tells what they use. It ends only what it started, by its own handle.
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

// Process is a running program.
type Process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// Start runs a program with these variables added to the environment; what it writes goes to the end of a file.
func Start(program string, args, env []string, logfile string) (*Process, error) {
	log, err := os.OpenFile(logfile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Its own group, so that Ctrl-C reaches the lab alone; and it ends with the lab, however that ends.
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

// Signal sends a signal; an error where it has ended.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed once it has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err tells how it ended; nil for an exit with 0. It counts once Done is closed.
func (p *Process) Err() error { return p.err }

// End kills it and waits.
func (p *Process) End() {
	_ = p.cmd.Process.Kill() // an error: it has ended
	<-p.done
}

const ticks = 100 // a second, of the kernel's CPU times as /proc tells them

// Usage is the CPU time so far and the resident memory; false where it has ended.
func (p *Process) Usage() (cpu time.Duration, rss int64, ok bool) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, 0, false
	}
	// The name in brackets may hold spaces; behind it the 12th and 13th field are user and system time.
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
	return time.Duration(user+system) * time.Second / ticks, pages * int64(os.Getpagesize()), true
}

// Listen listens at an address that was listened on a moment ago. A process that is being started beside, by another
// goroutine, holds copies of all descriptors until it is another program: for that long the address seems to be in use,
// which ended one of some fifty runs of CI's scenarios.
func Listen(addr string) (net.Listener, error) {
	const patience = time.Second
	for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return ln, err
		}
	}
}
