// Package result defines the results of a scale run. The test harness (internal/lab/scale) writes them as JSON; package
// capacity reads them to fit growth models and to write the capacity page. The package does no I/O and holds no state.
package result

// Format is the version of the JSON format. Readers reject files of any other version.
const Format = 1

// File holds the results of one run of the harness: one trial per size, seed, topology and fault.
type File struct {
	Format int     `json:"format"`
	Build  string  `json:"build"`  // commit that the binary was built from
	Cores  int     `json:"cores"`  // CPU cores of the machine
	Trials []Trial `json:"trials"` // in execution order
}

// Topology is the membership topology of a fleet.
type Topology string

// The membership topologies.
const (
	Flat   Topology = "flat"   // every router tracks every other router
	Tiered Topology = "tiered" // full membership within a site, summaries of other sites and regions
)

// Fault is the fault that is injected while the fleet is measured.
type Fault string

// The injected faults.
const (
	NoFault              Fault = "rest"
	PacketLoss           Fault = "loss"                  // a fraction of all packets is dropped
	RegionPartition      Fault = "region_cut"            // one region is partitioned from all others for a while
	Restarts             Fault = "restarts"              // routers restart at the rate of an ordinary day
	RestartsTenfold      Fault = "restarts_x10"          // routers restart at ten times that rate
	RepresentativeKilled Fault = "representative_killed" // one representative is killed every second
)

// Trial is the result for one fleet of one size under one fault.
type Trial struct {
	Build                string       `json:"build,omitempty"` // commit that the binary was built from; empty: File.Build
	Topology             Topology     `json:"topology"`
	Fault                Fault        `json:"fault"`
	Seed                 uint64       `json:"seed"`
	Routers              int          `json:"routers"`
	Sites                int          `json:"sites"`
	Regions              int          `json:"regions"`
	ProbeInterval        float64      `json:"probe_s"`                    // seconds between two probes by a router
	Window               float64      `json:"measured_s"`                 // seconds over which the rates are averaged
	LossRate             float64      `json:"loss"`                       // fraction of packets dropped, 0 to 1
	PerRouter            Usage        `json:"per_router"`                 // mean over all routers, without the harness's own usage
	Busiest              Usage        `json:"worst"`                      // of the router with the most bytes; CPU and memory as in PerRouter
	Harness              Usage        `json:"harness"`                    // the harness's usage that was subtracted
	OtherLoad            *float64     `json:"other_load_cores,omitempty"` // cores that other processes used in the window; nil: not recorded
	Mechanisms           []Mechanism  `json:"mechanisms"`
	Real                 *RealRouters `json:"real,omitempty"`       // usage of real router processes in the fleet; nil: there were none
	ConvergenceTime      *float64     `json:"settled_s"`            // seconds from the last router start until all views agreed; nil: they never did
	ConvergenceKnownTime *float64     `json:"all_settled_s"`        // seconds from the same time until all routers knew that the views agreed; nil: some never did
	RouterKills          int          `json:"events"`               // routers that the fault terminated
	PropagationTime      *float64     `json:"change_s"`             // seconds from a change at one router until all routers had it; nil: some never had it
	Incomplete           string       `json:"incomplete,omitempty"` // why the trial ended early; empty: it completed
}

// RealRouters is the resource usage of real router processes in a fleet, without client load.
type RealRouters struct {
	Routers      int   `json:"routers"`    // number of processes; Trial.PerRouter and Trial.Busiest do not include them
	PerRouter    Usage `json:"per_router"` // mean over these processes
	WithoutFleet Usage `json:"alone"`      // CPU and memory of the same number of processes with fleet membership disabled
}

// Usage is the resource usage of one router.
type Usage struct {
	BytesIn     float64 `json:"bytes_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	MessagesOut float64 `json:"messages_out_per_s"`
	CPU         float64 `json:"cpu_cores"`    // cores
	Memory      float64 `json:"memory_bytes"` // resident set size
}

// Mechanism is the traffic that one protocol mechanism causes, per router.
type Mechanism struct {
	Name     string  `json:"name"`           // such as probe, gossip, full_state, summary, grant, lending, list
	Bytes    float64 `json:"bytes_per_s"`    // in and out together
	Messages float64 `json:"messages_per_s"` // in and out together
}
