package capacity

import (
	"math"

	"spurtrestle/core/policycommit"
)

// Sizes of the compact messages that are designed, in bytes.
const (
	datagramHeader = 20 + 8  // IPv4 and UDP; with them, since small messages are mostly that
	streamHeader   = 20 + 20 // IPv4 and TCP

	compactAsking = 8 + 2 + 4 + 4 + 4 + 1 // process, count, revision, index, token's digest, flags
	compactGrant  = 2 + 4 + 4 + 2 + 4 + 1 // count, revision, index, span, token's digest, flags
	groupAsking   = compactAsking + 4     // of several routers: their number beside it, and two bits for each
	bitsPerRouter = 2                     // holds what is in force, has prepared what is pending
	purgeCount    = 4 + 8 + 4             // stream, last number done, purges not done
	tombstone     = 8 + 8 + 8 + 8         // digest of the key, count, end, link
)

// Spans of what is designed, in seconds.
const (
	longLease       = 2.5  // of a grant, in the variant that gives up the window of a second
	askingsPerLease = 3    // so that two in a row may be lost
	gather          = 0.05 // a representative waits so long for the askings of its routers
	relayEvery      = 0.05 // a relay on a control machine asks the leader
	purgeBatch      = 0.5  // a stream sends what has come, and a router what it has heard to its cache servers
	purgeBack       = 1.0  // a router tells its counts
	standbyAfter    = 2.0  // the next router by rank gets a stream whose router has told no counts for so long
	withinSite      = 0.01 // there and back
)

// membershipRepresentatives are those that a site has at rest (tiered membership).
const membershipRepresentatives = 2

// budgetForGrants is the share of a router's bytes that renewals may take: membership, purges and documents have the rest.
const budgetForGrants = 0.25

// GrantOption is one way by which routers are granted their leases.
type GrantOption struct {
	Name            string  `json:"name"`
	Representatives float64 `json:"representatives"` // of a site; 0: none
	Lease           float64 `json:"lease_s"`
	Every           float64 `json:"every_s"` // between two askings
	Router          float64 `json:"router_bytes_per_s"`
	Busiest         float64 `json:"busiest_bytes_per_s"` // of the router that speaks for others
	Leader          float64 `json:"leader_askings_per_s"`
	LeaderIO        float64 `json:"leader_bytes_per_s"`
	Change          float64 `json:"change_s"`             // from a proposal until it is in force everywhere
	Lost            float64 `json:"change_router_lost_s"` // the same, where a router dies just after it was granted
	Fits            bool    `json:"fits"`                 // the busiest router keeps to the share of its budget, and a change to its time, also with one lost
}

// Grants are the ways that were weighed, in the page's order.
type Grants struct {
	Share    float64       `json:"share"` // of a router's bytes
	Budget   float64       `json:"budget_bytes_per_s"`
	Asking   float64       `json:"asking_bytes"` // compact, without headers
	Grant    float64       `json:"grant_bytes"`
	Options  []GrantOption `json:"options"`
	Chosen   *GrantOption  `json:"chosen"`    // least at the leader of those that fit
	KeepsOne *GrantOption  `json:"keeps_one"` // the same of those that keep today's lease
}

func grants(t Target, now Today) Grants {
	g := Grants{Share: budgetForGrants, Budget: t.Control.BytesPerSecond * budgetForGrants, Asking: compactAsking, Grant: compactGrant}
	lease := now.Lease
	add := func(o GrantOption) {
		o.Lost = o.Change + waitedFor(o.Lease)
		o.Fits = o.Busiest <= g.Budget && o.Lost <= t.Changes.Within.Seconds()
		g.Options = append(g.Options, o)
	}
	add(GrantOption{Name: "today: each asks the leader", Lease: lease, Every: now.AskEvery, Router: now.Near.Bytes, Busiest: now.Near.Bytes,
		Leader: now.Near.Leader, LeaderIO: now.Near.LeaderIO, Change: now.Change})
	add(compactDirect(t, lease))
	add(throughRelays(t, lease))
	for _, span := range []float64{lease, longLease} {
		add(throughRepresentatives(t, span, membershipRepresentatives))
		add(throughRepresentatives(t, span, fewestRepresentatives(t, span, g.Budget)))
	}
	for i := range g.Options {
		o := &g.Options[i]
		if !o.Fits || o.Representatives == 0 {
			continue
		}
		if g.Chosen == nil || o.Leader < g.Chosen.Leader {
			g.Chosen = o
		}
		if o.Lease == lease && (g.KeepsOne == nil || o.Leader < g.KeepsOne.Leader) {
			g.KeepsOne = o
		}
	}
	return g
}

// exchange is one compact asking and its grant.
const exchange = compactAsking + compactGrant + 2*datagramHeader

func compactDirect(t Target, lease float64) GrantOption {
	every := lease / askingsPerLease
	return GrantOption{Name: "each asks the leader, compact", Lease: lease, Every: every, Router: exchange / every, Busiest: exchange / every,
		Leader: t.Routers / every, LeaderIO: t.Routers * exchange / every, Change: changeTime(t, every, 0)}
}

// throughRelays has the control machines that keep no log gather the askings of all sites.
func throughRelays(t Target, lease float64) GrantOption {
	o := compactDirect(t, lease)
	relays := max(1, t.Control.Machines-t.Assumed.Keepers)
	o.Name = "through relays on the control machines, compact"
	o.Leader = relays / relayEvery
	o.LeaderIO = o.Leader * groupExchange(t.Routers/relays)
	o.Change = changeTime(t, o.Every, relayEvery)
	return o
}

func throughRepresentatives(t Target, lease, representatives float64) GrantOption {
	every := lease / askingsPerLease
	group := t.RoutersPerSite() / representatives
	o := GrantOption{Name: "through representatives of the site, compact", Representatives: representatives, Lease: lease, Every: every}
	o.Router = exchange / every
	o.Busiest = (group*exchange + groupExchange(group)) / every
	o.Leader = t.Sites * representatives / every
	o.LeaderIO = o.Leader * groupExchange(group)
	o.Change = changeTime(t, every, gather)
	return o
}

// groupExchange is one asking for a group of routers and its grant.
func groupExchange(group float64) float64 {
	return groupAsking + math.Ceil(group*bitsPerRouter/8) + compactGrant + 2*datagramHeader
}

// fewestRepresentatives is the least number of a site that keeps each within a budget; all of its routers where none does.
func fewestRepresentatives(t Target, lease, budget float64) float64 {
	all := math.Ceil(t.RoutersPerSite())
	for n := 1.0; n < all; n++ {
		if throughRepresentatives(t, lease, n).Busiest <= budget {
			return n
		}
	}
	return all
}

// changeTime is as Today.Change has it, by other spans.
func changeTime(t Target, every, gathered float64) float64 {
	delay := t.Assumed.NetworkDelay.Seconds()
	return 2 * (every + gathered + leaderRest + 2*delay + 4*delay)
}

// waitedFor is how long a router that does not answer holds a change up, by policycommit.Leader: its lease by a clock that runs a
// hundredth slow, and a slack.
func waitedFor(lease float64) float64 {
	return lease*1.01 + seconds(policycommit.DefaultTiming().ClockSlack)
}

// PurgeOption is one way by which purges reach the cache servers of a site.
type PurgeOption struct {
	Name      string  `json:"name"`
	Hear      float64 `json:"hear"`                  // routers of a site that hear each purge
	Reach     float64 `json:"reach"`                 // cache servers of the site at which it is done
	Heard     float64 `json:"heard_bytes_per_s"`     // of one router
	Told      float64 `json:"told_back_bytes_per_s"` // of one router
	Deletions float64 `json:"deletions_bytes_per_s"` // of one router, to its cache servers and back
	Control   float64 `json:"control_bytes_per_s"`   // heard and told back
	Fits      bool    `json:"fits"`                  // control stays within the budget that grants and documents leave
	Smallest  float64 `json:"smallest_site"`         // routers of the smallest site in which it fits; 0: in none
}

// Step is one of those that a purge takes.
type Step struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Purging is how purges are designed.
type Purging struct {
	Left    float64       `json:"left_bytes_per_s"` // of a router's budget for purges and membership
	Options []PurgeOption `json:"options"`
	Chosen  *PurgeOption  `json:"chosen"`

	Steps   []Step  `json:"steps"`
	Seconds float64 `json:"seconds"` // of all steps
	Within  bool    `json:"within"`

	Streams     float64 `json:"streams"`                 // one for each router of a site
	Machines    float64 `json:"machines"`                // that send them
	MachineOut  float64 `json:"machine_out_bytes_per_s"` // of each
	MachineBack float64 `json:"machine_back_messages_per_s"`

	Missed        float64 `json:"missed"`          // purges while a region is cut off
	MissedBytes   float64 `json:"missed_bytes"`    // for each of its sites
	CatchUp       float64 `json:"catch_up_s"`      // at the pace of the streams again
	PerCache      float64 `json:"per_cache_per_s"` // purges done at a cache server
	Tombstones    float64 `json:"tombstones"`      // that a cache server keeps
	TombstoneSize float64 `json:"tombstone_bytes"`
}

func purging(t Target, left float64) Purging {
	p := Purging{Left: left, Streams: math.Ceil(sharers(t)), Machines: max(1, t.Control.Machines-t.Assumed.Keepers)}
	caches := max(1, t.CachesPerSite())
	owners := min(t.Assumed.Copies, caches)
	second := min(2, sharers(t))
	p.Options = []PurgeOption{
		purgeOption(t, "every router hears each", sharers(t), owners, left),
		purgeOption(t, "one router of a site, all its cache servers", 1, caches, left),
		purgeOption(t, "one router of a site, the owners", 1, owners, left),
		purgeOption(t, "two routers of a site, the owners", second, owners, left),
	}
	p.Chosen = &p.Options[2] // a second router need not hear what it can ask for
	p.Steps = purgeSteps(t)
	for _, s := range p.Steps {
		p.Seconds += s.Seconds
	}
	p.Within = p.Seconds <= t.Purges.Within.Seconds()

	hearers := t.Sites * sharers(t)
	p.MachineOut = hearers * p.Chosen.Heard / p.Machines
	p.MachineBack = hearers / purgeBack / p.Machines
	p.Missed = t.Purges.PerSecond * t.Failures.RegionCut.Seconds()
	p.MissedBytes = p.Missed * t.Purges.Bytes
	p.CatchUp = t.Failures.RegionCut.Seconds() // the budget of the streams, once more
	p.PerCache = t.Purges.PerSecond * owners / caches
	p.Tombstones = p.PerCache * (t.Assumed.LongestFetch.Seconds() + t.Purges.Within.Seconds())
	p.TombstoneSize = p.Tombstones * tombstone
	return p
}

// sharers are the routers of a site that hear purges: all but membership's representatives, which have enough to do.
func sharers(t Target) float64 { return max(1, t.RoutersPerSite()-membershipRepresentatives) }

func purgeOption(t Target, name string, hear, reach, left float64) PurgeOption {
	streams := hear // a router hears its own stream, and those for which it stands by
	share := t.Purges.PerSecond / sharers(t)
	o := PurgeOption{Name: name, Hear: hear, Reach: reach}
	o.Heard = share*hear*t.Purges.Bytes + streams*datagramHeader/purgeBatch
	o.Told = (purgeCount + datagramHeader) / purgeBack
	connections := max(1, t.CachesPerSite())
	o.Deletions = share*reach*t.Purges.Bytes + connections*2*streamHeader/purgeBatch
	o.Control = o.Heard + o.Told
	o.Fits = o.Control <= left
	perStream := streams*datagramHeader/purgeBatch + o.Told
	if rest := left - perStream; rest > 0 {
		o.Smallest = math.Ceil(t.Purges.PerSecond*hear*t.Purges.Bytes/rest) + membershipRepresentatives
	}
	if hear == sharers(t) {
		o.Smallest = 0 // each hears all, in a site of any size
	}
	return o
}

func purgeSteps(t Target) []Step {
	delay := t.Assumed.NetworkDelay.Seconds()
	return []Step{
		{"a majority of the stream's log has it", 2 * delay},
		{"the stream's next batch", purgeBatch},
		{"to the site", delay},
		{"that batch is lost: the next one's number shows it, it is asked for", purgeBatch + 2*delay},
		{"the first router is gone: the second takes over, and asks for what is not told as done", standbyAfter + 2*delay},
		{"the router's next batch to the cache servers", purgeBatch},
		{"they answer", withinSite},
		{"the next counts, and their way back", purgeBack + delay},
	}
}

// BudgetLine is one part of what a router spends by the design. No router bears two of the three roles.
type BudgetLine struct {
	Name       string   `json:"name"`
	Router     Estimate `json:"router"`
	Membership Estimate `json:"membership_representative"`
	Policy     Estimate `json:"policy_representative"`
}

// Budget is a router's bytes by the design, all parts together.
type Budget struct {
	Lines []BudgetLine `json:"lines"`
	All   BudgetLine   `json:"all"`
	Limit float64      `json:"limit_bytes_per_s"`
}

// documentsOnce is each change's document told once, with its preparation.
func documentsOnce(t Target) float64 { return t.ChangesPerSecond() * t.Assumed.DocumentBytes }

func budget(t Target, g Grants, p Purging, membership, ofRepresentative Estimate) Budget {
	b := Budget{Limit: t.Control.BytesPerSecond}
	bytes := func(value float64) Estimate { return counted(value, BytesPerSecond, "") }
	documents := bytes(documentsOnce(t))
	b.Lines = append(b.Lines, BudgetLine{"membership in tiers", membership, ofRepresentative, membership})
	if g.Chosen != nil {
		b.Lines = append(b.Lines, BudgetLine{"renewals through representatives", bytes(g.Chosen.Router), bytes(g.Chosen.Router), bytes(g.Chosen.Busiest)})
	}
	b.Lines = append(b.Lines, BudgetLine{"documents of changes, each once", documents, documents, documents},
		BudgetLine{"purges heard", bytes(p.Chosen.Heard), bytes(0), bytes(p.Chosen.Heard)},
		BudgetLine{"purges told back", bytes(p.Chosen.Told), bytes(0), bytes(p.Chosen.Told)})
	b.All = BudgetLine{Name: "all", Router: bytes(0), Membership: bytes(0), Policy: bytes(0)}
	for _, line := range b.Lines {
		b.All.Router = sum(b.All.Router, line.Router)
		b.All.Membership = sum(b.All.Membership, line.Membership)
		b.All.Policy = sum(b.All.Policy, line.Policy)
	}
	return b
}
