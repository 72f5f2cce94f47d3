package gossip

import (
	"encoding/binary"

	"spurtrestle/internal/fleet"
)

// What the layers below memberlist add to a packet and to a short connection, in bytes.
const (
	ipv4Header         = 20
	udpHeader          = 8
	packetOverhead     = ipv4Header + udpHeader
	handshakeSegment   = 60 // IPv4 and TCP headers with options
	plainSegment       = 52
	connectionOverhead = 2*handshakeSegment + 6*plainSegment // handshake, acknowledgements and close, half of it each way
)

// The types of memberlist's messages, the first byte of each packet. They are part of its protocol.
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

// Sizes in the framing of memberlist's packets, in bytes.
const (
	checksumFrame      = 1 + 4 // type and checksum, before the message
	compoundHeader     = 2     // type and number of messages
	compoundLengthSize = 2     // of each message
)

// countPacket passes a packet's bytes to record by their kind. The overhead and the framing count for the first message.
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

// trafficKind returns the kind of one of memberlist's messages.
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

// userTrafficKind returns the kind of one of this package's messages.
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
