package handover

import (
	"slices"
	"sync"
)

// outbox is what a connection has still to send, in order. Its goroutine runs while there is something.
type outbox struct {
	mu        sync.Mutex
	frames    []queuedFrame
	isSending bool
	isClosed  bool
	sender    sync.WaitGroup
}

// queuedFrame is a frame that is encoded when its turn comes.
type queuedFrame struct {
	kind        Kind
	body        func() []byte
	fds         []int
	replaceable bool // by a later frame of its kind
}

// Enqueue sends a frame behind all that are queued, and does not wait. It owns the frame's descriptors.
func (c *Conn) Enqueue(frame Frame) {
	body := func() []byte { return frame.Body }
	c.queue(queuedFrame{kind: frame.Kind, body: body, fds: frame.FDs})
}

// Publish sends the latest state of a kind, and does not wait. A state that is still queued is replaced where it stands, so that
// the other process never receives an older state after a newer one, and at most one of a kind waits for it. body is called from
// a goroutine of the connection when the frame's turn comes.
func (c *Conn) Publish(kind Kind, body func() []byte) {
	c.queue(queuedFrame{kind: kind, body: body, replaceable: true})
}

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

// sendQueued sends until nothing is queued. After an error the connection is of no more use, and is closed: the goroutine that
// receives from it notices.
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

// closeOutbox drops what is queued, and all that would be queued later.
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
