package main

import (
	"os"
	"os/exec"
	"path/filepath"
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
