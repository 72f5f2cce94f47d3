package gossip

import (
	"encoding/binary"
	"testing"

	"spurtrestle/internal/fleet"
)

type tally [fleet.TrafficKinds]struct{ bytes, messages int }

func (t *tally) add(m fleet.TrafficKind, bytes, messages int) {
	t[m].bytes += bytes
	t[m].messages += messages
}

// compound packs messages as memberlist does.
func compound(messages ...[]byte) []byte {
	packed := []byte{listCompound, byte(len(messages))}
	for _, m := range messages {
		packed = binary.BigEndian.AppendUint16(packed, uint16(len(m)))
	}
	for _, m := range messages {
		packed = append(packed, m...)
	}
	return packed
}

func TestPacketsAreCountedByMechanism(t *testing.T) {
	ping, alive, heartbeat := []byte{listPing, 1, 2, 3}, []byte{listAlive, 1}, []byte{listUser, kindWord, '{', '}'}
	packed := compound(ping, alive, heartbeat)
	var got tally
	countPacket(packed, got.add)
	countPacket([]byte{listUser, kindParts, 1}, got.add)
	countPacket([]byte{listUser, kindTiers, 1}, got.add)
	var want tally
	framing := packetHeader + len(packed) - len(ping) - len(alive) - len(heartbeat)
	want.add(fleet.Probe, framing+len(ping), 1)
	want.add(fleet.Gossip, len(alive), 1)
	want.add(fleet.Heartbeat, len(heartbeat), 1)
	want.add(fleet.ShareLease, packetHeader+3, 1)
	want.add(fleet.Summary, packetHeader+3, 1)
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Every byte counts, whatever the packet holds.
func TestSpoiltPacketsAreCountedWhole(t *testing.T) {
	whole := compound([]byte{listPing, 1}, []byte{listUser, kindWord, 7, 7})
	for n := range len(whole) {
		var got tally
		countPacket(whole[:n], got.add)
		sum := 0
		for _, m := range got {
			sum += m.bytes
		}
		if sum != packetHeader+n {
			t.Errorf("%d bytes are counted as %d", packetHeader+n, sum)
		}
	}
}
