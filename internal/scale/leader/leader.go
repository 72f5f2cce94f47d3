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
	DecodeTime  float64 `json:"decode_s"` // of one asking, where it comes in
	AnswerTime  float64 `json:"answer_s"` // of one asking, and encoding of its grant, in the leader's pass
	PassTime    float64 `json:"pass_s"`   // of one pass beside its askings
}

// said is what package controlplane sends, as far as it is measured here.
type message struct {
	Renewal *policycommit.Renewal `json:"r,omitempty"`
	Grant   *policycommit.Lease   `json:"g,omitempty"`
}

const (
	firstIndex = 1_000_000 // of the log, so that numbers have as many digits as after some days
	sampleBuild = "0123456789abcdef0123456789abcdef01234567"
	routersPerSite     = 18
)

// fleet is a leader with all routers on its roster.
type simulatedLeader struct {
	state    *policycommit.LogState
	leader *policycommit.Leader
	encodedRenewals [][]byte
	renewals []policycommit.Renewal
	now     clock.Time
}

func newSimulatedLeader(routers int, seed uint64) *simulatedLeader {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	f := &simulatedLeader{state: &policycommit.LogState{}, leader: policycommit.NewLeader(0, policycommit.DefaultTiming(), routers), now: 10e6}
	for i := range routers {
		site := fmt.Sprintf("site-%04d", i/routersPerSite)
		name := policycommit.RouterName(fmt.Sprintf("%s-router-%02d", site, i%routersPerSite))
		incarnation := policycommit.Incarnation(random.Uint64() | 1)
		f.state.Apply(policycommit.Index(firstIndex+i), policycommit.Entry{Kind: policycommit.EntryJoin, Name: name, Incarnation: incarnation, FailOpen: true, Build: sampleBuild, Site: site})
		renewal := policycommit.Renewal{Name: name, Incarnation: incarnation, SentAt: 86_400_000_000, FailOpen: true, Build: sampleBuild, Site: site, Index: firstIndex}
		text, _ := json.Marshal(message{Renewal: &renewal}) // plain fields: it cannot fail
		f.encodedRenewals = append(f.encodedRenewals, text)
	}
	random.Shuffle(routers, func(i, j int) { f.encodedRenewals[i], f.encodedRenewals[j] = f.encodedRenewals[j], f.encodedRenewals[i] })
	f.renewals = make([]policycommit.Renewal, routers)
	return f
}

// decode takes in an asking of each router.
func (f *simulatedLeader) decodeAll() {
	for i, text := range f.encodedRenewals {
		var s message
		if json.Unmarshal(text, &s) == nil {
			f.renewals[i] = *s.Renewal
		}
	}
}

// answer answers them all, and tells how many were granted.
func (f *simulatedLeader) answerAll() (granted int) {
	for _, renewal := range f.renewals {
		lease := f.leader.AnswerRenewal(f.now, f.state, renewal).Lease
		if lease == nil {
			continue
		}
		if text, err := json.Marshal(message{Grant: lease}); err == nil && len(text) > 0 {
			granted++
		}
	}
	return granted
}

// pass is what each pass does beside that, with no change under way.
func (f *simulatedLeader) runPass() {
	f.now += 20e3
	_ = f.state.Clone() // for the answers
	next := f.state.Clone()
	_ = f.leader.ResolvePending(f.now, next)
	_ = f.leader.NextShareEntry(f.now, next)
}

// Measure times a roster of so many routers, each part for at least the given span.
func Measure(routers int, seed uint64, minDuration time.Duration, clock func() time.Duration) (Sample, error) {
	f := newSimulatedLeader(routers, seed)
	f.decodeAll()
	if granted := f.answerAll(); granted != routers { // warms up, and shows that the askings are whole
		return Sample{}, fmt.Errorf("of %d routers %d were granted", routers, granted)
	}
	s := Sample{Routers: routers, Seed: seed}
	s.DecodeTime = meanSeconds(f.decodeAll, minDuration, clock) / float64(routers)
	s.AnswerTime = meanSeconds(func() { f.answerAll() }, minDuration, clock) / float64(routers)
	s.PassTime = meanSeconds(f.runPass, minDuration, clock)
	return s, nil
}

// seconds is the mean time of one call, over at least a span.
func meanSeconds(call func(), minDuration time.Duration, clock func() time.Duration) float64 {
	calls, start := 0, clock()
	for {
		call()
		calls++
		if elapsed := clock() - start; elapsed >= minDuration {
			return elapsed.Seconds() / float64(calls)
		}
	}
}
