package gossip

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"spurtrestle/core/membership"
)

// peerWith returns a memberlist node with the given metadata.
func peerWith(metadata nodeMetadata) *memberlist.Node {
	name := memberName(membership.Member{Name: membership.Name(metadata.Name), Incarnation: membership.Incarnation(metadata.Incarnation)})
	const metadataLimit = 512
	return &memberlist.Node{Name: name, Addr: net.IPv4(10, 0, 0, 9), Port: 7946, Meta: metadata.encode(metadataLimit)}
}

func TestMemberOf(t *testing.T) {
	metadata := nodeMetadata{Pool: "harvest", Name: "hill-1", Site: "hill", Incarnation: 0xabc, Slot: 3, StartedAt: 17, Build: "b", Predecessor: 5}
	want := membership.Member{Fleet: "harvest", Name: "hill-1", Site: "hill", Incarnation: 0xabc, Slot: 3, StartedAt: 17, Build: "b",
		Addr: "10.0.0.9:7946", Predecessor: 5}
	if got, err := memberOf(peerWith(metadata)); err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestMemberOf_RejectsIncompleteMetadata(t *testing.T) {
	valid := nodeMetadata{Pool: "harvest", Name: "hill-1", Incarnation: 7}
	for name, change := range map[string]func(*memberlist.Node){
		"no metadata":              func(peer *memberlist.Node) { peer.Meta = nil },
		"no name":                  func(peer *memberlist.Node) { peer.Meta = nodeMetadata{Incarnation: 7}.encode(512) },
		"no incarnation":           func(peer *memberlist.Node) { peer.Meta = nodeMetadata{Name: "hill-1"}.encode(512) },
		"another incarnation":      func(peer *memberlist.Node) { peer.Name = "hill-1#8" },
		"a name without separator": func(peer *memberlist.Node) { peer.Name = "hill-1" },
	} {
		t.Run(name, func(t *testing.T) {
			peer := peerWith(valid)
			change(peer)
			if member, err := memberOf(peer); err == nil {
				t.Errorf("got %+v, want an error", member)
			}
		})
	}
}

func TestNode_CheckPeer(t *testing.T) {
	for _, test := range []struct {
		name     string
		tiered   bool
		metadata nodeMetadata
		want     string // part of the rejection; empty if the peer is accepted
	}{
		{"same fleet", false, nodeMetadata{Pool: "harvest"}, ""},
		{"other fleet", false, nodeMetadata{Pool: "vintage"}, "correct fleet.name or fleet.join of"},
		{"tiered peer of a flat router", false, nodeMetadata{Pool: "harvest/north/hill"}, "correct fleet.tiered of"},
		{"same site", true, nodeMetadata{Pool: "harvest/north/hill"}, ""},
		{"flat peer of a tiered router", true, nodeMetadata{Pool: "harvest"}, "correct fleet.tiered of"},
		{"other site", true, nodeMetadata{Pool: "harvest/north/coast"}, "correct fleet.name, fleet.region, fleet.site or fleet.join of"},
		{"same methods", false, nodeMetadata{Pool: "harvest", Methods: []string{"get", "put"}}, ""},
		{"one of the methods, truncated", false, nodeMetadata{Pool: "harvest", Methods: []string{"get"}, MethodsTruncated: true}, ""},
		{"other methods", false, nodeMetadata{Pool: "harvest", Methods: []string{"tile"}}, "correct fleet.name or fleet.join of"},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newTestNode(test.tiered)
			n.config.Methods = []string{"get", "put"}
			test.metadata.Name = "peer"
			test.metadata.Incarnation = 9
			err := delegate{n}.NotifyAlive(peerWith(test.metadata))
			switch {
			case test.want == "" && err != nil:
				t.Errorf("got %v, want the peer accepted", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got %v, want a rejection with %q", err, test.want)
			}
		})
	}
}

func TestNode_LogsRejectionOnce(t *testing.T) {
	n := newTestNode(false)
	if !n.isRejectionDue("reason") {
		t.Error("first rejection is not logged")
	}
	if n.isRejectionDue("reason") {
		t.Error("second rejection with the same reason is logged")
	}
	if !n.isRejectionDue("another reason") {
		t.Error("rejection with another reason is not logged")
	}
}

// newTestNode returns a node without sockets, with the configuration and incarnation of goldenNode.
func newTestNode(tiered bool) *Node {
	golden := goldenNode(tiered)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newNode(golden.config, idleRouter{}, log, golden.self.Incarnation)
}
