package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/operatorstate"
	"spurtrestle/internal/snapshot"
)

// takeover is how this process follows another as the router, and is followed by the next. The fields belong to the
// loop, but for those noted.
type takeover struct {
	socketDir, socketName  string // of the socket by which the processes find each other; before Run
	listener               *net.TCPListener
	socket                 *net.UnixListener
	operatorFrame          *operatorFrame     // of the old process, as it last knew; nil: not told
	predecessor, successor *handover.Conn     // the processes before and behind this one, while they live
	accepting              bool               // clients come to this process
	enrolling              atomic.Int32       // accepted, and not with the loop yet
	discoverable           bool               // the next process can find it, or was to
	handingOver            bool               // its clients are passed on to the heir
	hasHandedOver          bool               // they were once, also if the heir has ended since
	outgoing               chan outgoingFrame // to the heir; room for all clients
	unsentFrames           int                // passed, and not with the heir yet
	peerDescriptors        [2]int             // descriptors that the old one and the heir hold
	onTransfer             func([]byte)       // takes what the old one leaves; before Run
}

// asked is what operators want, as one process tells it to another while both live: a file may be full, or spoilt.
type operatorFrame struct {
	operatorstate.State
	NotPersisted    bool `json:"Unkept"` // the file does not have it
	NoSharesGranted bool `json:"Whole"`  // nothing of the part of what all routers may send is lent
}

// passed is a client's connection on its way to the heir.
type outgoingFrame struct {
	handover.Frame
}

// Join finds the process that this one replaces, if there is one, and takes its listener and what it knows. Call it
// before Run. An error: the process that serves there is another service's, and neither its clients nor its address is ours.
func (r *Router) ConnectPredecessor(dir string) error {
	const frameTimeout = time.Second
	t := &r.takeover
	t.socketDir, t.socketName = dir, "spurtrestle-"+r.cfg.Listen+".sock"
	predecessor, err := handover.Dial(t.socketDir, t.socketName, frameTimeout)
	if err != nil {
		return nil // nobody: the usual start
	}
	var state *snapshot.State
	var serviceErr error
	if err = predecessor.Send(handover.Frame{Kind: handover.Hello}); err == nil {
		for err == nil && state == nil {
			var f handover.Frame
			if f, err = predecessor.Receive(frameTimeout); err != nil {
				break
			}
			switch f.Kind {
			case handover.Listener:
				var ln net.Listener
				if ln, err = listenerFromFrame(f); err == nil {
					t.listener, _ = ln.(*net.TCPListener)
				}
			case handover.OperatorState:
				t.operatorFrame = new(operatorFrame)
				err = json.Unmarshal(f.Body, t.operatorFrame)
			case handover.Snapshot:
				var s snapshot.State
				if s, err = snapshot.Decode(f.Body); err == nil {
					serviceErr = checkSameService(s, r.cfg.Settings)
					err = serviceErr
				}
				if err == nil {
					state = &s
				}
			}
		}
	}
	if err == nil && (t.listener == nil || t.listener.Addr().String() != r.cfg.Listen) {
		err = errors.New("its listener is another one")
	}
	if err != nil {
		if t.listener != nil {
			t.listener.Close()
			t.listener = nil
		}
		predecessor.Close()
		if serviceErr != nil {
			return &configerror.Error{Field: "listen", Problem: fmt.Sprintf("a process serves at %s, but %v", r.cfg.Listen, serviceErr),
				Remedy: "give this one an address or a TMPDIR of its own", Cause: serviceErr}
		}
		r.log.WithError(err).Warn("a process that this one replaces does not hand over; both listen")
		return nil
	}
	t.predecessor = predecessor
	if r.learned == nil {
		r.learned = &learnedState{restored: state, unlistedServers: map[discovery.UID]routing.ServerKnowledge{}}
	}
	r.log.Info("replacing a process that serves")
	return nil
}

func listenerFromFrame(f handover.Frame) (net.Listener, error) {
	if len(f.FDs) != 1 {
		f.CloseDescriptors()
		return nil, errors.New("no listener came")
	}
	file := os.NewFile(uintptr(f.FDs[0]), "")
	defer file.Close()
	return net.FileListener(file)
}

// listen takes the clients' address, unless the old process has given it.
func (r *Router) listen() error {
	t := &r.takeover
	if t.listener != nil {
		return nil
	}
	ln, err := Listen(r.cfg.Listen)
	if err != nil {
		return &configerror.Error{Field: "listen", Problem: err.Error(), Cause: err}
	}
	t.listener = ln.(*net.TCPListener)
	return nil
}

// Listen takes an address that two processes of a router may share.
func Listen(addr string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(e, err)
	}}
	return shared.Listen(context.Background(), "tcp", addr)
}

// takeClients begins to take clients; an old process passes on those that it has from now on.
func (r *Router) startAccepting() {
	t := &r.takeover
	if t.accepting || t.handingOver || r.closingClients {
		return
	}
	if t.predecessor != nil && !r.mayAdmit() {
		return // clients are better off where they are, until the old one has left what it holds of the policy
	}
	t.accepting = true
	_ = t.listener.SetDeadline(time.Time{})
	go r.acceptClients()
	r.becomeDiscoverable()
	if t.predecessor != nil {
		r.log.Info("taking over")
		t.predecessor.Enqueue(handover.Frame{Kind: handover.Ready}) // where it has ended nothing is to take
	}
	r.publishStats()
}

// listKnown: with an old process at work there is time to wait for discovery's own list.
func (r *Router) afterEndpointsUpdate(update routing.EndpointsUpdated) {
	if r.hasUsableServer && (r.takeover.predecessor == nil || update.Kind != routing.CachedUpdate) {
		r.startAccepting()
	}
	r.becomeDiscoverable()
}

// showUp lets the next process find this one, once it serves: until it says yes it holds no socket but those of TCP and
// UDP, since there may be no others, and a refusal must not come before. A process that is told to end is not to be found.
func (r *Router) becomeDiscoverable() {
	if t := &r.takeover; t.socketName != "" && t.accepting && r.hasUsableServer && !t.discoverable && !r.draining {
		t.discoverable = true
		go r.awaitSuccessors(t.hasHandedOver)
	}
}

// accept runs off the loop, until the listener is closed or clients are the heir's.
func (r *Router) acceptClients() {
	const pause = 5 * time.Millisecond // where there are no descriptors
	var under []<-chan struct{}
	for {
		c, err := r.takeover.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			time.Sleep(pause)
			continue
		}
		r.takeover.enrolling.Add(1)
		enrolled, err := r.loop.Enroll(gnet.NewContext(context.Background(), &client{r: r, enrolling: true}), c)
		if err != nil {
			r.takeover.enrolling.Add(-1)
			c.Close()
			return
		}
		done := make(chan struct{})
		go func() { // one that is not enrolled, for want of a descriptor, does not come any more: a drain would wait for it
			if (<-enrolled).Err != nil {
				r.takeover.enrolling.Add(-1)
			}
			close(done)
		}()
		if under = append(under, done); len(under) >= maxPendingEnrolls {
			<-under[0]
			under = under[1:]
		}
	}
}

const maxPendingEnrolls = 4 // each holds two descriptors until the loop has it

// awaitHeir waits off the loop for processes that are to replace this one, one after the other. One that has handed on and has its
// clients back, since its successor has ended, leaves the name to a process that answers there: it has replaced the successor.
func (r *Router) awaitSuccessors(handedOn bool) {
	t := &r.takeover
	if handedOn && handover.Answers(t.socketDir, t.socketName) {
		r.log.Warn("handover: another process has replaced the successor, and is the one that the next process finds")
		return
	}
	listener, err := handover.Listen(t.socketDir, t.socketName)
	if err != nil {
		r.log.WithError(err).Warn("the next process will not find this one; see that TMPDIR is a folder with room")
		return
	}
	r.runAsync(func() {
		if t.socket = listener; r.stopped {
			listener.Close()
		}
	})
	for {
		conn, err := handover.Accept(listener)
		if err != nil {
			return
		}
		r.serveSuccessor(conn)
		conn.Close()
	}
}

// serveHeir speaks to one heir until it ends.
func (r *Router) serveSuccessor(conn *handover.Conn) {
	t := &r.takeover
	if frame, err := conn.Receive(time.Second); err != nil || frame.Kind != handover.Hello {
		return
	}
	fd, err := duplicateDescriptor(t.listener)
	if err != nil {
		return
	}
	err = r.runOnLoop(func() { // queued at once, so that what changes from now on is sent behind it
		t.successor = conn
		r.adjustMemoryLimits()
		conn.Enqueue(handover.Frame{Kind: handover.Listener, FDs: []int{fd}})
		r.sendOperatorState(conn)
		conn.Enqueue(handover.Frame{Kind: handover.Snapshot, Body: snapshot.Encode(r.State())})
	})
	if err != nil {
		unix.Close(fd)
		return
	}
	r.log.Info("another process is to replace this one")
	defer r.runAsync(func() { // it is gone: clients are this process's again
		r.log.Warn("the process that was to replace this one has ended")
		if t.successor, t.peerDescriptors[1], t.handingOver = nil, 0, false; t.outgoing != nil {
			close(t.outgoing)
			t.outgoing = nil
		}
		r.adjustMemoryLimits()
		if !t.accepting {
			r.startAccepting()
		}
	})
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		switch frame.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(frame)
		case handover.DescriptorCount:
			r.setPeerDescriptors(1, frame)
		case handover.Ready:
			frames := make(chan outgoingFrame, r.limits.MaxDescriptors)
			go r.sendFrames(conn, frames)
			r.runAsync(func() { r.startHandover(frames) })
		}
	}
}

// handOn begins to pass on the clients.
func (r *Router) startHandover(frames chan outgoingFrame) {
	t := &r.takeover
	r.log.Info("clients are another process's from now on")
	t.handingOver, t.hasHandedOver, t.accepting, t.discoverable, t.outgoing = true, true, false, false, frames
	_ = t.listener.SetDeadline(time.Unix(1, 0)) // what waits to be accepted waits for the heir
	if t.socket != nil {
		t.socket.Close() // the next process is the heir's; the name is too
	}
	r.notifyServing(false)
	r.publishStats()
	r.continueHandover()
}

func (r *Router) continueHandover() {
	if !r.takeover.handingOver {
		return
	}
	r.handOverClients()
	for l := range r.largeReads {
		l.requestStop()
	}
	for _, s := range r.servers {
		r.closeIdleConnections(s)
	}
	r.after(r.limits.MetricsInterval/2, r.continueHandover)
}

// passClients passes on each client of which nothing is in hand, with what of it is not read yet.
func (r *Router) handOverClients() {
	t := &r.takeover
	for client := range r.clients {
		if client.closeAfterReplies || client.detachPending || !client.hasNoPendingReplies() {
			continue
		}
		fd, err := client.conn.Dup()
		if err != nil {
			r.log.WithError(err).Warn("a client cannot be passed on")
			return
		}
		client.detachedInput = append([]byte(nil), client.unreadInput()...)
		delete(r.clients, client)
		if client.hasSentRequest {
			r.requestingClients--
		}
		client.conn.SetContext(nil)
		r.close(client.conn)
		client.conn = nil
		r.connCount++
		t.unsentFrames++
		t.outgoing <- outgoingFrame{Frame: handover.Frame{Kind: handover.Client, Body: client.detachedInput, FDs: []int{fd}}}
	}
}

// passOn sends off the loop. What cannot be sent comes back.
func (r *Router) sendFrames(conn *handover.Conn, frames chan outgoingFrame) {
	for frame := range frames {
		err := conn.Send(frame.Frame)
		if err == nil {
			r.runAsync(func() {
				r.takeover.unsentFrames--
				r.connCount -= len(frame.FDs)
				frame.CloseDescriptors()
				r.queueBatch()
			})
			continue
		}
		r.runAsync(func() {
			r.takeover.unsentFrames--
			r.connCount -= len(frame.FDs)
		})
		conn.Close() // a frame may have gone in part: nothing more is told on it, and clients are this process's again
		r.adoptConnection(frame.Frame)
	}
}

// takeOver takes a client that another process had, or was to have, with the big value that is on its way to it.
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
		r.log.WithError(err).Warn("a client's connection cannot be taken")
		return
	}
	r.enroll(c, &client{r: r, detachedInput: f.Body, hasSentCommand: true}, func() {})
}

// followOld speaks to the old process until it ends.
func (r *Router) followPredecessor(conn *handover.Conn) {
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			break
		}
		switch frame.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(frame)
		case handover.DescriptorCount:
			r.setPeerDescriptors(0, frame)
		case handover.LeaseTransfer:
			if r.takeover.onTransfer != nil {
				r.takeover.onTransfer(frame.Body)
			}
		default:
			r.adoptConnection(frame)
		}
	}
	conn.Close()
	r.runAsync(func() {
		r.log.Info("the process before this one has ended")
		r.takeover.predecessor, r.takeover.peerDescriptors[0] = nil, 0
		r.adjustMemoryLimits()
		r.startAccepting()
	})
}

// OnTransfer registers the function that receives the transfers of the process that this one replaces. Call it before Run.
func (r *Router) OnTransfer(f func([]byte)) { r.takeover.onTransfer = f }

// OfferTransfer leaves something to the process that is to replace this one, if there is one; it is made only then.
func (r *Router) OfferTransfer(what func() []byte) {
	select {
	case <-r.ready:
	default:
		return
	}
	r.runAsync(func() {
		if heir := r.takeover.successor; heir != nil {
			heir.Publish(handover.LeaseTransfer, what)
		}
	})
}

// heard: another process tells how many descriptors it holds.
func (r *Router) setPeerDescriptors(which int, f handover.Frame) {
	if n, err := strconv.Atoi(string(f.Body)); err == nil {
		r.runAsync(func() {
			if r.takeover.peerDescriptors[which] = n; which == 1 && r.takeover.successor == nil {
				r.takeover.peerDescriptors[which] = 0
			}
		})
	}
}

// tellHolds tells the others how many descriptors this process holds.
func (r *Router) publishDescriptorCount() {
	t := &r.takeover
	if t.predecessor == nil && t.successor == nil {
		return
	}
	count := strconv.AppendInt(nil, int64(r.connCount+descriptorsPerDial*r.pendingDials+r.limits.ReservedDescriptors), 10)
	for _, conn := range []*handover.Conn{t.predecessor, t.successor} {
		if conn != nil {
			conn.Publish(handover.DescriptorCount, func() []byte { return count })
		}
	}
}

// shareMemory halves what this process may hold while another lives.
func (r *Router) adjustMemoryLimits() {
	processes := 1
	if r.takeover.predecessor != nil || r.takeover.successor != nil {
		processes = 2
	}
	r.limits.RequestBytes, r.limits.ClientBufferBytes = r.cfg.Limits.RequestBytes/processes, r.cfg.Limits.ClientBufferBytes/processes
	debug.SetMemoryLimit(r.cfg.Limits.MemoryBytes / int64(processes))
}
