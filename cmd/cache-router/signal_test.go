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

// SIGTERM comes while the program still reads its configuration, which a pipe holds back until then: it ends in order once it
// has begun, with 0. It was ended by the signal.
func TestTermDuringStart(t *testing.T) {
	p := newPlayer(t)
	p.start([]string{"s1", "origin"})
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "SPURTRESTLE_TEST=run", "EDGE_CONFIG="+pipe, "TMPDIR="+t.TempDir(), "EDGE_LISTEN=127.0.0.1:0")
	var log lockedBuffer
	program.Stderr = &log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Process.Kill() }()
	in, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program has opened it
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // twice is as good as once
		if err = program.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if _, err = in.WriteString(p.config); err != nil {
		t.Fatal(err)
	}
	in.Close()
	ended := make(chan error, 1)
	go func() { ended <- program.Wait() }()
	select {
	case err = <-ended:
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
	if err != nil {
		t.Errorf("%v: %s", err, log.text())
	}
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
