// Package handover is the transport between two processes of one router while the successor replaces the predecessor:
// frames over a Unix socket, which may carry file descriptors.
//
// The exchange, of which internal/router decides each step:
//
//	successor     Hello
//	predecessor   Listener, OperatorState, Snapshot
//	successor     Ready, once it has an endpoint list and accepts clients
//	predecessor   Client or LargeValue for each connection, once nothing else of it is in flight
//	both          OperatorState and DescriptorCount at any time
//	predecessor   LeaseTransfer at any time
//
// It ends when either process closes the connection. A predecessor whose successor ends early accepts clients again.
package handover

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// sendTimeout bounds the wait for a process that does not read.
const sendTimeout = 2 * time.Second

// ErrFrameTooLong reports a frame with a body of more than MaxBodyBytes.
var ErrFrameTooLong = errors.New("handover: frame too long")

// Conn is a connection to the other process. Any goroutine may send; one receives.
type Conn struct {
	conn   *net.UnixConn
	sendMu sync.Mutex // one frame after the other
	outbox outbox
}

// Send sends a frame. Its descriptors stay open in this process. After an error a part of the frame may have been sent, so
// that the connection is of no more use; but nothing has been after ErrFrameTooLong.
func (c *Conn) Send(frame Frame) error {
	if len(frame.Body) > MaxBodyBytes {
		return ErrFrameTooLong
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails for a closed connection, as the write will
	header := binary.BigEndian.AppendUint32([]byte{byte(frame.Kind)}, uint32(len(frame.Body)))
	var rights []byte
	if len(frame.FDs) > 0 {
		rights = unix.UnixRights(frame.FDs...)
	}
	n, _, err := c.conn.WriteMsgUnix(header, rights, nil)
	if err == nil && n < len(header) { // the descriptors went with the first byte
		_, err = c.conn.Write(header[n:])
	}
	if err == nil && len(frame.Body) > 0 {
		_, err = c.conn.Write(frame.Body)
	}
	return err
}

// Receive waits for the next frame; a timeout of 0 is none. The frame's descriptors belong to the caller.
func (c *Conn) Receive(timeout time.Duration) (Frame, error) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.conn.SetReadDeadline(deadline) // fails for a closed connection, as the read will
	header, descriptors, err := c.readHeader()
	frame := Frame{FDs: descriptors}
	if err == nil {
		frame.Kind = Kind(header[0])
		frame.Body, err = c.readBody(binary.BigEndian.Uint32(header[1:]))
	}
	if err != nil {
		frame.CloseDescriptors()
	}
	return frame, err
}

// readHeader reads the header of a frame and the descriptors that come with its first bytes. With an error there may be
// descriptors too.
func (c *Conn) readHeader() (header []byte, descriptors []int, err error) {
	header = make([]byte, headerBytes)
	rights := make([]byte, unix.CmsgSpace(maxDescriptors*descriptorSize))
	n, rightsLength, _, _, err := c.conn.ReadMsgUnix(header, rights)
	if err != nil {
		return nil, nil, err
	}
	if n == 0 {
		return nil, nil, io.EOF
	}
	if rightsLength > 0 {
		descriptors = parseDescriptors(rights[:rightsLength])
	}
	_, err = io.ReadFull(c.conn, header[n:])
	return header, descriptors, err
}

func (c *Conn) readBody(length uint32) ([]byte, error) {
	if length > MaxBodyBytes {
		return nil, ErrFrameTooLong
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.conn, body)
	return body, err
}

// parseDescriptors returns the descriptors of a control message; none where it is not the one message that Send writes.
func parseDescriptors(rights []byte) []int {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return nil
	}
	for _, fd := range descriptors {
		unix.CloseOnExec(fd)
	}
	return descriptors
}

// Close ends the connection and drops what is queued; a Receive that waits returns an error. It waits for the goroutine that
// sends what is queued, so that it must not be called where that one's bodies have to wait.
func (c *Conn) Close() {
	c.closeOutbox()
	c.conn.Close() // its error changes nothing for the caller
	c.outbox.sender.Wait()
}
