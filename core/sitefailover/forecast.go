package sitefailover

import (
	"cmp"
	"slices"
)

// overShareRatio is the multiple of its share above which a tenant counts as over its share. Package routing uses the same ratio
// for admission, with a tolerance for measured rates.
const overShareRatio = 1.2

// RequestLoad is the rate of the first attempts of one method, tenant and rank.
type RequestLoad struct {
	Method string
	Tenant string // empty: no tenant
	Rank   Rank
	Rate   float64 // per second
}

// Forecast is the predicted effect of a loss of sites, without retries.
type Forecast struct {
	LostSites         []Site
	OfferedRate       float64 // first attempts per second
	Capacity          float64 // answers per second of the other sites
	LimitingSite      Site    // whose capacity limits that of the fleet
	MinRank           Rank    // as in Orders
	MinRankFraction   float64 // as in Orders
	ByMethodAndTenant []ShedLoad
	ByMethod          []ShedLoad
	ByTenant          []ShedLoad
}

// ShedLoad is the rate at which a method's or a tenant's requests would be shed. Lists have the highest rank first.
type ShedLoad struct {
	Name        string
	OfferedRate float64 // first attempts per second
	ShedRate    float64 // of these
}

// ShedFraction is the fraction of the requests that would be shed.
func (s ShedLoad) ShedFraction() float64 {
	if s.OfferedRate == 0 {
		return 0
	}
	return s.ShedRate / s.OfferedRate
}

// ForecastLoss predicts which requests would be shed if sites were lost. Sites with an unknown number of servers count as having
// one.
func ForecastLoss(sites []SiteCapacity, loads []RequestLoad, lost []Site) Forecast {
	forecast := Forecast{LostSites: lost}
	for _, load := range loads {
		forecast.OfferedRate += load.Rate
	}
	forecast.Capacity, forecast.LimitingSite = capacityWithout(lost, withServers(sites), forecast.OfferedRate)
	loads = slices.Clone(loads)
	slices.SortStableFunc(loads, func(a, b RequestLoad) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Tenant, b.Tenant))
	})
	forecast.MinRank, forecast.MinRankFraction = shedThreshold(offeredByRank(loads), forecast.Capacity)
	for _, load := range loads {
		forecast.add(load)
	}
	return forecast
}

// capacityWithout returns the capacity of the sites that are not lost, and the site that limits it.
func capacityWithout(lost []Site, sites []SiteCapacity, load float64) (capacity float64, limitingSite Site) {
	var remaining []availableCapacity
	displacedServers := 0.0
	for _, site := range sites {
		servers := float64(site.Servers)
		if slices.Contains(lost, site.Site) {
			displacedServers += servers
		} else {
			remaining = append(remaining, availableCapacity{site: site.Site, servers: servers, capacity: site.Capacity})
		}
	}
	assignDisplaced(remaining, displacedServers, failoverWeights(sites, lost, load))
	return totalCapacity(remaining)
}

// withServers returns the sites, with one server for each site whose number of servers is unknown.
func withServers(sites []SiteCapacity) []SiteCapacity {
	sites = slices.Clone(sites)
	for i := range sites {
		sites[i].Servers = cmp.Or(sites[i].Servers, 1)
	}
	return sites
}

// offeredByRank sums the rates of each rank. The loads must be sorted by rank.
func offeredByRank(loads []RequestLoad) (offered []OfferedLoad) {
	for _, load := range loads {
		last := len(offered) - 1
		if last >= 0 && offered[last].Rank == load.Rank {
			offered[last].Rate += load.Rate
		} else {
			offered = append(offered, OfferedLoad{Rank: load.Rank, Rate: load.Rate})
		}
	}
	return offered
}

// add adds a load to the lists of the forecast.
func (f *Forecast) add(load RequestLoad) {
	shedRate := f.shedRate(load)
	name := load.Method
	if load.Tenant != "" {
		name += ", " + load.Tenant
		f.ByTenant = addShed(f.ByTenant, load.Tenant, load.Rate, shedRate)
	}
	f.ByMethodAndTenant = addShed(f.ByMethodAndTenant, name, load.Rate, shedRate)
	f.ByMethod = addShed(f.ByMethod, load.Method, load.Rate, shedRate)
}

func (f *Forecast) shedRate(load RequestLoad) float64 {
	switch {
	case load.Rank < f.MinRank:
		return load.Rate
	case load.Rank == f.MinRank:
		return load.Rate * (1 - f.MinRankFraction)
	default:
		return 0
	}
}

// addShed adds rates to the entry of a name, which it creates if necessary.
func addShed(list []ShedLoad, name string, offeredRate, shedRate float64) []ShedLoad {
	i := slices.IndexFunc(list, func(entry ShedLoad) bool { return entry.Name == name })
	if i < 0 {
		i = len(list)
		list = append(list, ShedLoad{Name: name})
	}
	list[i].OfferedRate += offeredRate
	list[i].ShedRate += shedRate
	return list
}

// DistributeLoads distributes the plan's expected loads over the tenants and ranks them. Loads without a tenant are divided among
// all tenants by their shares. methodWeights are the priority weights of methods relative to the highest; the weight of a tenant
// over its share is multiplied by overShareWeight.
func DistributeLoads(loads []ExpectedLoad, methodWeights, tenantShares map[string]float64, overShareWeight float64) (requests []RequestLoad) {
	tenantRates, totalRate := ratesByTenant(loads, tenantShares)
	rankOf := func(method, tenant string) Rank {
		weight := methodWeights[method]
		share, known := tenantShares[tenant]
		isOverShare := known && tenantRates[tenant] > overShareRatio*share*totalRate
		if isOverShare {
			weight *= overShareWeight
		}
		return RankOf(weight)
	}
	tenants := make([]string, 0, len(tenantShares))
	for tenant := range tenantShares {
		tenants = append(tenants, tenant)
	}
	slices.Sort(tenants)
	for _, load := range loads {
		if load.Tenant != "" || len(tenantShares) == 0 {
			requests = append(requests, RequestLoad{Method: load.Method, Tenant: load.Tenant, Rank: rankOf(load.Method, load.Tenant), Rate: load.Rate})
			continue
		}
		for _, tenant := range tenants {
			rate := load.Rate * tenantShares[tenant]
			requests = append(requests, RequestLoad{Method: load.Method, Tenant: tenant, Rank: rankOf(load.Method, tenant), Rate: rate})
		}
	}
	return requests
}

// ratesByTenant returns the expected rate of each tenant and the total rate.
func ratesByTenant(loads []ExpectedLoad, tenantShares map[string]float64) (rates map[string]float64, total float64) {
	rates = map[string]float64{}
	for _, load := range loads {
		total += load.Rate
		if load.Tenant != "" {
			rates[load.Tenant] += load.Rate
			continue
		}
		for tenant, share := range tenantShares {
			rates[tenant] += load.Rate * share
		}
	}
	return rates, total
}
