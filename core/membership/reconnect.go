package membership

import (
	"slices"

	"spurtrestle/core/clock"
)

// reconnectsPerInterval bounds the reconnect attempts of the fleet per reconnect interval. In a fleet of up to this size each
// router makes one attempt; in a larger fleet each router's interval is longer.
const reconnectsPerInterval = 8

// NextReconnect returns the address of a router that is not alive, if a reconnect attempt is due. Attempts rotate over the
// seeds and the addresses of lost and left routers; the rotation is approximate because the addresses change. The fleet
// therefore recovers from a partition even after both sides have forgotten each other.
func (v *View) NextReconnect(now clock.Time, seeds []string) (addr string, ok bool) {
	if now < v.reconnectAt {
		return "", false
	}
	aliveAddrs := map[string]bool{}
	alive := 0
	for _, p := range v.processes {
		if p.isAlive() {
			alive++
			aliveAddrs[p.Addr] = true
		}
	}
	interval := v.config.ReconnectInterval
	v.reconnectAt = now + max(interval, interval*clock.Duration(alive)/reconnectsPerInterval)

	candidates := slices.Concat(seeds, v.reconnectAddrs)
	for range candidates {
		addr = candidates[v.reconnectNext%len(candidates)]
		v.reconnectNext++
		if !aliveAddrs[addr] {
			return addr, true
		}
	}
	return "", false
}

// KnownAddrs returns the sorted addresses of all other processes that are or were alive. They are persisted for a restart.
func (v *View) KnownAddrs() []string {
	addrs := slices.Clone(v.reconnectAddrs)
	for _, p := range v.processes {
		if p.isAlive() && p.Incarnation != v.self.Incarnation {
			addrs = append(addrs, p.Addr)
		}
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// addReconnectAddr adds an address to reconnect to. It replaces the oldest one if there are too many.
func (v *View) addReconnectAddr(addr string) {
	if slices.Contains(v.reconnectAddrs, addr) {
		return
	}
	v.reconnectAddrs = append(v.reconnectAddrs, addr)
	if len(v.reconnectAddrs) > v.config.MaxReconnectAddrs {
		v.reconnectAddrs = v.reconnectAddrs[1:]
	}
}
