package router

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
)

// gnet runs what is queued on a loop, and what that queues in turn, before it reads a socket again. The router therefore
// queues its tasks itself, runs them for a bounded time, and goes on once the loop has read its sockets.

const (
	// maxTaskTime is for how long the loop begins further tasks before it reads its sockets.
	maxTaskTime = 2 * clock.Millisecond
	// pollGap is a time between two runs of tasks after which the loop has been back at its sockets: gnet goes from one run to
	// another one that is queued already in less.
	pollGap = 100 * clock.Microsecond
	// wakeTimeout is how long a datagram of the waker may take. Then the tasks run without it.
	wakeTimeout = time.Millisecond
)

// taskQueue holds functions that are to run on the loop, in order. Any goroutine may add some.
type taskQueue struct {
	mu        sync.Mutex
	waiting   []func()
	scheduled bool // the loop is going to run the queue

	// These belong to the loop.
	runningSince clock.Time // start of the first run since the loop read its sockets; 0: there was none
	endedAt      clock.Time // of the last run
	waker        gnet.Conn  // see loopWaker; nil: there is none
	wakeTimer    *time.Timer
}

// add appends a task and reports whether the loop has to be woken for it.
func (q *taskQueue) add(task func()) (mustWake bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, task)
	mustWake = !q.scheduled
	q.scheduled = true
	return mustWake
}

// next removes the first task. If there is none it returns nil, and the next one that is added wakes the loop.
func (q *taskQueue) next() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting, q.scheduled = nil, false
		return nil
	}
	task := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return task
}

// endIfEmpty reports whether there is no task; then the next one that is added wakes the loop.
func (q *taskQueue) endIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 {
		return false
	}
	q.scheduled = false
	return true
}

// runAsync schedules f on the loop, from any goroutine, and returns without waiting.
func (r *Router) runAsync(f func()) {
	if r.tasks.add(f) {
		r.wakeLoop()
	}
}

// wakeLoop has the loop run its tasks.
func (r *Router) wakeLoop() {
	err := r.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		r.runTasks()
		return nil
	}))
	select {
	case <-r.done: // a timer or a discovery response may still arrive
	default:
		if err != nil {
			r.log.WithError(err).Warn("the event loop accepts no more work")
		}
	}
}

// isTimeUp reports whether a task that began at the given time has to leave the rest of its work to a later one.
func (r *Router) isTimeUp(began clock.Time) bool { return r.clock()-began >= maxTaskTime }

// runTasks runs the tasks that are waiting, for a bounded time since the loop has read its sockets.
func (r *Router) runTasks() {
	queue := &r.tasks
	began := r.clock()
	if queue.runningSince == 0 || began-queue.endedAt >= pollGap {
		queue.runningSince = began
		r.noteSocketRead()
	}
	for !r.isTimeUp(queue.runningSince) {
		task := queue.next()
		if task == nil {
			break
		}
		r.noteTask()
		task()
	}
	runtime.Gosched() // a loop that always has work would keep a single core from the other goroutines
	if r.isTimeUp(queue.runningSince) {
		r.continueAfterPoll()
	}
	queue.endedAt = r.clock()
}

// continueAfterPoll has the loop run the rest of its tasks once it has read its sockets, of which the waker is the last.
func (r *Router) continueAfterPoll() {
	queue := &r.tasks
	if queue.endIfEmpty() {
		return
	}
	if queue.wakeTimer != nil {
		queue.wakeTimer.Stop()
	}
	queue.wakeTimer = time.AfterFunc(wakeTimeout, r.wakeLoop)
	if queue.waker != nil {
		_, _ = unix.Write(queue.waker.Fd(), wakeDatagram) // after an error the timer is in its place
	}
}

// awaitTurn returns once the loop has run a task. gnet adds a connection to the loop in a task of its own queue: whoever adds one
// after the other waits in between, or the loop would not get back to its sockets.
func (r *Router) awaitTurn() {
	done := make(chan struct{})
	r.runAsync(func() { close(done) })
	select {
	case <-done:
	case <-r.done:
	}
}

// loopWaker handles a UDP socket that is connected to itself. A datagram on it makes it readable, so that the loop gets to it
// once it has looked for readable sockets.
type loopWaker struct {
	r    *Router
	conn gnet.Conn
}

var wakeDatagram = []byte{0}

func (w *loopWaker) onOpen(conn gnet.Conn) { w.conn, w.r.tasks.waker = conn, conn }

func (w *loopWaker) onTraffic() gnet.Action {
	_, _ = w.conn.Discard(-1)
	w.r.tasks.wakeTimer.Stop()
	w.r.runTasks()
	return gnet.None
}

func (w *loopWaker) onClose(bool) { w.r.tasks.waker = nil }

// newWakerConn returns the waker's socket.
func newWakerConn() (net.Conn, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	err = unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	var own unix.Sockaddr
	if err == nil {
		own, err = unix.Getsockname(descriptor)
	}
	if err == nil {
		err = unix.Connect(descriptor, own)
	}
	if err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("connecting a UDP socket to itself: %w", err)
	}
	return connFromDescriptor(descriptor)
}
