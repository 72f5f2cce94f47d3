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

// Memory of a process beside what it holds for clients.
const (
	programBytes    = 10 << 20 // the program's pages, which stay resident
	residentBytes   = 2 << 20  // resident of a process without any client, in addition
	runtimeBytes    = 8 << 20  // that the runtime counts without any client
	minRuntimeBytes = 10 << 20 // under which the garbage collector runs all the time
)

// Shares of the memory for clients.
const (
	heldTenths     = 6 // of what two processes leave beside their own needs
	minHeldDivisor = 8 // of the memory, at any limit
	besideFifths   = 3 // of the limits while two processes are alive: what both have released is not collected yet
	heapTenths     = 7 // that config.Limits has as MemoryBytes
	// collectedFifths is how much memory the runtime needs for what is held, in fifths of it.
	collectedFifths = 6
)

// memoryLimits returns the limits of all processes of the router together. At a small memory limit they leave room for
// the second process of a handover.
func (r *Router) memoryLimits() clientmemory.Limits {
	limits := &r.cfg.Limits
	configured := clientmemory.Limits{Pipelining: limits.ClientBufferBytes, FirstCommands: limits.RequestBytes, PerClient: limits.ClientShareBytes}
	memory := int(r.memoryBytes())
	beside := (memory - 2*(programBytes+residentBytes)) * heldTenths / 10
	return configured.AtMost(max(beside, memory/minHeldDivisor))
}

// runtimeLimit returns the soft limit of the runtime while no other process of the router is alive. It leaves room for the
// program's pages, and for those of the next process, which takes them before this one knows of it.
func (r *Router) runtimeLimit() int64 {
	beside := r.memoryBytes() - 2*programBytes
	return min(r.cfg.Limits.MemoryBytes, max(r.cfg.Limits.MemoryBytes/2, beside))
}

// memoryBytes returns the memory limit of the configuration.
func (r *Router) memoryBytes() int64 { return r.cfg.Limits.MemoryBytes * 10 / heapTenths }

// adjustMemoryLimits divides the memory limits between this process and the others of the router that are alive.
func (r *Router) adjustMemoryLimits() {
	t, share := &r.takeover, r.memoryLimits()
	if t.predecessor == nil && t.successor == nil {
		r.held.SetLimits(share)
		debug.SetMemoryLimit(r.runtimeLimit())
		return
	}
	share = share.AtMost(share.Total() * besideFifths / 5)
	peerBytes := 0
	if t.predecessor != nil {
		share = share.Beside(t.peerMemory[predecessorPeer].known, t.peerMemory[predecessorPeer].bytes)
		peerBytes += t.peerMemory[predecessorPeer].bytes
	}
	if t.successor != nil {
		share = share.Beside(t.peerMemory[successorPeer].known, t.peerMemory[successorPeer].bytes)
		peerBytes += t.peerMemory[successorPeer].bytes
	}
	r.held.SetLimits(share)
	own := runtimeNeed(r.held.Total())
	if t.accepting { // it may take on what the other one leaves
		own = max(own, int(r.runtimeLimit())-programBytes-runtimeNeed(peerBytes))
	}
	debug.SetMemoryLimit(int64(max(own, minRuntimeBytes)))
}

// runtimeNeed returns the memory that the runtime needs while so many bytes are held for clients.
func runtimeNeed(held int) int { return runtimeBytes + held*collectedFifths/5 }
