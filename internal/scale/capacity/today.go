package capacity

import (
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sharelease"
)

// Limits that stand in the code of today; TestLimitsStandInTheCode finds one that has changed.
const (
	maxQueuedRenewals     = 10_000   // internal/controlplane: askings that wait for the leader's next pass; more are dropped
	maxStateHeartbeats    = 8_192    // internal/gossip: routers of a full state; a longer one is dropped whole
	handoffQueueDepth     = 4_096    // internal/gossip: messages that wait at a router; more are dropped
	maxQueuedLeaseReplies = 1_024    // internal/gossip: answers of the lending of parts that wait for a step; more are dropped
	leaderInterval        = 20e-3    // seconds; internal/controlplane: between two passes of the leader
	gossipTick            = 100e-3   // seconds; internal/gossip: between two steps, by a probe of half a second or more
	watchTimeoutPolled    = 20.0     // seconds; internal/config: a watch of discovery, where lists come on request
	watchTimeoutPushed    = 4.0      // seconds; internal/config: where they are pushed
	maxUnchunkedValue     = 64 << 10 // bytes; docs/operating.md: the largest value that does not pass in pieces
	maxValue              = 4 << 20  // bytes; docs/operating.md
)

// lendingAsk is sharelease.DefaultRules' span between two askings, in seconds.
const leaseRetryInterval = 0.5

const microsecondsPerSecond = 1e6

// Today is what the mechanisms of the policy cost at the target by count: the code's spans and sizes times the fleet's.
type CurrentCosts struct {
	RenewalBytes  float64 `json:"renewal_bytes"`
	GrantBytes    float64 `json:"grant_bytes"`
	RenewInterval float64 `json:"ask_every_s"`
	RetryInterval float64 `json:"ask_again_s"`
	Lease         float64 `json:"lease_s"`

	SameRegion  RenewalCost `json:"near"` // leader, keepers and routers in one region
	CrossRegion RenewalCost `json:"far"`  // each of them in another

	PostElectionRenewals float64 `json:"elected_askings_per_s"` // while no leader answers, and just after
	MaxQueuedRenewals    float64 `json:"most_askings"`          // that wait for the leader's next pass
	MaxStateHeartbeats   float64 `json:"most_words"`            // of a full state
	LongestPass          float64 `json:"longest_pass_s"`        // of the leader just after an election; then askings are dropped
	SecondsPerRenewal    float64 `json:"seconds_per_asking"`    // that one core of the leader leaves for each, near
	MemberListBytes      float64 `json:"roster_bytes"`
	MembersCopied        float64 `json:"roster_entries_copied_per_s"` // at most
	FullStateBytes       float64 `json:"full_state_bytes"`
	DocumentBytes        float64 `json:"document_bytes_per_s"` // of one router: each change's document comes twice

	SameRegionLoad  *LeaderLoad `json:"near_load"` // of the leader; nil: not measured
	CrossRegionLoad *LeaderLoad `json:"far_load"`

	ChangeTime         float64 `json:"change_s"`               // from a proposal until it is in force everywhere, by the spans of the code
	ChangeUtilization  float64 `json:"change_busy"`            // share of the time in which a change is being made: one at a time
	ChangeTimeQueued   float64 `json:"change_wait_s"`          // with the wait for its turn
	BlockedChangeTime  float64 `json:"change_held_s"`          // where one router that may be serving does not answer: until it is refused
	BlockedUtilization float64 `json:"held_busy"`              // share of the time, were each held up
	BlockedTimeQueued  float64 `json:"held_wait_s"`            // with the wait for its turn; negative: it grows without end
	LeasePairs         float64 `json:"lending_pairs"`          // of seats
	LeaseBurstMessages float64 `json:"lending_burst_messages"` // sent and received by a router that begins, at once
	LeaseBurstBytes    float64 `json:"lending_burst_bytes"`
	LeaseBytesMean     float64 `json:"lending_bytes_per_s"`          // of each router by the restarts of an ordinary day, at least
	LeaseDrainMessages float64 `json:"lending_drain_messages_per_s"` // at a router that lends while it is drained

	WatchesPushed     float64 `json:"watches_pushed_per_s"`  // over all agents of discovery
	WatchesPolled     float64 `json:"watches_request_per_s"` // at the one service
	ListBytes         float64 `json:"list_bytes"`
	ListTransferBytes float64 `json:"lists_bytes_per_s"` // of whole lists, over all restarts of an ordinary day
}

// Renewing is what renewals of grants cost over ways of one length.
type RenewalCost struct {
	Delay          float64 `json:"delay_s"`       // from an asking to its grant
	Renewals       float64 `json:"askings_per_s"` // of one router
	LeaseCoverage  float64 `json:"covered"`       // share of the time in which it may take clients
	Bytes          float64 `json:"bytes_per_s"`   // of one router, in and out
	LeaderRenewals float64 `json:"leader_askings_per_s"`
	LeaderBytes    float64 `json:"leader_bytes_per_s"` // in and out
}

// Messages of one router, in and out, a second.
func (r RenewalCost) Messages() float64 { return 2 * r.Renewals }

// nearDelay is a stated guess of an asking, a majority's confirmation and a grant within one region.
const sameRegionDelay = 5 * time.Millisecond

func currentCosts(t Target, slopes *LeaderModel) CurrentCosts {
	sizes, renewalTiming, leaseTiming := sampleMessageSizes(), policycommit.DefaultTiming(), sharelease.DefaultTiming()
	others, prepareTimeout := t.Routers-1, seconds(renewalTiming.PrepareTimeout)
	costs := CurrentCosts{RenewalBytes: sizes.Renewal, GrantBytes: sizes.Grant, RenewInterval: seconds(renewalTiming.RenewInterval), RetryInterval: seconds(renewalTiming.RetryInterval), Lease: seconds(renewalTiming.LeaseDuration)}

	// To the leader, from it to a majority and back, and to the router.
	crossRegionDelay := 4 * time.Duration(t.Assumptions.NetworkDelay)
	costs.SameRegion = renewalCost(t, sizes, sameRegionDelay)
	costs.CrossRegion = renewalCost(t, sizes, crossRegionDelay)
	costs.PostElectionRenewals = t.Routers / costs.RetryInterval
	costs.LongestPass = maxQueuedRenewals / costs.PostElectionRenewals
	costs.SecondsPerRenewal = 1 / costs.SameRegion.LeaderRenewals
	costs.MaxQueuedRenewals, costs.MaxStateHeartbeats = maxQueuedRenewals, maxStateHeartbeats
	costs.MemberListBytes = t.Routers * sizes.Member
	costs.MembersCopied = 2 * t.Routers / leaderInterval
	costs.FullStateBytes = t.Routers * sizes.Heartbeat
	costs.DocumentBytes = 2 * t.ChangesPerSecond() * t.Assumptions.DocumentBytes

	// Proposal and decision are each an entry that a majority takes in, and known by the asking that follows.
	costs.ChangeTime = 2 * (costs.RenewInterval + leaderInterval + t.Assumptions.NetworkDelay.Seconds()*2 + crossRegionDelay.Seconds())
	costs.ChangeUtilization = t.ChangesPerSecond() * costs.ChangeTime
	costs.ChangeTimeQueued = timeInQueue(costs.ChangeTime, t.ChangesPerSecond())
	costs.BlockedChangeTime = prepareTimeout
	costs.BlockedUtilization = t.ChangesPerSecond() * prepareTimeout
	costs.BlockedTimeQueued = timeInQueue(prepareTimeout, t.ChangesPerSecond())

	costs.LeasePairs = t.Routers * others
	costs.LeaseBurstMessages = 2 * others
	costs.LeaseBurstBytes = others * sizes.LeaseExchange
	costs.LeaseBytesMean = t.RestartsPerSecond() * sizes.LeaseExchange
	costs.LeaseDrainMessages = 2 * others / (float64(leaseTiming.RetryInterval) / microsecondsPerSecond)

	costs.WatchesPushed = t.Routers / watchTimeoutPushed
	costs.WatchesPolled = t.Routers / watchTimeoutPolled
	costs.ListBytes = t.CacheServers * t.Assumptions.ListEntryBytes
	costs.ListTransferBytes = t.RestartsPerSecond() * costs.ListBytes
	if slopes.Fitted() {
		near := slopes.predictLoad(t.Routers, costs.SameRegion.Renewals, sameRegionDelay.Seconds())
		far := slopes.predictLoad(t.Routers, costs.CrossRegion.Renewals, 2*t.Assumptions.NetworkDelay.Seconds())
		costs.SameRegionLoad, costs.CrossRegionLoad = &near, &far
	}
	return costs
}

func seconds(span clock.Time) float64 { return float64(span) / microsecondsPerSecond }

func renewalCost(t Target, w messageSizes, delay time.Duration) RenewalCost {
	perSecond, coverage := simulateRenewals(clock.Time(delay / time.Microsecond))
	bytes := perSecond * (w.Renewal + w.Grant)
	return RenewalCost{Delay: delay.Seconds(), Renewals: perSecond, LeaseCoverage: coverage, Bytes: bytes,
		LeaderRenewals: perSecond * t.Routers, LeaderBytes: bytes * t.Routers}
}

// playAskings plays a router's side of the policy for a minute against a leader that grants each asking after a delay, and
// counts its askings a second and the share of the time in which it may take clients. The first ten seconds
// are left out.
func simulateRenewals(delay clock.Time) (perSecond, coverage float64) {
	const step, warmUp, end = 20_000, 10 * microsecondsPerSecond, 70 * microsecondsPerSecond // internal/controlplane looks every 20 ms
	timing := policycommit.DefaultTiming()
	follower := policycommit.NewFollower(timing, policycommit.FollowerConfig{Name: sampleName, Incarnation: 1, Build: sampleBuild,
		Validate: func(string) error { return nil }})
	var inFlight []policycommit.Renewal
	sent, admitting, steps := 0, 0, 0
	for now := clock.Time(0); now < end; now += step {
		for len(inFlight) > 0 && inFlight[0].SentAt+delay <= now {
			follower.ReceiveLease(now, policycommit.Lease{Incarnation: 1, RenewalSentAt: inFlight[0].SentAt, Duration: timing.LeaseDuration, Index: 1, Revision: 1})
			inFlight = inFlight[1:]
		}
		if renewal, due := follower.NextRenewal(now); due {
			inFlight = append(inFlight, renewal)
			if now >= warmUp {
				sent++
			}
		}
		if now < warmUp {
			continue
		}
		steps++
		if follower.AdmissionDeadline(now) > now {
			admitting++
		}
	}
	return float64(sent) / ((end - warmUp) / microsecondsPerSecond), float64(admitting) / float64(steps)
}

// timeInQueue is the mean time of one that waits for its turn and is served, by a queue of one server with arrivals at random
// and a service of equal length (M/D/1); -1 where more come than can be served.
func timeInQueue(service, perSecond float64) float64 {
	utilization := service * perSecond
	if utilization >= 1 {
		return -1
	}
	return service + utilization*service/2/(1-utilization)
}
