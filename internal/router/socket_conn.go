package router

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Connections leave the loop as descriptors and return to it as those of the standard library.

// connFromDescriptor returns a connection for a descriptor, which it closes.
func connFromDescriptor(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return net.FileConn(f)
}

// duplicateDescriptor duplicates a descriptor. (The standard library's File method would make the connection
// blocking.)
func duplicateDescriptor(c syscall.Conn) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	controlErr := raw.Control(func(original uintptr) { fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0) })
	return fd, errors.Join(controlErr, err)
}

// enroll adds a connection to the loop with handler p; failed runs on the loop.
func (r *Router) enroll(c net.Conn, p connHandler, failed func()) {
	_ = c.SetDeadline(time.Time{})
	if err := r.enrollAndWait(c, p); err != nil {
		r.runAsync(failed)
	}
}

// enrollAndWait adds a connection to the loop with handler p, and returns when it has arrived there. After an error it is closed.
func (r *Router) enrollAndWait(c net.Conn, p connHandler) error {
	enrolled, err := r.loop.Enroll(gnet.NewContext(context.Background(), p), c)
	if err != nil {
		_ = c.Close() // the error of Enroll is the one that counts
		return err
	}
	return (<-enrolled).Err
}

// enrollDuplicate adds a duplicate of a descriptor to the loop with handler p, and returns when it has arrived there.
func (r *Router) enrollDuplicate(descriptor int, p connHandler) error {
	duplicate, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return err
	}
	conn, err := connFromDescriptor(duplicate)
	if err != nil {
		return err
	}
	return r.enrollAndWait(conn, p)
}

// hasInput reports whether a read from a connection returns at once.
func hasInput(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	controlErr := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return controlErr == nil && err == nil && queued > 0
}

// peerHungUp reports whether the peer has closed its sending side of a connection; input that arrived earlier may
// still be unread.
func peerHungUp(fd int) bool {
	pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(pollFDs, 0)
	return err == nil && ready > 0
}

func isTimeout(err error) bool {
	netErr, isNetErr := err.(net.Error)
	return isNetErr && netErr.Timeout()
}
