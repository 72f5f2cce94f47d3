package capacity

import (
	"math"

	"spurtrestle/core/policycommit"
)

// Sizes of the compact messages that are designed, in bytes.
const (
	datagramHeader = 20 + 8  // IPv4 and UDP; with them, since small messages are mostly that
	streamHeader   = 20 + 20 // IPv4 and TCP

	compactRenewal = 8 + 2 + 4 + 4 + 4 + 1 // process, count, revision, index, token's digest, flags
	compactGrant   = 2 + 4 + 4 + 2 + 4 + 1 // count, revision, index, span, token's digest, flags
	groupRenewal   = compactRenewal + 4    // of several routers: their number beside it, and two bits for each
	bitsPerRouter  = 2                     // holds what is in force, has prepared what is pending
	purgeAck       = 4 + 8 + 4             // stream, last number done, purges not done
	tombstone      = 8 + 8 + 8 + 8         // digest of the key, count, end, link
)

// Spans of what is designed, in seconds.
const (
	extendedLease      = 2.5  // of a grant, in the variant that gives up the window of a second
	renewalsPerLease   = 3    // so that two in a row may be lost
	groupingDelay      = 0.05 // a representative waits so long for the askings of its routers
	relayInterval      = 0.05 // a relay on a control machine asks the leader
	purgeBatchInterval = 0.5  // a stream sends what has come, and a router what it has heard to its cache servers
	purgeAckInterval   = 1.0  // a router tells its counts
	takeoverTimeout    = 2.0  // the next router by rank gets a stream whose router has told no counts for so long
	sameSiteRoundTrip  = 0.01 // there and back
)

// membershipRepresentatives are those that a site has at rest (tiered membership).
const membershipRepresentatives = 2

// budgetForGrants is the share of a router's bytes that renewals may take: membership, purges and documents have the rest.
const renewalBudgetShare = 0.25

// GrantOption is one way by which routers are granted their leases.
type RenewalOption struct {
	Name                 string  `json:"name"`
	Representatives      float64 `json:"representatives"` // of a site; 0: none
	Lease                float64 `json:"lease_s"`
	Interval             float64 `json:"every_s"` // between two askings
	RouterBytes          float64 `json:"router_bytes_per_s"`
	BusiestBytes         float64 `json:"busiest_bytes_per_s"` // of the router that speaks for others
	LeaderRenewals       float64 `json:"leader_askings_per_s"`
	LeaderBytes          float64 `json:"leader_bytes_per_s"`
	ChangeTime           float64 `json:"change_s"`             // from a proposal until it is in force everywhere
	ChangeTimeRouterLost float64 `json:"change_router_lost_s"` // the same, where a router dies just after it was granted
	Fits                 bool    `json:"fits"`                 // the busiest router keeps to the share of its budget, and a change to its time, also with one lost
}

// Grants are the ways that were weighed, in the page's order.
type RenewalDesign struct {
	Share              float64         `json:"share"` // of a router's bytes
	Budget             float64         `json:"budget_bytes_per_s"`
	RenewalBytes       float64         `json:"asking_bytes"` // compact, without headers
	GrantBytes         float64         `json:"grant_bytes"`
	Options            []RenewalOption `json:"options"`
	Chosen             *RenewalOption  `json:"chosen"`    // least at the leader of those that fit
	ChosenCurrentLease *RenewalOption  `json:"keeps_one"` // the same of those that keep today's lease
}

func designRenewals(t Target, now CurrentCosts) RenewalDesign {
	g := RenewalDesign{Share: renewalBudgetShare, Budget: t.Budget.BytesPerSecond * renewalBudgetShare, RenewalBytes: compactRenewal, GrantBytes: compactGrant}
	lease := now.Lease
	add := func(o RenewalOption) {
		o.ChangeTimeRouterLost = o.ChangeTime + lostRouterDelay(o.Lease)
		o.Fits = o.BusiestBytes <= g.Budget && o.ChangeTimeRouterLost <= t.Changes.Within.Seconds()
		g.Options = append(g.Options, o)
	}
	add(RenewalOption{Name: "today: each asks the leader", Lease: lease, Interval: now.RenewInterval, RouterBytes: now.SameRegion.Bytes, BusiestBytes: now.SameRegion.Bytes,
		LeaderRenewals: now.SameRegion.LeaderRenewals, LeaderBytes: now.SameRegion.LeaderBytes, ChangeTime: now.ChangeTime})
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

// exchange is one compact asking and its grant.
const compactExchange = compactRenewal + compactGrant + 2*datagramHeader

func directRenewal(t Target, lease float64) RenewalOption {
	every := lease / renewalsPerLease
	return RenewalOption{Name: "each asks the leader, compact", Lease: lease, Interval: every, RouterBytes: compactExchange / every, BusiestBytes: compactExchange / every,
		LeaderRenewals: t.Routers / every, LeaderBytes: t.Routers * compactExchange / every, ChangeTime: changeTime(t, every, 0)}
}

// throughRelays has the control machines that keep no log gather the askings of all sites.
func relayedRenewal(t Target, lease float64) RenewalOption {
	o := directRenewal(t, lease)
	relays := max(1, t.Budget.Machines-t.Assumptions.PolicyVoters)
	o.Name = "through relays on the control machines, compact"
	o.LeaderRenewals = relays / relayInterval
	o.LeaderBytes = o.LeaderRenewals * groupExchange(t.Routers/relays)
	o.ChangeTime = changeTime(t, o.Interval, relayInterval)
	return o
}

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

// groupExchange is one asking for a group of routers and its grant.
func groupExchange(group float64) float64 {
	return groupRenewal + math.Ceil(group*bitsPerRouter/8) + compactGrant + 2*datagramHeader
}

// fewestRepresentatives is the least number of a site that keeps each within a budget; all of its routers where none does.
func minRepresentatives(t Target, lease, budget float64) float64 {
	all := math.Ceil(t.RoutersPerSite())
	for n := 1.0; n < all; n++ {
		if representativeRenewal(t, lease, n).BusiestBytes <= budget {
			return n
		}
	}
	return all
}

// changeTime is as Today.Change has it, by other spans.
func changeTime(t Target, every, groupingDelay float64) float64 {
	delay := t.Assumptions.NetworkDelay.Seconds()
	return 2 * (every + groupingDelay + leaderInterval + 2*delay + 4*delay)
}

// waitedFor is how long a router that does not answer holds a change up, by policycommit.Leader: its lease by a clock that runs a
// hundredth slow, and a slack.
func lostRouterDelay(lease float64) float64 {
	return lease*1.01 + seconds(policycommit.DefaultTiming().ClockSlack)
}

// PurgeOption is one way by which purges reach the cache servers of a site.
type PurgeOption struct {
	Name          string  `json:"name"`
	Receivers     float64 `json:"hear"`                  // routers of a site that hear each purge
	CacheServers  float64 `json:"reach"`                 // cache servers of the site at which it is done
	ReceivedBytes float64 `json:"heard_bytes_per_s"`     // of one router
	AckBytes      float64 `json:"told_back_bytes_per_s"` // of one router
	DeletionBytes float64 `json:"deletions_bytes_per_s"` // of one router, to its cache servers and back
	ControlBytes  float64 `json:"control_bytes_per_s"`   // heard and told back
	Fits          bool    `json:"fits"`                  // control stays within the budget that grants and documents leave
	MinSiteSize   float64 `json:"smallest_site"`         // routers of the smallest site in which it fits; 0: in none
}

// Step is one of those that a purge takes.
type PurgeStep struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Purging is how purges are designed.
type PurgeDesign struct {
	AvailableBytes float64       `json:"left_bytes_per_s"` // of a router's budget for purges and membership
	Options        []PurgeOption `json:"options"`
	Chosen         *PurgeOption  `json:"chosen"`

	Steps      []PurgeStep `json:"steps"`
	Seconds    float64     `json:"seconds"` // of all steps
	FitsTarget bool        `json:"within"`

	Streams         float64 `json:"streams"`                 // one for each router of a site
	Machines        float64 `json:"machines"`                // that send them
	MachineBytesOut float64 `json:"machine_out_bytes_per_s"` // of each
	MachineAcksIn   float64 `json:"machine_back_messages_per_s"`

	MissedPurges   float64 `json:"missed"`          // purges while a region is cut off
	MissedBytes    float64 `json:"missed_bytes"`    // for each of its sites
	CatchUpTime    float64 `json:"catch_up_s"`      // at the pace of the streams again
	PurgesPerCache float64 `json:"per_cache_per_s"` // purges done at a cache server
	Tombstones     float64 `json:"tombstones"`      // that a cache server keeps
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
	p.Chosen = &p.Options[2] // a second router need not hear what it can ask for
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
	p.CatchUpTime = t.Failures.RegionPartition.Seconds() // the budget of the streams, once more
	p.PurgesPerCache = t.Purges.PerSecond * owners / caches
	p.Tombstones = p.PurgesPerCache * (t.Assumptions.LongestFetch.Seconds() + t.Purges.Within.Seconds())
	p.TombstoneBytes = p.Tombstones * tombstone
	return p
}

// sharers are the routers of a site that hear purges: all but membership's representatives, which have enough to do.
func purgeReceivers(t Target) float64 { return max(1, t.RoutersPerSite()-membershipRepresentatives) }

func purgeOption(t Target, name string, receivers, cacheServers, available float64) PurgeOption {
	streams := receivers // a router hears its own stream, and those for which it stands by
	share := t.Purges.PerSecond / purgeReceivers(t)
	o := PurgeOption{Name: name, Receivers: receivers, CacheServers: cacheServers}
	o.ReceivedBytes = share*receivers*t.Purges.Bytes + streams*datagramHeader/purgeBatchInterval
	o.AckBytes = (purgeAck + datagramHeader) / purgeAckInterval
	connections := max(1, t.CachesPerSite())
	o.DeletionBytes = share*cacheServers*t.Purges.Bytes + connections*2*streamHeader/purgeBatchInterval
	o.ControlBytes = o.ReceivedBytes + o.AckBytes
	o.Fits = o.ControlBytes <= available
	perStream := streams*datagramHeader/purgeBatchInterval + o.AckBytes
	if rest := available - perStream; rest > 0 {
		o.MinSiteSize = math.Ceil(t.Purges.PerSecond*receivers*t.Purges.Bytes/rest) + membershipRepresentatives
	}
	if receivers == purgeReceivers(t) {
		o.MinSiteSize = 0 // each hears all, in a site of any size
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

// BudgetLine is one part of what a router spends by the design. No router bears two of the three roles.
type BudgetLine struct {
	Name                     string   `json:"name"`
	Router                   Estimate `json:"router"`
	MembershipRepresentative Estimate `json:"membership_representative"`
	PolicyRepresentative     Estimate `json:"policy_representative"`
}

// Budget is a router's bytes by the design, all parts together.
type Budget struct {
	Lines []BudgetLine `json:"lines"`
	Total BudgetLine   `json:"all"`
	Limit float64      `json:"limit_bytes_per_s"`
}

// documentsOnce is each change's document told once, with its preparation.
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
