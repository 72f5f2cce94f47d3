package scale

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/peers"
	"spurtrestle/internal/place"
	"spurtrestle/internal/scale/result"
)

// hollow is a router without clients: its place among the others is real.
type hollow struct {
	spec  routerSpec
	wire  *countingWire
	place *peers.Peers
}

// open takes the router's place. It returns once that has been announced.
func (h *hollow) open(link *atomic.Pointer[linkState]) error {
	s := h.spec
	h.wire = &countingWire{link: link, index: s.Index, random: rand.New(rand.NewPCG(s.Seed, uint64(s.Index)))}
	at := address(s.Network, s.Index)
	cfg := place.Config{Fleet: "scale", Name: fmt.Sprintf("r%05d", s.Index), Site: fmt.Sprintf("s%04d", s.Site), Listen: at, Advertise: at,
		Join: addresses(s.Network, s.Join), Probe: s.Probe, Seats: s.Fleet, Seat: s.Index, Build: "scale", Wire: h.wire, Refused: refused}
	if s.Topology == result.Tiered {
		cfg.Tiered, cfg.Region, cfg.Remote = true, fmt.Sprintf("g%03d", s.Region), addresses(s.Network, s.Remote)
	}
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	opened, err := peers.Open(cfg, hollowRouter{}, silent)
	if err != nil {
		return fmt.Errorf("router %d at %v: %w", s.Index, at, err)
	}
	h.place = opened.(*peers.Peers)
	return nil
}

func addresses(network int, routers []int) (all []string) {
	for _, i := range routers {
		all = append(all, address(network, i).String())
	}
	return all
}

func refused(field, what, remedy string) error { return fmt.Errorf("%s: %s; %s", field, what, remedy) }

// hollowRouter is what a place sees of its router: it takes clients, of which there are none.
type hollowRouter struct{}

func (hollowRouter) Standing() (takes, draining, empty bool)         { return true, false, true }
func (hollowRouter) SetPart(_ float64, _ time.Time, _ float64) error { return nil }
func (hollowRouter) KeepOut(string)                                  {}

// countingWire counts a router's traffic, and loses what the faults of the run say.
type countingWire struct {
	sent, received [place.Mechanisms]struct{ bytes, messages atomic.Int64 }

	link  *atomic.Pointer[linkState]
	index int
	dead  atomic.Bool // the router was killed: nothing more goes out

	mu     sync.Mutex
	random *rand.Rand
}

func (w *countingWire) Sent(m place.Mechanism, bytes, messages int) {
	w.sent[m].bytes.Add(int64(bytes))
	w.sent[m].messages.Add(int64(messages))
}

func (w *countingWire) Received(m place.Mechanism, bytes, messages int) {
	w.received[m].bytes.Add(int64(bytes))
	w.received[m].messages.Add(int64(messages))
}

func (w *countingWire) Lose(to string) bool {
	link := w.link.Load()
	if w.dead.Load() || w.cutFrom(to, link) {
		return true
	}
	if link.Loss == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < link.Loss
}

func (w *countingWire) Refuse(to string) bool { return w.dead.Load() || w.cutFrom(to, w.link.Load()) }

func (w *countingWire) cutFrom(to string, link *linkState) bool {
	if len(link.Cut) == 0 {
		return false
	}
	at, err := netip.ParseAddrPort(to)
	return err == nil && link.inside(w.index) != link.inside(routerAt(at))
}

func (w *countingWire) counts() (c routerCounts) {
	c.Index = w.index
	for m := range place.Mechanisms {
		c.Sent[m] = count{w.sent[m].bytes.Load(), w.sent[m].messages.Load()}
		c.Received[m] = count{w.received[m].bytes.Load(), w.received[m].messages.Load()}
	}
	return c
}
