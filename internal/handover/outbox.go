package handover

import (
	"slices"
	"sync"
)

// outbox queues the frames that a connection has yet to send, in order. Its goroutine runs while the queue is not empty.
type outbox struct {
	mu        sync.Mutex
	frames    []queuedFrame
	isSending bool
	isClosed  bool
	sender    sync.WaitGroup
}

// queuedFrame is a frame whose body is produced when it is sent.
type queuedFrame struct {
	kind        Kind
	body        func() []byte
	fds         []int
	replaceable bool // by a later replaceable frame of its kind
}

// Enqueue queues a frame behind all others and does not block. It takes ownership of the frame's descriptors.
func (c *Conn) Enqueue(frame Frame) {
	body := func() []byte { return frame.Body }
	c.queue(queuedFrame{kind: frame.Kind, body: body, fds: frame.FDs})
}

// Publish queues the latest state of a kind and does not block. It replaces a queued state of that kind in its place in the queue.
// The other process thus never receives an older state after a newer one, and at most one state of a kind is queued. The
// connection's goroutine calls body when the frame is sent.
func (c *Conn) Publish(kind Kind, body func() []byte) {
	c.queue(queuedFrame{kind: kind, body: body, replaceable: true})
}

// IsIdle reports whether all queued frames have been sent.
func (c *Conn) IsIdle() bool {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	return !c.outbox.isSending
}

// queue appends a frame, or replaces the queued one that it supersedes, and starts the goroutine if it does not run. If the
// connection is closed, the frame is dropped.
func (c *Conn) queue(next queuedFrame) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	if c.outbox.isClosed {
		next.closeDescriptors()
		return
	}
	older := slices.IndexFunc(c.outbox.frames, func(queued queuedFrame) bool {
		return queued.replaceable && next.replaceable && queued.kind == next.kind
	})
	if older >= 0 {
		c.outbox.frames[older] = next
		return
	}
	c.outbox.frames = append(c.outbox.frames, next)
	if !c.outbox.isSending {
		c.outbox.isSending = true
		c.outbox.sender.Go(c.sendQueued)
	}
}

// sendQueued sends until the queue is empty. After an error it closes the connection, which must not be used any more; the
// goroutine that receives from it then gets an error.
func (c *Conn) sendQueued() {
	for {
		next, ok := c.nextQueued()
		if !ok {
			return
		}
		err := c.Send(Frame{Kind: next.kind, Body: next.body(), FDs: next.fds})
		next.closeDescriptors()
		if err != nil {
			c.closeOutbox()
			c.conn.Close()
		}
	}
}

// nextQueued removes the first frame from the queue. If there is none, it returns false and marks the goroutine as stopped.
func (c *Conn) nextQueued() (queuedFrame, bool) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	if len(c.outbox.frames) == 0 {
		c.outbox.isSending = false
		return queuedFrame{}, false
	}
	next := c.outbox.frames[0]
	c.outbox.frames = c.outbox.frames[1:]
	return next, true
}

// closeOutbox drops all queued frames and those queued later.
func (c *Conn) closeOutbox() {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	c.outbox.isClosed = true
	for _, dropped := range c.outbox.frames {
		dropped.closeDescriptors()
	}
	c.outbox.frames = nil
}

func (f queuedFrame) closeDescriptors() {
	frame := Frame{FDs: f.fds}
	frame.CloseDescriptors()
}
