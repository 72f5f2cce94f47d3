package membership

import (
	"slices"

	"spurtrestle/core/clock"
)

// reconnectsPerInterval bounds the reconnect attempts of the fleet in a reconnect interval. Routers of a fleet up to that
// size make one attempt each; in a larger fleet each router's interval is longer.
const reconnectsPerInterval = 8

// NextReconnect returns the address of a router that is not alive, if a reconnect attempt is due. Attempts go to the
// seeds and to the addresses of lost and left routers, approximately in turn since the addresses change meanwhile. A partition
// therefore heals even after both sides have forgotten each other.
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

// KnownAddrs returns the addresses of all other processes that are alive or have been, sorted, for the file that a restart
// reads.
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

// rememberAddr adds an address to reconnect to, in place of the oldest one when there are too many.
func (v *View) rememberAddr(addr string) {
	if slices.Contains(v.reconnectAddrs, addr) {
		return
	}
	v.reconnectAddrs = append(v.reconnectAddrs, addr)
	if len(v.reconnectAddrs) > v.config.MaxReconnectAddrs {
		v.reconnectAddrs = v.reconnectAddrs[1:]
	}
}
