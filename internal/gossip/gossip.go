// Package gossip connects a router with the other routers of its fleet. It runs hashicorp/memberlist for failure detection and
// dissemination, broadcasts heartbeats over it, and exchanges the messages of share leases, of the policy and of site
// summaries. Decisions are made in core/membership, core/sharelease and core/hierarchy; this package has their sockets, timers
// and goroutines.
//
// A program opens one Node for its router. The node's state is guarded by one mutex, which is never locked while memberlist is
// called, since memberlist calls back. A goroutine of the node ticks every few milliseconds; the router's event loop never
// waits for the node.
//
// By file: gossip.go opens and closes a node, join.go joins the fleet, tick.go is the periodic work, delegate.go is called by
// memberlist, receive.go dispatches messages, codec.go encodes them, shares.go applies share leases, antientropy.go repairs
// missed heartbeats, hierarchy.go connects core/hierarchy, transport.go implements fleet.Transport, peersfile.go persists
// addresses, meter.go counts traffic, and introspection.go is for the lab.
package gossip

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/fleet"
)

// Node represents a router in its fleet. It implements fleet.Node and fleet.Transport, and is safe for concurrent use.
type Node struct {
	config    fleet.Config
	router    fleet.Router
	log       *logrus.Logger
	startedAt time.Time
	self      membership.Member
	traffic   fleet.Traffic

	mu            sync.Mutex             // guards the fields up to antiEntropy; not locked while memberlist is called
	list          *memberlist.Memberlist // nil until the node listens
	peers         map[membership.Incarnation]*memberlist.Node
	view          *membership.View
	localChanged  bool                 // the own heartbeat has changed since its last broadcast
	rejections    map[string]time.Time // when a rejection was last logged, by its reason
	policyHandler func(fleet.Incarnation, []byte)
	shares        shareState
	tiers         hierarchyState
	antiEntropy   antiEntropyState

	broadcasts     *memberlist.TransmitLimitedQueue // safe for concurrent use
	reconnecting   atomic.Bool
	droppedReplies atomic.Int64 // replies to lease requests

	// Of the ticking goroutine.
	yieldReason    string // as last passed to the router
	persistFailing bool   // the last write of the peers file has failed

	stop    chan struct{} // closed to end the goroutines
	running sync.WaitGroup

	spawnMu   sync.Mutex
	closing   bool           // nothing is spawned any more
	transient sync.WaitGroup // single messages and calls, which end with the transport at the latest
}

// spawn runs a function that Close waits for, in a goroutine of its own; not at all once the node is closing.
func (n *Node) spawn(f func()) {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()
	if !n.closing {
		n.transient.Go(f)
	}
}

// awaitTransient ends spawning and waits for what was spawned. The transport must be shut down.
func (n *Node) awaitTransient() {
	n.spawnMu.Lock()
	n.closing = true
	n.spawnMu.Unlock()
	n.transient.Wait()
}

// Open joins the fleet. Its errors are about the configuration and name file, field and remedy. Later failures are logged,
// and the router serves as if it were alone.
func Open(config fleet.Config, router fleet.Router, logger *logrus.Logger) (fleet.Node, error) {
	incarnation, err := randomIncarnation()
	if err != nil {
		return nil, err
	}
	n := newNode(config, router, logger, incarnation)
	persisted, err := n.loadPeers()
	if err != nil {
		return nil, err
	}
	n.config.Remote = slices.Concat(config.Remote, persisted.Remote)
	if err := n.openHierarchy(); err != nil {
		return nil, err
	}
	n.config.Join = slices.Compact(slices.Sorted(slices.Values(append(persisted.Peers, config.Join...))))
	if config.HasPredecessor {
		n.running.Go(n.runAfterPredecessor)
		return n, nil
	}
	if err := n.listen(); err != nil {
		return nil, config.ConfigError("fleet.listen", err.Error(), "give it an address of this machine that nobody listens on")
	}
	if err := n.joinFleet(); err != nil {
		close(n.stop)
		_ = n.list.Shutdown() // the configuration error is the one to report
		n.awaitTransient()
		return nil, err
	}
	n.running.Go(n.run)
	return n, nil
}

func randomIncarnation() (membership.Incarnation, error) {
	var random [incarnationSize]byte
	if _, err := crand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("draw the number of this process: %w", err)
	}
	return membership.Incarnation(binary.BigEndian.Uint64(random[:]) | 1), nil // not 0
}

func newNode(config fleet.Config, router fleet.Router, logger *logrus.Logger, incarnation membership.Incarnation) *Node {
	const maxBuildLength = 12 // node metadata is short
	n := &Node{
		config:     config,
		router:     router,
		log:        logger,
		startedAt:  time.Now(),
		peers:      map[membership.Incarnation]*memberlist.Node{},
		rejections: map[string]time.Time{},
		stop:       make(chan struct{}),
	}
	n.self = membership.Member{
		Fleet:       config.Fleet,
		Name:        membership.Name(config.Name),
		Site:        membership.Site(config.Site),
		Incarnation: incarnation,
		Slot:        membership.Slot(config.Slot),
		StartedAt:   n.startedAt.UnixMicro(),
		Build:       config.Build[:min(maxBuildLength, len(config.Build))],
		Addr:        config.Advertise.String(),
	}
	viewConfig := membership.DefaultConfig(micros(config.ProbeInterval))
	if config.ForgetAfter > 0 {
		viewConfig.ForgetAfter = micros(config.ForgetAfter)
	}
	now := n.now()
	n.view = membership.New(now, viewConfig, n.self)
	n.shares.leases = sharelease.New(now, sharelease.DefaultTiming(), config.FleetSize, sharelease.Slot(config.Slot),
		sharelease.Incarnation(incarnation), config.NoSharesGranted)
	n.shares.applied = unknownShare
	return n
}

// micros converts a span to the core packages' unit.
func micros(span time.Duration) clock.Duration { return clock.Duration(span / time.Microsecond) }

// now is the clock of the core packages: the time since the node was opened, by the monotonic clock.
func (n *Node) now() clock.Time { return micros(time.Since(n.startedAt)) }

// Close leaves the fleet, once the router sends nothing more: gracefully, or because a successor has taken over.
func (n *Node) Close(handedOver bool) {
	list := n.stopRunning()
	if list == nil {
		n.awaitTransient()
		return
	}
	n.mu.Lock()
	now := n.now()
	var transfers []sharelease.Message
	if handedOver {
		n.view.AnnounceHandover(now)
	} else {
		n.view.AnnounceLeave(now)
		transfers = n.shares.leases.TransferAll(now)
	}
	n.mu.Unlock()

	n.broadcastLocal()
	n.sendLeaseMessages(append(transfers, transfers...)) // twice, since holders do not request them again
	time.Sleep(2 * n.gossipInterval())                   // two rounds of broadcasts
	if !handedOver {
		_ = list.Leave(n.config.ProbeInterval) // after a failure the others detect the end by themselves
	}
	_ = list.Shutdown() // the process exits
	n.awaitTransient()
	n.persistPeers()
}

// stopRunning ends the node's goroutines. It returns nil if the node has never listened.
func (n *Node) stopRunning() *memberlist.Memberlist {
	close(n.stop)
	n.running.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// heartbeatsByIncarnation indexes the last heartbeat of each process. n.mu is locked.
func (n *Node) heartbeatsByIncarnation() map[membership.Incarnation]membership.Heartbeat {
	heartbeats := map[membership.Incarnation]membership.Heartbeat{}
	for _, heartbeat := range n.view.Heartbeats() {
		heartbeats[heartbeat.Incarnation] = heartbeat
	}
	return heartbeats
}

var (
	_ fleet.Node      = (*Node)(nil)
	_ fleet.Transport = (*Node)(nil)
)
