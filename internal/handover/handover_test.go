package handover

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Frames of all sizes come as they were sent, each with its own descriptor, also in a folder of a long name; the next
// process to listen has the name.
func TestFrames(t *testing.T) {
	dir := t.TempDir() + "/" + strings.Repeat("long", 40)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(dir, "r.sock", time.Second); err == nil {
		t.Fatal("somebody is there")
	}
	ln, err := Listen(dir, "r.sock")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	one, err := Dial(dir, "r.sock", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Accept(ln)
	if err != nil {
		t.Fatal(err)
	}
	big := bytes.Repeat([]byte("x"), 1<<20)
	go func() {
		for _, f := range []Frame{{Hello, nil, -1}, {Client, big, int(write.Fd())}, {Holds, []byte("7"), -1}} {
			_ = one.Send(f) // what is missing is seen below
		}
		write.Close()
		one.Close()
	}()
	for _, want := range []string{"H 0 false", "C 1048576 true", "S 1 false"} {
		f, err := two.Receive(time.Second)
		if got := fmt.Sprintf("%c %d %v", f.Kind, len(f.Body), f.FD >= 0); got != want || err != nil {
			t.Error(got, err)
		}
		if f.FD >= 0 {
			w := os.NewFile(uintptr(f.FD), "")
			_, _ = w.WriteString("hello")
			w.Close()
		}
	}
	got := make([]byte, 5)
	if _, err := read.Read(got); string(got) != "hello" {
		t.Error(string(got), err)
	}
	if _, err := two.Receive(time.Second); err == nil {
		t.Error("no end")
	}
	if _, err := two.Receive(time.Millisecond); err == nil {
		t.Error("no end")
	}
	next, err := Listen(dir, "r.sock")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	ln.Close()
	if _, err := Dial(dir, "r.sock", time.Second); err != nil {
		t.Error("the name went with the process before: ", err)
	}
}
