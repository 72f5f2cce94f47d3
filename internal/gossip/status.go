package gossip

import (
	"encoding/json"
	"fmt"
	"strings"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
)

// fullView is the view of the fleet that the admin endpoint returns.
type fullView struct {
	membership.Snapshot
	Hierarchy *hierarchy.Status `json:"tiers,omitempty"`
}

// StatusJSON returns the view of the fleet as JSON.
func (n *Node) StatusJSON() (string, error) {
	n.mu.Lock()
	now := n.now()
	view := fullView{Snapshot: n.view.Snapshot(now)}
	if n.tiers.hierarchy != nil {
		status := n.tiers.hierarchy.Status(now)
		view.Hierarchy = &status
	}
	n.mu.Unlock()
	text, err := json.MarshalIndent(view, "", " ")
	return string(text) + "\n", err
}

// partsPerMillion converts a share to the unit of its metric.
const partsPerMillion = 1e6

// Metrics returns the metrics as statsd lines.
func (n *Node) Metrics() string {
	n.mu.Lock()
	snapshot := n.view.Snapshot(n.now())
	share := n.shares.applied.Current
	n.mu.Unlock()

	routers := map[membership.State]int{}
	for _, router := range snapshot.Routers {
		routers[router.State]++
	}
	settled := 0
	if snapshot.Settled {
		settled = 1
	}
	var out strings.Builder
	for state := membership.Alive; state <= membership.Left; state++ {
		fmt.Fprintf(&out, "router.fleet.%v:%d|g\n", state, routers[state])
	}
	fmt.Fprintf(&out, "router.fleet.settled:%d|g\n", settled)
	fmt.Fprintf(&out, "router.fleet.disagree:%d|g\n", len(snapshot.Disagreeing))
	fmt.Fprintf(&out, "router.fleet.part_ppm:%d|g\n", int(share*partsPerMillion))
	fmt.Fprintf(&out, "router.fleet.messages_dropped:%d|c\n", n.droppedReplies.Load())
	counts := n.traffic.Counts()
	out.WriteString(counts.Statsd())
	return out.String()
}
