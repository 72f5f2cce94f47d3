// Package gossip is a router's place among the other routers: membership by hashicorp/memberlist, over which go a word
// of each router (package membership) and the lending of parts (package sharelease). What is made of them is decided there; here are
// sockets, times and goroutines, none of which the router's loop ever waits for.
//
// The files: this one begins, ends and steps; delegate.go is what memberlist calls; file.go the file of peers known.
package gossip

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// Node is a router's place. Close ends it.
type Node struct {
	cfg    fleet.Config
	router fleet.Router
	log    *logrus.Logger
	start  time.Time

	mu      sync.Mutex // of all below; never held while memberlist is called
	view    *membership.View
	parts   *sharelease.Leases
	nodes   map[membership.Incarnation]*memberlist.Node
	answers []sharelease.Message // for the next step, which makes sure that they are true
	refused map[string]time.Time
	lending bool
	told    share
	hear    func(fleet.Incarnation, []byte)
	tiers   *hierarchy.Hierarchy // nil: the fleet is flat
	site    hierarchy.LocalSite  // as the tiers were last told
	seen    uint64               // digest of the view that site is of
	looked  clock.Time           // when site was made
	asks    clock.Time           // when the views of the site last were alike, or mates were asked for their heartbeats
	odds    clock.Time           // when the views of the site last were alike, or one was asked for its own
	news    bool                 // the own word is another than was last passed on

	list    *memberlist.Memberlist
	queue   *memberlist.TransmitLimitedQueue
	me      membership.Member
	calling atomic.Bool
	out     string // why the router keeps out
	failing bool   // the file of peers was not written
	dropped atomic.Int64
	traffic fleet.Traffic
	stop    chan struct{}
	ended   sync.WaitGroup
}

type share struct {
	now, then float64
	until     time.Time
}

// micros is the time since the start, by the monotonic clock.
func (p *Node) micros() clock.Time {
	return clock.Time(time.Since(p.start) / time.Microsecond)
}

// Open takes the router's place. Errors are about the configuration: they name file, field and remedy. What is wrong later
// is logged, and the router serves as if it were alone.
func Open(cfg fleet.Config, router fleet.Router, logger *logrus.Logger) (fleet.Node, error) {
	p := &Node{cfg: cfg, router: router, log: logger, start: time.Now(), nodes: map[membership.Incarnation]*memberlist.Node{},
		refused: map[string]time.Time{}, stop: make(chan struct{}), told: share{now: -1}}
	var id [8]byte
	if _, err := crand.Read(id[:]); err != nil {
		return nil, err
	}
	process := binary.BigEndian.Uint64(id[:]) | 1
	p.me = membership.Member{Fleet: cfg.Fleet, Name: membership.Name(cfg.Name), Site: membership.Site(cfg.Site), Incarnation: membership.Incarnation(process),
		Slot: membership.Slot(cfg.Slot), StartedAt: p.start.UnixMicro(), Build: cfg.Build[:min(12, len(cfg.Build))], Addr: cfg.Advertise.String()}
	rules := membership.DefaultConfig(clock.Time(cfg.ProbeInterval / time.Microsecond))
	if cfg.ForgetAfter > 0 {
		rules.ForgetAfter = clock.Time(cfg.ForgetAfter / time.Microsecond)
	}
	p.view = membership.New(p.micros(), rules, p.me)
	p.parts = sharelease.New(clock.Time(p.micros()), sharelease.DefaultTiming(), cfg.FleetSize, sharelease.Slot(cfg.Slot), sharelease.Incarnation(process), cfg.NoSharesGranted)
	known, err := p.readKnown()
	if err != nil {
		return nil, err
	}
	if err := p.beginTiers(process); err != nil {
		return nil, err
	}
	p.cfg.Join = slices.Compact(slices.Sorted(slices.Values(append(known, cfg.Join...))))
	if cfg.HasPredecessor { // the process before has the address until it ends
		p.ended.Go(func() {
			for p.begin() != nil {
				if p.wait(50 * time.Millisecond) {
					return
				}
			}
			p.run()
		})
		return p, nil
	}
	if err := p.begin(); err != nil {
		return nil, cfg.ConfigError("fleet.listen", err.Error(), "give it an address of this machine that nobody listens on")
	}
	if err := p.greet(); err != nil {
		close(p.stop)
		_ = p.list.Shutdown() // nothing depends on it any more
		return nil, err
	}
	p.ended.Go(p.run)
	return p, nil
}

// begin listens, and begins to answer others.
func (p *Node) begin() error {
	probe := p.cfg.ProbeInterval
	c := memberlist.DefaultLANConfig()
	c.Name = fmt.Sprintf("%s#%x", p.me.Name, uint64(p.me.Incarnation))
	c.AdvertiseAddr, c.AdvertisePort = p.cfg.Advertise.Addr().String(), int(p.cfg.Advertise.Port())
	// As many turns of each to a probe as the library has by default.
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = probe, probe/2, probe/5
	c.PushPullInterval, c.GossipToTheDeadTime, c.TCPTimeout = 10*probe, 30*probe, max(2*probe, time.Second)
	p.tune(c)
	c.EnableCompression = false // words are short; it cost a third of the CPU of a calm router
	c.HandoffQueueDepth = 4096  // 300 routers that begin at once
	c.Delegate, c.Events, c.Ping, c.Alive, c.Merge = p, p, p, p, p
	c.Logger = log.New(io.Discard, "", 0)
	if p.log.IsLevelEnabled(logrus.DebugLevel) {
		c.Logger = log.New(p.log.WriterLevel(logrus.DebugLevel), "", 0)
	}
	at := p.cfg.Listen
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()},
		BindPort: int(at.Port()), Logger: c.Logger})
	if err != nil {
		return err
	}
	c.Transport = meter(from{sockets, &net.TCPAddr{IP: at.Addr().AsSlice()}}, &p.traffic, p.cfg.FaultyLinks)
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: p.transmits(c), NumNodes: p.size}
	list, err := memberlist.Create(c)
	if err != nil {
		return errors.Join(err, sockets.Shutdown())
	}
	p.mu.Lock()
	p.list = list
	p.mu.Unlock()
	return nil
}

// from dials from the address that the router listens on, so that who is called knows who calls.
type from struct {
	*memberlist.NetTransport
	local *net.TCPAddr
}

func (f from) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (f from) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: f.local}
	return d.Dial("tcp", a.Addr)
}

// greet calls those who may be there, for a moment. A router that has this one's name, and lives, is waited for: else a
// process with a wrong file would take clients until it is told.
func (p *Node) greet() error {
	// Half a second was what the view cost in service: a router that was killed while those of join were cut off from it was
	// away for so much longer.
	const patience = 100 * time.Millisecond
	done := make(chan struct{})
	go func() {
		defer close(done)
		if len(p.cfg.Join) > 0 {
			_, _ = p.list.Join(p.cfg.Join) // those who are not there are called again and again
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		return nil
	}
	for until := time.Now().Add(3 * p.cfg.ProbeInterval); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		news, _ := p.view.Tick(p.micros())
		why, twin := p.view.YieldReason(), p.view.HasOlderDuplicate()
		p.mu.Unlock()
		if news {
			p.pass()
		}
		if why != "" {
			return p.cfg.ConfigError("fleet.router", why, "give this one a name of its own")
		}
		if !twin {
			return nil
		}
	}
	return nil // it does not say that it lives: a process of this router that was killed
}

func (p *Node) wait(span time.Duration) (stopped bool) {
	select {
	case <-p.stop:
		return true
	case <-time.After(span):
		return false
	}
}

func (p *Node) run() {
	for t := time.NewTicker(p.between()); ; {
		p.step()
		select {
		case <-p.stop:
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// step is all that is done by time.
func (p *Node) step() {
	takes, draining, empty := p.router.FleetStatus()
	p.lend(draining && empty)

	p.mu.Lock()
	now := p.micros()
	p.news = p.view.UpdateLocal(now, takes, draining) || p.news
	news, lines := p.view.Tick(now)
	p.news = news || p.news
	pass, out := p.news, p.view.YieldReason()
	p.news = false
	send := p.parts.Tick(clock.Time(now), p.seats(), takes)
	send = append(send, p.answers...)
	p.answers = nil
	s := p.share(p.parts.Share(clock.Time(now)))
	addr, call := p.view.NextReconnect(now, p.cfg.Join)
	if !call {
		addr, call = p.atOdds(now)
	}
	ask := p.whomToAsk(now)
	summaries := p.stepTiers(now)
	p.mu.Unlock()

	p.ask(ask)
	p.sendTiers(summaries)

	if pass {
		p.pass()
	}
	// What is given back is not used any more before that is said.
	if s == p.told || p.set(s) {
		p.send(send)
	}
	p.tell(lines)
	if out != p.out {
		p.out = out
		p.router.SetOutOfService(out)
	}
	if len(lines) > 0 {
		p.keepKnown()
	}
	if call && p.calling.CompareAndSwap(false, true) {
		p.ended.Go(func() {
			defer p.calling.Store(false)
			_, _ = p.list.Join([]string{addr}) // it is called again
		})
	}
}

// lend begins or ends the lending of the own part: first the loop does without it, then it may be asked for.
func (p *Node) lend(on bool) {
	p.mu.Lock()
	lent, same := p.share(p.parts.ReducedShare()), on == p.lending
	p.mu.Unlock()
	if same || on && !p.set(lent) {
		return
	}
	p.mu.Lock()
	p.lending = on
	p.parts.SetGranting(on, false)
	p.mu.Unlock()
}

func (p *Node) share(s sharelease.Share) share {
	out := share{now: s.Current, then: s.AfterExpiry}
	if s.ExpiresAt != 0 {
		out.until = p.start.Add(time.Duration(s.ExpiresAt) * time.Microsecond)
	}
	return out
}

func (p *Node) set(s share) bool {
	err := p.router.SetShare(s.now, s.until, s.then)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told = s; err != nil {
		p.told = share{now: -1} // it may or may not have it
	}
	return err == nil
}

// seats are the other seats that one router holds. Two on one seat are lent nothing.
func (p *Node) seats() map[sharelease.Slot]sharelease.Peer {
	there, twice := map[sharelease.Slot]sharelease.Peer{}, map[sharelease.Slot]bool{}
	words := map[membership.Incarnation]membership.Heartbeat{}
	for _, w := range p.view.Heartbeats() {
		words[w.Incarnation] = w
	}
	for _, m := range p.view.AliveMembers() {
		seat := sharelease.Slot(m.Slot)
		if _, two := there[seat]; two || seat == sharelease.Slot(p.cfg.Slot) && m.Incarnation != p.me.Incarnation {
			twice[seat] = true
		}
		there[seat] = sharelease.Peer{Incarnation: sharelease.Incarnation(m.Incarnation), Granting: words[m.Incarnation].Draining}
	}
	for seat := range twice {
		delete(there, seat)
	}
	return there
}

func (p *Node) send(messages []sharelease.Message) {
	for _, m := range messages {
		to := m.Holder
		if m.Kind == sharelease.Request || m.Kind == sharelease.Release {
			to = m.Grantor
		}
		p.mu.Lock()
		node := p.nodes[membership.Incarnation(to)]
		p.mu.Unlock()
		if node == nil {
			continue
		}
		body, _ := json.Marshal(m)                                          // plain fields: it cannot fail
		_ = p.list.SendBestEffort(node, append([]byte{kindParts}, body...)) // lost ones are sent again
	}
}

// pass has the own word told to all.
func (p *Node) pass() {
	p.mu.Lock()
	w := p.view.Heartbeat()
	p.mu.Unlock()
	p.queue.QueueBroadcast(p.wordOf(w))
}

func (p *Node) tell(changes []membership.Change) {
	for _, change := range changes {
		entry := p.log.WithFields(logrus.Fields{"router": string(change.Router), "mono_us": fleet.Monotonic()})
		if owner := change.Owner; owner != nil {
			entry = entry.WithFields(logrus.Fields{"site": owner.Site, "incarnation": strconv.FormatUint(uint64(owner.Incarnation), 16),
				"address": owner.Addr, "policy": change.PolicyRevision})
		}
		if change.Event == membership.EventStalled {
			entry = entry.WithField("for_us", int64(change.StalledFor))
		}
		message := fmt.Sprintf("fleet: %s", change.Event)
		if change.Warning {
			entry.Warn(message)
		} else {
			entry.Info(message)
		}
	}
}

// Whole is the view as people are shown it, as JSON.
func (p *Node) Whole() (string, error) {
	p.mu.Lock()
	w := p.whole()
	p.mu.Unlock()
	text, err := json.MarshalIndent(w, "", " ")
	return string(text) + "\n", err
}

// Figures are the view's figures as statsd lines.
func (p *Node) Figures() string {
	p.mu.Lock()
	w := p.view.Snapshot(p.micros())
	part := p.told.now
	p.mu.Unlock()
	counts, settled := map[membership.State]int{}, 0
	for _, r := range w.Routers {
		counts[r.State]++
	}
	if w.Settled {
		settled = 1
	}
	out := ""
	for s := membership.Alive; s <= membership.Left; s++ {
		out += fmt.Sprintf("router.fleet.%v:%d|g\n", s, counts[s])
	}
	return out + fmt.Sprintf("router.fleet.settled:%d|g\nrouter.fleet.disagree:%d|g\nrouter.fleet.part_ppm:%d|g\n"+
		"router.fleet.messages_dropped:%d|c\n", settled, len(w.Disagreeing), int(part*1e6), p.dropped.Load()) + p.traffic.Counts().Statsd()
}

// Traffic is what was sent and received so far for the router's place, by mechanism.
func (p *Node) Traffic() fleet.TrafficCounts { return p.traffic.Counts() }

// Close gives the place up, once the router sends nothing more: in order, or to a process that follows.
func (p *Node) Close(handed bool) {
	close(p.stop)
	p.ended.Wait()
	p.mu.Lock()
	list := p.list
	var last []sharelease.Message
	if list != nil {
		now := p.micros()
		p.view.AnnounceEnd(now, handed)
		if !handed {
			last = p.parts.TransferAll(clock.Time(now))
		}
	}
	p.mu.Unlock()
	if list == nil {
		return
	}
	p.pass()
	p.send(append(last, last...))           // nobody asks again
	time.Sleep(2 * p.cfg.ProbeInterval / 5) // two turns of gossip
	if !handed {
		_ = list.Leave(p.cfg.ProbeInterval) // else the others find out
	}
	_ = list.Shutdown()
	p.keepKnown()
}

// Kill gives the place up as a killed process does: without a word.
func (p *Node) Kill() {
	close(p.stop)
	p.ended.Wait()
	p.mu.Lock()
	list := p.list
	p.mu.Unlock()
	if list != nil {
		_ = list.Shutdown() // nothing depends on it any more
	}
}

func (p *Node) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.nodes)
}

func processOf(node *memberlist.Node) membership.Incarnation {
	for i := len(node.Name) - 1; i >= 0; i-- {
		if node.Name[i] == '#' {
			n, _ := strconv.ParseUint(node.Name[i+1:], 16, 64) // 0 is nobody
			return membership.Incarnation(n)
		}
	}
	return 0
}
