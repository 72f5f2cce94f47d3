// Package scenario reads what a lab run is to be: the service, its routers and servers, the load, the faults on their
// timeline, and what is expected. A file is strict TOML; what is wrong in it is named with its line, field and remedy.
package scenario

import (
	"fmt"
	"time"

	"spurtrestle/internal/lab/event"
)

// Span is a length of time, written as "250ms" or "2m30s".
type Span event.Micros

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no span; write it as \"250ms\", \"4s\" or \"2m30s\"", text)
	}
	*s = Span(d / time.Microsecond)
	return nil
}

// MarshalText writes a span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) String() string { return event.Micros(s).Duration().String() }

// Micros is the span in the lab's unit.
func (s Span) Micros() event.Micros { return event.Micros(s) }

// Scenario is one run.
type Scenario struct {
	Title  string   `toml:"title"`
	About  string   `toml:"about"`
	Length Span     `toml:"length"`
	Seed   uint64   `toml:"seed"`
	Sites  []string `toml:"sites"`

	Service   Service   `toml:"service"`
	Methods   []Method  `toml:"method"`
	Tenants   []Tenant  `toml:"tenant"`
	Routers   Routers   `toml:"routers"`
	Servers   Servers   `toml:"servers"`
	Origin    Origin    `toml:"origin"`
	Discovery Discovery `toml:"discovery"`
	Clients   Clients   `toml:"clients"`
	Load      Load      `toml:"load"`
	Faults    []Fault   `toml:"fault"`
	Expect    Expect    `toml:"expect"`
}

// SiteOf names the site of the server or router at a place.
func (s *Scenario) SiteOf(place int) string { return s.Sites[place%len(s.Sites)] }

// Service is what every router is told of the service.
type Service struct {
	Mode           string  `toml:"mode"` // aside: misses go to the origin; through: the servers see to them
	MaxAttempts    int     `toml:"max_write_outs"`
	Cancel         bool    `toml:"cancel"`
	Hints          bool    `toml:"hints"`
	MaxHint        Span    `toml:"max_hint"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	IdleClose      Span    `toml:"idle_close"`
	DrainGrace     Span    `toml:"drain_grace"`
	OverShareValue float64 `toml:"over_share_worth"`
}

// Method is one method of the service.
type Method struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`
	Effect           string  `toml:"effect"` // retryable, deduplicated, non-retryable
	Group            string  `toml:"group"`  // deduplicated: all, zone or cell
	Window           Span    `toml:"window"`
	Write            bool    `toml:"write"`
	Work             Span    `toml:"work"`   // mean, on one core of a cache server
	WorkDistribution string  `toml:"spread"` // of the work: none, exp
	LatencyBudget    Span    `toml:"latency_budget"`
	Deadline         Span    `toml:"deadline"`
	Criticality      float64 `toml:"criticality"`
	LateShare        float64 `toml:"late_share"`
}

// Tenant is one customer and its share of the traffic.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // of its share; 1 where it is left out
}

// Routers are the programs under test.
type Routers struct {
	Count        int    `toml:"count"`
	MemoryMB     int    `toml:"memory_mb"`
	Descriptors  int    `toml:"descriptors"`
	Cores        int    `toml:"cores"`      // GOMAXPROCS of each
	State        bool   `toml:"state"`      // each has a folder that outlives it
	Fleet        bool   `toml:"fleet"`      // they keep a view of one another, over a network that can be cut
	Policy       string `toml:"policy"`     // they hold one policy, kept by the first three; serve or refuse, where one is cut off
	Probe        Span   `toml:"probe"`      // between two probes of one another
	KillAfter    Span   `toml:"kill_after"` // beyond the longest deadline: from SIGTERM to SIGKILL
	SiteLossPlan string `toml:"plan"`       // for the loss of a site, as [sites] of a policy has it; the first change of the policy
}

// Servers are the cache servers.
type Servers struct {
	Count            int      `toml:"count"`
	Cores            int      `toml:"cores"`
	Queue            int      `toml:"queue"`
	Keys             int      `toml:"keys"` // that one holds
	FilledShare      float64  `toml:"filled"`
	MissWork         Span     `toml:"miss_work"`
	Connections      int      `toml:"connections"`
	ConnectionWork   Span     `toml:"connection_work"`
	ColdShare        float64  `toml:"cold_share"`
	ColdSpan         Span     `toml:"cold_span"`
	CollapseMultiple float64  `toml:"fall_multiple"`
	CollapseWindow   Span     `toml:"fall_span"`
	CancelStopsWork  bool     `toml:"cancel_stops"`
	ReportFields     []string `toml:"reports"`
	ReportInterval   Span     `toml:"report_every"`
	Probes           bool     `toml:"probes"`     // routers may ask for the report
	ProbeWork        Span     `toml:"probe_work"` // that a probe costs
}

// Origin is the one slow store behind the cache servers.
type Origin struct {
	Cores            int     `toml:"cores"`
	Queue            int     `toml:"queue"`
	Work             Span    `toml:"work"`
	CollapseMultiple float64 `toml:"fall_multiple"`
	CollapseWindow   Span    `toml:"fall_span"`
	Downtime         Span    `toml:"stop_for"`
}

// Discovery tells the routers of the servers.
type Discovery struct {
	Delay          Span `toml:"delay"`      // from a change until it is told
	DetectionDelay Span `toml:"notice_for"` // until a server that died is missed
	FullLists      bool `toml:"whole"`      // each answer is the whole list, not the changes
}

// Clients are those who ask, and the front between them and the routers.
type Clients struct {
	Protocol               string  `toml:"protocol"`   // resp2, grpc, or mixed: both by turns
	KeepUsing              bool    `toml:"keep_using"` // connections that are open at SIGTERM are used until the router closes them
	Retries                int     `toml:"retries"`
	Backoff                Span    `toml:"backoff"`
	HonourHintsShare       float64 `toml:"honour_hints"` // share of the clients
	Patience               float64 `toml:"patience"`     // of the deadline, until a try is given up
	AbandonShare           float64 `toml:"leave"`        // share that leaves before an answer
	Pipeline               int     `toml:"pipeline"`     // requests at once on a connection
	BalancerDetectionDelay Span    `toml:"front_notice"` // until the front misses a dead router
}

// Load is what is asked for.
type Load struct {
	Rate          float64 `toml:"rate"`
	Arrivals      string  `toml:"arrivals"` // poisson, even
	Steps         []Step  `toml:"steps"`
	Keys          int     `toml:"keys"`
	Zipf          float64 `toml:"zipf"`
	ValueBytes    int     `toml:"value_bytes"`
	MaxValueBytes int     `toml:"value_most"`
	SiteShares    []Share `toml:"site_shares"`
}

// Share is a site's part of the traffic.
type Share struct {
	Site  string  `toml:"site"`
	Share float64 `toml:"share"`
}

// Step sets the rate from a time on.
type Step struct {
	At   Span    `toml:"at"`
	Rate float64 `toml:"rate"`
}

// Fault is one trouble.
type Fault struct {
	Kind        string   `toml:"kind"`
	At          Span     `toml:"at"`
	StartSpread Span     `toml:"spread"` // at is drawn from so long a span, for each that is struck
	Chance      float64  `toml:"chance"` // that a seed has it; 0: each has
	Duration    Span     `toml:"for"`
	TargetShare float64  `toml:"part"`    // of those it can strike; 0: one
	Targets     []int    `toml:"pick"`    // or these, counted from 0
	BatchShare  float64  `toml:"batch"`   // part struck at a time
	NewAddress  bool     `toml:"moved"`   // it comes back at a new address
	Factor      float64  `toml:"factor"`  // times slower, times the rate, ...
	Share       float64  `toml:"share"`   // of the answers, requests or keys
	Site        string   `toml:"site"`    // one site only
	Step        Span     `toml:"step"`    // of a clock
	ReplyForms  []string `toml:"answers"` // forms of spoilt answers
	Count       int      `toml:"count"`
	From        []int    `toml:"from"`    // routers whose words to the others are struck; none: all
	To          []int    `toml:"to"`      // those others; none: all
	OneWay      bool     `toml:"one_way"` // what comes back is left alone
	Line        int      `toml:"-"`
}

// Expect is what a run must show beside the rules.
type Expect struct {
	Service float64 `toml:"service"` // at least
}

// Default is what holds where a file says nothing.
func Default() Scenario {
	return Scenario{
		Length: span(20 * time.Second), Seed: 1, Sites: []string{"north"},
		Service: Service{Mode: "aside", MaxAttempts: 3, Cancel: true, Hints: true, MaxHint: span(2 * time.Second),
			ConnectTimeout: span(100 * time.Millisecond), IdleClose: span(time.Minute),
			DrainGrace: span(2 * time.Second), OverShareValue: 0.1},
		Routers: Routers{Count: 2, MemoryMB: 192, Descriptors: 1024, Cores: 1, KillAfter: span(2 * time.Second), Probe: span(200 * time.Millisecond)},
		Servers: Servers{Count: 6, Cores: 2, Queue: 16, Keys: 2000, FilledShare: 1, MissWork: span(200 * time.Microsecond),
			Connections: 200, ConnectionWork: span(500 * time.Microsecond), ColdShare: 0.3,
			ColdSpan: span(6 * time.Second), CollapseMultiple: 3, CollapseWindow: span(2 * time.Second), CancelStopsWork: true,
			ReportFields: []string{"latency", "queue"}, ReportInterval: span(100 * time.Millisecond), ProbeWork: span(300 * time.Microsecond)},
		Origin: Origin{Cores: 4, Queue: 64, Work: span(20 * time.Millisecond), CollapseWindow: span(3 * time.Second),
			Downtime: span(5 * time.Second)},
		Discovery: Discovery{Delay: span(300 * time.Millisecond), DetectionDelay: span(2 * time.Second)},
		Clients: Clients{Protocol: "resp2", Retries: 1, Backoff: span(50 * time.Millisecond), HonourHintsShare: 1, Patience: 1, Pipeline: 1,
			BalancerDetectionDelay: span(1500 * time.Millisecond)},
		Load: Load{Rate: 300, Arrivals: "poisson", Keys: 4000, Zipf: 0.95, ValueBytes: 512, MaxValueBytes: 64 << 10},
	}
}

// Clients' protocols.
const (
	RESP2 = "resp2"
	GRPC  = "grpc"
	Mixed = "mixed"
)

// UsesGRPC reports whether clients call over gRPC, all of them or some.
func (c Clients) UsesGRPC() bool { return c.Protocol == GRPC || c.Protocol == Mixed }

// LongestDeadline is the longest of all methods.
func (s *Scenario) LongestDeadline() time.Duration {
	longest := Span(0)
	for _, method := range s.Methods {
		longest = max(longest, method.Deadline)
	}
	return longest.Micros().Duration()
}

func span(d time.Duration) Span { return Span(d / time.Microsecond) }
