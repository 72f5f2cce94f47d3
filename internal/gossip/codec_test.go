package gossip

import (
	"slices"
	"testing"

	"spurtrestle/core/membership"
)

// A packed heartbeat is decoded unchanged, and every truncated one is rejected.
func TestUnpackHeartbeat(t *testing.T) {
	for _, heartbeat := range []membership.Heartbeat{
		{Incarnation: 1, Seq: 1},
		{Incarnation: 1 << 63, Seq: 1 << 40, Accepting: true, Draining: true, HandingOver: true, Yielded: true, Left: true, Duplicate: 7, PolicyRevision: 1 << 50, ViewDigest: 1 << 63},
		{Incarnation: 9, Seq: 3, Leader: true, VoterID: 5, VoterAddr: "10.0.0.1:7947", Voter: true, LastIndex: 77},
	} {
		packed := appendHeartbeat(nil, heartbeat)
		got, rest, err := unpackHeartbeat(append(packed, 'x'))
		if err != nil || got != heartbeat || string(rest) != "x" {
			t.Errorf("got %+v, rest %q, %v, want %+v, rest %q", got, rest, err, heartbeat, "x")
		}
		for size := range packed {
			if _, _, err := unpackHeartbeat(packed[:size]); err == nil {
				t.Errorf("first %d of %d bytes: got no error", size, len(packed))
			}
		}
	}
}

func FuzzUnpackWords(f *testing.F) {
	f.Add(packHeartbeats([]membership.Heartbeat{{Incarnation: 1, Seq: 1}, {Incarnation: 9, Seq: 3, VoterID: 5, VoterAddr: "10.0.0.1:7947", Duplicate: 4}}))
	f.Fuzz(func(t *testing.T, state []byte) {
		if len(state) == 0 {
			return
		}
		heartbeats, err := unpackHeartbeats(state)
		if err != nil {
			return
		}
		again, err := unpackHeartbeats(packHeartbeats(heartbeats))
		if err != nil || !slices.Equal(heartbeats, again) {
			t.Errorf("got %+v, %v, want %+v", again, err, heartbeats)
		}
	})
}
