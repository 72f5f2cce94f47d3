package snapshot

import (
	"encoding/binary"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Bounds of single values. A value outside them indicates corruption that the checksums did not detect, and is clamped or
// dropped.
const (
	maxTime          clock.Time = 1 << 53 // in microseconds; after the year 2200
	maxDouble                   = 1e12
	maxSamples                  = 32
	maxFailurePoints            = 64
)

// Decode decodes a file of this or an older format version and upgrades the state to the newest one. The error wraps ErrCorrupt or
// ErrNewerVersion.
func Decode(file []byte) (State, error) {
	records, err := splitRecords(file)
	if err != nil {
		return State{}, err
	}
	if len(records) == 0 || records[0].kind != kindHeader {
		return State{}, corruptf("the header record is missing")
	}
	s, err := decodeHeader(records[0].payload)
	if err != nil {
		return State{}, err
	}
	for _, r := range records[1:] {
		if err := s.decodeRecord(r); err != nil {
			return State{}, err
		}
	}
	upgrade(&s)
	return s, nil
}

func decodeHeader(payload []byte) (State, error) {
	fields, err := parseFields(payload)
	if err != nil {
		return State{}, err
	}
	version := int(fields.varint(fieldHeaderVersion))
	if version < 1 {
		return State{}, corruptf("invalid format version %d", version)
	}
	if version > Version {
		return State{}, fmt.Errorf("%w: format version %d, newest supported version %d", ErrNewerVersion, version, Version)
	}
	return State{Version: version, Router: fields.texts[fieldHeaderRouter]}, nil
}

// decodeRecord adds the content of one record to the state. Records of unknown kinds, which a later build of the same format
// version may have added, are skipped; their payloads must be in the protobuf wire format too.
func (s *State) decodeRecord(r record) error {
	if r.kind == kindKeys {
		return s.decodeKeys(r.payload)
	}
	fields, err := parseFields(r.payload)
	if err != nil {
		return err
	}
	switch r.kind {
	case kindInstance:
		s.decodeInstance(fields)
	case kindMethod:
		return s.decodeMethod(fields)
	case kindServer:
		return s.decodeServer(fields)
	}
	return nil
}

func (s *State) decodeInstance(fields fieldSet) {
	k := &s.Knowledge
	k.CapturedAt = fields.time(fieldInstanceCapturedAt)
	k.ObservedFor = fields.time(fieldInstanceObservedFor)
	k.CacheLatency = fields.latency(fieldInstanceCacheLatency)
	for i, rate := range ratesOf(k) {
		*rate = fields.double(fieldInstanceFirstRate + protowire.Number(i))
	}
}

func (s *State) decodeMethod(fields fieldSet) error {
	if len(s.Methods) >= MaxMethods {
		return corruptf("more than %d methods", MaxMethods)
	}
	s.Methods = append(s.Methods, Method{Name: fields.texts[fieldMethodName], Latency: fields.time(fieldMethodLatency)})
	return nil
}

func (s *State) decodeServer(fields fieldSet) error {
	if len(s.Servers) >= MaxServers {
		return corruptf("more than %d servers", MaxServers)
	}
	s.Servers = append(s.Servers, Server{
		UID: fields.texts[fieldServerUID],
		ServerKnowledge: routing.ServerKnowledge{
			StartedAt:           fields.time(fieldServerStartedAt),
			Latency:             fields.latency(fieldServerLatency),
			AnswerRate:          fields.double(fieldServerAnswerRate),
			ReportedServiceTime: fields.time(fieldServerReportedServiceTime),
			FailurePoints:       fields.count(fieldServerFailurePoints, maxFailurePoints),
			Ejected:             fields.varint(fieldServerEjected) != 0,
			ConnectFailed:       fields.varint(fieldServerConnectFailed) != 0,
			ObservedAt:          fields.time(fieldServerObservedAt),
			AttemptRate:         fields.double(fieldServerAttemptRate),
			ReturnedAt:          fields.time(fieldServerReturnedAt),
		},
	})
	return nil
}

func (s *State) decodeKeys(payload []byte) error {
	if len(payload)%keyEntryBytes != 0 || len(payload)/keyEntryBytes > MaxKeys {
		return corruptf("malformed keys record")
	}
	for ; len(payload) > 0; payload = payload[keyEntryBytes:] {
		hash := routing.KeyHash(binary.LittleEndian.Uint32(payload))
		count := math.Float64frombits(binary.LittleEndian.Uint64(payload[4:]))
		if count > 0 && count < maxDouble {
			s.Knowledge.Keys = append(s.Knowledge.Keys, routing.KeyKnowledge{Key: hash, Count: count})
		}
	}
	return nil
}

// fieldSet holds the fields of a payload by number. Unknown fields are kept and ignored.
type fieldSet struct {
	numbers map[protowire.Number]uint64
	texts   map[protowire.Number]string
}

// parseFields parses a payload in the protobuf wire format. If a field is repeated, its last value counts.
func parseFields(payload []byte) (fieldSet, error) {
	fields := fieldSet{numbers: map[protowire.Number]uint64{}, texts: map[protowire.Number]string{}}
	for len(payload) > 0 {
		field, wireType, tagBytes := protowire.ConsumeTag(payload)
		if tagBytes < 0 {
			return fields, corruptf("malformed field")
		}
		payload = payload[tagBytes:]
		valueBytes := fields.consumeValue(field, wireType, payload)
		if valueBytes < 0 {
			return fields, corruptf("malformed field")
		}
		payload = payload[valueBytes:]
	}
	return fields, nil
}

// consumeValue stores the value at the start of a payload and returns its size, or a negative number if it is malformed.
func (f fieldSet) consumeValue(field protowire.Number, wireType protowire.Type, payload []byte) (size int) {
	switch wireType {
	case protowire.VarintType:
		f.numbers[field], size = protowire.ConsumeVarint(payload)
	case protowire.Fixed64Type:
		f.numbers[field], size = protowire.ConsumeFixed64(payload)
	case protowire.BytesType:
		var text []byte
		text, size = protowire.ConsumeBytes(payload)
		if len(text) > maxNameLength {
			return -1
		}
		f.texts[field] = string(text)
	default:
		size = protowire.ConsumeFieldValue(field, wireType, payload)
	}
	return size
}

func (f fieldSet) varint(field protowire.Number) int64 {
	return protowire.DecodeZigZag(f.numbers[field])
}

// count returns a count, clamped to the range from 0 to limit.
func (f fieldSet) count(field protowire.Number, limit int64) int {
	return int(max(0, min(limit, f.varint(field))))
}

// time returns a point in time or a duration, clamped to the range from 0 to maxTime.
func (f fieldSet) time(field protowire.Number) clock.Time {
	return max(0, min(clock.Time(f.varint(field)), maxTime))
}

// double returns a rate or a count, or 0 if the value is negative, not finite or above maxDouble.
func (f fieldSet) double(field protowire.Number) float64 {
	value := math.Float64frombits(f.numbers[field])
	inRange := value > 0 && value <= maxDouble // false for NaN
	if !inRange {
		return 0
	}
	return value
}

// latency reads a summary from four consecutive fields, starting at field.
func (f fieldSet) latency(field protowire.Number) routing.LatencySummary {
	return routing.LatencySummary{
		Recent:  f.time(field),
		Mean:    f.time(field + 1),
		Fastest: f.time(field + 2),
		Samples: f.count(field+3, maxSamples),
	}
}
