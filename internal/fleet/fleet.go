// Package fleet declares how a program, its router and the node that represents the router in the fleet are connected. It has
// no I/O and no state, so that a program can be built without internal/gossip, which implements it. The traffic counters of a
// node are here as well, since the lab reads them from a router's metrics.
package fleet

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a router's node. Most fields are those of section fleet of the operator's file, see docs/fleet.md.
type Config struct {
	Fleet           string
	Name            string // of the router
	Site            string
	Sites           []string // all sites of the settings; empty: not known
	Tiered          bool     // full membership within the site alone, and summaries of other sites
	Region          string   // of the site; required if Tiered
	Remote          []string // if Tiered: seed addresses of routers of other sites
	Listen          netip.AddrPort
	Advertise       netip.AddrPort
	Join            []string // seed addresses of other routers
	Dir             string   // folder of the peers file; empty: none is written
	ProbeInterval   time.Duration
	ForgetAfter     time.Duration // until a lost or left router is removed; 0: the default
	FleetSize       int           // number of routers in the settings
	Slot            int           // index of this router among them, from 0
	Build           string
	Methods         []string    // of the service
	HasPredecessor  bool        // a process of this router serves, and listens at the address until it exits
	NoSharesGranted bool        // that process has granted no share
	FaultyLinks     FaultyLinks // drops messages in tests and trials; nil: none is dropped on purpose
	// ConfigError returns an error about a field of the operator's file, as in "fleet.listen".
	ConfigError func(field, problem, remedy string) error
}

// RouterStatus is a router's state as its node announces it.
type RouterStatus struct {
	Accepting bool // it accepts clients
	Draining  bool // an operator drains it, or it is shutting down
	Idle      bool // no request of a client is in progress or can arrive
}

// Share is the share of the fleet's limits that a router may use: Current until ExpiresAt, AfterExpiry from then on. It is a
// sharelease.Share by the router's clock.
type Share struct {
	Current     float64
	ExpiresAt   time.Time // zero: Current does not expire
	AfterExpiry float64
}

// Router is the router that a node represents. Its methods are called from any goroutine but the router's event loop.
type Router interface {
	FleetStatus() RouterStatus
	// SetShare returns nil once the event loop uses no more than the share. After an error the share is not in force.
	SetShare(Share) error
	// SetOutOfService has the router reject clients for the given reason, or accept them again if that is empty.
	SetOutOfService(reason string)
}

// Node represents a router in its fleet.
type Node interface {
	StatusJSON() (string, error) // the view of the fleet, as JSON
	Metrics() string             // metrics, as lines of statsd
	// Close leaves the fleet. It is called once the router sends nothing more. With handedOver, a successor has taken over.
	Close(handedOver bool)
}

// Policy is a router's side of the fleet's policy. It uses the transport of a Node.
type Policy interface {
	Policy() (string, error)                      // this router's state and the policy in force, as JSON
	HandleRequest(request string) (string, error) // passes an operator's request to the voters
	// Close ends the router's side. It is called before Node.Close, since its last messages go over the node's transport. With
	// handedOver, a successor has taken over with what this process left it.
	Close(handedOver bool)
}

// Join starts the node of a router. Its errors are about the configuration.
type Join func(Config, Router, *logrus.Logger) (Node, error)
