package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/discovery"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/operatorstate"
	"spurtrestle/internal/snapshot"
)

// takeover holds how this process replaces another process of the router, and is replaced by the next. The fields
// belong to the loop, except where noted.
type takeover struct {
	socketDir, socketName  string // of the socket by which the processes find each other; set before Run
	listener               *net.TCPListener
	socket                 *net.UnixListener
	operatorFrame          *operatorFrame        // the predecessor's latest; nil: none was received
	endpoints              *discovery.SharedList // the predecessor's at the start; nil: none was received
	predecessor, successor *handover.Conn        // the processes before and after this one, while they are alive
	accepting              bool                  // clients are accepted by this process
	adopting               chan struct{}         // an element for each adopted connection that has not reached the loop yet
	readySent              bool                  // the predecessor was told that this process can accept clients
	enrolling              atomic.Int32          // accepted connections that are not enrolled in the loop yet
	discoverable           bool                  // awaitSuccessors has been started, so that the next process can find this one
	handingOver            bool                  // clients are being handed over to the successor
	hasHandedOver          bool                  // handingOver was set once, even if that successor has ended since
	outgoing               chan outgoingFrame    // frames to the successor; has room for all clients
	frameMemory            clientmemory.Account  // of frames to the successor, from the request to stop a value on
	unsentFrames           int                   // frames queued but not yet sent to the successor
	peerMemory             [2]peerMemory         // of the other processes, by predecessorPeer and successorPeer
	peerDescriptors        [2]int                // descriptors held by the other processes, by predecessorPeer and successorPeer
	onTransfer             func([]byte)          // receives the predecessor's transfers; set before Run
}

// Indices of takeover.peerDescriptors.
const (
	predecessorPeer = iota
	successorPeer
)

// operatorFrame carries what operators have requested from one process to another while both are alive, since the
// file that holds it may be damaged or not writable.
type operatorFrame struct {
	operatorstate.State
	NotPersisted    bool `json:"Unkept"` // the file does not contain it
	NoSharesGranted bool `json:"Whole"`  // no part of this router's share of the fleet's limits is granted to other routers
	// ReplacedDiscovery is the address of discovery with which the process started, if it has another one since. Earlier releases
	// have neither this field nor the next one.
	ReplacedDiscovery string         `json:",omitempty"`
	DiscoveryMove     *discoveryMove `json:",omitempty"` // the last one; nil: there was none
}

// outgoingFrame carries a client's connection to the successor.
type outgoingFrame struct {
	handover.Frame
	reserved int           // bytes of memory held for it
	encode   func() []byte // returns the body when the frame is sent; nil: the frame has it
}

// ConnectPredecessor finds the process that this one replaces, if there is one, and takes over its listener and
// its learned state. Call it before Run. It returns an error if the process that serves there belongs to another
// service: neither its clients nor its address are this router's.
func (r *Router) ConnectPredecessor(dir string) error {
	const frameTimeout = time.Second
	t := &r.takeover
	t.socketDir, t.socketName = dir, "spurtrestle-"+r.cfg.Listen+".sock"
	predecessor, err := handover.Dial(t.socketDir, t.socketName, frameTimeout)
	if err != nil {
		return nil // no predecessor: the usual start
	}
	state, serviceErr, err := r.receiveFromPredecessor(predecessor, frameTimeout)
	if err == nil && (t.listener == nil || t.listener.Addr().String() != r.cfg.Listen) {
		err = errors.New("its listener has another address")
	}
	if err != nil {
		if t.listener != nil {
			t.listener.Close()
			t.listener = nil
		}
		t.endpoints = nil
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

// receiveFromPredecessor greets the predecessor and applies its frames up to its learned state. serviceErr is not
// nil if that state is another service's.
func (r *Router) receiveFromPredecessor(predecessor *handover.Conn, frameTimeout time.Duration) (state *snapshot.State, serviceErr, err error) {
	if err = predecessor.Send(handover.Frame{Kind: handover.Hello}); err == nil {
		for err == nil && state == nil {
			var f handover.Frame
			if f, err = predecessor.Receive(frameTimeout); err != nil {
				break
			}
			state, serviceErr, err = r.applyPredecessorFrame(f)
		}
	}
	return state, serviceErr, err
}

// applyPredecessorFrame applies one of the frames that precede the handover; state is not nil for the learned state.
func (r *Router) applyPredecessorFrame(f handover.Frame) (state *snapshot.State, serviceErr, err error) {
	t := &r.takeover
	switch f.Kind {
	case handover.Listener:
		var ln net.Listener
		if ln, err = listenerFromFrame(f); err == nil {
			t.listener, _ = ln.(*net.TCPListener)
		}
	case handover.OperatorState:
		t.operatorFrame = new(operatorFrame)
		err = json.Unmarshal(f.Body, t.operatorFrame)
	case handover.Endpoints:
		if shared, ok := r.decodeEndpoints(f); ok {
			t.endpoints = &shared
		}
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
	return state, serviceErr, err
}

// listenerFromFrame returns the listener whose descriptor a frame carries.
func listenerFromFrame(f handover.Frame) (net.Listener, error) {
	if len(f.FDs) != 1 {
		f.CloseDescriptors()
		return nil, errors.New("the frame contains no listener")
	}
	file := os.NewFile(uintptr(f.FDs[0]), "")
	defer file.Close()
	return net.FileListener(file)
}

// listen opens the listener, unless the predecessor has passed it on.
func (r *Router) listen() error {
	t := &r.takeover
	if t.listener == nil {
		ln, err := Listen(r.cfg.Listen)
		if err != nil {
			return &configerror.Error{Field: "listen", Problem: err.Error(), Cause: err}
		}
		t.listener = ln.(*net.TCPListener)
	}
	return boundClientInput(t.listener)
}

// clientReceiveBuffer is how many bytes of a client the kernel holds for the router, which owes an answer to all of them. The longest
// command that is not streamed fits with the segments that overlap it, so that it arrives while it waits for memory.
const clientReceiveBuffer = 192 << 10

// boundClientInput bounds what the kernel accepts from clients that the router does not read from. Connections inherit it.
func boundClientInput(listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		// Without it the kernel accepts more, up to its own limit.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBuffer)
	})
}

// Listen opens a listener on an address that two processes of a router may share.
func Listen(addr string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(controlErr, err)
	}}
	return shared.Listen(context.Background(), "tcp", addr)
}

// startAccepting starts to accept clients; the predecessor hands its clients over from then on.
func (r *Router) startAccepting() {
	t := &r.takeover
	if t.accepting || t.handingOver || r.closingClients {
		return
	}
	if t.predecessor != nil && !r.mayAdmit() {
		return // clients stay with the predecessor until it has transferred its leases
	}
	if t.predecessor == nil {
		r.acceptNow()
		return
	}
	if !t.readySent {
		t.readySent = true
		t.predecessor.Enqueue(handover.Frame{Kind: handover.Ready}) // if the predecessor has ended, there is nothing to take over
		r.after(recentIDsTimeout, r.acceptNow)
	}
}

// recentIDsTimeout is how long a process waits for the ids of the requests that its predecessor has admitted.
// Predecessors of older releases never send them.
const recentIDsTimeout = 150 * clock.Millisecond

// acceptNow starts to accept clients, unless this process does so already.
func (r *Router) acceptNow() {
	t := &r.takeover
	if t.accepting || t.handingOver || r.closingClients {
		return
	}
	t.accepting = true
	_ = t.listener.SetDeadline(time.Time{})
	go r.acceptClients()
	r.becomeDiscoverable()
	if t.predecessor != nil {
		r.log.Info("taking over")
	}
	r.publishStats()
}

// afterEndpointsUpdate starts to accept clients once there is a usable server. While the predecessor serves, there
// is time to wait for discovery's own list instead of a saved one.
func (r *Router) afterEndpointsUpdate(update routing.EndpointsUpdated) {
	if r.hasUsableServer && (r.takeover.predecessor == nil || update.Kind != routing.CachedUpdate) {
		r.startAccepting()
	}
	r.becomeDiscoverable()
}

// becomeDiscoverable lets the next process find this one once it serves. Some environments forbid sockets other
// than TCP and UDP, so the Unix socket is opened only then: a failure must not keep the process from serving. A
// process that is draining is not discoverable.
func (r *Router) becomeDiscoverable() {
	if t := &r.takeover; t.socketName != "" && t.accepting && r.hasUsableServer && !t.discoverable && !r.draining {
		t.discoverable = true
		go r.awaitSuccessors(t.hasHandedOver)
	}
}

// awaitSuccessors waits, off the loop, for processes that are to replace this one, one after another. If this
// process has its clients back because its successor has ended, and another process answers under the name, that
// one has replaced the successor and keeps the name.
func (r *Router) awaitSuccessors(hasHandedOver bool) {
	t := &r.takeover
	if hasHandedOver && handover.IsListening(t.socketDir, t.socketName) {
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

const helloTimeout = time.Second // for the first frame of a successor

// serveSuccessor handles the connection of one successor until it ends.
func (r *Router) serveSuccessor(conn *handover.Conn) {
	t := &r.takeover
	if frame, err := conn.Receive(helloTimeout); err != nil || frame.Kind != handover.Hello {
		return
	}
	fd, err := duplicateDescriptor(t.listener)
	if err != nil {
		return
	}
	err = r.runOnLoop(func() { // queued on the loop at once, so that later changes are sent after it
		t.successor = conn
		r.adjustMemoryLimits()
		conn.Enqueue(handover.Frame{Kind: handover.Listener, FDs: []int{fd}})
		r.sendOperatorState(conn)
		r.sendEndpoints(conn)
		conn.Enqueue(handover.Frame{Kind: handover.Snapshot, Body: snapshot.Encode(r.State())})
	})
	if err != nil {
		unix.Close(fd)
		return
	}
	r.log.Info("a process that is to replace this one has connected")
	defer r.runAsync(r.successorEnded)
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		switch frame.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(frame)
		case handover.Endpoints:
			r.receiveEndpoints(conn, frame)
		case handover.DescriptorCount:
			r.setPeerDescriptors(successorPeer, frame)
		case handover.HeldMemory:
			r.setPeerMemory(successorPeer, frame)
		case handover.Ready:
			frames := make(chan outgoingFrame, r.limits.MaxDescriptors)
			go r.sendFrames(conn, frames)
			r.runAsync(func() { r.startHandover(frames) })
		}
	}
}

// successorEnded has this process serve the clients again.
func (r *Router) successorEnded() {
	t := &r.takeover
	r.log.Warn("the process that was to replace this one has ended")
	t.peerMemory[successorPeer] = peerMemory{}
	if t.successor, t.peerDescriptors[successorPeer], t.handingOver = nil, 0, false; t.outgoing != nil {
		close(t.outgoing)
		t.outgoing = nil
	}
	r.adjustMemoryLimits()
	r.refreshEndpoints()
	r.resumePausedClients()
	for client := range r.clients {
		if len(client.input.unread) > 0 { // received meanwhile
			r.queueTurn(client)
		}
	}
	if !t.accepting {
		r.startAccepting()
	}
}

// startHandover starts to hand over the clients.
func (r *Router) startHandover(frames chan outgoingFrame) {
	t := &r.takeover
	r.log.Info("handing clients over to the next process")
	t.handingOver, t.hasHandedOver, t.accepting, t.discoverable, t.outgoing = true, true, false, false, frames
	_ = t.listener.SetDeadline(time.Unix(1, 0)) // connections waiting to be accepted are left to the successor
	if t.socket != nil {
		t.socket.Close() // the next process is to find the successor, which also takes the name
	}
	r.sendUnsentEndpoints()
	r.sendRecentIDs()
	r.notifyServing(false)
	r.publishStats()
	r.continueHandover()
}

// followPredecessor handles the predecessor's frames until it ends.
func (r *Router) followPredecessor(conn *handover.Conn) {
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			break
		}
		switch frame.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(frame)
		case handover.Endpoints:
			r.receiveEndpoints(conn, frame)
		case handover.DescriptorCount:
			r.setPeerDescriptors(predecessorPeer, frame)
		case handover.HeldMemory:
			r.setPeerMemory(predecessorPeer, frame)
		case handover.LeaseTransfer:
			if r.takeover.onTransfer != nil {
				r.takeover.onTransfer(frame.Body)
			}
		case handover.RecentIDs:
			r.runAsync(func() { r.receiveRecentIDs(frame.Body) })
		default:
			r.adoptConnection(frame)
		}
	}
	conn.Close()
	r.runAsync(func() {
		r.log.Info("the process before this one has ended")
		r.takeover.predecessor, r.takeover.peerDescriptors[predecessorPeer] = nil, 0
		r.takeover.peerMemory[predecessorPeer] = peerMemory{}
		r.adjustMemoryLimits()
		r.refreshEndpoints()
		r.startAccepting()
	})
}

// OnTransfer registers the function that receives the predecessor's transfers. Call it before Run.
func (r *Router) OnTransfer(f func([]byte)) { r.takeover.onTransfer = f }

// OfferTransfer sends the result of transfer to the successor, if there is one; transfer is called, on the loop,
// only then.
func (r *Router) OfferTransfer(transfer func() []byte) {
	select {
	case <-r.ready:
	default:
		return
	}
	r.runAsync(func() {
		if successor := r.takeover.successor; successor != nil {
			successor.Publish(handover.LeaseTransfer, transfer)
		}
	})
}

// setPeerDescriptors records how many descriptors another process holds.
func (r *Router) setPeerDescriptors(peer int, frame handover.Frame) {
	if count, err := strconv.Atoi(string(frame.Body)); err == nil {
		r.runAsync(func() {
			if r.takeover.peerDescriptors[peer] = count; peer == successorPeer && r.takeover.successor == nil {
				r.takeover.peerDescriptors[peer] = 0
			}
		})
	}
}

// noteAdoptedDescriptor records that a descriptor of the predecessor is this process's now. The predecessor publishes its count
// from time to time only.
func (r *Router) noteAdoptedDescriptor() {
	count := &r.takeover.peerDescriptors[predecessorPeer]
	*count = max(0, *count-1)
}

// publishDescriptorCount sends the other processes the number of descriptors that this one holds.
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
