// Package leader measures the computation of the policy leader per lease renewal and per pass, for any number of routers, without
// sockets and without a replicated log. It decodes and answers renewals as package controlplane does, with package policycommit.
// cache-routerctl scale leader calls it. It does no I/O; the clock is an argument and may count processor time.
package leader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
)

// Format is the version of the JSON format. Readers reject files of any other version.
const Format = 1

// Kind distinguishes this JSON format from others.
const Kind = "policy_leader"

// File holds the results of one run.
type File struct {
	Format  int      `json:"format"`
	Kind    string   `json:"kind"`
	Build   string   `json:"build"` // commit that the binary was built from
	Cores   int      `json:"cores"` // CPU cores of the machine
	Samples []Sample `json:"samples"`
}

// Sample is the measurement for one number of routers and one seed.
type Sample struct {
	Routers    int     `json:"routers"`
	Seed       uint64  `json:"seed"`
	DecodeTime float64 `json:"decode_s"` // seconds to decode one renewal
	AnswerTime float64 `json:"answer_s"` // seconds to answer one renewal in the leader's pass and to encode the lease
	PassTime   float64 `json:"pass_s"`   // seconds for one pass without its renewals
}

// message is the part of package controlplane's messages that is measured here.
type message struct {
	Renewal *policycommit.Renewal `json:"r,omitempty"`
	Grant   *policycommit.Lease   `json:"g,omitempty"`
}

const (
	startTime      = 10e6           // microseconds
	renewalTime    = 86_400_000_000 // microseconds: a timestamp with as many digits as after a day
	passInterval   = 20e3           // microseconds between two passes, as in package controlplane
	firstIndex     = 1_000_000      // a log index with as many digits as after some days of operation
	sampleBuild    = "0123456789abcdef0123456789abcdef01234567"
	routersPerSite = 18
)

// simulatedLeader is a policy leader with all routers as members.
type simulatedLeader struct {
	state           *policycommit.LogState
	leader          *policycommit.Leader
	encodedRenewals [][]byte
	renewals        []policycommit.Renewal
	now             clock.Time
}

func newSimulatedLeader(routers int, seed uint64) *simulatedLeader {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	l := &simulatedLeader{state: &policycommit.LogState{}, leader: policycommit.NewLeader(0, policycommit.DefaultTiming(), routers), now: startTime}
	for i := range routers {
		site := fmt.Sprintf("site-%04d", i/routersPerSite)
		name := policycommit.RouterName(fmt.Sprintf("%s-router-%02d", site, i%routersPerSite))
		incarnation := policycommit.Incarnation(random.Uint64() | 1)
		l.state.Apply(policycommit.Index(firstIndex+i), policycommit.Entry{Kind: policycommit.EntryJoin, Name: name, Incarnation: incarnation, FailOpen: true, Build: sampleBuild, Site: site})
		renewal := policycommit.Renewal{Name: name, Incarnation: incarnation, SentAt: renewalTime, FailOpen: true, Build: sampleBuild, Site: site, Index: firstIndex}
		text, _ := json.Marshal(message{Renewal: &renewal}) // cannot fail: all fields are plain values
		l.encodedRenewals = append(l.encodedRenewals, text)
	}
	random.Shuffle(routers, func(i, j int) {
		l.encodedRenewals[i], l.encodedRenewals[j] = l.encodedRenewals[j], l.encodedRenewals[i]
	})
	l.renewals = make([]policycommit.Renewal, routers)
	return l
}

// decodeAll decodes one renewal of each router.
func (l *simulatedLeader) decodeAll() {
	for i, text := range l.encodedRenewals {
		var s message
		if json.Unmarshal(text, &s) == nil {
			l.renewals[i] = *s.Renewal
		}
	}
}

// answerAll answers all renewals and returns the number of leases granted.
func (l *simulatedLeader) answerAll() (granted int) {
	for _, renewal := range l.renewals {
		lease := l.leader.AnswerRenewal(l.now, l.state, renewal).Lease
		if lease == nil {
			continue
		}
		if text, err := json.Marshal(message{Grant: lease}); err == nil && len(text) > 0 {
			granted++
		}
	}
	return granted
}

// runPass does the rest of a pass, with no policy change pending.
func (l *simulatedLeader) runPass() {
	l.now += passInterval
	_ = l.state.Clone() // the copy that renewals are answered from
	next := l.state.Clone()
	_ = l.leader.ResolvePending(l.now, next)
	_ = l.leader.NextShareEntry(l.now, next)
}

// Measure measures a leader with the given number of routers, each operation for at least minDuration.
func Measure(routers int, seed uint64, minDuration time.Duration, clock func() time.Duration) (Sample, error) {
	l := newSimulatedLeader(routers, seed)
	l.decodeAll()
	if granted := l.answerAll(); granted != routers { // warm-up, and a check that the encoded renewals are valid
		return Sample{}, fmt.Errorf("of %d routers, %d were granted a lease", routers, granted)
	}
	s := Sample{Routers: routers, Seed: seed}
	s.DecodeTime = meanSeconds(l.decodeAll, minDuration, clock) / float64(routers)
	s.AnswerTime = meanSeconds(func() { l.answerAll() }, minDuration, clock) / float64(routers)
	s.PassTime = meanSeconds(l.runPass, minDuration, clock)
	return s, nil
}

// meanSeconds calls a function for at least minDuration and returns the mean time per call.
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
