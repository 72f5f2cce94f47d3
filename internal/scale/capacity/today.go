package capacity

import (
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sharelease"
)

// Unexported limits and intervals of other packages; TestConstants_MatchTheSource fails if one of them changes.
const (
	maxQueuedRenewals     = 10_000   // internal/controlplane: renewals queued for the leader's next pass; more are dropped
	maxStateHeartbeats    = 8_192    // internal/gossip: heartbeats of a full state; a longer one is dropped as a whole
	handoffQueueDepth     = 4_096    // internal/gossip: messages queued at a router; more are dropped
	maxQueuedLeaseReplies = 1_024    // internal/gossip: share lease replies queued for a tick; more are dropped
	leaderInterval        = 20e-3    // seconds; internal/controlplane: between two passes of the leader
	gossipTick            = 100e-3   // seconds; internal/gossip: between two ticks, for a probe interval of half a second or more
	watchTimeoutPolled    = 20.0     // seconds; internal/config: timeout of a discovery watch if lists are polled
	watchTimeoutPushed    = 4.0      // seconds; internal/config: the same if lists are pushed
	maxUnchunkedValue     = 64 << 10 // bytes; docs/operating.md: the largest value that is forwarded: larger values are forwarded in pieces
	maxValue              = 4 << 20  // bytes; docs/operating.md: the largest value that is forwarded
)

// leaseRetryInterval is RetryInterval of sharelease.DefaultTiming, in seconds.
const leaseRetryInterval = 0.5

const microsecondsPerSecond = 1e6

// CurrentCosts is what the current mechanisms cost the target fleet, calculated from the durations and message sizes of the code.
type CurrentCosts struct {
	RenewalBytes  float64 `json:"renewal_bytes"`
	GrantBytes    float64 `json:"grant_bytes"`
	RenewInterval float64 `json:"ask_every_s"`
	RetryInterval float64 `json:"ask_again_s"`
	Lease         float64 `json:"lease_s"`

	SameRegion  RenewalCost `json:"near"` // leader, other voters and routers in one region
	CrossRegion RenewalCost `json:"far"`  // each of them in a different region

	PostElectionRenewals float64 `json:"elected_askings_per_s"` // while there is no leader, and just after an election
	MaxQueuedRenewals    float64 `json:"most_askings"`          // at the leader
	MaxStateHeartbeats   float64 `json:"most_words"`            // in a full state
	LongestPass          float64 `json:"longest_pass_s"`        // of the leader just after an election; a longer pass drops renewals
	SecondsPerRenewal    float64 `json:"seconds_per_asking"`    // processor time of one core per renewal at the leader, in the same region
	MemberListBytes      float64 `json:"roster_bytes"`
	MembersCopied        float64 `json:"roster_entries_copied_per_s"` // at most
	FullStateBytes       float64 `json:"full_state_bytes"`
	DocumentBytes        float64 `json:"document_bytes_per_s"` // of one router, which receives the document of each change twice

	SameRegionLoad  *LeaderLoad `json:"near_load"` // of the leader; nil: not measured
	CrossRegionLoad *LeaderLoad `json:"far_load"`

	ChangeTime         float64 `json:"change_s"`               // from a proposal until it is in force everywhere, by the intervals of the code
	ChangeUtilization  float64 `json:"change_busy"`            // fraction of the time in which a change is in progress; changes are made one at a time
	ChangeTimeQueued   float64 `json:"change_wait_s"`          // including the time in the queue
	BlockedChangeTime  float64 `json:"change_held_s"`          // until a change is rejected because a router that may be serving does not reply
	BlockedUtilization float64 `json:"held_busy"`              // ChangeUtilization if every change were blocked so
	BlockedTimeQueued  float64 `json:"held_wait_s"`            // including the time in the queue; negative: the queue grows without bound
	LeasePairs         float64 `json:"lending_pairs"`          // of routers
	LeaseBurstMessages float64 `json:"lending_burst_messages"` // sent and received at once by a router that starts
	LeaseBurstBytes    float64 `json:"lending_burst_bytes"`
	LeaseBytesMean     float64 `json:"lending_bytes_per_s"`          // of one router, by the restarts of an ordinary day; a lower bound
	LeaseDrainMessages float64 `json:"lending_drain_messages_per_s"` // at a draining router that grants leases

	WatchesPushed     float64 `json:"watches_pushed_per_s"`  // over all discovery agents
	WatchesPolled     float64 `json:"watches_request_per_s"` // at the central discovery service
	ListBytes         float64 `json:"list_bytes"`
	ListTransferBytes float64 `json:"lists_bytes_per_s"` // of complete lists, over all restarts of an ordinary day
}

// RenewalCost is what lease renewals cost at a given network delay.
type RenewalCost struct {
	Delay          float64 `json:"delay_s"`       // from a renewal to its lease
	Renewals       float64 `json:"askings_per_s"` // of one router
	LeaseCoverage  float64 `json:"covered"`       // fraction of the time in which the router may admit clients
	Bytes          float64 `json:"bytes_per_s"`   // of one router, received and sent
	LeaderRenewals float64 `json:"leader_askings_per_s"`
	LeaderBytes    float64 `json:"leader_bytes_per_s"` // received and sent
}

// Messages returns the messages per second of one router, received and sent.
func (r RenewalCost) Messages() float64 { return 2 * r.Renewals }

// sameRegionDelay is the assumed time of a renewal, its confirmation by a majority and the lease within one region.
const sameRegionDelay = 5 * time.Millisecond

func currentCosts(t Target, leaderModel *LeaderModel) CurrentCosts {
	sizes, renewalTiming, leaseTiming := sampleMessageSizes(), policycommit.DefaultTiming(), sharelease.DefaultTiming()
	otherRouters, prepareTimeout := t.Routers-1, seconds(renewalTiming.PrepareTimeout)
	costs := CurrentCosts{RenewalBytes: sizes.Renewal, GrantBytes: sizes.Grant, RenewInterval: seconds(renewalTiming.RenewInterval), RetryInterval: seconds(renewalTiming.RetryInterval), Lease: seconds(renewalTiming.LeaseDuration)}

	// One way to the leader, one to a majority and one back, and one to the router.
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

	// The proposal and the decision are each a log entry that a majority accepts and that routers learn of by their next renewal.
	costs.ChangeTime = 2 * (costs.RenewInterval + leaderInterval + t.Assumptions.NetworkDelay.Seconds()*2 + crossRegionDelay.Seconds())
	costs.ChangeUtilization = t.ChangesPerSecond() * costs.ChangeTime
	costs.ChangeTimeQueued = timeInQueue(costs.ChangeTime, t.ChangesPerSecond())
	costs.BlockedChangeTime = prepareTimeout
	costs.BlockedUtilization = t.ChangesPerSecond() * prepareTimeout
	costs.BlockedTimeQueued = timeInQueue(prepareTimeout, t.ChangesPerSecond())

	costs.LeasePairs = t.Routers * otherRouters
	costs.LeaseBurstMessages = 2 * otherRouters
	costs.LeaseBurstBytes = otherRouters * sizes.LeaseExchange
	costs.LeaseBytesMean = t.RestartsPerSecond() * sizes.LeaseExchange
	costs.LeaseDrainMessages = 2 * otherRouters / (float64(leaseTiming.RetryInterval) / microsecondsPerSecond)

	costs.WatchesPushed = t.Routers / watchTimeoutPushed
	costs.WatchesPolled = t.Routers / watchTimeoutPolled
	costs.ListBytes = t.CacheServers * t.Assumptions.ListEntryBytes
	costs.ListTransferBytes = t.RestartsPerSecond() * costs.ListBytes
	if leaderModel.Fitted() {
		sameRegion := leaderModel.predictLoad(t.Routers, costs.SameRegion.Renewals, sameRegionDelay.Seconds())
		crossRegion := leaderModel.predictLoad(t.Routers, costs.CrossRegion.Renewals, 2*t.Assumptions.NetworkDelay.Seconds())
		costs.SameRegionLoad, costs.CrossRegionLoad = &sameRegion, &crossRegion
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

// simulateRenewals runs a policycommit.Follower for a minute against a leader that grants each renewal after a delay. It returns
// the renewals per second and the fraction of the time in which the follower may admit clients. The first ten seconds do not count.
func simulateRenewals(delay clock.Time) (perSecond, coverage float64) {
	const step, warmUp, end = 20_000, 10 * microsecondsPerSecond, 70 * microsecondsPerSecond // internal/controlplane calls the follower every 20 ms
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

// timeInQueue returns the mean time from arrival to completion in an M/D/1 queue: one server, random arrivals and a constant
// service time. It returns -1 if the server is overloaded.
func timeInQueue(service, perSecond float64) float64 {
	utilization := service * perSecond
	if utilization >= 1 {
		return -1
	}
	return service + utilization*service/2/(1-utilization)
}
