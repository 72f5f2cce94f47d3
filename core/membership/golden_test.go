package membership

import (
	"encoding/json"
	"testing"

	"spurtrestle/internal/goldentest"
)

// goldenHeartbeats have every field set in at least one of them.
var goldenHeartbeats = []Heartbeat{
	{Incarnation: 1, Seq: 1},
	{Incarnation: 1 << 63, Seq: 1 << 40, Accepting: true, Draining: true, HandingOver: true, Yielded: true, Left: true, Duplicate: 7, PolicyRevision: 1 << 50, ViewDigest: 1 << 63},
	{Incarnation: 9, Seq: 3, Leader: true, VoterID: 5, VoterAddr: "10.0.0.1:7947", Voter: true, LastIndex: 77},
}

// goldenView returns a view of six other routers in all states, one of which has two processes.
func goldenView() *View {
	view := New(0, DefaultConfig(1e6), Member{Fleet: "harvest", Name: "me", Site: "hill", Incarnation: 1, Slot: 0, StartedAt: 1000, Build: "b1", Addr: "10.0.0.1:7946"})
	view.MemberJoined(1e6, Member{Fleet: "harvest", Name: "a", Site: "hill", Incarnation: 2, Slot: 1, StartedAt: 2000, Build: "b2", Addr: "10.0.0.2:7946"})
	view.MemberJoined(1e6, Member{Fleet: "harvest", Name: "a", Site: "hill", Incarnation: 3, Slot: 1, StartedAt: 3000, Build: "b2", Addr: "10.0.0.3:7946"})
	view.MemberJoined(1e6, Member{Fleet: "harvest", Name: "b", Site: "coast", Incarnation: 4, Slot: 2, StartedAt: 4000, Build: "b1", Addr: "10.0.1.1:7946"})
	view.MemberJoined(1e6, Member{Fleet: "harvest", Name: "c", Site: "coast", Incarnation: 5, Slot: 3, StartedAt: 5000, Build: "b1", Addr: "10.0.1.2:7946"})
	view.MemberJoined(1e6, Member{Fleet: "harvest", Name: "d", Site: "coast", Incarnation: 6, Slot: 4, StartedAt: 6000, Build: "b1", Addr: "10.0.1.3:7946"})
	view.ReceiveHeartbeat(2e6, Heartbeat{Incarnation: 2, Seq: 5, Accepting: true, Duplicate: 3, PolicyRevision: 12})
	view.ReceiveHeartbeat(2e6, Heartbeat{Incarnation: 4, Seq: 2, Accepting: true, Draining: true, PolicyRevision: 11, ViewDigest: 0xabc})
	view.ReceiveHeartbeat(2e6, Heartbeat{Incarnation: 5, Seq: 2, Left: true})
	view.ReceiveHeartbeat(2e6, Heartbeat{Incarnation: 6, Seq: 2, HandingOver: true, Yielded: true})
	view.MemberFailed(3e6, 6)
	view.MemberJoined(3e6, Member{Fleet: "harvest", Name: "e", Site: "plain", Incarnation: 7, Slot: 5, StartedAt: 7000, Addr: "10.0.2.1:7946"})
	view.MemberFailed(4e6, 7)
	view.MemberJoined(80e6, Member{Fleet: "harvest", Name: "f", Site: "plain", Incarnation: 8, Slot: 6, StartedAt: 8000, Predecessor: 7, Addr: "10.0.2.2:7946"})
	view.UpdateLocal(81e6, true, false)
	view.Tick(95e6)
	return view
}

func TestGolden_HeartbeatJSON(t *testing.T) {
	for _, heartbeat := range goldenHeartbeats {
		text, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		var read Heartbeat
		if err := json.Unmarshal(text, &read); err != nil || read != heartbeat {
			t.Errorf("decoding %s: got %+v and error %v, want %+v", text, read, err, heartbeat)
		}
	}
	text, err := json.MarshalIndent(goldenHeartbeats, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "heartbeats.json", text)
}

func TestGolden_ViewJSON(t *testing.T) {
	text, err := json.MarshalIndent(goldenView().Snapshot(95e6), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "view.json", text)
}

// Routers of different builds compare digests, so the digest of a view must not change.
func TestGolden_Digest(t *testing.T) {
	view := goldenView()
	digest, _ := view.Digest()
	text, err := json.Marshal(struct {
		Digest    uint64
		Heartbeat Heartbeat
		Known     []string
	}{digest, view.Heartbeat(), view.KnownAddrs()})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "digest.json", text)
}
