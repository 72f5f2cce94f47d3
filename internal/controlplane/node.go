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
	FailOpen    bool     // keep serving under the active revision while the leader cannot be reached
	Voters      []string // names of the routers with a raft log
	Raft        RaftConfig
	OwnSettings routing.Settings // of revision 0, and for what a document leaves out
	Site        string
	Sites       []string // all that the settings name; empty if they name none

	// ConfigError makes the error of a field of the operator's file.
	ConfigError func(field, problem, remedy string) error
}

func (c Config) isVoter() bool { return slices.Contains(c.Voters, c.Name) }

// Router is the router that a Node controls. Its methods may be called from any goroutine but the router's event loop.
type Router interface {
	// SetPolicy replaces the settings and the banned cache servers. They are in force once it returns nil. After an error they
	// are not, and never will be by this call.
	SetPolicy(settings routing.Settings, bannedServers []string) error
	// SetAdmissionDeadline lets the router admit requests until deadline: always if it is zero, not at all if it has passed.
	SetAdmissionDeadline(deadline time.Time)
	// SetExtraShare adds to the router's share of the fleet's limits until expiresAt.
	SetExtraShare(share float64, expiresAt time.Time)
	// OfferTransfer passes the result of transfer to the process that replaces this one, if there is one.
	OfferTransfer(transfer func() []byte)
	// OnTransfer registers the function that receives the transfers of the process that this one replaces.
	OnTransfer(receive func([]byte))
	// SetSiteOrders replaces the orders on lost sites until expiresAt, and returns the router's recent load. They are in force
	// once the error is nil.
	SetSiteOrders(orders routing.FailoverOrders, expiresAt time.Time) (routing.RouterLoad, error)
}

// Node is a router's part in the control plane. Close ends it.
type Node struct {
	config    Config
	router    Router
	transport fleet.Transport
	log       *logrus.Logger
	startedAt time.Time
	raftLog   *raftLog // nil if this router is no voter

	// mu guards the fields below. Of Router, only SetExtraShare and SetAdmissionDeadline are called with mu held: they do not
	// block.
	mu           sync.Mutex
	follower     *policycommit.Follower
	applyPending bool                  // the active revision is neither in force nor found to be impossible to apply
	inForce      policycommit.Revision // that the router decides by
	applyError   string                // why this build cannot apply the active revision
	extraShare   float64               // of the last lease
	siteOrders   siteOrders
	pendingCalls map[uint64]chan policycommit.Reply // operators' requests sent by this node, by ID
	leader       leaderState
	closed       bool

	adopted    chan struct{} // makes the applier run
	wake       chan struct{} // makes the follower loop run at once
	stop       chan struct{} // closed by Close
	goroutines sync.WaitGroup
}

// start opens the raft log of a voter and starts the goroutines of a Node. The router admits nothing before its first lease.
func start(config Config, incarnation fleet.Incarnation, build string, router Router, transport fleet.Transport, log *logrus.Logger) (*Node, error) {
	n := &Node{
		config:       config,
		router:       router,
		transport:    transport,
		log:          log,
		startedAt:    time.Now(),
		pendingCalls: map[uint64]chan policycommit.Reply{},
		leader:       newLeaderState(),
		adopted:      make(chan struct{}, 1),
		wake:         make(chan struct{}, 1),
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
			return nil, config.ConfigError("policy.dir", err.Error(), "give the keeper a folder of its own that it can write, and an address that nobody listens on")
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

// now returns the time since the node's start.
func (n *Node) now() clock.Time { return clock.Time(time.Since(n.startedAt) / time.Microsecond) }

// timeOf converts a time of now to the process's clock.
func (n *Node) timeOf(t clock.Time) time.Time {
	return n.startedAt.Add(time.Duration(t) * time.Microsecond)
}

// Close tells the leader that this router admits nothing any more, and ends the node. With replaced, another process goes on for
// the router: it stays a member, and the leader waits for the renewals of that process.
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
		n.raftLog.close() // ends the appends that wait for a majority
	}
	n.goroutines.Wait()
}

// spawn runs f in a goroutine that Close waits for; not at all once the node is closed. n.mu must be held.
func (n *Node) spawn(f func()) {
	if !n.closed {
		n.goroutines.Go(f)
	}
}

// sendLeaving sends the last renewal. If all its copies are lost, the leader waits for the lease to expire, as after a crash.
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
