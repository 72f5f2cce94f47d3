// Package handover implements the transport between two processes of one router while the successor replaces the predecessor:
// frames over a Unix socket, which may carry file descriptors.
//
// internal/router drives the exchange:
//
//	successor     Hello
//	predecessor   Listener, OperatorState, Endpoints, Snapshot
//	successor     Ready, once discovery has answered or does not answer in time
//	predecessor   Endpoints, if it has changed just now; RecentIDs; it admits nothing from then on, and the successor accepts clients
//	predecessor   Client or LargeValue for each connection, once nothing else is in flight on it
//	both          OperatorState, Endpoints, DescriptorCount and HeldMemory at any time
//	predecessor   LeaseTransfer at any time
//
// It ends when either process closes the connection. If the successor ends early, the predecessor accepts clients again.
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

// sendTimeout bounds the wait for a peer that does not read.
const sendTimeout = 2 * time.Second

// ErrFrameTooLong reports a frame with a body of more than MaxBodyBytes.
var ErrFrameTooLong = errors.New("handover: frame too long")

// Conn is a connection to the other process. Any goroutine may send; only one may receive.
type Conn struct {
	conn   *net.UnixConn
	sendMu sync.Mutex // serializes frames
	outbox outbox
}

// Send sends a frame and blocks until it is written. Its descriptors stay open in this process. ErrFrameTooLong means that nothing
// was sent; after any other error a part of the frame may have been sent, and the connection must not be used any more.
func (c *Conn) Send(frame Frame) error {
	if len(frame.Body) > MaxBodyBytes {
		return ErrFrameTooLong
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only for a closed connection, as does the write
	header := binary.BigEndian.AppendUint32([]byte{byte(frame.Kind)}, uint32(len(frame.Body)))
	var rights []byte
	if len(frame.FDs) > 0 {
		rights = unix.UnixRights(frame.FDs...)
	}
	n, _, err := c.conn.WriteMsgUnix(header, rights, nil)
	if err == nil && n < len(header) { // the descriptors were sent with the first byte
		_, err = c.conn.Write(header[n:])
	}
	if err == nil && len(frame.Body) > 0 {
		_, err = c.conn.Write(frame.Body)
	}
	return err
}

// Receive waits for the next frame. A timeout of 0 means no timeout. The caller must close the frame's descriptors.
func (c *Conn) Receive(timeout time.Duration) (Frame, error) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.conn.SetReadDeadline(deadline) // fails only for a closed connection, as does the read
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

// readHeader reads the header of a frame and the descriptors that arrive with its first bytes. It may return descriptors together
// with an error.
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

// readBody reads a body of the length given in the header.
func (c *Conn) readBody(length uint32) ([]byte, error) {
	if length > MaxBodyBytes {
		return nil, ErrFrameTooLong
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.conn, body)
	return body, err
}

// parseDescriptors returns the descriptors in a control message and marks them close-on-exec. It returns none if the message is
// not of the form that Send writes.
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

// Close closes the connection and drops all queued frames. A pending Receive returns an error. Close waits for the goroutine that
// sends queued frames: do not call it while holding something that a body function passed to Publish waits for.
func (c *Conn) Close() {
	c.closeOutbox()
	c.conn.Close() // the caller cannot act on an error
	c.outbox.sender.Wait()
}
