package gossip

import (
	"encoding/binary"

	"spurtrestle/internal/fleet"
)

// The overhead of the layers below memberlist for a packet and for a short connection, in bytes.
const (
	ipv4Header         = 20
	udpHeader          = 8
	packetOverhead     = ipv4Header + udpHeader
	handshakeSegment   = 60 // IPv4 and TCP headers with options
	plainSegment       = 52
	connectionOverhead = 2*handshakeSegment + 6*plainSegment // handshake, acknowledgements and close; half in each direction
)

// The message types of memberlist's protocol: the first byte of each packet.
const (
	memberlistPing = iota
	memberlistIndirectPing
	memberlistAck
	memberlistSuspect
	memberlistAlive
	memberlistDead
	memberlistPushPull
	memberlistCompound
	memberlistUser
	memberlistCompress
	memberlistEncrypt
	memberlistNack
	memberlistChecksum
)

// Sizes in memberlist's packet framing, in bytes.
const (
	checksumFrame      = 1 + 4 // type and checksum, before the message
	compoundHeader     = 2     // type and number of messages
	compoundLengthSize = 2     // length field of each message
)

// countPacket calls record for each message of a packet. The overhead and the framing are counted with the first message. A
// malformed packet is counted as one message of kind fleet.Other.
func countPacket(packet []byte, record func(kind fleet.TrafficKind, bytes, messages int)) {
	messages, isComplete := splitPacket(packet)
	if !isComplete || len(messages) == 0 {
		record(fleet.Other, packetOverhead+len(packet), 1)
		return
	}
	overhead := packetOverhead + len(packet)
	for _, message := range messages {
		overhead -= len(message)
	}
	for i, message := range messages {
		size := len(message)
		if i == 0 {
			size += overhead
		}
		record(trafficKind(message), size, 1)
	}
}

// splitPacket returns the messages of a packet. isComplete is false for a packet that is empty or truncated.
func splitPacket(packet []byte) (messages [][]byte, isComplete bool) {
	if len(packet) > checksumFrame && packet[0] == memberlistChecksum {
		packet = packet[checksumFrame:]
	}
	if len(packet) < compoundHeader || packet[0] != memberlistCompound {
		return [][]byte{packet}, len(packet) > 0
	}
	count := int(packet[1])
	lengths := packet[compoundHeader:]
	if len(lengths) < count*compoundLengthSize {
		return nil, false
	}
	rest := lengths[count*compoundLengthSize:]
	for i := range count {
		size := int(binary.BigEndian.Uint16(lengths[i*compoundLengthSize:]))
		if len(rest) < size {
			return nil, false
		}
		messages = append(messages, rest[:size])
		rest = rest[size:]
	}
	return messages, true
}

// trafficKind returns the kind of a memberlist message.
func trafficKind(message []byte) fleet.TrafficKind {
	if len(message) == 0 {
		return fleet.Other
	}
	switch message[0] {
	case memberlistPing, memberlistIndirectPing, memberlistAck, memberlistNack:
		return fleet.Probe
	case memberlistSuspect, memberlistAlive, memberlistDead:
		return fleet.Gossip
	case memberlistUser:
		return userTrafficKind(message[1:])
	}
	return fleet.Other
}

// userTrafficKind returns the kind of a message of this package, which memberlist carries as a user message.
func userTrafficKind(message []byte) fleet.TrafficKind {
	if len(message) == 0 {
		return fleet.Other
	}
	switch messageKind(message[0]) {
	case kindHeartbeat, kindPackedHeartbeat, kindHeartbeatRequest:
		return fleet.Heartbeat
	case kindShareLease:
		return fleet.ShareLease
	case kindPolicy:
		return fleet.PolicyMessage
	case kindSummary:
		return fleet.Summary
	}
	return fleet.Other
}
