package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startingProgram is a program that still reads its configuration, which a pipe holds back.
type startingProgram struct {
	*exec.Cmd
	config *os.File // the pipe
	log    lockedBuffer
}

func newStartingProgram(t *testing.T) *startingProgram {
	t.Helper()
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	program := &startingProgram{Cmd: exec.Command(os.Args[0])}
	program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+pipe, "TMPDIR="+t.TempDir(), "EDGE_LISTEN=127.0.0.1:0")
	program.Stderr = &program.log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = program.Process.Kill() })
	var err error
	if program.config, err = os.OpenFile(pipe, os.O_WRONLY, 0); err != nil { // returns once the program has opened it
		t.Fatal(err)
	}
	return program
}

func (s *startingProgram) signal(t *testing.T, sent os.Signal) {
	t.Helper()
	if err := s.Process.Signal(sent); err != nil {
		t.Fatal(err)
	}
}

// configure lets the program read its configuration.
func (s *startingProgram) configure(t *testing.T, config string) {
	t.Helper()
	if _, err := s.config.WriteString(config); err != nil {
		t.Fatal(err)
	}
	s.config.Close()
}

func (s *startingProgram) endsInOrder(t *testing.T) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- s.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("%v: %s", err, s.log.text())
		}
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
}

// SIGTERM comes while the program still reads its configuration: it ends in order once it has begun, with 0. It was ended by the
// signal.
func TestTermDuringStart(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	program := newStartingProgram(t)
	for range 2 { // twice is as good as once
		program.signal(t, syscall.SIGTERM)
	}
	program.configure(t, p.config)
	program.endsInOrder(t)
}

// SIGTERM comes during the start behind a row of other signals, which nobody has read yet: it is not lost.
func TestTermBehindOtherSignalsDuringStart(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	program := newStartingProgram(t)
	for range 5 {
		program.signal(t, syscall.SIGUSR1)
		program.signal(t, syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond) // equal signals that wait in the kernel are one
	}
	program.signal(t, syscall.SIGTERM)
	time.Sleep(5 * time.Millisecond)
	program.configure(t, p.config)
	program.endsInOrder(t)
}

// asks begins a request at the program whose server does not answer yet.
func (p *player) asks(who, id string) {
	p.do(who, "opens", "")
	p.do(who, "sends", "CACHE.GET k "+id+" c=get,d=2500")
	got := p.see(p.server("s1"))
	for strings.HasSuffix(got, "the end") { // of a process before
		got = p.see(p.server("s1"))
	}
	if !strings.Contains(got, id) {
		p.t.Fatalf("s1 gets %s", got)
	}
}

func (p *player) endsInOrder(what string) {
	p.t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			p.t.Errorf("%s: %v", what, err)
		}
	case <-time.After(patience):
		p.t.Fatalf("%s goes on", what)
	}
}

// served has the server answer, and the client get that.
func (p *player) served(who string) {
	p.t.Helper()
	p.do("s1", "writes", `"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n"`)
	if got := p.see(p.peers[who]); got != "$one" {
		p.t.Errorf("%s got %s", who, got)
	}
}

// SIGTERM comes while SIGHUP has the file read again, which a pipe holds back for good: the request in hand is answered, and the
// program ends in order.
func TestTermDuringReload(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	p.asks("a", "r1")
	if err := os.Remove(p.file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.file, 0o600); err != nil {
		t.Fatal(err)
	}
	_ = p.program.Process.Signal(syscall.SIGHUP)
	in, err := os.OpenFile(p.file, os.O_WRONLY, 0) // returns once the program reads it
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	_ = p.program.Process.Signal(syscall.SIGTERM)
	p.served("a")
	p.endsInOrder("the program")
}

// SIGTERM comes to one of two processes while the new one waits for discovery's list, before it takes clients.
func TestTermDuringHandover(t *testing.T) {
	t.Run("the new one", func(t *testing.T) {
		p := newPlayer(t)
		p.start([]string{"s1", "origin"})
		p.asks("a", "r1")
		p.beside(0)
		_ = p.program.Process.Signal(syscall.SIGTERM)
		p.served("a")
		p.endsInOrder("the new process")
		p.asks("b", "r2")
		p.served("b")
	})
	t.Run("the old one", func(t *testing.T) {
		p := newPlayer(t)
		p.start([]string{"s1", "origin"})
		p.asks("a", "r1")
		first, _ := p.beside(0)
		_ = first.Process.Signal(syscall.SIGTERM)
		p.served("a")
		p.endsInOrder("the old process")
		p.asks("b", "r2")
		p.served("b")
	})
}
