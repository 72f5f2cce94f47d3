// Package scenario defines and reads the description of a lab run: the service, its routers and servers, the load, the
// timeline of faults, and the expected result. A file is strict TOML; each error names its line, field and remedy. The
// commands of cache-routerctl read scenarios; package fleet runs them. Values are not changed after they are read.
package scenario

import (
	"fmt"
	"time"

	"spurtrestle/internal/lab/event"
)

// Span is a duration in microseconds, written as "250ms" or "2m30s".
type Span event.Micros

// UnmarshalText parses a duration that is not negative.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no span; write it as \"250ms\", \"4s\" or \"2m30s\"", text)
	}
	*s = Span(d / time.Microsecond)
	return nil
}

// MarshalText formats the span so that UnmarshalText can parse it.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) String() string { return event.Micros(s).Duration().String() }

// Micros returns the span as event.Micros.
func (s Span) Micros() event.Micros { return event.Micros(s) }

// Scenario describes one run.
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

// SiteOf returns the site of the server or router with an index. Sites are assigned round robin.
func (s *Scenario) SiteOf(index int) string { return s.Sites[index%len(s.Sites)] }

// Service holds the settings of the service that every router receives.
type Service struct {
	Mode           string  `toml:"mode"` // aside: routers send misses to the origin; through: the servers load them
	MaxAttempts    int     `toml:"max_write_outs"`
	Cancel         bool    `toml:"cancel"`
	Hints          bool    `toml:"hints"`
	MaxHint        Span    `toml:"max_hint"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	IdleClose      Span    `toml:"idle_close"`
	DrainGrace     Span    `toml:"drain_grace"`
	OverShareValue float64 `toml:"over_share_worth"`
}

// Method describes one method of the service and its share of the traffic.
type Method struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`
	Effect           string  `toml:"effect"` // retryable, deduplicated, non-retryable
	Group            string  `toml:"group"`  // scope of deduplication: all, zone or cell
	Window           Span    `toml:"window"`
	Write            bool    `toml:"write"`
	Work             Span    `toml:"work"`   // mean service time on one core of a cache server
	WorkDistribution string  `toml:"spread"` // distribution of the work: none or exp
	LatencyBudget    Span    `toml:"latency_budget"`
	Deadline         Span    `toml:"deadline"`
	Criticality      float64 `toml:"criticality"`
	LateShare        float64 `toml:"late_share"`
}

// Tenant is one tenant, its share of the service and its usage.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // fraction of its share that it requests; 1 if left out
}

// Routers describes the router processes under test.
type Routers struct {
	Count        int    `toml:"count"`
	MemoryMB     int    `toml:"memory_mb"`
	Descriptors  int    `toml:"descriptors"`
	Cores        int    `toml:"cores"`      // GOMAXPROCS of each
	State        bool   `toml:"state"`      // each has a state directory that outlives the process
	Fleet        bool   `toml:"fleet"`      // they form a fleet over links that faults can affect
	Policy       string `toml:"policy"`     // mode of a router without a current policy, serve or refuse; the first three store the policy; empty: no policy
	Probe        Span   `toml:"probe"`      // interval of the probes between routers
	KillAfter    Span   `toml:"kill_after"` // time from SIGTERM to SIGKILL, in addition to the longest deadline
	SiteLossPlan string `toml:"plan"`       // the [sites] section of the first policy revision, for the loss of a site
}

// Servers describes the cache servers.
type Servers struct {
	Count            int      `toml:"count"`
	Cores            int      `toml:"cores"`
	Queue            int      `toml:"queue"`
	Keys             int      `toml:"keys"` // capacity of one server
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
	Probes           bool     `toml:"probes"`     // routers may request the load report by itself
	ProbeWork        Span     `toml:"probe_work"` // work of a probe
}

// Origin describes the slow store behind the cache servers.
type Origin struct {
	Cores            int     `toml:"cores"`
	Queue            int     `toml:"queue"`
	Work             Span    `toml:"work"`
	CollapseMultiple float64 `toml:"fall_multiple"`
	CollapseWindow   Span    `toml:"fall_span"`
	Downtime         Span    `toml:"stop_for"`
}

// Discovery describes how the routers learn about servers.
type Discovery struct {
	Delay          Span `toml:"delay"`      // from a change until routers can see it
	DetectionDelay Span `toml:"notice_for"` // until a dead server is detected
	FullLists      bool `toml:"whole"`      // each answer is the complete list instead of the changes
}

// Clients describes the clients and the load balancer between them and the routers.
type Clients struct {
	Protocol               string  `toml:"protocol"`   // resp2, grpc, or mixed: operations alternate
	KeepUsing              bool    `toml:"keep_using"` // connections open at SIGTERM stay in use until the router closes them
	Retries                int     `toml:"retries"`
	Backoff                Span    `toml:"backoff"`
	HonourHintsShare       float64 `toml:"honour_hints"` // fraction of retries that wait as hinted
	Patience               float64 `toml:"patience"`     // fraction of the deadline after which a request is abandoned
	AbandonShare           float64 `toml:"leave"`        // fraction of operations abandoned before their answer
	Pipeline               int     `toml:"pipeline"`     // concurrent requests on a connection
	BalancerDetectionDelay Span    `toml:"front_notice"` // until the load balancer detects a dead router
}

// Load describes the rate, keys and values of the requests.
type Load struct {
	Rate          float64 `toml:"rate"`
	Arrivals      string  `toml:"arrivals"` // poisson or even
	Steps         []Step  `toml:"steps"`
	Keys          int     `toml:"keys"`
	Zipf          float64 `toml:"zipf"`
	ValueBytes    int     `toml:"value_bytes"`
	MaxValueBytes int     `toml:"value_most"`
	SiteShares    []Share `toml:"site_shares"`
}

// Share is the fraction of the traffic that arrives at a site.
type Share struct {
	Site  string  `toml:"site"`
	Share float64 `toml:"share"`
}

// Step changes the rate at a time.
type Step struct {
	At   Span    `toml:"at"`
	Rate float64 `toml:"rate"`
}

// Fault describes one fault on the timeline. Which fields apply depends on its kind.
type Fault struct {
	Kind        string   `toml:"kind"`
	At          Span     `toml:"at"`
	StartSpread Span     `toml:"spread"` // the start is drawn from at to at+spread, for each target
	Chance      float64  `toml:"chance"` // probability that a run has the fault; 0: every run has it
	Duration    Span     `toml:"for"`
	TargetShare float64  `toml:"part"`    // fraction of the possible targets; 0: one target
	Targets     []int    `toml:"pick"`    // indexes of the targets, instead of part
	BatchShare  float64  `toml:"batch"`   // fraction of the targets affected at a time
	NewAddress  bool     `toml:"moved"`   // the server returns at a new address
	Factor      float64  `toml:"factor"`  // slowdown, or multiple of the rate
	Share       float64  `toml:"share"`   // affected fraction of the answers, requests or keys
	Site        string   `toml:"site"`    // the only affected site
	Step        Span     `toml:"step"`    // clock step, or delay of links and discovery
	ReplyForms  []string `toml:"answers"` // forms of malformed answers
	Count       int      `toml:"count"`
	From        []int    `toml:"from"`    // sending routers of the affected links; empty: all
	To          []int    `toml:"to"`      // receiving routers; empty: all
	OneWay      bool     `toml:"one_way"` // the opposite direction is not affected
	Line        int      `toml:"-"`       // line of its kind in the file
}

// Expect holds the required results of a run, in addition to the rules.
type Expect struct {
	Service float64 `toml:"service"` // lower bound
}

// Default returns the values of fields that a file leaves out.
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

// Values of Clients.Protocol.
const (
	RESP2 = "resp2"
	GRPC  = "grpc"
	Mixed = "mixed"
)

// UsesGRPC reports whether any client uses gRPC.
func (c Clients) UsesGRPC() bool { return c.Protocol == GRPC || c.Protocol == Mixed }

// LongestDeadline returns the longest deadline of all methods.
func (s *Scenario) LongestDeadline() time.Duration {
	longest := Span(0)
	for _, method := range s.Methods {
		longest = max(longest, method.Deadline)
	}
	return longest.Micros().Duration()
}

func span(d time.Duration) Span { return Span(d / time.Microsecond) }
