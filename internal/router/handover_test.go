package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/operatorstate"
)

// handoverTest is a serving router and the connection of a successor to it.
type handoverTest struct {
	router    *Router
	store     *operatorstate.Store // the successor's store of the same file
	successor *handover.Conn
}

// newHandoverTest returns the router and its successor before the successor has sent Hello. The router's loop runs
// until the test ends.
func newHandoverTest(t *testing.T) *handoverTest {
	t.Helper()
	l, _, _ := newConnectedOrigin(t)
	r := l.r
	r.cfg.Limits.MemoryBytes = 1 << 30
	r.limits.AdminCallTimeout = 10 * clock.Second
	dir := t.TempDir()
	r.UseOperatorStore(operatorstate.Open(dir, "r", nil))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.takeover.listener = ln.(*net.TCPListener)
	successor, predecessor := connectHandover(t, dir)
	close(r.ready)
	h := &handoverTest{router: r, store: operatorstate.Open(dir, "r", nil), successor: successor}
	stop, stopped, served := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			l.runQueued()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	go func() {
		defer close(served)
		r.serveSuccessor(predecessor)
	}()
	t.Cleanup(func() {
		successor.Close()
		<-served
		predecessor.Close()
		close(stop)
		<-stopped
		ln.Close()
	})
	return h
}

func connectHandover(t *testing.T, dir string) (successor, predecessor *handover.Conn) {
	t.Helper()
	ln, err := handover.Listen(dir, "s")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if successor, err = handover.Dial(dir, "s", time.Second); err != nil {
		t.Fatal(err)
	}
	if predecessor, err = handover.Accept(ln); err != nil {
		t.Fatal(err)
	}
	return successor, predecessor
}

func (h *handoverTest) sendHello(t *testing.T) {
	t.Helper()
	if err := h.successor.Send(handover.Frame{Kind: handover.Hello}); err != nil {
		t.Fatal(err)
	}
}

// receiveUntil reads frames up to the first of a kind, and calls onState with each operator state on the way.
func (h *handoverTest) receiveUntil(t *testing.T, last handover.Kind, onState func(operatorFrame)) {
	t.Helper()
	for {
		frame, err := h.successor.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		frame.CloseDescriptors()
		if frame.Kind == handover.OperatorState {
			var state operatorFrame
			if err := json.Unmarshal(frame.Body, &state); err != nil {
				t.Fatal(err)
			}
			onState(state)
		}
		if frame.Kind == last {
			return
		}
	}
}

func ignoreState(operatorFrame) {}

// A successor never receives an older operator state after a newer one, and ends with the latest.
func TestHandover_OperatorStatesArriveInOrder(t *testing.T) {
	h := newHandoverTest(t)
	h.sendHello(t)
	h.receiveUntil(t, handover.Snapshot, ignoreState)
	const changes = 200
	err := h.router.runOnLoop(func() {
		for n := range changes {
			h.router.operator.state = operatorstate.State{Banned: []string{fmt.Sprintf("change-%05d", n+1)}}
			h.router.publishOperatorState()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until everything queued has been sent
	h.router.OfferTransfer(func() []byte { return nil })
	received := ""
	h.receiveUntil(t, handover.LeaseTransfer, func(state operatorFrame) {
		if state.Banned[0] < received {
			t.Errorf("the successor received %s after %s", state.Banned[0], received)
		}
		received = state.Banned[0]
	})
	if want := fmt.Sprintf("change-%05d", changes); received != want {
		t.Errorf("the successor ends with %s, want %s", received, want)
	}
}

// hookOnMessage calls a function before a message is logged.
type hookOnMessage struct {
	message string
	call    func()
}

func (hookOnMessage) Levels() []logrus.Level { return logrus.AllLevels }

func (h hookOnMessage) Fire(entry *logrus.Entry) error {
	if entry.Message == h.message {
		h.call()
	}
	return nil
}

// An operator's change while a successor is being sent the state reaches it instead of that state or after it.
func TestHandover_AChangeDuringTheFirstFramesArrivesLast(t *testing.T) {
	h := newHandoverTest(t)
	greeted, proceed := make(chan struct{}), make(chan struct{})
	h.router.log.AddHook(hookOnMessage{"a process that is to replace this one has connected", func() {
		close(greeted)
		<-proceed
	}})
	h.sendHello(t)
	<-greeted // the state has been encoded
	if err := h.router.SetDraining(true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // until everything queued has been sent
	close(proceed)
	var state operatorFrame
	keep := func(received operatorFrame) { state = received }
	h.receiveUntil(t, handover.Snapshot, keep)
	h.router.OfferTransfer(func() []byte { return nil })
	h.receiveUntil(t, handover.LeaseTransfer, keep)
	if !state.Drain {
		t.Error("the successor received the drain before the state without it")
	}
}

// A successor that does not read holds up one transfer, however many follow.
func TestHandover_TransfersDoNotAccumulate(t *testing.T) {
	h := newHandoverTest(t)
	h.sendHello(t)
	h.receiveUntil(t, handover.Snapshot, ignoreState)
	large := make([]byte, 1<<20) // more than a socket buffers
	before := runtime.NumGoroutine()
	const transfers = 100
	for range transfers {
		h.router.OfferTransfer(func() []byte { return large })
	}
	time.Sleep(200 * time.Millisecond)
	if after := runtime.NumGoroutine(); after > before+10 {
		t.Errorf("%d transfers to a successor that does not read: %d goroutines, want about the %d before", transfers, after, before)
	}
}

// Two processes change the state at the same time: both end with the later state of the file, although the frame
// with the earlier one arrives after it.
func TestHandover_ConcurrentChangesConvergeOnTheFile(t *testing.T) {
	h := newHandoverTest(t)
	h.sendHello(t)
	h.receiveUntil(t, handover.Snapshot, ignoreState)
	theirs, err := h.store.Update(operatorstate.State{}, func(state *operatorstate.State) error { return state.Ban("x") })
	if err != nil {
		t.Fatal(err)
	}
	if err := h.router.SetDraining(true); err != nil { // reads the successor's ban from the file
		t.Fatal(err)
	}
	text, err := json.Marshal(operatorFrame{State: theirs})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.successor.Send(handover.Frame{Kind: handover.OperatorState, Body: text}); err != nil {
		t.Fatal(err)
	}
	h.awaitDescriptorCount(t, 77)
	var state operatorstate.State
	if err := h.router.runOnLoop(func() { state = h.router.operator.state }); err != nil {
		t.Fatal(err)
	}
	if !state.Drain || !state.IsBanned("x") {
		t.Errorf("after concurrent changes: got %+v, want the drain and the ban of x", state)
	}
}

// awaitDescriptorCount returns once the router has handled all frames sent before.
func (h *handoverTest) awaitDescriptorCount(t *testing.T, count int) {
	t.Helper()
	if err := h.successor.Send(handover.Frame{Kind: handover.DescriptorCount, Body: strconv.AppendInt(nil, int64(count), 10)}); err != nil {
		t.Fatal(err)
	}
	h.awaitOnLoop(t, func() bool { return h.router.takeover.peerDescriptors[successorPeer] == count })
}

// awaitOnLoop returns once a condition on the loop's state holds.
func (h *handoverTest) awaitOnLoop(t *testing.T, happened func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var done bool
		if err := h.router.runOnLoop(func() { done = happened() }); err != nil {
			t.Fatal(err)
		}
		if done {
			return
		}
	}
	t.Fatal("the condition did not hold within ten seconds")
}

// handOverAndLoseSuccessor makes the router hand its clients over, another process replace the successor, and the
// successor end.
func (h *handoverTest) handOverAndLoseSuccessor(t *testing.T, name string) (next *net.UnixListener) {
	t.Helper()
	h.sendHello(t)
	h.receiveUntil(t, handover.Snapshot, ignoreState)
	if err := h.successor.Send(handover.Frame{Kind: handover.Ready}); err != nil {
		t.Fatal(err)
	}
	h.awaitOnLoop(t, func() bool { return h.router.takeover.handingOver })
	next, err := handover.Listen(h.router.takeover.socketDir, name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { next.Close() })
	h.successor.Close()
	h.awaitOnLoop(t, func() bool { return h.router.takeover.successor == nil })
	return next
}

// The socket's name stays with the process that has replaced a successor, whatever becomes of that successor, so
// that the next process finds it. This holds for a draining router as well as for one that goes on.
func TestHandover_SocketNameStaysWithTheLastSuccessor(t *testing.T) {
	for _, draining := range []bool{false, true} {
		h := newHandoverTest(t)
		const name = "r.sock"
		h.onLoop(t, func() {
			h.router.takeover.socketDir, h.router.takeover.socketName = t.TempDir(), name
			h.router.hasUsableServer, h.router.draining = true, draining
		})
		next := h.handOverAndLoseSuccessor(t, name)
		found := make(chan error, 1)
		go func() {
			conn, err := handover.Accept(next)
			if err == nil {
				_, err = conn.Receive(time.Second)
			}
			for err != nil && !errors.Is(err, net.ErrClosed) { // a probe connects to check for a listener, and sends nothing
				if conn, err = handover.Accept(next); err == nil {
					_, err = conn.Receive(time.Second)
				}
			}
			found <- err
		}()
		time.Sleep(300 * time.Millisecond) // time for the router to try to take the name back
		conn, err := handover.Dial(h.router.takeover.socketDir, name, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.Send(handover.Frame{Kind: handover.Hello}); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-found:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(3 * time.Second):
			t.Errorf("draining: %v; the next process does not find the last successor", draining)
		}
	}
}

// onLoop runs a function on the loop.
func (h *handoverTest) onLoop(t *testing.T, f func()) {
	t.Helper()
	if err := h.router.runOnLoop(f); err != nil {
		t.Fatal(err)
	}
}
