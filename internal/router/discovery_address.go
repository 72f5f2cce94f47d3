package router

import (
	"net/netip"

	"spurtrestle/core/clock"
)

// While one process of the router replaces another, both ask the same discovery server: the one of the latest configuration that either
// has read.

// discoveryMove is a change of the address of discovery by a new configuration. The field names are part of the format.
type discoveryMove struct {
	Address string
	At      clock.Time // on the clock that the processes share
}

// startWatch begins to watch discovery. The predecessor may have read a new configuration since this process has read its own.
func (r *Router) startWatch() {
	r.restartWatch(r.firstDiscovery())
	if frame := r.takeover.operatorFrame; frame != nil {
		r.followDiscovery(frame.DiscoveryMove)
	}
}

// firstDiscovery returns the address of discovery to start with. The environment of a process is that of its predecessor: an address in
// it that the predecessor has left since, by a new configuration, is outdated, and that of the file counts.
func (r *Router) firstDiscovery() string {
	frame := r.takeover.operatorFrame
	isOutdated := frame != nil && frame.ReplacedDiscovery == r.cfg.Discovery
	if _, err := netip.ParseAddrPort(r.cfg.FileDiscovery); !isOutdated || err != nil {
		return r.cfg.Discovery
	}
	return r.cfg.FileDiscovery
}

// replacedDiscovery returns the address of discovery in this process's configuration if it has left that one, or "".
func (r *Router) replacedDiscovery() string {
	if r.watch == nil || r.watch.addr == r.cfg.Discovery {
		return ""
	}
	return r.cfg.Discovery
}

// followDiscovery moves to the address of another process's latest configuration, unless this process has read its own later.
func (r *Router) followDiscovery(move *discoveryMove) {
	readAt := r.startWallClock + r.sharedClockOffset
	if r.discoveryMove != nil {
		readAt = r.discoveryMove.At
	}
	if move == nil || move.At <= readAt {
		return
	}
	r.discoveryMove = &discoveryMove{Address: move.Address, At: min(move.At, r.sharedTime())}
	if r.watch.addr != move.Address {
		r.log.WithField("discovery", move.Address).Info("handover: address of discovery adopted from the other process")
		r.restartWatch(move.Address)
	}
	r.publishOperatorState()
}
