package capacity

import (
	"math"

	"spurtrestle/core/policycommit"
)

// Sizes of the compact messages of the design, in bytes.
const (
	datagramHeader = 20 + 8  // IPv4 and UDP; counted because they are most of a small message
	streamHeader   = 20 + 20 // IPv4 and TCP

	compactRenewal = 8 + 2 + 4 + 4 + 4 + 1 // incarnation, count, revision, index, digest of the token, flags
	compactGrant   = 2 + 4 + 4 + 2 + 4 + 1 // count, revision, index, duration, digest of the token, flags
	groupRenewal   = compactRenewal + 4    // for several routers: also their number, and bitsPerRouter for each
	bitsPerRouter  = 2                     // whether it holds the revision in force, whether it has prepared the pending one
	purgeAck       = 4 + 8 + 4             // stream, last sequence number done, number of purges not done
	tombstone      = 8 + 8 + 8 + 8         // digest of the key, count, expiry, link
)

// Durations of the design, in seconds.
const (
	extendedLease      = 2.5  // lease duration of the variant that gives up the one-second bound
	renewalsPerLease   = 3    // not a duration; two consecutive renewals may be lost
	groupingDelay      = 0.05 // a representative collects the renewals of its routers for this long
	relayInterval      = 0.05 // between two renewals of a relay on a control machine
	purgeBatchInterval = 0.5  // between two batches of a stream, and of a router to its cache servers
	purgeAckInterval   = 1.0  // between two acknowledgements of a router
	takeoverTimeout    = 2.0  // without acknowledgements for this long, a stream moves to the next router by rank
	sameSiteRoundTrip  = 0.01
)

// membershipRepresentatives is the number of representatives of a site without failures (tiered membership).
const membershipRepresentatives = 2

// renewalBudgetShare is the fraction of a router's byte budget for renewals; the rest is for membership, purges and documents.
const renewalBudgetShare = 0.25

// RenewalOption is one design of lease renewals, and what it costs.
type RenewalOption struct {
	Name                 string  `json:"name"`
	Representatives      float64 `json:"representatives"` // per site; 0: none
	Lease                float64 `json:"lease_s"`
	Interval             float64 `json:"every_s"` // between two renewals
	RouterBytes          float64 `json:"router_bytes_per_s"`
	BusiestBytes         float64 `json:"busiest_bytes_per_s"` // of the router with the most traffic: the representative, if there is one
	LeaderRenewals       float64 `json:"leader_askings_per_s"`
	LeaderBytes          float64 `json:"leader_bytes_per_s"`
	ChangeTime           float64 `json:"change_s"`             // from a proposal until it is in force everywhere
	ChangeTimeRouterLost float64 `json:"change_router_lost_s"` // the same if a router dies just after it was granted a lease
	Fits                 bool    `json:"fits"`                 // BusiestBytes is within the budget and ChangeTimeRouterLost within the target
}

// RenewalDesign compares designs of lease renewals, in the order of the page.
type RenewalDesign struct {
	Share              float64         `json:"share"` // of a router's byte budget
	Budget             float64         `json:"budget_bytes_per_s"`
	RenewalBytes       float64         `json:"asking_bytes"` // compact message, without headers
	GrantBytes         float64         `json:"grant_bytes"`
	Options            []RenewalOption `json:"options"`
	Chosen             *RenewalOption  `json:"chosen"`    // fewest renewals at the leader, of the options through representatives that fit
	ChosenCurrentLease *RenewalOption  `json:"keeps_one"` // the same, of the options with the current lease duration
}

func designRenewals(t Target, costs CurrentCosts) RenewalDesign {
	g := RenewalDesign{Share: renewalBudgetShare, Budget: t.Budget.BytesPerSecond * renewalBudgetShare, RenewalBytes: compactRenewal, GrantBytes: compactGrant}
	lease := costs.Lease
	add := func(o RenewalOption) {
		o.ChangeTimeRouterLost = o.ChangeTime + lostRouterDelay(o.Lease)
		o.Fits = o.BusiestBytes <= g.Budget && o.ChangeTimeRouterLost <= t.Changes.Within.Seconds()
		g.Options = append(g.Options, o)
	}
	add(RenewalOption{Name: "today: each asks the leader", Lease: lease, Interval: costs.RenewInterval, RouterBytes: costs.SameRegion.Bytes, BusiestBytes: costs.SameRegion.Bytes,
		LeaderRenewals: costs.SameRegion.LeaderRenewals, LeaderBytes: costs.SameRegion.LeaderBytes, ChangeTime: costs.ChangeTime})
	add(directRenewal(t, lease))
	add(relayedRenewal(t, lease))
	for _, span := range []float64{lease, extendedLease} {
		add(representativeRenewal(t, span, membershipRepresentatives))
		add(representativeRenewal(t, span, minRepresentatives(t, span, g.Budget)))
	}
	for i := range g.Options {
		o := &g.Options[i]
		if !o.Fits || o.Representatives == 0 {
			continue
		}
		if g.Chosen == nil || o.LeaderRenewals < g.Chosen.LeaderRenewals {
			g.Chosen = o
		}
		if o.Lease == lease && (g.ChosenCurrentLease == nil || o.LeaderRenewals < g.ChosenCurrentLease.LeaderRenewals) {
			g.ChosenCurrentLease = o
		}
	}
	return g
}

// compactExchange is the size of one compact renewal and its lease.
const compactExchange = compactRenewal + compactGrant + 2*datagramHeader

func directRenewal(t Target, lease float64) RenewalOption {
	every := lease / renewalsPerLease
	return RenewalOption{Name: "each asks the leader, compact", Lease: lease, Interval: every, RouterBytes: compactExchange / every, BusiestBytes: compactExchange / every,
		LeaderRenewals: t.Routers / every, LeaderBytes: t.Routers * compactExchange / every, ChangeTime: changeTime(t, every, 0)}
}

// relayedRenewal returns the design in which the control machines that hold no log collect the renewals of all sites.
func relayedRenewal(t Target, lease float64) RenewalOption {
	o := directRenewal(t, lease)
	relays := max(1, t.Budget.Machines-t.Assumptions.PolicyVoters)
	o.Name = "through relays on the control machines, compact"
	o.LeaderRenewals = relays / relayInterval
	o.LeaderBytes = o.LeaderRenewals * groupExchange(t.Routers/relays)
	o.ChangeTime = changeTime(t, o.Interval, relayInterval)
	return o
}

// representativeRenewal returns the design in which representatives of a site collect the renewals of its routers.
func representativeRenewal(t Target, lease, representatives float64) RenewalOption {
	every := lease / renewalsPerLease
	group := t.RoutersPerSite() / representatives
	o := RenewalOption{Name: "through representatives of the site, compact", Representatives: representatives, Lease: lease, Interval: every}
	o.RouterBytes = compactExchange / every
	o.BusiestBytes = (group*compactExchange + groupExchange(group)) / every
	o.LeaderRenewals = t.Sites * representatives / every
	o.LeaderBytes = o.LeaderRenewals * groupExchange(group)
	o.ChangeTime = changeTime(t, every, groupingDelay)
	return o
}

// groupExchange returns the size of one renewal for a group of routers and its lease.
func groupExchange(group float64) float64 {
	return groupRenewal + math.Ceil(group*bitsPerRouter/8) + compactGrant + 2*datagramHeader
}

// minRepresentatives returns the smallest number of representatives of a site that keeps each of them within a byte budget, or
// the number of all its routers if none does.
func minRepresentatives(t Target, lease, budget float64) float64 {
	all := math.Ceil(t.RoutersPerSite())
	for n := 1.0; n < all; n++ {
		if representativeRenewal(t, lease, n).BusiestBytes <= budget {
			return n
		}
	}
	return all
}

// changeTime returns the time of a change as CurrentCosts.ChangeTime does, for another renewal interval and grouping delay.
func changeTime(t Target, every, groupingDelay float64) float64 {
	delay := t.Assumptions.NetworkDelay.Seconds()
	return 2 * (every + groupingDelay + leaderInterval + 2*delay + 4*delay)
}

// lostRouterDelay returns how long a router that does not reply delays a change, as policycommit.Leader defines it: its lease, for a
// clock that runs slow by 1%, plus the clock slack.
func lostRouterDelay(lease float64) float64 {
	return lease*1.01 + seconds(policycommit.DefaultTiming().ClockSlack)
}

// PurgeOption is one design of how purges reach the cache servers of a site, and what it costs.
type PurgeOption struct {
	Name          string  `json:"name"`
	Receivers     float64 `json:"hear"`                  // routers of a site that receive each purge
	CacheServers  float64 `json:"reach"`                 // cache servers of the site that execute each purge
	ReceivedBytes float64 `json:"heard_bytes_per_s"`     // of one router
	AckBytes      float64 `json:"told_back_bytes_per_s"` // of one router
	DeletionBytes float64 `json:"deletions_bytes_per_s"` // of one router, to its cache servers and back
	ControlBytes  float64 `json:"control_bytes_per_s"`   // ReceivedBytes and AckBytes
	Fits          bool    `json:"fits"`                  // ControlBytes is within the budget that renewals and documents leave
	MinSiteSize   float64 `json:"smallest_site"`         // routers of the smallest site in which the option fits; 0: none
}

// PurgeStep is one step of a purge and its maximum duration.
type PurgeStep struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// PurgeDesign is the design of purges, and what it costs.
type PurgeDesign struct {
	AvailableBytes float64       `json:"left_bytes_per_s"` // of a router's byte budget, for purges and membership
	Options        []PurgeOption `json:"options"`
	Chosen         *PurgeOption  `json:"chosen"`

	Steps      []PurgeStep `json:"steps"`
	Seconds    float64     `json:"seconds"` // sum of all steps
	FitsTarget bool        `json:"within"`

	Streams         float64 `json:"streams"`                 // one per router of a site that receives purges
	Machines        float64 `json:"machines"`                // that send the streams
	MachineBytesOut float64 `json:"machine_out_bytes_per_s"` // of each machine
	MachineAcksIn   float64 `json:"machine_back_messages_per_s"`

	MissedPurges   float64 `json:"missed"`          // purges during a region partition
	MissedBytes    float64 `json:"missed_bytes"`    // per site of the region
	CatchUpTime    float64 `json:"catch_up_s"`      // at the ordinary rate of the streams
	PurgesPerCache float64 `json:"per_cache_per_s"` // purges executed at one cache server
	Tombstones     float64 `json:"tombstones"`      // held by one cache server
	TombstoneBytes float64 `json:"tombstone_bytes"`
}

func designPurges(t Target, available float64) PurgeDesign {
	p := PurgeDesign{AvailableBytes: available, Streams: math.Ceil(purgeReceivers(t)), Machines: max(1, t.Budget.Machines-t.Assumptions.PolicyVoters)}
	caches := max(1, t.CachesPerSite())
	owners := min(t.Assumptions.Replicas, caches)
	second := min(2, purgeReceivers(t))
	p.Options = []PurgeOption{
		purgeOption(t, "every router hears each", purgeReceivers(t), owners, available),
		purgeOption(t, "one router of a site, all its cache servers", 1, caches, available),
		purgeOption(t, "one router of a site, the owners", 1, owners, available),
		purgeOption(t, "two routers of a site, the owners", second, owners, available),
	}
	p.Chosen = &p.Options[2] // a second router need not receive what it can request
	p.Steps = purgeSteps(t)
	for _, s := range p.Steps {
		p.Seconds += s.Seconds
	}
	p.FitsTarget = p.Seconds <= t.Purges.Within.Seconds()

	receiverCount := t.Sites * purgeReceivers(t)
	p.MachineBytesOut = receiverCount * p.Chosen.ReceivedBytes / p.Machines
	p.MachineAcksIn = receiverCount / purgeAckInterval / p.Machines
	p.MissedPurges = t.Purges.PerSecond * t.Failures.RegionPartition.Seconds()
	p.MissedBytes = p.MissedPurges * t.Purges.Bytes
	p.CatchUpTime = t.Failures.RegionPartition.Seconds() // the missed purges take as long again, in addition to the new ones
	p.PurgesPerCache = t.Purges.PerSecond * owners / caches
	p.Tombstones = p.PurgesPerCache * (t.Assumptions.LongestFetch.Seconds() + t.Purges.Within.Seconds())
	p.TombstoneBytes = p.Tombstones * tombstone
	return p
}

// purgeReceivers returns the number of routers of a site that receive purges: all but the membership representatives, whose byte
// budget is already used.
func purgeReceivers(t Target) float64 { return max(1, t.RoutersPerSite()-membershipRepresentatives) }

func purgeOption(t Target, name string, receivers, cacheServers, available float64) PurgeOption {
	streams := receivers // a router receives its own stream and those for which it is the standby
	purgesPerRouter := t.Purges.PerSecond / purgeReceivers(t)
	o := PurgeOption{Name: name, Receivers: receivers, CacheServers: cacheServers}
	o.ReceivedBytes = purgesPerRouter*receivers*t.Purges.Bytes + streams*datagramHeader/purgeBatchInterval
	o.AckBytes = (purgeAck + datagramHeader) / purgeAckInterval
	connections := max(1, t.CachesPerSite())
	o.DeletionBytes = purgesPerRouter*cacheServers*t.Purges.Bytes + connections*2*streamHeader/purgeBatchInterval
	o.ControlBytes = o.ReceivedBytes + o.AckBytes
	o.Fits = o.ControlBytes <= available
	fixedBytes := streams*datagramHeader/purgeBatchInterval + o.AckBytes
	if remaining := available - fixedBytes; remaining > 0 {
		o.MinSiteSize = math.Ceil(t.Purges.PerSecond*receivers*t.Purges.Bytes/remaining) + membershipRepresentatives
	}
	if receivers == purgeReceivers(t) {
		o.MinSiteSize = 0 // every router receives every purge, whatever the size of the site
	}
	return o
}

func purgeSteps(t Target) []PurgeStep {
	delay := t.Assumptions.NetworkDelay.Seconds()
	return []PurgeStep{
		{"a majority of the stream's log has it", 2 * delay},
		{"the stream's next batch", purgeBatchInterval},
		{"to the site", delay},
		{"that batch is lost: the next one's number shows it, it is asked for", purgeBatchInterval + 2*delay},
		{"the first router is gone: the second takes over, and asks for what is not told as done", takeoverTimeout + 2*delay},
		{"the router's next batch to the cache servers", purgeBatchInterval},
		{"they answer", sameSiteRoundTrip},
		{"the next counts, and their way back", purgeAckInterval + delay},
	}
}

// BudgetLine is the traffic of one mechanism of the design, by role of the router. No router has two of the three roles.
type BudgetLine struct {
	Name                     string   `json:"name"`
	Router                   Estimate `json:"router"`
	MembershipRepresentative Estimate `json:"membership_representative"`
	PolicyRepresentative     Estimate `json:"policy_representative"`
}

// Budget is the traffic of a router by the design, over all mechanisms.
type Budget struct {
	Lines []BudgetLine `json:"lines"`
	Total BudgetLine   `json:"all"`
	Limit float64      `json:"limit_bytes_per_s"`
}

// documentBytes returns the bytes per second of change documents if each is sent once, when the change is prepared.
func documentBytes(t Target) float64 { return t.ChangesPerSecond() * t.Assumptions.DocumentBytes }

func routerBudget(t Target, g RenewalDesign, p PurgeDesign, membership, ofRepresentative Estimate) Budget {
	b := Budget{Limit: t.Budget.BytesPerSecond}
	bytes := func(value float64) Estimate { return calculated(value, BytesPerSecond, "") }
	documents := bytes(documentBytes(t))
	b.Lines = append(b.Lines, BudgetLine{"membership in tiers", membership, ofRepresentative, membership})
	if g.Chosen != nil {
		b.Lines = append(b.Lines, BudgetLine{"renewals through representatives", bytes(g.Chosen.RouterBytes), bytes(g.Chosen.RouterBytes), bytes(g.Chosen.BusiestBytes)})
	}
	b.Lines = append(b.Lines, BudgetLine{"documents of changes, each once", documents, documents, documents},
		BudgetLine{"purges heard", bytes(p.Chosen.ReceivedBytes), bytes(0), bytes(p.Chosen.ReceivedBytes)},
		BudgetLine{"purges told back", bytes(p.Chosen.AckBytes), bytes(0), bytes(p.Chosen.AckBytes)})
	b.Total = BudgetLine{Name: "all", Router: bytes(0), MembershipRepresentative: bytes(0), PolicyRepresentative: bytes(0)}
	for _, line := range b.Lines {
		b.Total.Router = sum(b.Total.Router, line.Router)
		b.Total.MembershipRepresentative = sum(b.Total.MembershipRepresentative, line.MembershipRepresentative)
		b.Total.PolicyRepresentative = sum(b.Total.PolicyRepresentative, line.PolicyRepresentative)
	}
	return b
}
