// Package fleet declares the interfaces between a program, its router and the node that represents the router in the fleet.
// internal/gossip implements Node and Transport, internal/controlplane implements Policy, and the router implements Router. The
// package does no I/O apart from reading the clock, so that a program can be built without internal/gossip.
//
// It also defines the traffic counters of a node, since the lab parses them from a router's metrics.
package fleet

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a router's node. Most fields come from section [fleet] of the operator's file; see docs/fleet.md.
type Config struct {
	Fleet           string
	Name            string // of the router
	Site            string
	Sites           []string // all sites in the settings; empty if the settings name none
	Tiered          bool     // exchange full membership only within the site, and summaries with other sites
	Region          string   // of the site; required if Tiered
	Remote          []string // if Tiered: seed addresses of routers of other sites
	Listen          netip.AddrPort
	Advertise       netip.AddrPort
	Join            []string // seed addresses of other routers
	Dir             string   // directory of the peers file; if empty, no file is written
	ProbeInterval   time.Duration
	ForgetAfter     time.Duration // how long a lost or left router stays in the view; 0 selects the default
	FleetSize       int           // number of routers in the settings
	Slot            int           // index of this router among them, from 0
	Build           string
	Methods         []string    // of the service
	HasPredecessor  bool        // an older process of this router serves, and listens at the address until it exits
	NoSharesGranted bool        // the older process has granted no share to other routers
	FaultyLinks     FaultyLinks // injects network faults in tests and trials; may be nil
	// ConfigError returns an error about a field of the operator's file, such as "fleet.listen".
	ConfigError func(field, problem, remedy string) error
}

// RouterStatus is the state of a router that its node announces to the fleet.
type RouterStatus struct {
	Accepting bool // the router accepts clients
	Draining  bool // an operator drains the router, or it is shutting down
	Idle      bool // no client request is in progress, and none can arrive
}

// Share is the share of the fleet's limits that a router may use: Current until ExpiresAt, AfterExpiry from then on. It is a
// sharelease.Share with times of the router's clock.
type Share struct {
	Current     float64
	ExpiresAt   time.Time // if zero, Current does not expire
	AfterExpiry float64
}

// Router is the router that a node represents. Its methods may be called from any goroutine except the router's event loop.
type Router interface {
	FleetStatus() RouterStatus
	// SetShare returns nil once the event loop uses no more than the share. If it fails, the share is not in force.
	SetShare(Share) error
	// SetOutOfService makes the router reject clients for the given reason. An empty reason makes it accept them again.
	SetOutOfService(reason string)
}

// Node represents a router in its fleet.
type Node interface {
	StatusJSON() (string, error) // the view of the fleet as JSON
	Metrics() string             // the metrics as statsd lines
	// Close leaves the fleet. It is called after the router's last message. handedOver reports that a successor has taken over.
	Close(handedOver bool)
}

// Policy is a router's part in the control plane of the fleet's policy. It sends its messages over the transport of a Node.
type Policy interface {
	Policy() (string, error)                      // the state of this router's policy as JSON
	HandleRequest(request string) (string, error) // forwards an operator's request to the voters
	// Close ends the router's part. It is called before Node.Close, since its last messages go over the node's transport.
	// handedOver reports that a successor has taken over, with the lease that this process transferred.
	Close(handedOver bool)
}

// Join starts the node of a router. An error of it reports an invalid configuration.
type Join func(Config, Router, *logrus.Logger) (Node, error)
