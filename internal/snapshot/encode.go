package snapshot

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"spurtrestle/core/routing"
)

// Encode encodes a state as a file of format Version, with the servers sorted by UID. It leaves out what Decode would reject:
// servers, methods and keys above their maximum number, and entries with names that are too long.
func Encode(state State) []byte {
	file := []byte(magic)
	file = appendRecord(file, record{kindHeader, encodeHeader(Version, state.Router)})
	file = appendRecord(file, record{kindInstance, encodeInstance(state.Knowledge)})
	methods := slices.DeleteFunc(slices.Clone(state.Methods), func(m Method) bool { return len(m.Name) > maxNameLength })
	for _, method := range methods[:min(len(methods), MaxMethods)] {
		file = appendRecord(file, record{kindMethod, encodeMethod(method)})
	}
	servers := slices.DeleteFunc(slices.Clone(state.Servers), func(s Server) bool { return len(s.UID) > maxNameLength })
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.UID, b.UID) })
	for _, server := range servers[:min(len(servers), MaxServers)] {
		file = appendRecord(file, record{kindServer, encodeServer(server)})
	}
	if len(state.Knowledge.Keys) > 0 {
		file = appendRecord(file, record{kindKeys, encodeKeys(state.Knowledge.Keys)})
	}
	return appendEnd(file)
}

// appendEnd appends the end record to an otherwise complete file.
func appendEnd(file []byte) []byte {
	var m message
	m.varint(fieldEndChecksum, int64(crc32.Checksum(file, castagnoli)))
	return appendRecord(file, record{kindEnd, m})
}

func encodeHeader(version int, router string) []byte {
	var m message
	m.varint(fieldHeaderVersion, int64(version))
	m.text(fieldHeaderRouter, router)
	return m
}

func encodeInstance(knowledge routing.Knowledge) []byte {
	var m message
	m.varint(fieldInstanceCapturedAt, int64(knowledge.CapturedAt))
	m.varint(fieldInstanceObservedFor, int64(knowledge.ObservedFor))
	m.latency(fieldInstanceCacheLatency, knowledge.CacheLatency)
	for i, rate := range ratesOf(&knowledge) {
		m.double(fieldInstanceFirstRate+protowire.Number(i), *rate)
	}
	return m
}

// ratesOf returns pointers to the rates of an instance record in the order of their field numbers. encodeInstance reads and
// decodeInstance writes through them.
func ratesOf(knowledge *routing.Knowledge) [8]*float64 {
	return [...]*float64{
		&knowledge.RequestRate,
		&knowledge.HitRate,
		&knowledge.EndedRate,
		&knowledge.AnsweredRate,
		&knowledge.AttemptRate,
		&knowledge.FailureRate,
		&knowledge.RetryBudget,
		&knowledge.KeyReads,
	}
}

func encodeMethod(method Method) []byte {
	var m message
	m.text(fieldMethodName, method.Name)
	m.varint(fieldMethodLatency, int64(method.Latency))
	return m
}

func encodeServer(server Server) []byte {
	var m message
	m.text(fieldServerUID, server.UID)
	m.varint(fieldServerStartedAt, int64(server.StartedAt))
	m.latency(fieldServerLatency, server.Latency)
	m.double(fieldServerAnswerRate, server.AnswerRate)
	m.varint(fieldServerReportedServiceTime, int64(server.ReportedServiceTime))
	m.varint(fieldServerFailurePoints, int64(server.FailurePoints))
	m.boolean(fieldServerEjected, server.Ejected)
	m.boolean(fieldServerConnectFailed, server.ConnectFailed)
	m.varint(fieldServerObservedAt, int64(server.ObservedAt))
	m.double(fieldServerAttemptRate, server.AttemptRate)
	m.varint(fieldServerReturnedAt, int64(server.ReturnedAt))
	return m
}

// keyEntryBytes is the size of a key in a keys record: a hash of 4 bytes and a count of 8 bytes, both little endian.
const keyEntryBytes = 12

func encodeKeys(keys []routing.KeyKnowledge) []byte {
	keys = keys[:min(len(keys), MaxKeys)]
	payload := make([]byte, 0, keyEntryBytes*len(keys))
	for _, key := range keys {
		payload = binary.LittleEndian.AppendUint32(payload, uint32(key.Key))
		payload = binary.LittleEndian.AppendUint64(payload, math.Float64bits(key.Count))
	}
	return payload
}

// message is a payload in the protobuf wire format. Numbers and booleans that are zero are left out.
type message []byte

func (m *message) varint(field protowire.Number, value int64) {
	if value != 0 {
		*m = protowire.AppendTag(*m, field, protowire.VarintType)
		*m = protowire.AppendVarint(*m, protowire.EncodeZigZag(value))
	}
}

func (m *message) double(field protowire.Number, value float64) {
	if value != 0 {
		*m = protowire.AppendTag(*m, field, protowire.Fixed64Type)
		*m = protowire.AppendFixed64(*m, math.Float64bits(value))
	}
}

func (m *message) text(field protowire.Number, value string) {
	*m = protowire.AppendTag(*m, field, protowire.BytesType)
	*m = protowire.AppendString(*m, value)
}

func (m *message) boolean(field protowire.Number, value bool) {
	if value {
		m.varint(field, 1)
	}
}

// latency appends a summary as four consecutive fields, starting at field.
func (m *message) latency(field protowire.Number, latency routing.LatencySummary) {
	m.varint(field, int64(latency.Recent))
	m.varint(field+1, int64(latency.Mean))
	m.varint(field+2, int64(latency.Fastest))
	m.varint(field+3, int64(latency.Samples))
}
