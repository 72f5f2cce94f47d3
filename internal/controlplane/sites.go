package controlplane

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
)

// sites is what a router does about the loss of a site (package sitefailover), and the leader's part of it.
type sites struct {
	plan   sitefailover.Plan // of the policy in force here
	memory sitefailover.ServerCounts
	report *sitefailover.Report // of late; nil: nothing is planned
	orders sitefailover.Orders  // as last told
	came   clock.Time           // when; 0: never

	coordinator *sitefailover.Coordinator
	stepped     clock.Time
	ruled       clock.Time // when an entry was last asked for
	given       *sitefailover.Orders
	reports     map[policycommit.Name]reported
}

type reported struct {
	sitefailover.Report
	at clock.Time
}

const (
	look = 100 * time.Millisecond // between two looks at the router's load: some of them go with each asking
	// Orders that are older are those of a leader that cannot be reached: the router goes by its own evidence again.
	ordersLast = 3e6
	// A router is heard while its last report is younger: five askings, so that a way that loses a third does no harm.
	heardFor = 1200e3
	leadEach = 100e3
)

// tendSites looks at the router's load, and has it keep to what the leader orders.
func (k *Keeper) tendSites() {
	var last *routing.FailoverOrders
	for t := time.NewTicker(look); ; {
		select {
		case <-k.stop:
			t.Stop()
			return
		case <-t.C:
		}
		k.mu.Lock()
		s := &k.sites
		on, orders, until := s.plan.Enabled(), s.orders, s.came+ordersLast
		if !on || s.came == 0 || k.micros() >= until {
			orders = sitefailover.Orders{}
		}
		if !on {
			s.report = nil
		}
		k.mu.Unlock()
		if !on && last == nil {
			continue
		}
		plan := planned(orders)
		f, err := k.router.SitePlan(plan, k.start.Add(time.Duration(until)*time.Microsecond))
		if err != nil {
			continue // the loop is busy, and is looked at again
		}
		last = &plan
		if !on {
			last = nil
			continue
		}
		k.mu.Lock()
		r := sitefailover.Report{Site: sitefailover.Site(k.cfg.Site), AdmittedRate: f.EndedRate, FailedRate: f.UnansweredRate,
			AdmittedWeight: f.EndedWeight, FailedWeight: f.UnansweredWeight, OriginSlowdown: f.OriginLatencyRatio, AdmissionTarget: orders.AdmissionTarget}
		for _, o := range f.Offered {
			if o.Rate >= 0.05 { // a second; less says nothing, and makes a packet long
				r.Offered = append(r.Offered, sitefailover.OfferedLoad{Rank: sitefailover.Rank(o.Rank), Rate: o.Rate})
			}
		}
		for _, z := range f.Zones {
			r.Observations = append(r.Observations, sitefailover.SiteObservation{Site: sitefailover.Site(z.Zone), ListedServers: z.Listed, SilentServers: z.Unreachable, AnswerRate: z.AnswerRate})
		}
		r.Observations = s.memory.Record(clock.Time(k.micros()), r.Observations)
		s.report = &r
		k.mu.Unlock()
	}
}

func planned(o sitefailover.Orders) routing.FailoverOrders {
	p := routing.FailoverOrders{MinimumRank: routing.Rank(o.MinRank), MinimumRankShare: o.MinRankFraction, RetryAfter: clock.Time(o.RetryAfter), OriginReadLimit: o.OriginReadRate}
	for _, s := range o.FailoverWeights {
		p.FailoverWeights = append(p.FailoverWeights, routing.ZoneShare{Zone: routing.Zone(s.Site), Share: s.Fraction})
	}
	for _, s := range o.KeyShares {
		p.ZoneShares = append(p.ZoneShares, routing.ZoneShare{Zone: routing.Zone(s.Site), Share: s.Fraction})
	}
	return p
}

// reported is called with the lock held, at who leads.
func (k *Keeper) reported(name policycommit.Name, r *sitefailover.Report) {
	if r == nil {
		return
	}
	if k.sites.reports == nil {
		k.sites.reports = map[policycommit.Name]reported{}
	}
	k.sites.reports[name] = reported{*r, k.micros()}
}

// ordered is called with the lock held.
func (k *Keeper) ordered(o *sitefailover.Orders) {
	if k.sites.came = k.micros(); o == nil {
		k.sites.orders = sitefailover.Orders{}
		return
	}
	k.sites.orders = *o
}

// leadSites is the leader's part.
func (k *Keeper) leadSites(raftLog *log) {
	k.mu.Lock()
	s, now := &k.sites, k.micros()
	due := s.coordinator != nil && k.leader != nil && s.plan.Enabled() && now-s.stepped >= leadEach
	if !due {
		if !s.plan.Enabled() {
			s.given = nil
		}
		k.mu.Unlock()
		return
	}
	s.stepped = now
	k.mu.Unlock()
	// The roster as well: a view that began after a site was lost has never heard of its routers, and the site seemed to have
	// none to wait for.
	members, b := k.fleet.Members(), raftLog.now()
	for name, m := range b.Roster {
		if !slices.ContainsFunc(members, func(x fleet.Member) bool { return x.Name == string(name) }) {
			members = append(members, fleet.Member{Name: string(name), Site: m.Site})
		}
	}
	k.mu.Lock()
	if s.coordinator == nil { // it leads no longer
		k.mu.Unlock()
		return
	}
	var rows []sitefailover.RouterState
	for _, m := range members {
		last := s.reports[policycommit.Name(m.Name)]
		rows = append(rows, sitefailover.RouterState{Name: m.Name, Site: sitefailover.Site(m.Site), Reporting: last.at != 0 && now-last.at < heardFor, Report: last.Report})
	}
	orders, order := s.coordinator.Evaluate(clock.Time(now), &s.plan, b.Sites, rows)
	if s.given = &orders; orders.Empty() {
		s.given = nil
	}
	const again = 500e3 // an entry that was asked for may still be on its way
	if order != nil && now-s.ruled < again {
		order = nil
	} else if order != nil {
		s.ruled = now
	}
	k.mu.Unlock()
	if order == nil {
		return
	}
	order.DecidedAt = time.Now().UnixMicro()
	k.log.WithFields(logrus.Fields{"site": order.Site, "stage": order.Stage.String(), "step": order.Step + 1, "why": order.Reason,
		"mono_us": fleet.Monotonic(), "formerly": "site: ruling"}).Warn("site: decision") // the earlier words for one release
	go raftLog.put(policycommit.Entry{Kind: policycommit.Site, Order: order}) // decided anew if it does not get there
}

// siteStatus is called at who leads.
func (k *Keeper) siteStatus(b *policycommit.LogState) (*sitefailover.Status, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, doc := b.Current()
	if k.sites.coordinator == nil || !k.sites.plan.Enabled() {
		return nil, doc
	}
	s := k.sites.coordinator.Status()
	return &s, doc
}

// siteWord carries out what an operator says of a site.
func (k *Keeper) siteWord(raftLog *log, q policycommit.Request) error {
	b := raftLog.now()
	k.mu.Lock()
	plan, site := k.sites.plan, sitefailover.Site(q.Name)
	var spare []sitefailover.SiteShare
	if k.sites.coordinator != nil && q.Word == "lost" {
		spare = k.sites.coordinator.FailoverWeights(&plan, site, b.Sites)
	}
	k.mu.Unlock()
	if r := b.Sites[site]; r.DecidedAt == q.At && r.DecidedBy == q.Author {
		return nil // asked again: the answer was late
	}
	command := sitefailover.Command{Site: site, Action: sitefailover.Action(q.Word), Author: q.Author, Reason: q.Reason}
	order, err := command.Transition(&plan, b.Sites)
	if err != nil {
		return err
	}
	if order.DecidedAt = q.At; q.Word == "lost" {
		order.FailoverWeights = spare
	}
	k.log.WithFields(logrus.Fields{"site": q.Name, "word": q.Word, "by": q.Author, "reason": q.Reason}).Warn("site: an operator's word")
	return raftLog.put(policycommit.Entry{Kind: policycommit.Site, Order: order})
}
