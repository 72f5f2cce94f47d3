package router

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
)

// requestStop stops the goroutine between two chunks, so that handOver is called.
func (l *largeRead) requestStop() {
	l.stopped.Store(true)
	_ = l.clientConn.SetDeadline(time.Unix(1, 0))
	_ = l.serverConn.SetDeadline(time.Unix(1, 0))
}

// mayStop reports whether the value can be handed over: this process has to answer the client's pending requests.
func (l *largeRead) mayStop() bool { return !l.stopped.Load() && l.client.allAnswered() }

// frameBytes estimates the size of the frame that hands the value over, in which bytes are in base64.
func (l *largeRead) frameBytes() int {
	bytes := l.r.limits.LargeValueWindow + len(l.client.input.unread)
	for _, s := range l.client.slots {
		bytes += len(s.reply)
	}
	return base64.StdEncoding.EncodedLen(bytes)
}

// largeReadFrame describes a large value to the process that continues it. The field names are part of the format.
type largeReadFrame struct {
	Server     string // id in discovery
	Method     string
	Pending    []byte        // bytes to be written to the client
	Remaining  int           `json:"Left"` // bytes still to be read from the server
	CloseAfter bool          `json:"Last"`
	Terminated bool          `json:"Ended"` // the line end is in Pending, or written
	Trailing   []byte        `json:"Has"`   // bytes read after the value
	Answers    []byte        // replies to write after the value
	Unread     []byte        `json:"Rest"`       // input of the client that has not been read
	Sum        answerSum     `json:",omitzero"`  // of what has been read of the value
	Earlier    answerHistory `json:",omitempty"` // answers that the server's connection has delivered
}

// handOver passes the value on to the successor, or continues here if there is none.
func (l *largeRead) handOver() {
	r, t := l.r, &l.r.takeover
	if !t.handingOver {
		t.frameMemory.Add(clientmemory.HandoverFrames, -l.frameBytes())
		l.stopped.Store(false)
		go l.forward()
		return
	}
	message := largeReadFrame{Server: string(r.endpoints.UID(l.upstream.server.id)), Method: r.cfg.Settings.Methods[l.method].Name,
		Pending: l.pending, Remaining: l.remaining, CloseAfter: l.closeAfter, Terminated: l.terminated, Trailing: l.received, Unread: l.client.input.unread,
		Sum: l.sum, Earlier: l.earlier}
	for _, s := range l.client.slots {
		message.Answers = append(message.Answers, s.reply...)
	}
	text, err := json.Marshal(message)
	var fds []int
	for _, c := range []net.Conn{l.clientConn, l.serverConn} {
		fd, dupErr := duplicateDescriptor(c.(*net.TCPConn))
		if err = errors.Join(err, dupErr); dupErr == nil {
			fds = append(fds, fd)
		}
	}
	reserved := l.frameBytes()
	if err != nil {
		t.frameMemory.Add(clientmemory.HandoverFrames, -reserved)
		for _, fd := range fds {
			unix.Close(fd)
		}
		go l.abort(err)
		return
	}
	l.clientConn.Close()
	l.serverConn.Close()
	l.finished()
	l.client.memory.Release()
	r.counts.Requests-- // the successor counts it
	r.detachedClients--
	r.serverConnCount--
	t.unsentFrames++
	t.outgoing <- outgoingFrame{Frame: handover.Frame{Kind: handover.LargeValue, Body: text, FDs: fds}, reserved: reserved}
}

// adoptLargeRead continues a large value that another process began.
func (r *Router) adoptLargeRead(f handover.Frame) {
	var message largeReadFrame
	err := json.Unmarshal(f.Body, &message)
	clientConn, clientErr := connFromDescriptor(f.FDs[0])
	serverConn, serverErr := connFromDescriptor(f.FDs[1])
	if err = errors.Join(err, clientErr, serverErr); err != nil {
		r.log.WithError(err).Warn("large value of the previous process cannot be adopted")
		return // what remains of it ends with the process
	}
	r.runAsync(func() {
		method := r.methods[message.Method]
		s := &server{protocol: r.cacheCodec}
		if id, known := r.endpoints.ID(discovery.UID(message.Server)); known && r.servers[id] != nil {
			s = r.servers[id]
		}
		client := newClient(r)
		client.detached, client.hasSentCommand, client.hasReceived = true, true, true
		client.input.adopt(message.Unread)
		client.noteMemory()
		if len(message.Answers) > 0 {
			held := &slot{}
			client.slots = []*slot{held}
			client.holdReply(held, message.Answers)
		}
		up := newUpstream(r, s)
		up.detached, up.attemptCount, up.answers = true, 1, message.Earlier
		read := &largeRead{r: r, client: client, upstream: up,
			method: method, clientConn: clientConn, serverConn: serverConn,
			pending: message.Pending, remaining: message.Remaining, closeAfter: message.CloseAfter, terminated: message.Terminated, received: message.Trailing,
			sum: message.Sum, earlier: message.Earlier, memory: r.held.NewAccount()}
		read.memory.Set(clientmemory.LargeValues, cap(message.Pending)+r.limits.LargeValueWindow)
		r.counts.Requests++
		r.detachedClients++
		r.serverConnCount++
		r.connCount += 2
		r.largeReads[read] = struct{}{}
		go read.forward()
	})
}
