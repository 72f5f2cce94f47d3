package router

import (
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clientmemory"
	"spurtrestle/core/clock"
)

// memoryLogInterval is the least time between two log lines on the memory held for clients.
const memoryLogInterval = clock.Second

// refreshHeldMemory updates what gnet holds for each client: gnet writes its buffers without a callback.
func (r *Router) refreshHeldMemory() {
	for client := range r.clients {
		client.noteMemory()
	}
}

// logHeldMemory logs the memory held for clients, by kind, while it is more than half of its limit.
func (r *Router) logHeldMemory() {
	now := r.clock()
	total, limit := r.held.Total(), r.limits.RequestBytes+r.limits.ClientBufferBytes
	if total <= limit/2 || now < r.nextMemoryLog {
		return
	}
	r.nextMemoryLog = now + memoryLogInterval
	fields := logrus.Fields{"total": total, "limit": limit}
	usage := r.held.Usage()
	for _, kind := range clientmemory.Kinds() {
		fields[kind.String()] = usage[kind]
	}
	r.log.WithFields(fields).Warn("client memory: more than half of the limit is held")
}
