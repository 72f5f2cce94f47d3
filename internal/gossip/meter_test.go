package gossip

import (
	"encoding/binary"
	"testing"

	"spurtrestle/internal/fleet"
)

// countsByKind records the calls of countPacket.
type countsByKind [fleet.TrafficKinds]struct{ bytes, messages int }

func (c *countsByKind) add(kind fleet.TrafficKind, bytes, messages int) {
	c[kind].bytes += bytes
	c[kind].messages += messages
}

// compound returns a packet with the framing of memberlist's compound messages.
func compound(messages ...[]byte) []byte {
	packet := []byte{memberlistCompound, byte(len(messages))}
	for _, message := range messages {
		packet = binary.BigEndian.AppendUint16(packet, uint16(len(message)))
	}
	for _, message := range messages {
		packet = append(packet, message...)
	}
	return packet
}

func TestCountPacket_CountsByKind(t *testing.T) {
	ping := []byte{memberlistPing, 1, 2, 3}
	alive := []byte{memberlistAlive, 1}
	heartbeat := []byte{memberlistUser, byte(kindHeartbeat), '{', '}'}
	packet := compound(ping, alive, heartbeat)
	var got countsByKind
	countPacket(packet, got.add)
	countPacket([]byte{memberlistUser, byte(kindShareLease), 1}, got.add)
	countPacket([]byte{memberlistUser, byte(kindSummary), 1}, got.add)
	var want countsByKind
	framing := packetOverhead + len(packet) - len(ping) - len(alive) - len(heartbeat)
	want.add(fleet.Probe, framing+len(ping), 1)
	want.add(fleet.Gossip, len(alive), 1)
	want.add(fleet.Heartbeat, len(heartbeat), 1)
	want.add(fleet.ShareLease, packetOverhead+3, 1)
	want.add(fleet.Summary, packetOverhead+3, 1)
	if got != want {
		t.Errorf("counts: got %v, want %v", got, want)
	}
}

func TestCountPacket_CountsAllBytesOfTruncatedPackets(t *testing.T) {
	packet := compound([]byte{memberlistPing, 1}, []byte{memberlistUser, byte(kindHeartbeat), 7, 7})
	for size := range len(packet) {
		var got countsByKind
		countPacket(packet[:size], got.add)
		sum := 0
		for _, count := range got {
			sum += count.bytes
		}
		if want := packetOverhead + size; sum != want {
			t.Errorf("packet truncated to %d bytes: got %d bytes counted, want %d", size, sum, want)
		}
	}
}
