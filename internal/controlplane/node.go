package controlplane

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
)

// Config is the configuration of a Node.
type Config struct {
	Name        string
	FailOpen    bool     // keep admitting requests under the active revision while the leader is unreachable
	Voters      []string // names of the routers with a raft log
	Raft        RaftConfig
	OwnSettings routing.Settings // used for revision 0, and for the fields that a document leaves out
	Site        string
	Sites       []string // all sites in the settings; empty if the settings name none

	// ConfigError returns an error about a field of the operator's file.
	ConfigError func(field, problem, remedy string) error
}

func (c Config) isVoter() bool { return slices.Contains(c.Voters, c.Name) }

// Router is the router that a Node controls. Its methods may be called from any goroutine except the router's event loop.
type Router interface {
	// SetPolicy replaces the settings and the banned cache servers. They are in force once it returns nil. If it fails, they are
	// not, and this call will not put them into force later.
	SetPolicy(settings routing.Settings, bannedServers []string) error
	// SetAdmissionDeadline lets the router admit requests until deadline. A zero deadline never ends admission; one in the past
	// ends it at once.
	SetAdmissionDeadline(deadline time.Time)
	// SetExtraShare adds to the router's share of the fleet's limits until expiresAt.
	SetExtraShare(share float64, expiresAt time.Time)
	// OfferTransfer sends the result of transfer to the process that replaces this one, if there is one.
	OfferTransfer(transfer func() []byte)
	// OnTransfer registers the handler of transfers from the process that this one replaces.
	OnTransfer(receive func([]byte))
	// SetSiteOrders replaces the site failover orders until expiresAt, and returns the router's recent load. The orders are in
	// force once it returns a nil error.
	SetSiteOrders(orders routing.FailoverOrders, expiresAt time.Time) (routing.RouterLoad, error)
}

// Node is a router's part in the control plane. It implements fleet.Policy, and is safe for concurrent use.
type Node struct {
	config    Config
	router    Router
	transport fleet.Transport
	log       *logrus.Logger
	startedAt time.Time
	raftLog   *raftLog // nil if this router is not a voter

	// mu guards the fields below. Of the methods of Router, only SetExtraShare and SetAdmissionDeadline are called with mu held,
	// since they do not block.
	mu           sync.Mutex
	follower     *policycommit.Follower
	applyPending bool                  // the active revision has been neither applied nor rejected by this build
	inForce      policycommit.Revision // the revision that the router has applied
	applyError   string                // why this build cannot apply the active revision
	extraShare   float64               // of the last lease
	siteOrders   siteOrders
	pendingCalls map[uint64]chan policycommit.Reply // operators' requests that this node has sent, by ID
	leader       leaderState
	closed       bool

	applierWake  chan struct{} // signals the applier that a revision is pending
	followerWake chan struct{} // makes the follower loop run immediately
	stop         chan struct{} // closed by Close
	goroutines   sync.WaitGroup
}

// start opens the raft log if the router is a voter, and starts the goroutines of a Node. The router admits no requests before
// its first lease.
func start(config Config, incarnation fleet.Incarnation, build string, router Router, transport fleet.Transport, log *logrus.Logger) (*Node, error) {
	n := &Node{
		config:       config,
		router:       router,
		transport:    transport,
		log:          log,
		startedAt:    time.Now(),
		pendingCalls: map[uint64]chan policycommit.Reply{},
		leader:       newLeaderState(),
		applierWake:  make(chan struct{}, 1),
		followerWake: make(chan struct{}, 1),
		stop:         make(chan struct{}),
	}
	n.follower = policycommit.NewFollower(policycommit.DefaultTiming(), policycommit.FollowerConfig{
		Name:        policycommit.RouterName(config.Name),
		Incarnation: policycommit.Incarnation(incarnation),
		FailOpen:    config.FailOpen,
		Build:       build,
		Validate:    n.validate,
	})
	if config.isVoter() {
		raftLog, err := openRaftLog(config.Raft, config.Name, log)
		if err != nil {
			return nil, config.ConfigError("policy.dir", err.Error(), "use a separate, writable directory for each keeper, and an address that no other process listens on")
		}
		n.raftLog = raftLog
	}
	router.SetAdmissionDeadline(admitNothing)
	router.OnTransfer(n.receiveTransfer)
	transport.OnMessage(n.receive)
	n.goroutines.Go(n.runApplier)
	n.goroutines.Go(n.runFollower)
	n.goroutines.Go(n.runSiteReports)
	if n.raftLog != nil {
		n.goroutines.Go(n.resumeVoter)
		n.goroutines.Go(n.runLeader)
	}
	return n, nil
}

// now returns the time that the core packages use: the monotonic time since the node's start.
func (n *Node) now() clock.Time { return clock.Time(time.Since(n.startedAt) / time.Microsecond) }

// timeOf converts a time of now to a time.Time.
func (n *Node) timeOf(t clock.Time) time.Time {
	return n.startedAt.Add(time.Duration(t) * time.Microsecond)
}

// Close implements fleet.Policy. It announces to the leader that this router no longer admits requests, and stops the node. If
// replaced, a successor continues for the router: the router stays a member, and the leader waits for the successor's renewals.
func (n *Node) Close(replaced bool) {
	n.mu.Lock()
	renewal := n.follower.Leave(n.now())
	n.mu.Unlock()
	if !replaced {
		n.sendLeaving(renewal)
	}
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	close(n.stop)
	if n.raftLog != nil {
		n.raftLog.close() // makes appends fail that wait for a majority
	}
	n.goroutines.Wait()
}

// spawn runs f in a goroutine that Close waits for. It does nothing once the node is closed. n.mu must be held.
func (n *Node) spawn(f func()) {
	if !n.closed {
		n.goroutines.Go(f)
	}
}

// sendLeaving sends the last renewal of this router. If all copies are lost, the leader waits until the lease has expired, as
// after a crash.
func (n *Node) sendLeaving(renewal policycommit.Renewal) {
	const copies, interval = 2, 60 * time.Millisecond
	renewal.Site = n.config.Site
	for range copies {
		for _, leader := range n.transport.Leaders() {
			n.send(leader, message{Renewal: &renewal})
		}
		time.Sleep(interval)
	}
}
