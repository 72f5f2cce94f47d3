package router

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxPendingEnrolls bounds the accepted connections that have not reached the loop; each holds up to three descriptors.
	maxPendingEnrolls = 4
	// acceptRetryDelay is the time between attempts to accept or to enroll a connection while there are no descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// maxEnrollTime is how long a connection waits for a descriptor before it is closed.
	maxEnrollTime = time.Second
)

// acceptClients runs off the loop until the listener is closed or clients are handed over.
func (r *Router) acceptClients() {
	slots := make(chan struct{}, maxPendingEnrolls)
	for {
		c, err := r.takeover.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		r.takeover.enrolling.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			if err := r.enrollClient(c); err != nil {
				r.takeover.enrolling.Add(-1) // it never arrives; a drain would wait for it
				r.log.WithError(err).Warn("client connection: closed before it was read")
			}
			r.awaitTurn()
		}()
	}
}

// enrollClient passes an accepted connection to the loop, and tries again for a while if there is no descriptor for it. gnet closes
// a connection that it cannot enroll, so a duplicate of its descriptor is kept until it has.
func (r *Router) enrollClient(c *net.TCPConn) error {
	giveUp := time.Now().Add(maxEnrollTime)
	duplicate, err := duplicateDescriptor(c)
	for ; err != nil; duplicate, err = duplicateDescriptor(c) {
		if time.Now().After(giveUp) {
			c.Close()
			return err
		}
		time.Sleep(acceptRetryDelay)
	}
	if err = r.enrollOnce(c); err == nil {
		_ = unix.Close(duplicate) // the descriptor is gone even after an error
		return nil
	}
	file := os.NewFile(uintptr(duplicate), "")
	defer file.Close()
	for time.Now().Before(giveUp) {
		time.Sleep(acceptRetryDelay)
		var again net.Conn
		if again, err = net.FileConn(file); err != nil {
			continue
		}
		if err = r.enrollOnce(again); err == nil {
			return nil
		}
	}
	return err
}

// enrollOnce passes a connection to the loop and returns when it has arrived there. After an error it is closed.
func (r *Router) enrollOnce(c net.Conn) error {
	accepted := newClient(r)
	accepted.enrolling = true
	enrolled, err := r.loop.Enroll(gnet.NewContext(context.Background(), accepted), c)
	if err != nil {
		c.Close()
		return err
	}
	return (<-enrolled).Err
}
