// Package snapshot keeps what a router has learned in a folder: a versioned, checksummed file, written whole or not at
// all, two generations of it.
//
// The files: this one the format; upgrade.go older versions; store.go the folder; fs.go the operations that it is made
// of; keeper.go the goroutine that writes.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Version is that of the files written here.
//
//	1  before the first release: no server had a time of its own evidence
//	2  At of each server
const Version = 2

// Bounds of a file. A damaged one must not ask for all memory.
const (
	MostBytes   = 8 << 20
	MostServers = 10000
	MostKeys    = 1 << 14
	MostMethods = 1 << 10
	mostName    = 256
)

const magic = "spurtrestle state"

// Server is what is known of one server, by its name in discovery: addresses and numbers change.
type Server struct {
	UID string
	routing.ServerKnowledge
}

// State is all that a file holds. Knowledge.Servers and Knowledge.Methods are empty: names stand in their place.
type State struct {
	Version   int
	Router    string
	Knowledge routing.Knowledge
	Methods   []Method
	Servers   []Server
}

// Method is the smoothed time of one method.
type Method struct {
	Name string
	Time clock.Time
}

// Errors of a file that cannot be used.
var (
	ErrDamaged = errors.New("the file is damaged")
	ErrNewer   = errors.New("the file was written by a newer version")
)

func damaged(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrDamaged, fmt.Sprintf(format, args...))
}

// Kinds of records.
const (
	kindHead byte = iota + 1
	kindInstance
	kindMethod
	kindServer
	kindKeys
	kindEnd
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one part of a file: kind, length, checksum of both and the payload, and the payload in protobuf's wire form.
type record struct {
	kind    byte
	payload []byte
}

const recordHead = 9

func appendRecord(to []byte, r record) []byte {
	to = append(to, r.kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.payload)))
	sum := crc32.Update(crc32.Checksum(to[len(to)-5:], castagnoli), castagnoli, r.payload)
	to = binary.LittleEndian.AppendUint32(to, sum)
	return append(to, r.payload...)
}

// message builds a payload.
type message []byte

func (m *message) number(field protowire.Number, x int64) {
	if x != 0 {
		*m = protowire.AppendVarint(protowire.AppendTag(*m, field, protowire.VarintType), protowire.EncodeZigZag(x))
	}
}

func (m *message) real(field protowire.Number, x float64) {
	if x != 0 {
		*m = protowire.AppendFixed64(protowire.AppendTag(*m, field, protowire.Fixed64Type), math.Float64bits(x))
	}
}

func (m *message) text(field protowire.Number, s string) {
	*m = protowire.AppendString(protowire.AppendTag(*m, field, protowire.BytesType), s)
}

func (m *message) flag(field protowire.Number, on bool) {
	if on {
		m.number(field, 1)
	}
}

func (m *message) times(field protowire.Number, t routing.LatencySummary) {
	m.number(field, int64(t.Recent))
	m.number(field+1, int64(t.Mean))
	m.number(field+2, int64(t.Fastest))
	m.number(field+3, int64(t.Samples))
}

// Encode writes a state in the newest version.
func Encode(s State) []byte {
	out := append([]byte(nil), magic...)
	put := func(kind byte, m message) { out = appendRecord(out, record{kind, m}) }
	var head message
	head.number(1, Version)
	head.text(2, s.Router)
	put(kindHead, head)
	k := s.Knowledge
	var m message
	m.number(1, int64(k.CapturedAt))
	m.number(2, int64(k.ObservedFor))
	m.times(3, k.CacheLatency)
	for i, x := range []float64{k.RequestRate, k.HitRate, k.EndedRate, k.AnsweredRate, k.AttemptRate, k.FailureRate, k.RetryBudget, k.KeyReads} {
		m.real(protowire.Number(7+i), x)
	}
	put(kindInstance, m)
	for _, x := range s.Methods {
		var m message
		m.text(1, x.Name)
		m.number(2, int64(x.Time))
		put(kindMethod, m)
	}
	servers := slices.SortedFunc(slices.Values(s.Servers), func(a, b Server) int { return strings.Compare(a.UID, b.UID) })
	for _, x := range servers[:min(len(servers), MostServers)] {
		var m message
		m.text(1, x.UID)
		m.number(2, int64(x.StartedAt))
		m.times(3, x.Latency)
		m.real(7, x.AnswerRate)
		m.number(8, int64(x.ReportedServiceTime))
		m.number(9, int64(x.FailurePoints))
		m.flag(10, x.Ejected)
		m.flag(11, x.ConnectFailed)
		m.number(12, int64(x.ObservedAt))
		m.real(13, x.AttemptRate)
		put(kindServer, m)
	}
	if len(k.Keys) > 0 {
		keys := make([]byte, 0, 12*len(k.Keys))
		for _, x := range k.Keys[:min(len(k.Keys), MostKeys)] {
			keys = binary.LittleEndian.AppendUint32(keys, uint32(x.Key))
			keys = binary.LittleEndian.AppendUint64(keys, math.Float64bits(x.Count))
		}
		put(kindKeys, keys)
	}
	var end message
	end.number(1, int64(crc32.Checksum(out, castagnoli)))
	put(kindEnd, end)
	return out
}

// split cuts a file into its records and checks all checksums.
func split(file []byte) ([]record, error) {
	if len(file) > MostBytes {
		return nil, damaged("%d bytes are more than %d", len(file), MostBytes)
	}
	if len(file) < len(magic) || string(file[:len(magic)]) != magic {
		return nil, damaged("it does not begin as a state does")
	}
	var all []record
	for at := len(magic); ; {
		if len(file)-at < recordHead {
			return nil, damaged("it ends within a record, at byte %d", at)
		}
		kind, size := file[at], int(binary.LittleEndian.Uint32(file[at+1:]))
		if size > len(file)-at-recordHead {
			return nil, damaged("it ends within a record, at byte %d", at)
		}
		payload := file[at+recordHead : at+recordHead+size]
		sum := crc32.Update(crc32.Checksum(file[at:at+5], castagnoli), castagnoli, payload)
		if sum != binary.LittleEndian.Uint32(file[at+5:]) {
			return nil, damaged("a checksum does not match, at byte %d", at)
		}
		if kind == kindEnd {
			f, err := fields(payload)
			if err != nil || f.number(1) != int64(crc32.Checksum(file[:at], castagnoli)) {
				return nil, damaged("the checksum of the whole does not match")
			}
			if at+recordHead+size != len(file) {
				return nil, damaged("more stands behind its end, at byte %d", at+recordHead+size)
			}
			return all, nil
		}
		all = append(all, record{kind, payload})
		at += recordHead + size
	}
}

// parsed is a payload by field. Fields that are not known stay unread.
type parsed struct {
	numbers map[protowire.Number]uint64
	texts   map[protowire.Number]string
}

func (p parsed) number(field protowire.Number) int64 { return protowire.DecodeZigZag(p.numbers[field]) }

func (p parsed) micros(field protowire.Number) clock.Time {
	// A time past the year 2200 or a span of centuries is damage that a checksum does not see.
	return clock.Time(max(0, min(p.number(field), 1<<53)))
}

// real is a rate or a count: neither below zero nor endless.
func (p parsed) real(field protowire.Number) float64 {
	x := math.Float64frombits(p.numbers[field])
	if !(x > 0) || x > 1e12 {
		return 0
	}
	return x
}

func (p parsed) times(field protowire.Number) routing.LatencySummary {
	return routing.LatencySummary{Recent: p.micros(field), Mean: p.micros(field + 1), Fastest: p.micros(field + 2),
		Samples: int(max(0, min(32, p.number(field+3))))}
}

func fields(payload []byte) (parsed, error) {
	p := parsed{map[protowire.Number]uint64{}, map[protowire.Number]string{}}
	for len(payload) > 0 {
		field, kind, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return p, damaged("a field cannot be read")
		}
		payload = payload[n:]
		switch kind {
		case protowire.VarintType:
			p.numbers[field], n = protowire.ConsumeVarint(payload)
		case protowire.Fixed64Type:
			p.numbers[field], n = protowire.ConsumeFixed64(payload)
		case protowire.BytesType:
			var b []byte
			if b, n = protowire.ConsumeBytes(payload); len(b) > mostName {
				n = -1
			} else {
				p.texts[field] = string(b)
			}
		default:
			n = protowire.ConsumeFieldValue(field, kind, payload)
		}
		if n < 0 {
			return p, damaged("a field cannot be read")
		}
		payload = payload[n:]
	}
	return p, nil
}

// Decode reads a file of this or an older version.
func Decode(file []byte) (State, error) {
	records, err := split(file)
	if err != nil {
		return State{}, err
	}
	if len(records) == 0 || records[0].kind != kindHead {
		return State{}, damaged("it has no head")
	}
	head, err := fields(records[0].payload)
	if err != nil {
		return State{}, err
	}
	s := State{Version: int(head.number(1)), Router: head.texts[2]}
	switch {
	case s.Version < 1:
		return State{}, damaged("version %d never was", s.Version)
	case s.Version > Version:
		return State{}, fmt.Errorf("%w: %d, and %d is the newest known here", ErrNewer, s.Version, Version)
	}
	for _, r := range records[1:] {
		if err := s.take(r); err != nil {
			return State{}, err
		}
	}
	upgrade(&s)
	return s, nil
}

func (s *State) take(r record) error {
	k := &s.Knowledge
	if r.kind == kindKeys {
		if len(r.payload)%12 != 0 || len(r.payload)/12 > MostKeys {
			return damaged("the keys cannot be read")
		}
		for p := r.payload; len(p) > 0; p = p[12:] {
			count := math.Float64frombits(binary.LittleEndian.Uint64(p[4:]))
			if count > 0 && count < 1e12 {
				k.Keys = append(k.Keys, routing.KeyKnowledge{Key: routing.KeyHash(binary.LittleEndian.Uint32(p)), Count: count})
			}
		}
		return nil
	}
	f, err := fields(r.payload)
	if err != nil {
		return err
	}
	switch r.kind {
	case kindInstance:
		k.CapturedAt, k.ObservedFor, k.CacheLatency = f.micros(1), f.micros(2), f.times(3)
		for i, x := range []*float64{&k.RequestRate, &k.HitRate, &k.EndedRate, &k.AnsweredRate, &k.AttemptRate, &k.FailureRate, &k.RetryBudget, &k.KeyReads} {
			*x = f.real(protowire.Number(7 + i))
		}
	case kindMethod:
		if len(s.Methods) >= MostMethods {
			return damaged("it names more than %d methods", MostMethods)
		}
		s.Methods = append(s.Methods, Method{f.texts[1], f.micros(2)})
	case kindServer:
		if len(s.Servers) >= MostServers {
			return damaged("it names more than %d servers", MostServers)
		}
		x := Server{UID: f.texts[1]}
		x.StartedAt, x.Latency, x.AnswerRate, x.ReportedServiceTime = f.micros(2), f.times(3), f.real(7), f.micros(8)
		x.FailurePoints, x.Ejected, x.ConnectFailed, x.ObservedAt = int(max(0, min(64, f.number(9)))), f.number(10) != 0, f.number(11) != 0, f.micros(12)
		x.AttemptRate = f.real(13)
		s.Servers = append(s.Servers, x)
	}
	return nil // a kind that is not known belongs to a later version of the same form
}
