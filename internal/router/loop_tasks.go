package router

import (
	"context"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
)

// gnet runs what is queued on a loop, and what that queues in turn, before it reads a socket again. The router therefore
// queues its tasks itself. A byte on a connection of its own has the loop run them: gnet gets to that connection once for each
// time that it looks for readable sockets.

const (
	// maxTaskTime is for how long the loop begins further tasks before it reads its sockets.
	maxTaskTime = 2 * clock.Millisecond
	// pollPause lets the loop read its sockets where there is no waker.
	pollPause = 100 * time.Microsecond
)

// taskQueue holds functions that are to run on the loop, in order. Any goroutine may add some.
type taskQueue struct {
	mu        sync.Mutex
	waiting   []func()
	scheduled bool // the loop is going to run the queue
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
		q.scheduled = false
		q.waiting = nil
		return nil
	}
	task := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return task
}

// isEmpty reports whether no task is waiting.
func (q *taskQueue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

// runAsync schedules f on the loop, from any goroutine, and returns without waiting.
func (r *Router) runAsync(f func()) {
	if r.tasks.add(f) {
		r.wakeLoop()
	}
}

// wakeLoop has the loop run its tasks once it has looked for readable sockets.
func (r *Router) wakeLoop() {
	if r.waker != nil && r.waker.wake() == nil {
		return
	}
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

// runTasks runs the tasks that are waiting, for a bounded time. The rest runs once the loop has read its sockets.
func (r *Router) runTasks() {
	began := r.clock()
	for task := r.tasks.next(); task != nil; task = r.tasks.next() {
		r.noteTask()
		task()
		if !r.isTimeUp(began) {
			continue
		}
		if r.waker != nil {
			r.wakeLoop()
		} else {
			time.AfterFunc(pollPause, r.wakeLoop)
		}
		break
	}
	runtime.Gosched() // a loop that always has work would keep a single core from the other goroutines
}

// awaitPoll returns once the loop has looked for readable sockets. gnet adds a connection to the loop in a task of its own queue:
// whoever adds one after the other waits in between, or the loop would do nothing else.
func (r *Router) awaitPoll() {
	polled := make(chan struct{})
	r.runAsync(func() { close(polled) })
	select {
	case <-polled:
	case <-r.done:
	}
}

// loopWaker is the writing end of the connection that wakes the loop.
type loopWaker struct {
	conn net.Conn
	raw  syscall.RawConn
}

// newLoopWaker returns a waker and the end of its connection that is for the loop. It fails where Unix sockets are not allowed.
func newLoopWaker() (*loopWaker, net.Conn, error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, os.NewSyscallError("socketpair", err)
	}
	reader, err := connFromDescriptor(descriptors[0])
	if err != nil {
		_ = unix.Close(descriptors[1])
		return nil, nil, err
	}
	writer, err := connFromDescriptor(descriptors[1])
	if err != nil {
		_ = reader.Close()
		return nil, nil, err
	}
	raw, err := writer.(syscall.Conn).SyscallConn()
	if err != nil {
		_, _ = reader.Close(), writer.Close()
		return nil, nil, err
	}
	return &loopWaker{conn: writer, raw: raw}, reader, nil
}

var wakeByte = []byte{0}

// wake makes the loop's end readable. It does not block.
func (w *loopWaker) wake() error {
	var writeErr error
	err := w.raw.Write(func(descriptor uintptr) bool {
		_, writeErr = unix.Write(int(descriptor), wakeByte)
		return true
	})
	if err != nil {
		return err
	}
	return writeErr
}

// close ends the connection; later wakes fail.
func (w *loopWaker) close() {
	if w != nil {
		_ = w.conn.Close()
	}
}
