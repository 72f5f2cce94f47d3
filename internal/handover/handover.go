// Package handover is how two processes of one router speak while one replaces the other: frames over a Unix socket, each
// with at most two descriptors. What is said is the router's.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Kind says what a frame is.
type Kind byte

const (
	Hello           Kind = 'H' // new to old: I am to replace you
	Listener        Kind = 'L' // old to new, with the listener
	OperatorState   Kind = 'I' // old to new: what operators have asked of it
	Snapshot        Kind = 'K' // old to new: what it knows; the last of what follows Hello
	Ready           Kind = 'R' // new to old: clients are mine from now on
	Client          Kind = 'C' // old to new, with a client's connection, and the bytes read of it that are not used yet
	LargeValue      Kind = 'V' // old to new, with a client's connection and a server's: a big value on its way
	DescriptorCount Kind = 'S' // both: how many descriptors I hold
	LeaseTransfer   Kind = 'P' // old to new: what it holds of the fleet's policy, for a moment
	headBytes            = 5
	most                 = 4 << 20 // bytes of one frame
)

// Frame is one message. Its descriptors belong to who receives it.
type Frame struct {
	Kind Kind
	Body []byte
	FDs  []int
}

// Conn is the other process.
type Conn struct {
	conn *net.UnixConn
	mu   sync.Mutex // of sending
}

// Dial finds the process that serves; an error: there is none that answers.
func Dial(dir, name string, within time.Duration) (*Conn, error) {
	path, done := short(dir, name)
	defer done()
	c, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c.(*net.UnixConn)}, nil
}

// Listen waits for the process that is to replace this one, in the place of whoever waited under that name.
func Listen(dir, name string) (*net.UnixListener, error) {
	mine := fmt.Sprint(name, ".", os.Getpid())
	path, done := short(dir, mine)
	defer done()
	_ = os.Remove(path) // of a process with our number that is gone
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the name is another's
	if err = os.Rename(filepath.Join(dir, mine), filepath.Join(dir, name)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// short is a path of a file in dir that a socket's address has room for.
func short(dir, name string) (path string, done func()) {
	const room = 100 // of 108
	if path = filepath.Join(dir, name); len(path) <= room {
		return path, func() {}
	}
	d, err := os.Open(dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), name), func() { d.Close() }
}

// Accept waits for the next process.
func Accept(ln *net.UnixListener) (*Conn, error) {
	c, err := ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c}, nil
}

// Send sends a frame; its descriptors stay the sender's.
func (p *Conn) Send(f Frame) error {
	const patience = 2 * time.Second
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(patience))
	head := binary.BigEndian.AppendUint32([]byte{byte(f.Kind)}, uint32(len(f.Body)))
	var rights []byte
	if len(f.FDs) > 0 {
		rights = unix.UnixRights(f.FDs...)
	}
	n, _, err := p.conn.WriteMsgUnix(head, rights, nil)
	if err == nil && n < len(head) {
		_, err = p.conn.Write(head[n:])
	}
	if err == nil && len(f.Body) > 0 {
		_, err = p.conn.Write(f.Body)
	}
	return err
}

var errFrame = errors.New("a frame of no known form")

// Receive waits for the next frame, for so long; 0: for ever.
func (p *Conn) Receive(within time.Duration) (Frame, error) {
	by := time.Time{}
	if within > 0 {
		by = time.Now().Add(within)
	}
	_ = p.conn.SetReadDeadline(by)
	f := Frame{}
	head, rights := make([]byte, headBytes), make([]byte, unix.CmsgSpace(2*4))
	n, oobn, _, _, err := p.conn.ReadMsgUnix(head, rights)
	if err == nil && n == 0 {
		err = io.EOF
	}
	if err != nil {
		return f, err
	}
	if oobn > 0 {
		if all, err := unix.ParseSocketControlMessage(rights[:oobn]); err == nil && len(all) == 1 {
			if f.FDs, err = unix.ParseUnixRights(&all[0]); err != nil {
				f.FDs = nil
			}
			for _, fd := range f.FDs {
				unix.CloseOnExec(fd)
			}
		}
	}
	if _, err = io.ReadFull(p.conn, head[n:]); err == nil {
		size := binary.BigEndian.Uint32(head[1:])
		if size > most {
			err = errFrame
		} else {
			f.Kind, f.Body = Kind(head[0]), make([]byte, size)
			_, err = io.ReadFull(p.conn, f.Body)
		}
	}
	if err != nil {
		f.CloseDescriptors()
	}
	return f, err
}

// CloseDescriptors closes what came with a frame.
func (f *Frame) CloseDescriptors() {
	for _, fd := range f.FDs {
		unix.Close(fd)
	}
	f.FDs = nil
}

// Close ends it; Receive returns.
func (p *Conn) Close() { p.conn.Close() }
