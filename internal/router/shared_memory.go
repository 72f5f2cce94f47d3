package router

import (
	"runtime/debug"
	"strconv"

	"spurtrestle/core/clientmemory"
	"spurtrestle/internal/handover"
)

// While one process of the router replaces another, the two share one memory limit. Only one of them takes on
// requests, so it may hold what the other one does not.

// peerMemory is what another process holds for clients.
type peerMemory struct {
	known bool // false: it has not reported it, as processes of older releases never do
	bytes int
}

// publishHeldMemory sends the other processes the bytes that this one holds for clients.
func (r *Router) publishHeldMemory() {
	t := &r.takeover
	held := strconv.AppendInt(nil, int64(r.held.Total()), 10)
	for _, conn := range []*handover.Conn{t.predecessor, t.successor} {
		if conn != nil {
			conn.Publish(handover.HeldMemory, func() []byte { return held })
		}
	}
}

// setPeerMemory records what another process holds.
func (r *Router) setPeerMemory(peer int, frame handover.Frame) {
	bytes, err := strconv.Atoi(string(frame.Body))
	if err != nil {
		return
	}
	r.runAsync(func() {
		if peer == successorPeer && r.takeover.successor == nil {
			return
		}
		r.takeover.peerMemory[peer] = peerMemory{known: true, bytes: bytes}
		r.adjustMemoryLimits()
	})
}

// memoryLimits returns the limits of all processes of the router together.
func (r *Router) memoryLimits() clientmemory.Limits {
	limits := &r.cfg.Limits
	return clientmemory.Limits{Pipelining: limits.ClientBufferBytes, FirstCommands: limits.RequestBytes, PerClient: limits.ClientShareBytes}
}

// adjustMemoryLimits divides the memory limits between this process and the others of the router that are alive.
func (r *Router) adjustMemoryLimits() {
	t, total := &r.takeover, r.memoryLimits()
	share := total
	if t.predecessor != nil {
		share = share.Beside(t.peerMemory[predecessorPeer].known, t.peerMemory[predecessorPeer].bytes)
	}
	if t.successor != nil {
		share = share.Beside(t.peerMemory[successorPeer].known, t.peerMemory[successorPeer].bytes)
	}
	r.held.SetLimits(share)
	used := share.Total()
	if !t.accepting { // it takes on nothing new
		used = r.held.Total()
	}
	runtimeShare := max(float64(used)/float64(total.Total()), minRuntimeShare)
	if t.predecessor == nil && t.successor == nil {
		runtimeShare = 1
	}
	debug.SetMemoryLimit(int64(float64(r.cfg.Limits.MemoryBytes) * runtimeShare))
}

// minRuntimeShare is the least part of the runtime's soft memory limit that one of two processes gets: a process needs
// memory of its own, whatever it holds for clients.
const minRuntimeShare = 0.5
