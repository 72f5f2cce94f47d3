// Package leader measures what the leader of the policy's keepers computes for each asking and in each pass, for rosters of
// any size, without sockets and without a replicated log: decoding and answering as package controlplane does it, by package policycommit.
// It does no I/O; the clock is an argument, and may count processor time.
package leader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
)

// Format is the version of the JSON form. A file of another version is refused.
const Format = 1

// Kind tells this form from others.
const Kind = "policy_leader"

// File is what one call measured.
type File struct {
	Format  int      `json:"format"`
	Kind    string   `json:"kind"`
	Build   string   `json:"build"` // commit of the binary
	Cores   int      `json:"cores"` // of the machine
	Samples []Sample `json:"samples"`
}

// Sample is one roster of one size.
type Sample struct {
	Routers int     `json:"routers"`
	Seed    uint64  `json:"seed"`
	Decode  float64 `json:"decode_s"` // of one asking, where it comes in
	Answer  float64 `json:"answer_s"` // of one asking, and encoding of its grant, in the leader's pass
	Pass    float64 `json:"pass_s"`   // of one pass beside its askings
}

// said is what package controlplane sends, as far as it is measured here.
type said struct {
	Renewal *policycommit.Renewal `json:"r,omitempty"`
	Grant   *policycommit.Lease   `json:"g,omitempty"`
}

const (
	steadyIndex = 1_000_000 // of the log, so that numbers have as many digits as after some days
	sampleBuild = "0123456789abcdef0123456789abcdef01234567"
	perSite     = 18
)

// fleet is a leader with all routers on its roster.
type fleet struct {
	book    *policycommit.LogState
	council *policycommit.Leader
	askings [][]byte
	decoded []policycommit.Renewal
	now     clock.Time
}

func newFleet(routers int, seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	f := &fleet{book: &policycommit.LogState{}, council: policycommit.NewLeader(0, policycommit.DefaultTiming(), routers), now: 10e6}
	for i := range routers {
		site := fmt.Sprintf("site-%04d", i/perSite)
		name := policycommit.RouterName(fmt.Sprintf("%s-router-%02d", site, i%perSite))
		process := policycommit.Incarnation(random.Uint64() | 1)
		f.book.Apply(policycommit.Index(steadyIndex+i), policycommit.Entry{Kind: policycommit.EntryJoin, Name: name, Incarnation: process, FailOpen: true, Build: sampleBuild, Site: site})
		renewal := policycommit.Renewal{Name: name, Incarnation: process, SentAt: 86_400_000_000, FailOpen: true, Build: sampleBuild, Site: site, Index: steadyIndex}
		text, _ := json.Marshal(said{Renewal: &renewal}) // plain fields: it cannot fail
		f.askings = append(f.askings, text)
	}
	random.Shuffle(routers, func(i, j int) { f.askings[i], f.askings[j] = f.askings[j], f.askings[i] })
	f.decoded = make([]policycommit.Renewal, routers)
	return f
}

// decode takes in an asking of each router.
func (f *fleet) decode() {
	for i, text := range f.askings {
		var s said
		if json.Unmarshal(text, &s) == nil {
			f.decoded[i] = *s.Renewal
		}
	}
}

// answer answers them all, and tells how many were granted.
func (f *fleet) answer() (granted int) {
	for _, renewal := range f.decoded {
		lease := f.council.AnswerRenewal(f.now, f.book, renewal).Lease
		if lease == nil {
			continue
		}
		if text, err := json.Marshal(said{Grant: lease}); err == nil && len(text) > 0 {
			granted++
		}
	}
	return granted
}

// pass is what each pass does beside that, with no change under way.
func (f *fleet) pass() {
	f.now += 20e3
	_ = f.book.Clone() // for the answers
	after := f.book.Clone()
	_ = f.council.ResolvePending(f.now, after)
	_ = f.council.NextShareEntry(f.now, after)
}

// Measure times a roster of so many routers, each part for at least the given span.
func Measure(routers int, seed uint64, span time.Duration, clock func() time.Duration) (Sample, error) {
	f := newFleet(routers, seed)
	f.decode()
	if granted := f.answer(); granted != routers { // warms up, and shows that the askings are whole
		return Sample{}, fmt.Errorf("of %d routers %d were granted", routers, granted)
	}
	s := Sample{Routers: routers, Seed: seed}
	s.Decode = seconds(f.decode, span, clock) / float64(routers)
	s.Answer = seconds(func() { f.answer() }, span, clock) / float64(routers)
	s.Pass = seconds(f.pass, span, clock)
	return s, nil
}

// seconds is the mean time of one call, over at least a span.
func seconds(do func(), span time.Duration, clock func() time.Duration) float64 {
	calls, begin := 0, clock()
	for {
		do()
		calls++
		if took := clock() - begin; took >= span {
			return took.Seconds() / float64(calls)
		}
	}
}
