package router

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"spurtrestle/core/clock"
)

// socketWatch measures how long the loop runs queued tasks without reading a socket, and what it does meanwhile.
type socketWatch struct {
	unreadSince clock.Time    // the first task since a socket was read; 0: there was none
	sampledAt   clock.Time    // when sampledCPU was taken; 0: not yet
	sampledCPU  time.Duration // processor time that the process had used
	tasks       int
	batches     int
	turns       int
	nextLog     clock.Time
}

// noteSocketRead records that the loop reads its sockets.
func (r *Router) noteSocketRead() {
	if r.sockets.unreadSince != 0 {
		r.reportUnreadSockets(r.clock())
		r.sockets = socketWatch{nextLog: r.sockets.nextLog}
	}
}

// noteTask records that the loop is about to run a queued task.
func (r *Router) noteTask() {
	now := r.clock()
	watch := &r.sockets
	if watch.unreadSince == 0 {
		watch.unreadSince = now
	}
	watch.tasks++
	if watch.sampledAt == 0 && now-watch.unreadSince > r.limits.LoopLagThreshold/4 {
		watch.sampledAt, watch.sampledCPU = now, processTime()
	}
	if now >= watch.nextLog && now-watch.unreadSince > r.limits.LoopLagThreshold {
		watch.nextLog = now + clock.Second
		r.reportUnreadSockets(now)
	}
}

// reportUnreadSockets logs how long no socket was read, and why, if that was long and clients were waiting.
func (r *Router) reportUnreadSockets(now clock.Time) {
	watch := &r.sockets
	unreadFor := now - watch.unreadSince
	if unreadFor <= r.limits.LoopLagThreshold {
		return
	}
	waiting := r.clientsWithInput()
	if waiting == 0 {
		return // nothing has arrived to be read
	}
	r.counts.LongestUnread = max(r.counts.LongestUnread, toDuration(unreadFor))
	r.log.WithFields(logrus.Fields{"for": toDuration(unreadFor), "cpu-percent": watch.cpuPercent(now), "tasks": watch.tasks,
		"batches": watch.batches, "turns": watch.turns, "waiting": waiting, "requests": len(r.requests), "stalled": len(r.stalledClients),
		"paused": len(r.polledClients)}).Warn("event loop: no socket was read")
}

// cpuPercent returns the share of a core that the process has had since the sample: it tells a loop that works from one that
// does not get to run.
func (w *socketWatch) cpuPercent(now clock.Time) int {
	elapsed := toDuration(now - w.sampledAt)
	if w.sampledAt == 0 || elapsed <= 0 {
		return 0
	}
	return int(100 * (processTime() - w.sampledCPU) / elapsed)
}

// clientsWithInput returns how many clients on the loop have sent something that has not been read.
func (r *Router) clientsWithInput() (count int) {
	polled := make([]unix.PollFd, 0, len(r.clients))
	for client := range r.clients {
		if client.conn != nil {
			polled = append(polled, unix.PollFd{Fd: int32(client.conn.Fd()), Events: unix.POLLIN})
		}
	}
	if len(polled) > 0 {
		count, _ = unix.Poll(polled, 0) // after an error none is known
	}
	return max(count, 0)
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
