package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/goldentest"
)

var goldenHeartbeats = []membership.Heartbeat{
	{Incarnation: 1, Seq: 1},
	{Incarnation: 1 << 63, Seq: 1 << 40, Accepting: true, Draining: true, HandingOver: true, Yielded: true, Left: true, Duplicate: 7, PolicyRevision: 1 << 50, ViewDigest: 1 << 63},
	{Incarnation: 9, Seq: 3, Leader: true, VoterID: 5, VoterAddr: "10.0.0.1:7947", Voter: true, LastIndex: 77},
	{Incarnation: 10, Seq: 300, Accepting: true, PolicyRevision: 300, ViewDigest: 5, Duplicate: 1 << 33},
	{Incarnation: 11, Seq: 2, VoterAddr: strings.Repeat("k", 70), LastIndex: 1 << 20},
}

// goldenNode returns a node without sockets, with a view of three routers.
func goldenNode(tiered bool) *Node {
	config := fleet.Config{Fleet: "harvest", Name: "hill-0", Site: "hill", Tiered: tiered, Region: "north",
		Advertise: netip.MustParseAddrPort("10.0.0.1:7946"), ProbeInterval: time.Second, FleetSize: 3, Slot: 2}
	n := &Node{config: config, startedAt: time.Unix(1700000000, 0)}
	n.self = membership.Member{Fleet: "harvest", Name: "hill-0", Site: "hill", Incarnation: 0xfedcba9876543211, Slot: 2, StartedAt: 1700000000000001, Build: "bfb4b5c",
		Addr: "10.0.0.1:7946"}
	n.view = membership.New(0, membership.DefaultConfig(1e6), n.self)
	n.view.MemberJoined(1e6, membership.Member{Fleet: "harvest", Name: "hill-1", Site: "hill", Incarnation: 21, Slot: 0, StartedAt: 5, Addr: "10.0.0.2:7946"})
	n.view.MemberJoined(1e6, membership.Member{Fleet: "harvest", Name: "hill-2", Site: "hill", Incarnation: 23, Slot: 1, StartedAt: 6, Addr: "10.0.0.3:7946"})
	n.view.ReceiveHeartbeat(2e6, goldenHeartbeats[3])
	n.view.MemberFailed(3e6, 23)
	n.view.UpdateHeartbeat(4e6, func(heartbeat *membership.Heartbeat) { heartbeat.PolicyRevision, heartbeat.Leader = 9, true })
	return n
}

// Checks the bytes of packed heartbeats, single and as a full state.
func TestGolden_PackedHeartbeats(t *testing.T) {
	lines := ""
	for _, heartbeat := range goldenHeartbeats {
		lines += fmt.Sprintf("%x\n", appendHeartbeat(nil, heartbeat))
	}
	lines += fmt.Sprintf("%x\n", packHeartbeats(goldenHeartbeats))
	goldentest.Compare(t, "packed.hex", []byte(lines))
	read, err := unpackHeartbeats(packHeartbeats(goldenHeartbeats[:4]))
	if err != nil || !slices.Equal(read, goldenHeartbeats[:4]) {
		t.Errorf("unpacked heartbeats: got %+v, %v, want %+v", read, err, goldenHeartbeats[:4])
	}
}

// Checks the bytes of broadcasts, of the payload of replies to probes and of the full state, in a flat and in a tiered fleet.
func TestGolden_Messages(t *testing.T) {
	text := ""
	for _, tiered := range []bool{false, true} {
		n := goldenNode(tiered)
		for _, heartbeat := range goldenHeartbeats {
			broadcast := n.newHeartbeatBroadcast(heartbeat)
			text += fmt.Sprintf("tiered=%v broadcast %s: %q\n", tiered, broadcast.Name(), broadcast.Message())
		}
		text += fmt.Sprintf("tiered=%v ack: %q\n", tiered, delegate{n}.AckPayload())
		text += fmt.Sprintf("tiered=%v state: %q\n", tiered, delegate{n}.LocalState(false))
	}
	kinds := []messageKind{kindHeartbeat, kindPackedHeartbeat, kindHeartbeatRequest, kindShareLease, kindPolicy, kindSummary}
	goldentest.Compare(t, "messages.txt", fmt.Appendf(nil, "%skinds: %q\n", text, kinds))
}

func TestGolden_NodeMeta(t *testing.T) {
	text := ""
	for _, tiered := range []bool{false, true} {
		n := goldenNode(tiered)
		text += string(delegate{n}.NodeMeta(512)) + "\n"
		n.self.Predecessor = 77
		for i := range 40 {
			n.config.Methods = append(n.config.Methods, fmt.Sprintf("cache.Cache/Method%d", i))
		}
		text += string(delegate{n}.NodeMeta(512)) + "\n"
	}
	goldentest.Compare(t, "meta.txt", []byte(text))
}

// Checks that the peers file has the format of earlier builds.
func TestGolden_PeersFile(t *testing.T) {
	n := goldenNode(false)
	n.config.Dir = t.TempDir()
	n.persistPeers()
	got, err := os.ReadFile(filepath.Join(n.config.Dir, "peers.json"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "peers.json", got)

	tiered, err := json.MarshalIndent(peersFile{"harvest", "hill-0", []string{"10.0.0.2:7946"}, []string{"10.1.0.1:7946", "10.2.0.1:7946"}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "peers-tiered.json", tiered)
	if err := os.WriteFile(filepath.Join(n.config.Dir, "peers.json"), tiered, 0o600); err != nil {
		t.Fatal(err)
	}
	read, err := n.loadPeers()
	if err != nil || !slices.Equal(read.Peers, []string{"10.0.0.2:7946"}) || !slices.Equal(read.Remote, []string{"10.1.0.1:7946", "10.2.0.1:7946"}) {
		t.Errorf("peers file: got %+v, %v, want one peer and two remote addresses", read, err)
	}
}

// Checks the JSON of the view on the admin endpoint, in a flat and in a tiered fleet.
func TestGolden_AdminView(t *testing.T) {
	flat, err := json.MarshalIndent(fullView{Snapshot: goldenNode(false).view.Snapshot(5e6)}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "view-flat.json", flat)
	tiered, err := json.MarshalIndent(fullView{Snapshot: goldenNode(true).view.Snapshot(5e6), Hierarchy: &hierarchy.Status{}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "view-tiered.json", tiered)
}

// Checks the names of the metrics, which dashboards refer to.
func TestGolden_Metrics(t *testing.T) {
	n := goldenNode(false)
	n.shares.applied = fleet.Share{Current: 0.25}
	n.traffic.RecordSent(fleet.Heartbeat, 100, 2)
	goldentest.Compare(t, "figures.txt", []byte(n.Metrics()))
}
