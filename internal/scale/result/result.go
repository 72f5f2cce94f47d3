// Package result holds what a scale run measured. The harness writes these values as JSON; the fitting of slopes and the
// capacity page read them. It does no I/O.
package result

// Format is the version of the JSON form. A file of another version is refused.
const Format = 1

// File is what one call of the harness measured: one trial per size, seed, topology and fault.
type File struct {
	Format int     `json:"format"`
	Build  string  `json:"build"`  // commit of the binary that wrote the file
	Cores  int     `json:"cores"`  // of the machine
	Trials []Trial `json:"trials"` // in the order in which they were run
}

// Topology is how the routers of a fleet know each other.
type Topology string

const (
	Flat   Topology = "flat"   // every router knows every other
	Tiered Topology = "tiered" // full membership within a site, summaries beyond it
)

// Fault is what happens to the fleet while it is measured.
type Fault string

const (
	Rest       Fault = "rest"                  // nothing
	Loss       Fault = "loss"                  // a share of all packets is lost
	RegionCut  Fault = "region_cut"            // one region hears none of the others for a while
	Restarts   Fault = "restarts"              // routers are restarted at the pace of an ordinary day
	RestartsX  Fault = "restarts_x10"          // at ten times that pace
	SpeakerEnd Fault = "representative_killed" // one representative is killed each second
)

// Trial is one fleet of one size under one fault.
type Trial struct {
	Build      string      `json:"build,omitempty"` // commit of the binary; empty: that of the file
	Topology   Topology    `json:"topology"`
	Fault      Fault       `json:"fault"`
	Seed       uint64      `json:"seed"`
	Routers    int         `json:"routers"`
	Sites      int         `json:"sites"`
	Regions    int         `json:"regions"`
	Probe      float64     `json:"probe_s"`                    // seconds between two probes of a router
	Measured   float64     `json:"measured_s"`                 // length of the window that the rates are of, in seconds
	Loss       float64     `json:"loss"`                       // share of packets lost, 0 to 1
	PerRouter  Usage       `json:"per_router"`                 // mean over all routers, harness's own share taken off
	Worst      Usage       `json:"worst"`                      // the router with the most bytes; CPU and memory as in PerRouter
	Harness    Usage       `json:"harness"`                    // what was taken off
	OtherLoad  *float64    `json:"other_load_cores,omitempty"` // cores that other processes used in the window; null: not recorded
	Mechanisms []Mechanism `json:"mechanisms"`
	Real       *Real       `json:"real,omitempty"`       // processes of the router's program among the routers; null: there were none
	Settled    *float64    `json:"settled_s"`            // from the last start until all views agreed; null: they did not
	AllSettled *float64    `json:"all_settled_s"`        // from the same time until all routers knew that all agreed; null: they did not
	Events     int         `json:"events"`               // routers ended by the fault
	Change     *float64    `json:"change_s"`             // from a change at one router until all had it; null: not all had it
	Incomplete string      `json:"incomplete,omitempty"` // why the trial ended early; empty: it did not
}

// Real is what processes of the router's own program used that took part in the fleet, without clients.
type Real struct {
	Routers   int   `json:"routers"`    // of the trial's; PerRouter and Worst of the trial leave them out
	PerRouter Usage `json:"per_router"` // mean over them, each a whole process
	Alone     Usage `json:"alone"`      // CPU and memory of as many processes whose fleet is switched off
}

// Usage is what one router uses.
type Usage struct {
	BytesIn     float64 `json:"bytes_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	MessagesOut float64 `json:"messages_out_per_s"`
	CPU         float64 `json:"cpu_cores"`    // share of one core
	Memory      float64 `json:"memory_bytes"` // resident
}

// Mechanism is the part of the traffic that one mechanism causes, per router.
type Mechanism struct {
	Name     string  `json:"name"`           // probe, gossip, full_state, summary, grant, lending, list
	Bytes    float64 `json:"bytes_per_s"`    // in and out together
	Messages float64 `json:"messages_per_s"` // in and out together
}
