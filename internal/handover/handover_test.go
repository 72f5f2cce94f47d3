package handover

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestConn_Frames sends frames of several sizes, with and without descriptors, through a socket in a directory with a long path.
// The next process that listens then takes over the socket's name.
func TestConn_Frames(t *testing.T) {
	dir := t.TempDir() + "/" + strings.Repeat("long", 40)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(dir, "r.sock", time.Second); err == nil {
		t.Fatal("Dial before Listen: got no error")
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
	sender, err := Dial(dir, "r.sock", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := Accept(ln)
	if err != nil {
		t.Fatal(err)
	}
	big := bytes.Repeat([]byte("x"), 1<<20)
	go func() {
		for _, f := range []Frame{{Kind: Hello}, {Kind: LargeValue, Body: big, FDs: []int{int(read.Fd()), int(write.Fd())}}, {Kind: DescriptorCount, Body: []byte("7")}} {
			_ = sender.Send(f) // a missing frame is detected below
		}
		write.Close()
		sender.Close()
	}()
	for _, want := range []string{"H 0 0", "V 1048576 2", "S 1 0"} {
		f, err := receiver.Receive(time.Second)
		if got := fmt.Sprintf("%c %d %d", f.Kind, len(f.Body), len(f.FDs)); got != want || err != nil {
			t.Errorf("Receive: got %s, %v, want %s", got, err, want)
		}
		if len(f.FDs) == 2 {
			_, _ = unix.Write(f.FDs[1], []byte("hello"))
		}
		f.CloseDescriptors()
	}
	got := make([]byte, 5)
	if _, err := read.Read(got); string(got) != "hello" {
		t.Errorf("through a received descriptor: got %q, %v, want hello", got, err)
	}
	if _, err := receiver.Receive(time.Second); err == nil {
		t.Error("Receive after the end: got no error")
	}
	if _, err := receiver.Receive(time.Millisecond); err == nil {
		t.Error("second Receive after the end: got no error")
	}
	next, err := Listen(dir, "r.sock")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	ln.Close()
	if _, err := Dial(dir, "r.sock", time.Second); err != nil {
		t.Errorf("Dial after the first listener closed: got %v, want the second one", err)
	}
}

// TestConn_RejectsLongFrames verifies that a frame longer than MaxBodyBytes is rejected and its descriptors are closed.
func TestConn_RejectsLongFrames(t *testing.T) {
	dir := t.TempDir()
	ln, err := Listen(dir, "s")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	other, err := net.Dial("unix", dir+"/s")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	conn, err := Accept(ln)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, _, err := other.(*net.UnixConn).WriteMsgUnix([]byte{byte(Client), 0xff, 0xff, 0xff, 0xff}, unix.UnixRights(0), nil); err != nil {
		t.Fatal(err)
	}
	frame, err := conn.Receive(time.Second)
	if !errors.Is(err, ErrFrameTooLong) || len(frame.FDs) > 0 {
		t.Errorf("got %v with descriptors %v, want ErrFrameTooLong and none", err, frame.FDs)
	}
}

// TestConn_CloseDropsQueuedDescriptors guards against descriptor leaks: frames that are queued when the connection is closed, or
// later, must not leave their descriptors open.
func TestConn_CloseDropsQueuedDescriptors(t *testing.T) {
	dir := t.TempDir()
	ln, err := Listen(dir, "s")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	other, err := Dial(dir, "s", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	conn, err := Accept(ln)
	if err != nil {
		t.Fatal(err)
	}
	conn.Enqueue(Frame{Kind: LargeValue, Body: make([]byte, 1<<20)}) // blocks the queue, since the other process does not read
	var descriptors []int
	for range 2 {
		fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		descriptors = append(descriptors, fd)
		conn.Enqueue(Frame{Kind: Client, FDs: []int{fd}})
		conn.Close()
	}
	for _, fd := range descriptors {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			t.Errorf("descriptor %d is open after the connection was closed", fd)
		}
	}
}
