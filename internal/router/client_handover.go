package router

import (
	"spurtrestle/core/clientmemory"
	"spurtrestle/core/recentids"
	"spurtrestle/core/routing"
	"spurtrestle/internal/handover"
)

// Once the successor is ready, the predecessor hands its clients over to it, and before them the ids of the requests that it has
// admitted. takeover.go connects the two processes.

// sendRecentIDs sends the successor the ids of the requests that this process has admitted, before the first client.
func (r *Router) sendRecentIDs() {
	for id := range r.requests {
		r.rememberID(id) // it may be sent yet
	}
	r.sendIDs(r.recent.Encode())
}

// sendLateID sends the successor the id of a request that was admitted after the handover began. Only connections of RESP2
// clients are handed over; the other front ends go on admitting requests.
func (r *Router) sendLateID(id routing.RequestID) {
	if r.takeover.handingOver && r.takeover.outgoing != nil {
		r.sendIDs(recentids.EncodeID(string(id)))
	}
}

// sendIDs queues a frame with encoded ids for the successor. The loop does not wait if the queue is full.
func (r *Router) sendIDs(ids []byte) {
	t := &r.takeover
	select {
	case t.outgoing <- outgoingFrame{Frame: handover.Frame{Kind: handover.RecentIDs, Body: ids}, reserved: len(ids)}:
		t.unsentFrames++
		t.frameMemory.Add(clientmemory.HandoverFrames, len(ids))
	default:
		r.log.Warn("handover: the queue of frames is full; the next process does not know all requests")
	}
}

// receiveRecentIDs records which requests the predecessor has admitted, and starts to accept clients.
func (r *Router) receiveRecentIDs(ids []byte) {
	if err := r.recent.AddEncoded(r.clock(), ids); err != nil {
		r.log.WithError(err).Warn("handover: requests of the previous process are not known")
	}
	r.acceptNow()
}

// continueHandover hands over the clients without pending commands, stops the streams of large values so that they can
// be handed over, and closes idle server connections. It repeats this until the handover ends.
func (r *Router) continueHandover() {
	if !r.takeover.handingOver {
		return
	}
	r.handOverClients()
	r.stopLargeReads()
	for _, s := range r.servers {
		r.closeIdleConnections(s)
	}
	r.after(r.limits.MetricsInterval/2, r.continueHandover)
}

// frameMemoryDivisor gives the part of the budget that frames on their way to the successor may take.
const frameMemoryDivisor = 16

// stopLargeReads stops the streams of large values so that they can be handed over, as many as have room on their way.
func (r *Router) stopLargeReads() {
	memory := &r.takeover.frameMemory
	for l := range r.largeReads {
		if memory.Total() >= r.held.Limit()/frameMemoryDivisor {
			return // continued once frames have been sent
		}
		if l.mayStop() {
			memory.Add(clientmemory.HandoverFrames, l.frameBytes())
			l.requestStop()
		}
	}
}

// handOverClients hands over each client without pending commands, with its unread input, for a bounded time.
func (r *Router) handOverClients() {
	began := r.clock()
	for client := range r.clients {
		if r.isTimeUp(began) {
			r.queueBatch() // it continues
			return
		}
		if client.closeAfterReplies || client.detachPending || !client.hasNoPendingReplies() {
			continue
		}
		fd, err := client.conn.Dup()
		if err != nil {
			r.log.WithError(err).Warn("client cannot be handed over")
			return
		}
		delete(r.clients, client)
		client.conn.SetContext(nil)
		r.closeConn(client.conn)
		r.connCount++
		client.handOver(fd)
	}
	for client := range r.polledClients {
		if r.isTimeUp(began) {
			r.queueBatch()
			return
		}
		if !client.paused || client.closeAfterReplies || !client.hasNoPendingReplies() {
			continue
		}
		delete(r.polledClients, client)
		client.paused = false
		r.detachedClients--
		client.handOver(client.descriptor)
	}
}

// handOver sends the client's connection, which has left the loop, to the successor.
func (c *client) handOver(descriptor int) {
	r, t := c.r, &c.r.takeover
	if c.hasSentRequest {
		r.requestingClients--
	}
	c.conn = nil
	c.stopWaitingForInput()
	c.memory.Release()
	t.unsentFrames++
	reserved := c.input.size
	t.frameMemory.Add(clientmemory.HandoverFrames, reserved)
	t.outgoing <- outgoingFrame{Frame: handover.Frame{Kind: handover.Client, Body: c.input.unread, FDs: []int{descriptor}}, reserved: reserved}
}

// sendFrames sends frames off the loop. Clients that cannot be sent return to this process.
func (r *Router) sendFrames(conn *handover.Conn, frames chan outgoingFrame) {
	for frame := range frames {
		if frame.encode != nil {
			frame.Body = frame.encode()
		}
		err := conn.Send(frame.Frame)
		if err == nil {
			r.runAsync(func() {
				r.frameSent(frame)
				frame.CloseDescriptors()
				r.queueBatch()
				if r.takeover.handingOver {
					r.stopLargeReads()
				}
			})
			continue
		}
		r.runAsync(func() { r.frameSent(frame) })
		// A frame may have been sent in part, so the connection is unusable, and this process serves the clients again.
		conn.Close()
		r.adoptConnection(frame.Frame)
	}
}

// frameSent updates the counts when a frame has left the queue of frames to the successor.
func (r *Router) frameSent(frame outgoingFrame) {
	r.takeover.unsentFrames--
	r.takeover.frameMemory.Add(clientmemory.HandoverFrames, -frame.reserved)
	r.connCount -= len(frame.FDs)
}

// adoptConnection adopts a client of another process, or one that could not be handed over, together with a large
// value that is being streamed to it.
func (r *Router) adoptConnection(f handover.Frame) {
	if f.Kind == handover.LargeValue && len(f.FDs) == 2 {
		r.adoptLargeRead(f)
		return
	}
	if f.Kind != handover.Client || len(f.FDs) != 1 {
		f.CloseDescriptors()
		return
	}
	c, err := connFromDescriptor(f.FDs[0])
	if err != nil {
		r.log.WithError(err).Warn("client connection cannot be adopted")
		return
	}
	adopted := newClient(r)
	adopted.adopted, adopted.hasSentCommand = true, true
	adopted.input.adopt(f.Body)
	r.takeover.adopting <- struct{}{}
	go func() {
		defer func() { <-r.takeover.adopting }()
		r.enroll(c, adopted, func() {})
		r.awaitTurn()
	}()
}

// maxPendingAdoptions bounds the adopted connections that have not reached the loop. One at a time would take as many rounds
// of a busy loop as there are clients.
const maxPendingAdoptions = 32
