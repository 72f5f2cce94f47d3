package handover

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurtrestle/internal/goldentest"
)

// Golden files were written by build bfb4b5c, never by a later one.

// TestGolden_Frames holds the bytes of one frame of each kind to those that build bfb4b5c sent, and receives them again.
func TestGolden_Frames(t *testing.T) {
	const golden = "testdata/frames.golden"
	frames := []Frame{
		{Kind: Hello}, {Kind: Listener, FDs: []int{0}}, {Kind: OperatorState, Body: []byte(`{"down":["a"]}`)},
		{Kind: Snapshot, Body: bytes.Repeat([]byte{7}, 300)}, {Kind: Ready}, {Kind: Client, Body: []byte("*1\r\n"), FDs: []int{0}},
		{Kind: LargeValue, Body: []byte("value"), FDs: []int{0, 0}}, {Kind: DescriptorCount, Body: []byte("17")}, {Kind: LeaseTransfer, Body: []byte("lease")},
	}
	var sent strings.Builder
	for _, frame := range frames {
		fmt.Fprintf(&sent, "%x\n", sentBytes(t, frame))
	}
	goldentest.CompareFile(t, golden, []byte(sent.String()))
	for i, line := range strings.Fields(sent.String()) {
		var raw []byte
		if _, err := fmt.Sscanf(line, "%x", &raw); err != nil {
			t.Fatal(err)
		}
		got := received(t, raw)
		if got.Kind != frames[i].Kind || !bytes.Equal(got.Body, frames[i].Body) {
			t.Errorf("frame %d: got %c %x, want %c %x", i, got.Kind, got.Body, frames[i].Kind, frames[i].Body)
		}
	}
}

// sentBytes returns the bytes that sending a frame puts on the wire.
func sentBytes(t *testing.T, frame Frame) []byte {
	t.Helper()
	dir := t.TempDir()
	ln, err := net.Listen("unix", filepath.Join(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := Dial(dir, "s", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := conn.Send(frame); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	raw, err := io.ReadAll(other)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// received returns the frame that is read from raw bytes.
func received(t *testing.T, raw []byte) Frame {
	t.Helper()
	dir := t.TempDir()
	ln, err := Listen(dir, "s")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	other, err := net.Dial("unix", filepath.Join(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	conn, err := Accept(ln)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := other.Write(raw); err != nil {
		t.Fatal(err)
	}
	frame, err := conn.Receive(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}
