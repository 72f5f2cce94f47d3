package handover

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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
		for _, f := range []Frame{{Hello, nil, nil}, {LargeValue, big, []int{int(read.Fd()), int(write.Fd())}}, {DescriptorCount, []byte("7"), nil}} {
			_ = one.Send(f) // what is missing is seen below
		}
		write.Close()
		one.Close()
	}()
	for _, want := range []string{"H 0 0", "V 1048576 2", "S 1 0"} {
		f, err := two.Receive(time.Second)
		if got := fmt.Sprintf("%c %d %d", f.Kind, len(f.Body), len(f.FDs)); got != want || err != nil {
			t.Error(got, err)
		}
		if len(f.FDs) == 2 {
			_, _ = unix.Write(f.FDs[1], []byte("hello"))
		}
		f.CloseDescriptors()
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
