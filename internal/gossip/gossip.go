// Package gossip connects a router with the other routers of its fleet. It runs hashicorp/memberlist for failure detection and
// dissemination, broadcasts heartbeats over it, and exchanges the messages of share leases, of the policy and of site
// summaries. The protocols are implemented in core/membership, core/sharelease and core/hierarchy, which do no I/O; this package
// provides their sockets, timers and goroutines.
//
// A program opens one Node for its router. One mutex guards the state of the node. It is never held while memberlist is called,
// since memberlist calls back. One goroutine of the node does all periodic work; the router's event loop never waits for the
// node.
//
//	gossip.go         opens and closes a node
//	join.go           joins the fleet, and reconnects to lost routers
//	tick.go           the periodic work
//	memberlist.go     configures memberlist, and the sockets that it uses
//	delegate.go       the callbacks of memberlist
//	admission.go      rejects nodes of other fleets and services
//	receive.go        dispatches incoming messages
//	codec.go          encodes and decodes messages
//	shares.go         applies share leases to the router
//	antientropy.go    repairs missed heartbeats
//	hierarchy.go      connects core/hierarchy in a tiered fleet
//	transport.go      implements fleet.Transport
//	peersfile.go      persists the addresses of other routers
//	meter.go          counts traffic; classify.go assigns packets to kinds of traffic
//	status.go, log.go the view as JSON, as metrics and as log lines
//	introspection.go  access for the lab and tests
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

	mu            sync.Mutex             // guards the fields up to antiEntropy; not held while memberlist is called
	list          *memberlist.Memberlist // nil until the node listens
	peers         map[membership.Incarnation]*memberlist.Node
	view          *membership.View
	localChanged  bool                 // this process's heartbeat has changed since its last broadcast
	rejections    map[string]time.Time // the time of the last log line, by the reason of the rejection
	policyHandler func(fleet.Incarnation, []byte)
	shares        shareState
	tiers         hierarchyState
	antiEntropy   antiEntropyState

	broadcasts     *memberlist.TransmitLimitedQueue // safe for concurrent use
	reconnecting   atomic.Bool
	droppedReplies atomic.Int64 // replies to lease requests

	// Owned by the ticking goroutine.
	yieldReason    string // the last reason that was passed to the router
	persistFailing bool   // the last write of the peers file failed

	stop    chan struct{} // closed to stop the goroutines
	running sync.WaitGroup

	spawnMu   sync.Mutex
	closing   bool           // spawn starts no more goroutines
	transient sync.WaitGroup // goroutines for single messages and calls, which end at the latest when the transport shuts down
}

// spawn runs f in a goroutine that Close waits for. It does nothing once the node is closing.
func (n *Node) spawn(f func()) {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()
	if !n.closing {
		n.transient.Go(f)
	}
}

// awaitTransient prevents further calls of spawn and waits for the goroutines that it started. The transport must be shut down.
func (n *Node) awaitTransient() {
	n.spawnMu.Lock()
	n.closing = true
	n.spawnMu.Unlock()
	n.transient.Wait()
}

// Open starts the node of a router and joins the fleet. An error reports an invalid configuration and names the file, the field
// and a remedy. Failures after Open has returned are logged, and the router serves as if it were the only one.
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
		return nil, config.ConfigError("fleet.listen", err.Error(), "use an address of this machine that no other process listens on")
	}
	if err := n.joinFleet(); err != nil {
		close(n.stop)
		_ = n.list.Shutdown() // the configuration error is more important
		n.awaitTransient()
		return nil, err
	}
	n.running.Go(n.run)
	return n, nil
}

func randomIncarnation() (membership.Incarnation, error) {
	var random [incarnationSize]byte
	if _, err := crand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("generate the incarnation of this process: %w", err)
	}
	return membership.Incarnation(binary.BigEndian.Uint64(random[:]) | 1), nil // 0 would mean no process
}

func newNode(config fleet.Config, router fleet.Router, logger *logrus.Logger, incarnation membership.Incarnation) *Node {
	const maxBuildLength = 12 // memberlist limits the size of node metadata
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

// micros converts a duration to the unit of the core packages.
func micros(duration time.Duration) clock.Duration {
	return clock.Duration(duration / time.Microsecond)
}

// now returns the time that the core packages use: the monotonic time since the node was opened.
func (n *Node) now() clock.Time { return micros(time.Since(n.startedAt)) }

// Close implements fleet.Node. Unless a successor has taken over, it returns leased shares and announces the leave first.
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
	n.sendLeaseMessages(append(transfers, transfers...)) // twice, since the recipients do not request a lost message again
	time.Sleep(2 * n.gossipInterval())                   // lets memberlist send two rounds of broadcasts
	if !handedOver {
		_ = list.Leave(n.config.ProbeInterval) // if it fails, the others detect the failure of this node
	}
	_ = list.Shutdown() // the process exits
	n.awaitTransient()
	n.persistPeers()
}

// stopRunning stops the node's goroutines and returns its memberlist, or nil if the node has never listened.
func (n *Node) stopRunning() *memberlist.Memberlist {
	close(n.stop)
	n.running.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// heartbeatsByIncarnation returns the last heartbeat of each process. n.mu must be held.
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
