package membership

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
)

// updateGolden has the golden files written anew. They were written by the build of commit bfb4b5c and stay as they are.
var updateGolden = flag.Bool("update-golden", false, "write the golden files")

// checkGolden compares bytes with those of a file under testdata.
func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	name := "testdata/golden/" + file
	if *updateGolden {
		if err := os.WriteFile(name, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// goldenHeartbeats have each field set in one of them at least.
var goldenHeartbeats = []Heartbeat{
	{Process: 1, Seq: 1},
	{Process: 1 << 63, Seq: 1 << 40, Takes: true, Draining: true, Passing: true, Out: true, Left: true, Rival: 7, Revision: 1 << 50, Digest: 1 << 63},
	{Process: 9, Seq: 3, Leads: true, Folder: 5, Keeper: "10.0.0.1:7947", Member: true, Last: 77},
}

// goldenView is a view of six routers in all states, two of them of one name.
func goldenView() *View {
	view := New(0, DefaultRules(1e6), Member{Fleet: "harvest", Name: "me", Site: "hill", Process: 1, Seat: 0, Started: 1000, Build: "b1", Addr: "10.0.0.1:7946"})
	view.Joined(1e6, Member{Fleet: "harvest", Name: "a", Site: "hill", Process: 2, Seat: 1, Started: 2000, Build: "b2", Addr: "10.0.0.2:7946"})
	view.Joined(1e6, Member{Fleet: "harvest", Name: "a", Site: "hill", Process: 3, Seat: 1, Started: 3000, Build: "b2", Addr: "10.0.0.3:7946"})
	view.Joined(1e6, Member{Fleet: "harvest", Name: "b", Site: "coast", Process: 4, Seat: 2, Started: 4000, Build: "b1", Addr: "10.0.1.1:7946"})
	view.Joined(1e6, Member{Fleet: "harvest", Name: "c", Site: "coast", Process: 5, Seat: 3, Started: 5000, Build: "b1", Addr: "10.0.1.2:7946"})
	view.Joined(1e6, Member{Fleet: "harvest", Name: "d", Site: "coast", Process: 6, Seat: 4, Started: 6000, Build: "b1", Addr: "10.0.1.3:7946"})
	view.Said(2e6, Heartbeat{Process: 2, Seq: 5, Takes: true, Rival: 3, Revision: 12})
	view.Said(2e6, Heartbeat{Process: 4, Seq: 2, Takes: true, Draining: true, Revision: 11, Digest: 0xabc})
	view.Said(2e6, Heartbeat{Process: 5, Seq: 2, Left: true})
	view.Said(2e6, Heartbeat{Process: 6, Seq: 2, Passing: true, Out: true})
	view.Gone(3e6, 6)
	view.Joined(3e6, Member{Fleet: "harvest", Name: "e", Site: "plain", Process: 7, Seat: 5, Started: 7000, Addr: "10.0.2.1:7946"})
	view.Gone(4e6, 7)
	view.Joined(80e6, Member{Fleet: "harvest", Name: "f", Site: "plain", Process: 8, Seat: 6, Started: 8000, Follows: 7, Addr: "10.0.2.2:7946"})
	view.Say(81e6, true, false)
	view.Step(95e6)
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
			t.Errorf("%s is read as %+v, %v", text, read, err)
		}
	}
	text, err := json.MarshalIndent(goldenHeartbeats, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "heartbeats.json", text)
}

func TestGolden_ViewJSON(t *testing.T) {
	text, err := json.MarshalIndent(goldenView().Snapshot(95e6), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "view.json", text)
}

// The digest is compared between routers of different builds.
func TestGolden_Digest(t *testing.T) {
	view := goldenView()
	digest, _ := view.Digest()
	text, err := json.Marshal(struct {
		Digest    uint64
		Heartbeat Heartbeat
		Known     []string
	}{digest, view.Heartbeat(), view.Known()})
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "digest.json", text)
}
