package scale

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/gossip"
	"spurtrestle/internal/scale/result"
)

// hollow is a router without clients: its membership in the fleet is real.
type hollow struct {
	spec  routerSpec
	links *lossyLinks
	node  *gossip.Node
}

// open joins the fleet. It returns once the router has announced itself.
func (h *hollow) open(link *atomic.Pointer[linkState]) error {
	s := h.spec
	h.links = &lossyLinks{link: link, index: s.Index, random: rand.New(rand.NewPCG(s.Seed, uint64(s.Index)))}
	at := address(s.Network, s.Index)
	cfg := fleet.Config{Fleet: fleetName, Name: routerName(s), Site: siteName(s), Listen: at, Advertise: at,
		Join: addresses(s.Network, s.Join), ProbeInterval: s.Probe, FleetSize: s.Fleet, Slot: s.Index, Build: "scale", FaultyLinks: h.links, ConfigError: refused}
	if s.Topology == result.Tiered {
		cfg.Tiered, cfg.Region, cfg.Remote = true, regionName(s), addresses(s.Network, s.Remote)
	}
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	opened, err := gossip.Open(cfg, hollowRouter{}, silent)
	if err != nil {
		return fmt.Errorf("router %d at %v: %w", s.Index, at, err)
	}
	h.node = opened.(*gossip.Node)
	return nil
}

// fleetName is the name of every fleet; concurrent fleets differ by their networks.
const fleetName = "scale"

func routerName(s routerSpec) string { return fmt.Sprintf("r%05d", s.Index) }
func siteName(s routerSpec) string   { return fmt.Sprintf("s%04d", s.Site) }
func regionName(s routerSpec) string { return fmt.Sprintf("g%03d", s.Region) }

// counts returns the traffic of the router so far, also after it has stopped.
func (h *hollow) counts() routerCounts { return routerCounts{h.spec.Index, h.node.Traffic()} }

func addresses(network int, routers []int) (all []string) {
	for _, i := range routers {
		all = append(all, address(network, i).String())
	}
	return all
}

func refused(field, what, remedy string) error { return fmt.Errorf("%s: %s; %s", field, what, remedy) }

// hollowRouter is the router that the membership node belongs to: it accepts clients, but has none.
type hollowRouter struct{}

// FleetStatus reports a router that accepts clients and has no requests.
func (hollowRouter) FleetStatus() fleet.RouterStatus {
	return fleet.RouterStatus{Accepting: true, Idle: true}
}

// SetShare does nothing: without clients there is nothing to share.
func (hollowRouter) SetShare(fleet.Share) error { return nil }

// SetOutOfService does nothing.
func (hollowRouter) SetOutOfService(string) {}

// lossyLinks drops the packets and connections that the fault of the trial affects.
type lossyLinks struct {
	link  *atomic.Pointer[linkState]
	index int
	dead  atomic.Bool // the router was killed and sends nothing more

	mu     sync.Mutex
	random *rand.Rand
}

// DropsPacket reports whether a packet to an address is lost.
func (l *lossyLinks) DropsPacket(to string) bool {
	link := l.link.Load()
	if l.dead.Load() || l.cutFrom(to, link) {
		return true
	}
	if link.Loss == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < link.Loss
}

// RejectsConnection reports whether a connection to an address fails.
func (l *lossyLinks) RejectsConnection(to string) bool {
	return l.dead.Load() || l.cutFrom(to, l.link.Load())
}

func (l *lossyLinks) cutFrom(to string, link *linkState) bool {
	if len(link.Cut) == 0 {
		return false
	}
	at, err := netip.ParseAddrPort(to)
	return err == nil && link.inside(l.index) != link.inside(routerAt(at))
}
