package gossip

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
)

// This file has the encodings of all messages between nodes. Nodes of different builds exchange them, so the golden files in
// testdata fix the bytes. A flat fleet exchanges heartbeats as JSON; a tiered fleet uses a packed binary form, since every reply
// to a probe carries a heartbeat.

// messageKind is the first byte of a message.
type messageKind byte

const (
	kindHeartbeat        messageKind = 'w' // a heartbeat as JSON
	kindPackedHeartbeat  messageKind = 'q' // a packed heartbeat; also the first byte of a packed full state
	kindHeartbeatRequest messageKind = 'a' // requests the recipient's heartbeat
	kindShareLease       messageKind = 'p' // a message of package sharelease as JSON
	kindPolicy           messageKind = 't' // a policy message after the sender's incarnation
	kindSummary          messageKind = 'h' // a datagram of package hierarchy
)

// Limits of messages that are accepted, in bytes.
const (
	maxMessageSize       = 4 << 10
	maxPolicyMessageSize = 1 << 20 // a reply may contain the history of the policy
)

// maxStateHeartbeats limits the number of heartbeats in a full state.
const maxStateHeartbeats = 8192

// maxStateSize limits the size of a full state, in bytes.
const maxStateSize = maxStateHeartbeats * maxMessageSize / 8

const incarnationSize = 8

var (
	errHeartbeatTruncated = errors.New("decode heartbeat: unexpected end of data")
	errStateTooLarge      = errors.New("decode full state: too large")
)

// isAcceptable reports whether a message's size is within the limit of its kind.
func isAcceptable(message []byte) bool {
	const minMessageSize = 2
	limit := maxMessageSize
	if len(message) > 0 && messageKind(message[0]) == kindPolicy {
		limit = maxPolicyMessageSize
	}
	return len(message) >= minMessageSize && len(message) <= limit
}

// nodeMetadata is the node metadata of memberlist that a process announces, as JSON. The keys are short since memberlist limits
// the size; they are part of the protocol.
type nodeMetadata struct {
	Pool             string   `json:"f"`
	Name             string   `json:"n"`
	Site             string   `json:"s"`
	Incarnation      uint64   `json:"p"`
	Slot             int      `json:"i"`
	StartedAt        int64    `json:"t"`
	Build            string   `json:"b"`
	Predecessor      uint64   `json:"o,omitempty"`
	Methods          []string `json:"m,omitempty"` // methods of the service, as many as fit
	MethodsTruncated bool     `json:"c,omitempty"`
}

// encode returns the metadata as JSON. It drops methods from the end until the result fits into limit bytes.
func (m nodeMetadata) encode(limit int) []byte {
	for {
		text := mustMarshal(m)
		if len(text) <= limit || len(m.Methods) == 0 {
			return text
		}
		m.Methods = m.Methods[:len(m.Methods)-1]
		m.MethodsTruncated = true
	}
}

// mustMarshal encodes a value as JSON. It panics if the value has fields that JSON cannot encode.
func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return text
}

// withKind returns a message of a kind with a body.
func withKind(kind messageKind, body []byte) []byte { return append([]byte{byte(kind)}, body...) }

func encodeShareLease(message sharelease.Message) []byte {
	return withKind(kindShareLease, mustMarshal(message))
}

func decodeShareLease(body []byte) (message sharelease.Message, err error) {
	err = json.Unmarshal(body, &message)
	return message, err
}

// encodePolicyMessage returns a policy message with its sender.
func encodePolicyMessage(from membership.Incarnation, body []byte) []byte {
	return append(withIncarnation(kindPolicy, from), body...)
}

// decodePolicyMessage returns the sender of a policy message and a copy of its body. ok is false if the body is empty.
func decodePolicyMessage(body []byte) (from membership.Incarnation, message []byte, ok bool) {
	if len(body) <= incarnationSize {
		return 0, nil, false
	}
	return membership.Incarnation(binary.BigEndian.Uint64(body)), slices.Clone(body[incarnationSize:]), true
}

func encodeHeartbeatRequest(from membership.Incarnation) []byte {
	return withIncarnation(kindHeartbeatRequest, from)
}

func decodeHeartbeatRequest(body []byte) (from membership.Incarnation, ok bool) {
	if len(body) != incarnationSize {
		return 0, false
	}
	return membership.Incarnation(binary.BigEndian.Uint64(body)), true
}

func withIncarnation(kind messageKind, incarnation membership.Incarnation) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(kind)}, uint64(incarnation))
}

// encodeHeartbeat returns a heartbeat message, in packed form or as JSON.
func encodeHeartbeat(heartbeat membership.Heartbeat, packed bool) []byte {
	if packed {
		return appendHeartbeat([]byte{byte(kindPackedHeartbeat)}, heartbeat)
	}
	return withKind(kindHeartbeat, mustMarshal(heartbeat))
}

// encodeState returns a full state, in packed form or as JSON.
func encodeState(heartbeats []membership.Heartbeat, packed bool) []byte {
	if packed {
		return packHeartbeats(heartbeats)
	}
	return mustMarshal(heartbeats)
}

// decodeState decodes a full state in either form.
func decodeState(state []byte) (heartbeats []membership.Heartbeat, err error) {
	isPacked := len(state) > 0 && messageKind(state[0]) == kindPackedHeartbeat
	switch {
	case len(state) > maxStateSize:
		return nil, errStateTooLarge
	case isPacked:
		heartbeats, err = unpackHeartbeats(state)
	default:
		err = json.Unmarshal(state, &heartbeats)
	}
	if err == nil && len(heartbeats) > maxStateHeartbeats {
		err = errStateTooLarge
	}
	return heartbeats, err
}

// Flags in a packed heartbeat.
const (
	flagAccepting byte = 1 << iota
	flagDraining
	flagHandingOver
	flagYielded
	flagLeft
	flagLeader
	flagDuplicate // followed by the incarnation of the duplicate
	flagVoter     // followed by the fields of a voter
)

// maxVoterAddr limits the address of a voter in a packed heartbeat, in bytes. Longer addresses are truncated.
const maxVoterAddr = 64

// flagBit returns the flag if it is set, and 0 otherwise.
func flagBit(flag byte, isSet bool) byte {
	if isSet {
		return flag
	}
	return 0
}

// boolByte returns 1 for true and 0 for false.
func boolByte(value bool) byte { return flagBit(1, value) }

// appendHeartbeat appends a packed heartbeat.
func appendHeartbeat(packed []byte, heartbeat membership.Heartbeat) []byte {
	hasVoter := heartbeat.VoterID != 0 || heartbeat.VoterAddr != "" || heartbeat.Voter || heartbeat.LastIndex != 0
	flags := flagBit(flagAccepting, heartbeat.Accepting) |
		flagBit(flagDraining, heartbeat.Draining) |
		flagBit(flagHandingOver, heartbeat.HandingOver) |
		flagBit(flagYielded, heartbeat.Yielded) |
		flagBit(flagLeft, heartbeat.Left) |
		flagBit(flagLeader, heartbeat.Leader) |
		flagBit(flagDuplicate, heartbeat.Duplicate != 0) |
		flagBit(flagVoter, hasVoter)
	packed = binary.BigEndian.AppendUint64(packed, uint64(heartbeat.Incarnation))
	packed = binary.AppendUvarint(packed, heartbeat.Seq)
	packed = append(packed, flags)
	packed = binary.AppendUvarint(packed, heartbeat.PolicyRevision)
	packed = binary.BigEndian.AppendUint64(packed, heartbeat.ViewDigest)
	if heartbeat.Duplicate != 0 {
		packed = binary.BigEndian.AppendUint64(packed, uint64(heartbeat.Duplicate))
	}
	if hasVoter {
		addr := heartbeat.VoterAddr[:min(len(heartbeat.VoterAddr), maxVoterAddr)]
		packed = binary.BigEndian.AppendUint64(packed, heartbeat.VoterID)
		packed = append(packed, boolByte(heartbeat.Voter), byte(len(addr)))
		packed = append(packed, addr...)
		packed = binary.AppendUvarint(packed, heartbeat.LastIndex)
	}
	return packed
}

// unpackHeartbeat decodes a packed heartbeat and returns the bytes after it.
func unpackHeartbeat(packed []byte) (heartbeat membership.Heartbeat, rest []byte, err error) {
	r := &fieldReader{rest: packed}
	heartbeat.Incarnation = membership.Incarnation(r.readUint64())
	heartbeat.Seq = r.readUvarint()
	flags := r.readByte()
	heartbeat.Accepting = flags&flagAccepting != 0
	heartbeat.Draining = flags&flagDraining != 0
	heartbeat.HandingOver = flags&flagHandingOver != 0
	heartbeat.Yielded = flags&flagYielded != 0
	heartbeat.Left = flags&flagLeft != 0
	heartbeat.Leader = flags&flagLeader != 0
	heartbeat.PolicyRevision = r.readUvarint()
	heartbeat.ViewDigest = r.readUint64()
	if flags&flagDuplicate != 0 {
		heartbeat.Duplicate = membership.Incarnation(r.readUint64())
	}
	if flags&flagVoter != 0 {
		heartbeat.VoterID = r.readUint64()
		heartbeat.Voter = r.readByte() != 0
		addrSize := int(r.readByte())
		heartbeat.VoterAddr = string(r.readBytes(min(maxVoterAddr, addrSize)))
		heartbeat.LastIndex = r.readUvarint()
	}
	if r.truncated {
		return membership.Heartbeat{}, nil, errHeartbeatTruncated
	}
	return heartbeat, r.rest, nil
}

// packHeartbeats returns a full state in packed form.
func packHeartbeats(heartbeats []membership.Heartbeat) []byte {
	packed := []byte{byte(kindPackedHeartbeat)}
	for _, heartbeat := range heartbeats {
		packed = appendHeartbeat(packed, heartbeat)
	}
	return packed
}

// unpackHeartbeats decodes the output of packHeartbeats. packed must not be empty.
func unpackHeartbeats(packed []byte) ([]membership.Heartbeat, error) {
	var heartbeats []membership.Heartbeat
	for rest := packed[1:]; len(rest) > 0; {
		heartbeat, after, err := unpackHeartbeat(rest)
		if err != nil {
			return nil, err
		}
		heartbeats = append(heartbeats, heartbeat)
		rest = after
	}
	return heartbeats, nil
}

// fieldReader decodes the fields of a packed heartbeat in order. After the first incomplete field, all fields are zero.
type fieldReader struct {
	rest      []byte
	truncated bool
}

func (r *fieldReader) readBytes(size int) []byte {
	if r.truncated || len(r.rest) < size {
		r.truncated = true
		return make([]byte, size)
	}
	field := r.rest[:size]
	r.rest = r.rest[size:]
	return field
}

func (r *fieldReader) readByte() byte { return r.readBytes(1)[0] }

func (r *fieldReader) readUint64() uint64 { return binary.BigEndian.Uint64(r.readBytes(8)) }

func (r *fieldReader) readUvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if r.truncated || size <= 0 {
		r.truncated = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}
