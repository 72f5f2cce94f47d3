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
	dir, name string // of the socket by which the processes find each other; before Run
	ln        *net.TCPListener
	unix      *net.UnixListener
	asked     *asked         // of the old process, as it last knew; nil: not told
	old, heir *handover.Conn // the processes before and behind this one, while they live
	accepting bool           // clients come to this process
	coming    atomic.Int32   // accepted, and not with the loop yet
	findable  bool           // the next process can find it, or was to
	handing   bool           // its clients are passed on to the heir
	handedOn  bool           // they were once, also if the heir has ended since
	out       chan passed    // to the heir; room for all clients
	unsent    int            // passed, and not with the heir yet
	others    [2]int         // descriptors that the old one and the heir hold
	inherit   func([]byte)   // takes what the old one leaves; before Run
}

// asked is what operators want, as one process tells it to another while both live: a file may be full, or spoilt.
type asked struct {
	operatorstate.State
	Unkept bool // the file does not have it
	Whole  bool // nothing of the part of what all routers may send is lent
}

// passed is a client's connection on its way to the heir.
type passed struct {
	handover.Frame
}

// Join finds the process that this one replaces, if there is one, and takes its listener and what it knows. Call it
// before Run. An error: the process that serves there is another service's, and neither its clients nor its address is ours.
func (r *Router) Join(dir string) error {
	const patience = time.Second
	t := &r.takeover
	t.dir, t.name = dir, "spurtrestle-"+r.cfg.Listen+".sock"
	old, err := handover.Dial(t.dir, t.name, patience)
	if err != nil {
		return nil // nobody: the usual start
	}
	var state *snapshot.State
	var another error
	if err = old.Send(handover.Frame{Kind: handover.Hello}); err == nil {
		for err == nil && state == nil {
			var f handover.Frame
			if f, err = old.Receive(patience); err != nil {
				break
			}
			switch f.Kind {
			case handover.Listener:
				var ln net.Listener
				if ln, err = listenerOf(f); err == nil {
					t.ln, _ = ln.(*net.TCPListener)
				}
			case handover.OperatorState:
				t.asked = new(asked)
				err = json.Unmarshal(f.Body, t.asked)
			case handover.Snapshot:
				var s snapshot.State
				if s, err = snapshot.Decode(f.Body); err == nil {
					another = sameService(s, r.cfg.Settings)
					err = another
				}
				if err == nil {
					state = &s
				}
			}
		}
	}
	if err == nil && (t.ln == nil || t.ln.Addr().String() != r.cfg.Listen) {
		err = errors.New("its listener is another one")
	}
	if err != nil {
		if t.ln != nil {
			t.ln.Close()
			t.ln = nil
		}
		old.Close()
		if another != nil {
			return &configerror.Error{Field: "listen", Problem: fmt.Sprintf("a process serves at %s, but %v", r.cfg.Listen, another),
				Remedy: "give this one an address or a TMPDIR of its own", Cause: another}
		}
		r.log.WithError(err).Warn("a process that this one replaces does not hand over; both listen")
		return nil
	}
	t.old = old
	if r.memory == nil {
		r.memory = &memory{learned: state, waiting: map[discovery.UID]routing.ServerKnowledge{}}
	}
	r.log.Info("replacing a process that serves")
	return nil
}

func listenerOf(f handover.Frame) (net.Listener, error) {
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
	if t.ln != nil {
		return nil
	}
	ln, err := Listen(r.cfg.Listen)
	if err != nil {
		return &configerror.Error{Field: "listen", Problem: err.Error(), Cause: err}
	}
	t.ln = ln.(*net.TCPListener)
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
func (r *Router) takeClients() {
	t := &r.takeover
	if t.accepting || t.handing || r.closing {
		return
	}
	if t.old != nil && !r.mayTake() {
		return // clients are better off where they are, until the old one has left what it holds of the policy
	}
	t.accepting = true
	_ = t.ln.SetDeadline(time.Time{})
	go r.accept()
	r.showUp()
	if t.old != nil {
		r.log.Info("taking over")
		t.old.Enqueue(handover.Frame{Kind: handover.Ready}) // where it has ended nothing is to take
	}
	r.publish()
}

// listKnown: with an old process at work there is time to wait for discovery's own list.
func (r *Router) listKnown(l routing.EndpointsUpdated) {
	if r.serving && (r.takeover.old == nil || l.Kind != routing.CachedUpdate) {
		r.takeClients()
	}
	r.showUp()
}

// showUp lets the next process find this one, once it serves: until it says yes it holds no socket but those of TCP and
// UDP, since there may be no others, and a refusal must not come before. A process that is told to end is not to be found.
func (r *Router) showUp() {
	if t := &r.takeover; t.name != "" && t.accepting && r.serving && !t.findable && !r.draining {
		t.findable = true
		go r.awaitHeir(t.handedOn)
	}
}

// accept runs off the loop, until the listener is closed or clients are the heir's.
func (r *Router) accept() {
	const pause = 5 * time.Millisecond // where there are no descriptors
	var under []<-chan struct{}
	for {
		c, err := r.takeover.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			time.Sleep(pause)
			continue
		}
		r.takeover.coming.Add(1)
		enrolled, err := r.loop.Enroll(gnet.NewContext(context.Background(), &client{r: r, coming: true}), c)
		if err != nil {
			r.takeover.coming.Add(-1)
			c.Close()
			return
		}
		done := make(chan struct{})
		go func() { // one that is not enrolled, for want of a descriptor, does not come any more: a drain would wait for it
			if (<-enrolled).Err != nil {
				r.takeover.coming.Add(-1)
			}
			close(done)
		}()
		if under = append(under, done); len(under) >= acceptsAtOnce {
			<-under[0]
			under = under[1:]
		}
	}
}

const acceptsAtOnce = 4 // each holds two descriptors until the loop has it

// awaitHeir waits off the loop for processes that are to replace this one, one after the other. One that has handed on and has its
// clients back, since its successor has ended, leaves the name to a process that answers there: it has replaced the successor.
func (r *Router) awaitHeir(handedOn bool) {
	t := &r.takeover
	if handedOn && handover.IsListening(t.dir, t.name) {
		r.log.Warn("handover: another process has replaced the successor, and is the one that the next process finds")
		return
	}
	ln, err := handover.Listen(t.dir, t.name)
	if err != nil {
		r.log.WithError(err).Warn("the next process will not find this one; see that TMPDIR is a folder with room")
		return
	}
	r.execute(func() {
		if t.unix = ln; r.stopped {
			ln.Close()
		}
	})
	for {
		p, err := handover.Accept(ln)
		if err != nil {
			return
		}
		r.serveHeir(p)
		p.Close()
	}
}

// serveHeir speaks to one heir until it ends.
func (r *Router) serveHeir(p *handover.Conn) {
	t := &r.takeover
	if f, err := p.Receive(time.Second); err != nil || f.Kind != handover.Hello {
		return
	}
	fd, err := dupOf(t.ln)
	if err != nil {
		return
	}
	err = r.runOnLoop(func() { // queued at once, so that what changes from now on is sent behind it
		t.heir = p
		r.shareMemory()
		p.Enqueue(handover.Frame{Kind: handover.Listener, FDs: []int{fd}})
		r.sendOperatorState(p)
		p.Enqueue(handover.Frame{Kind: handover.Snapshot, Body: snapshot.Encode(r.State())})
	})
	if err != nil {
		unix.Close(fd)
		return
	}
	r.log.Info("another process is to replace this one")
	defer r.execute(func() { // it is gone: clients are this process's again
		r.log.Warn("the process that was to replace this one has ended")
		if t.heir, t.others[1], t.handing = nil, 0, false; t.out != nil {
			close(t.out)
			t.out = nil
		}
		r.shareMemory()
		if !t.accepting {
			r.takeClients()
		}
	})
	for {
		f, err := p.Receive(0)
		if err != nil {
			return
		}
		switch f.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(f)
		case handover.DescriptorCount:
			r.heard(1, f)
		case handover.Ready:
			out := make(chan passed, r.lim.MaxDescriptors)
			go r.passOn(p, out)
			r.execute(func() { r.handOn(out) })
		}
	}
}

// handOn begins to pass on the clients.
func (r *Router) handOn(out chan passed) {
	t := &r.takeover
	r.log.Info("clients are another process's from now on")
	t.handing, t.handedOn, t.accepting, t.findable, t.out = true, true, false, false, out
	_ = t.ln.SetDeadline(time.Unix(1, 0)) // what waits to be accepted waits for the heir
	if t.unix != nil {
		t.unix.Close() // the next process is the heir's; the name is too
	}
	r.tellServing(false)
	r.publish()
	r.handingOn()
}

func (r *Router) handingOn() {
	if !r.takeover.handing {
		return
	}
	r.passClients()
	for l := range r.passing {
		l.stop()
	}
	for _, s := range r.servers {
		r.closeIdle(s)
	}
	r.after(r.lim.MetricsInterval/2, r.handingOn)
}

// passClients passes on each client of which nothing is in hand, with what of it is not read yet.
func (r *Router) passClients() {
	t := &r.takeover
	for c := range r.clients {
		if c.over || c.leaving || !c.settled() {
			continue
		}
		fd, err := c.conn.Dup()
		if err != nil {
			r.log.WithError(err).Warn("a client cannot be passed on")
			return
		}
		c.rest = append([]byte(nil), c.unread()...)
		delete(r.clients, c)
		if c.asked {
			r.askers--
		}
		c.conn.SetContext(nil)
		r.close(c.conn)
		c.conn = nil
		r.conns++
		t.unsent++
		t.out <- passed{Frame: handover.Frame{Kind: handover.Client, Body: c.rest, FDs: []int{fd}}}
	}
}

// passOn sends off the loop. What cannot be sent comes back.
func (r *Router) passOn(p *handover.Conn, out chan passed) {
	for x := range out {
		err := p.Send(x.Frame)
		if err == nil {
			r.execute(func() {
				r.takeover.unsent--
				r.conns -= len(x.FDs)
				x.CloseDescriptors()
				r.queue()
			})
			continue
		}
		r.execute(func() {
			r.takeover.unsent--
			r.conns -= len(x.FDs)
		})
		p.Close() // a frame may have gone in part: nothing more is told on it, and clients are this process's again
		r.takeOver(x.Frame)
	}
}

// takeOver takes a client that another process had, or was to have, with the big value that is on its way to it.
func (r *Router) takeOver(f handover.Frame) {
	if f.Kind == handover.LargeValue && len(f.FDs) == 2 {
		r.takeValue(f)
		return
	}
	if f.Kind != handover.Client || len(f.FDs) != 1 {
		f.CloseDescriptors()
		return
	}
	c, err := asConn(f.FDs[0])
	if err != nil {
		r.log.WithError(err).Warn("a client's connection cannot be taken")
		return
	}
	r.enroll(c, &client{r: r, rest: f.Body, spoke: true}, func() {})
}

// followOld speaks to the old process until it ends.
func (r *Router) followOld(p *handover.Conn) {
	for {
		f, err := p.Receive(0)
		if err != nil {
			break
		}
		switch f.Kind {
		case handover.OperatorState:
			r.receiveOperatorState(f)
		case handover.DescriptorCount:
			r.heard(0, f)
		case handover.LeaseTransfer:
			if r.takeover.inherit != nil {
				r.takeover.inherit(f.Body)
			}
		default:
			r.takeOver(f)
		}
	}
	p.Close()
	r.execute(func() {
		r.log.Info("the process before this one has ended")
		r.takeover.old, r.takeover.others[0] = nil, 0
		r.shareMemory()
		r.takeClients()
	})
}

// OnTransfer registers the function that receives the transfers of the process that this one replaces. Call it before Run.
func (r *Router) OnTransfer(f func([]byte)) { r.takeover.inherit = f }

// OfferTransfer leaves something to the process that is to replace this one, if there is one; it is made only then.
func (r *Router) OfferTransfer(what func() []byte) {
	select {
	case <-r.ready:
	default:
		return
	}
	r.execute(func() {
		if heir := r.takeover.heir; heir != nil {
			heir.Publish(handover.LeaseTransfer, what)
		}
	})
}

// heard: another process tells how many descriptors it holds.
func (r *Router) heard(which int, f handover.Frame) {
	if n, err := strconv.Atoi(string(f.Body)); err == nil {
		r.execute(func() {
			if r.takeover.others[which] = n; which == 1 && r.takeover.heir == nil {
				r.takeover.others[which] = 0
			}
		})
	}
}

// tellHolds tells the others how many descriptors this process holds.
func (r *Router) tellHolds() {
	t := &r.takeover
	if t.old == nil && t.heir == nil {
		return
	}
	count := strconv.AppendInt(nil, int64(r.conns+descriptorsOfDial*r.dials+r.lim.ReservedDescriptors), 10)
	for _, p := range []*handover.Conn{t.old, t.heir} {
		if p != nil {
			p.Publish(handover.DescriptorCount, func() []byte { return count })
		}
	}
}

// shareMemory halves what this process may hold while another lives.
func (r *Router) shareMemory() {
	part := 1
	if r.takeover.old != nil || r.takeover.heir != nil {
		part = 2
	}
	r.lim.RequestBytes, r.lim.ClientBufferBytes = r.cfg.Limits.RequestBytes/part, r.cfg.Limits.ClientBufferBytes/part
	debug.SetMemoryLimit(r.cfg.Limits.MemoryBytes / int64(part))
}
