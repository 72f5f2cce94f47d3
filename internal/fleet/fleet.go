// Package fleet says how the program, the router and what keeps the router's place among the others of its fleet are
// joined, so that a program can be built without the latter.
package fleet

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Config is how a router takes part in its fleet.
type Config struct {
	Fleet           string
	Name            string // of the router
	Site            string
	Sites           []string // all that there are; none: that is not known
	Tiered          bool     // full membership within the site alone, summaries of the other sites; off: the whole fleet
	Region          string   // of the site; needed with Tiered
	Remote          []string // with Tiered: addresses of routers of other sites, to begin with
	Listen          netip.AddrPort
	Advertise       netip.AddrPort
	Join            []string // addresses of others, to begin with
	Dir             string   // for the file of peers known; empty: there is none
	ProbeInterval   time.Duration
	ForgetAfter     time.Duration // 0: as the rules have it
	FleetSize       int           // as many as the settings say that there are
	Slot            int
	Build           string
	Methods         []string    // of the service
	HasPredecessor  bool        // it takes over from a process that lives, and has the address still
	NoSharesGranted bool        // that process has lent nothing
	FaultyLinks     FaultyLinks // may lose what is sent, in trials; nil: nothing is lost on purpose
	// Refused makes an error of a field of the operator's file, as in "fleet.listen".
	ConfigError func(field, what, remedy string) error
}

// Router is the router that this is the place of. All may be called from any goroutine, but the loop's.
type Router interface {
	// Standing tells whether it takes clients, and if not, whether it is being drained and nothing of any client is left.
	FleetStatus() (takes, draining, empty bool)
	// SetPart has the loop keep to a part: now until a time (zero: for ever), then afterwards. It is in force once it
	// returns nil. An error: it is not, and may come into force later.
	SetShare(now float64, until time.Time, then float64) error
	// KeepOut has it take no clients for a reason; empty: it may again.
	SetOutOfService(why string)
}

// Node is what is seen of the fleet from a router.
type Node interface {
	Whole() (string, error) // the view, as JSON
	Figures() string        // as statsd lines
	Close(handed bool)      // once the router sends nothing more; handed: another process has taken over
}

// Policy is a router's side of the fleet's policy.
type Policy interface {
	Policy() (string, error)            // what is held here, as JSON
	Ask(request string) (string, error) // of the keepers, for an operator
	Close(handed bool)                  // handed: another process has taken over, by what this one left it
}

// Join takes a router's place. Errors are about the configuration.
type Join func(Config, Router, *logrus.Logger) (Node, error)
