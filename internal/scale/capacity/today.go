package capacity

import (
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sharelease"
)

// Limits that stand in the code of today; TestLimitsStandInTheCode finds one that has changed.
const (
	mostAskings   = 10_000   // internal/controlplane: askings that wait for the leader's next pass; more are dropped
	mostWords     = 8_192    // internal/gossip: routers of a full state; a longer one is dropped whole
	handoffQueue  = 4_096    // internal/gossip: messages that wait at a router; more are dropped
	mostAnswers   = 1_024    // internal/gossip: answers of the lending of parts that wait for a step; more are dropped
	leaderRest    = 20e-3    // seconds; internal/controlplane: between two passes of the leader
	peersStep     = 100e-3   // seconds; internal/gossip: between two steps, by a probe of half a second or more
	watchWait     = 20.0     // seconds; internal/config: a watch of discovery, where lists come on request
	watchWaitPush = 4.0      // seconds; internal/config: where they are pushed
	bigValue      = 64 << 10 // bytes; docs/operating.md: the largest value that does not pass in pieces
	largestValue  = 4 << 20  // bytes; docs/operating.md
)

// lendingAsk is sharelease.DefaultRules' span between two askings, in seconds.
const lendingAsk = 0.5

const microseconds = 1e6

// Today is what the mechanisms of the policy cost at the target by count: the code's spans and sizes times the fleet's.
type Today struct {
	RenewalBytes float64 `json:"renewal_bytes"`
	GrantBytes   float64 `json:"grant_bytes"`
	AskEvery     float64 `json:"ask_every_s"`
	AskAgain     float64 `json:"ask_again_s"`
	Lease        float64 `json:"lease_s"`

	Near Renewing `json:"near"` // leader, keepers and routers in one region
	Far  Renewing `json:"far"`  // each of them in another

	Elected       float64 `json:"elected_askings_per_s"` // while no leader answers, and just after
	MostAskings   float64 `json:"most_askings"`          // that wait for the leader's next pass
	MostWords     float64 `json:"most_words"`            // of a full state
	LongestPass   float64 `json:"longest_pass_s"`        // of the leader just after an election; then askings are dropped
	Core          float64 `json:"seconds_per_asking"`    // that one core of the leader leaves for each, near
	RosterBytes   float64 `json:"roster_bytes"`
	RosterCopied  float64 `json:"roster_entries_copied_per_s"` // at most
	FullState     float64 `json:"full_state_bytes"`
	DocumentBytes float64 `json:"document_bytes_per_s"` // of one router: each change's document comes twice

	NearLoad *Load `json:"near_load"` // of the leader; nil: not measured
	FarLoad  *Load `json:"far_load"`

	Change       float64 `json:"change_s"`               // from a proposal until it is in force everywhere, by the spans of the code
	ChangeBusy   float64 `json:"change_busy"`            // share of the time in which a change is being made: one at a time
	ChangeWait   float64 `json:"change_wait_s"`          // with the wait for its turn
	ChangeHeld   float64 `json:"change_held_s"`          // where one router that may be serving does not answer: until it is refused
	HeldBusy     float64 `json:"held_busy"`              // share of the time, were each held up
	HeldWait     float64 `json:"held_wait_s"`            // with the wait for its turn; negative: it grows without end
	LendingPairs float64 `json:"lending_pairs"`          // of seats
	LendingBurst float64 `json:"lending_burst_messages"` // sent and received by a router that begins, at once
	LendingBytes float64 `json:"lending_burst_bytes"`
	LendingMean  float64 `json:"lending_bytes_per_s"`          // of each router by the restarts of an ordinary day, at least
	LendingDrain float64 `json:"lending_drain_messages_per_s"` // at a router that lends while it is drained

	WatchesPushed  float64 `json:"watches_pushed_per_s"`  // over all agents of discovery
	WatchesRequest float64 `json:"watches_request_per_s"` // at the one service
	ListBytes      float64 `json:"list_bytes"`
	ListsBytes     float64 `json:"lists_bytes_per_s"` // of whole lists, over all restarts of an ordinary day
}

// Renewing is what renewals of grants cost over ways of one length.
type Renewing struct {
	Delay    float64 `json:"delay_s"`       // from an asking to its grant
	Askings  float64 `json:"askings_per_s"` // of one router
	Covered  float64 `json:"covered"`       // share of the time in which it may take clients
	Bytes    float64 `json:"bytes_per_s"`   // of one router, in and out
	Leader   float64 `json:"leader_askings_per_s"`
	LeaderIO float64 `json:"leader_bytes_per_s"` // in and out
}

// Messages of one router, in and out, a second.
func (r Renewing) Messages() float64 { return 2 * r.Askings }

// nearDelay is a stated guess of an asking, a majority's confirmation and a grant within one region.
const nearDelay = 5 * time.Millisecond

func today(t Target, slopes *LeaderSlopes) Today {
	w, ask, lend := wireSizes(), policycommit.DefaultTiming(), sharelease.DefaultTiming()
	others, patience := t.Routers-1, seconds(ask.PrepareTimeout)
	d := Today{RenewalBytes: w.Renewal, GrantBytes: w.Grant, AskEvery: seconds(ask.RenewInterval), AskAgain: seconds(ask.RetryInterval), Lease: seconds(ask.LeaseDuration)}

	// To the leader, from it to a majority and back, and to the router.
	farDelay := 4 * time.Duration(t.Assumed.NetworkDelay)
	d.Near = renewing(t, w, nearDelay)
	d.Far = renewing(t, w, farDelay)
	d.Elected = t.Routers / d.AskAgain
	d.LongestPass = mostAskings / d.Elected
	d.Core = 1 / d.Near.Leader
	d.MostAskings, d.MostWords = mostAskings, mostWords
	d.RosterBytes = t.Routers * w.Member
	d.RosterCopied = 2 * t.Routers / leaderRest
	d.FullState = t.Routers * w.Word
	d.DocumentBytes = 2 * t.ChangesPerSecond() * t.Assumed.DocumentBytes

	// Proposal and decision are each an entry that a majority takes in, and known by the asking that follows.
	d.Change = 2 * (d.AskEvery + leaderRest + t.Assumed.NetworkDelay.Seconds()*2 + farDelay.Seconds())
	d.ChangeBusy = t.ChangesPerSecond() * d.Change
	d.ChangeWait = timeInQueue(d.Change, t.ChangesPerSecond())
	d.ChangeHeld = patience
	d.HeldBusy = t.ChangesPerSecond() * patience
	d.HeldWait = timeInQueue(patience, t.ChangesPerSecond())

	d.LendingPairs = t.Routers * others
	d.LendingBurst = 2 * others
	d.LendingBytes = others * w.PartsPair
	d.LendingMean = t.RestartsPerSecond() * w.PartsPair
	d.LendingDrain = 2 * others / (float64(lend.RetryInterval) / microseconds)

	d.WatchesPushed = t.Routers / watchWaitPush
	d.WatchesRequest = t.Routers / watchWait
	d.ListBytes = t.CacheServers * t.Assumed.ListEntryBytes
	d.ListsBytes = t.RestartsPerSecond() * d.ListBytes
	if slopes.Fitted() {
		near := slopes.load(t.Routers, d.Near.Askings, nearDelay.Seconds())
		far := slopes.load(t.Routers, d.Far.Askings, 2*t.Assumed.NetworkDelay.Seconds())
		d.NearLoad, d.FarLoad = &near, &far
	}
	return d
}

func seconds(span clock.Time) float64 { return float64(span) / microseconds }

func renewing(t Target, w wire, delay time.Duration) Renewing {
	perSecond, covered := playAskings(clock.Time(delay / time.Microsecond))
	bytes := perSecond * (w.Renewal + w.Grant)
	return Renewing{Delay: delay.Seconds(), Askings: perSecond, Covered: covered, Bytes: bytes,
		Leader: perSecond * t.Routers, LeaderIO: bytes * t.Routers}
}

// playAskings plays a router's side of the policy for a minute against a leader that grants each asking after a delay, and
// counts its askings a second and the share of the time in which it may take clients. The first ten seconds
// are left out.
func playAskings(delay clock.Time) (perSecond, covered float64) {
	const step, begin, end = 20_000, 10 * microseconds, 70 * microseconds // internal/controlplane looks every 20 ms
	rules := policycommit.DefaultTiming()
	holder := policycommit.NewFollower(rules, policycommit.FollowerConfig{Name: sampleName, Incarnation: 1, Build: sampleBuild,
		Validate: func(string) error { return nil }})
	var underWay []policycommit.Renewal
	asked, may, looks := 0, 0, 0
	for now := clock.Time(0); now < end; now += step {
		for len(underWay) > 0 && underWay[0].SentAt+delay <= now {
			holder.ReceiveLease(now, policycommit.Lease{Incarnation: 1, RenewalSentAt: underWay[0].SentAt, Duration: rules.LeaseDuration, Index: 1, Revision: 1})
			underWay = underWay[1:]
		}
		if renewal, due := holder.NextRenewal(now); due {
			underWay = append(underWay, renewal)
			if now >= begin {
				asked++
			}
		}
		if now < begin {
			continue
		}
		looks++
		if holder.AdmissionDeadline(now) > now {
			may++
		}
	}
	return float64(asked) / ((end - begin) / microseconds), float64(may) / float64(looks)
}

// timeInQueue is the mean time of one that waits for its turn and is served, by a queue of one server with arrivals at random
// and a service of equal length (M/D/1); -1 where more come than can be served.
func timeInQueue(service, perSecond float64) float64 {
	busy := service * perSecond
	if busy >= 1 {
		return -1
	}
	return service + busy*service/2/(1-busy)
}
