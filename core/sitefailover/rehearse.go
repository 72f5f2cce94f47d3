package sitefailover

import (
	"cmp"
	"slices"
)

// Asked is a part of what comes in, of one rank, by method and tenant.
type RequestLoad struct {
	Method, Tenant string
	Rank           Rank
	Rate           float64 // first tries a second
}

// Outlook is what a loss would be like.
type Forecast struct {
	LostSites         []Site
	OfferedRate       float64 // first tries a second
	Capacity          float64 // what the sites left answer
	LimitingSite      Site    // whose figure sets that
	MinRank           Rank
	MinRankFraction   float64
	ByMethodAndTenant []ShedLoad // by method and tenant, the highest rank first
	ByMethod          []ShedLoad
	ByTenant          []ShedLoad
}

// Refused is how much of something would be refused.
type ShedLoad struct {
	Name                  string
	OfferedRate, ShedRate float64 // first tries a second
}

// Part is the part refused, of one.
func (r ShedLoad) ShedFraction() float64 {
	if r.OfferedRate == 0 {
		return 0
	}
	return r.ShedRate / r.OfferedRate
}

// Rehearse tells what would be refused where sites are lost, if nobody came back with what was refused. sites tell what
// each bears, and by how many servers; those of no number count alike.
func ForecastLoss(sites []SiteCapacity, asked []RequestLoad, lost []Site) Forecast {
	o := Forecast{LostSites: lost}
	for _, a := range asked {
		o.OfferedRate += a.Rate
	}
	var stands []standing
	away := 0.0
	for _, s := range even(sites) {
		n := float64(s.Servers)
		if slices.Contains(lost, s.Site) {
			away += n
		} else {
			stands = append(stands, standing{s.Site, n, s.Capacity})
		}
	}
	settleOn(stands, away, weigh(even(sites), lost, o.OfferedRate))
	o.Capacity, o.LimitingSite = bears(stands)
	asked = slices.Clone(asked)
	slices.SortStableFunc(asked, func(a, b RequestLoad) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Tenant, b.Tenant))
	})
	var offered []OfferedLoad
	for _, a := range asked {
		if n := len(offered); n > 0 && offered[n-1].Rank == a.Rank {
			offered[n-1].Rate += a.Rate
		} else {
			offered = append(offered, OfferedLoad{a.Rank, a.Rate})
		}
	}
	o.MinRank, o.MinRankFraction = cut(offered, o.Capacity)
	sum := func(all *[]ShedLoad, name string, rate, refuse float64) {
		i := slices.IndexFunc(*all, func(r ShedLoad) bool { return r.Name == name })
		if i < 0 {
			i = len(*all)
			*all = append(*all, ShedLoad{Name: name})
		}
		(*all)[i].OfferedRate += rate
		(*all)[i].ShedRate += refuse
	}
	for _, a := range asked {
		refuse := 0.0
		if a.Rank < o.MinRank {
			refuse = a.Rate
		} else if a.Rank == o.MinRank {
			refuse = a.Rate * (1 - o.MinRankFraction)
		}
		name := a.Method
		if a.Tenant != "" {
			name += ", " + a.Tenant
			sum(&o.ByTenant, a.Tenant, a.Rate, refuse)
		}
		sum(&o.ByMethodAndTenant, name, a.Rate, refuse)
		sum(&o.ByMethod, a.Method, a.Rate, refuse)
	}
	return o
}

// even has sites of no number of servers count alike.
func even(sites []SiteCapacity) []SiteCapacity {
	sites = slices.Clone(sites)
	for i := range sites {
		sites[i].Servers = cmp.Or(sites[i].Servers, 1)
	}
	return sites
}

// Bearing is what a site answers a second at most, by so many servers.
type SiteCapacity struct {
	Site             Site
	Servers          int
	Capacity         float64
	PreferredTargets []Site
}

// Spread shares a plan's loads out: what names no tenant by all their shares, and what a tenant asks for over its share,
// which is worth less. worth is a method's, of the highest; shares are those of the tenants.
func DistributeLoads(loads []ExpectedLoad, worth map[string]float64, shares map[string]float64, over float64) (all []RequestLoad) {
	rates, total := map[string]float64{}, 0.0
	for _, l := range loads {
		total += l.Rate
		if l.Tenant != "" {
			rates[l.Tenant] += l.Rate
			continue
		}
		for t, s := range shares {
			rates[t] += l.Rate * s
		}
	}
	rank := func(method, tenant string) Rank {
		w := worth[method]
		if s, known := shares[tenant]; known && rates[tenant] > overShare*s*total {
			w *= over
		}
		return RankOf(w)
	}
	names := make([]string, 0, len(shares))
	for t := range shares {
		names = append(names, t)
	}
	slices.Sort(names)
	for _, l := range loads {
		if l.Tenant != "" || len(shares) == 0 {
			all = append(all, RequestLoad{l.Method, l.Tenant, rank(l.Method, l.Tenant), l.Rate})
			continue
		}
		for _, t := range names {
			all = append(all, RequestLoad{l.Method, t, rank(l.Method, t), l.Rate * shares[t]})
		}
	}
	return all
}

// RankOf is the rank of a first try, by its worth against the highest.
func RankOf(worth float64) Rank { return 1 + Rank(1e6*worth) }

const overShare = 1.2 // as the routers have it
