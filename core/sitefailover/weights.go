package sitefailover

import (
	"maps"
	"slices"
)

const (
	// minFailoverWeight is the least weight relative to the highest: each site gets some of the keys, so that its measured
	// capacity stays current.
	minFailoverWeight = 0.05
	// evenFailoverWeight is the lowest weight from which on the keys are spread evenly instead: a smaller difference does not
	// justify moving keys.
	evenFailoverWeight = 0.8
	// minDivisor avoids a division by zero.
	minDivisor = 1e-9
)

// SiteCapacity is the capacity of a site for the computation of failover weights.
type SiteCapacity struct {
	Site             Site
	Servers          int
	Capacity         float64 // answers per second
	PreferredTargets []Site
}

// failoverWeights returns weights by which the keys of lost sites go to the servers of the others, so that these reach their
// capacity at the same load. If the last lost site has preferred targets, they get the keys that they have capacity for at the
// given load first. The weights are per server, the highest is 1; nil spreads the keys evenly.
func failoverWeights(sites []SiteCapacity, lost []Site, load float64) []SiteShare {
	totalServers, lostServers, remainingCapacity := 0.0, 0.0, 0.0
	var preferred []Site
	for _, site := range sites {
		totalServers += float64(site.Servers)
		if slices.Contains(lost, site.Site) {
			lostServers += float64(site.Servers)
		} else {
			remainingCapacity += site.Capacity
		}
		isLastLost := len(lost) > 0 && site.Site == lost[len(lost)-1]
		if isLastLost {
			preferred = site.PreferredTargets
		}
	}
	if len(preferred) == 0 || load > remainingCapacity {
		load = remainingCapacity // no site has free capacity beyond it
	}
	if totalServers == 0 || load <= 0 {
		return nil
	}
	free := map[Site]float64{}
	for _, site := range sites {
		if !slices.Contains(lost, site.Site) {
			free[site.Site] = max(0, site.Capacity-load*float64(site.Servers)/totalServers)
		}
	}
	assigned := distributeLoad(load*lostServers/totalServers, free, preferred)
	return normalizedWeights(sites, free, assigned)
}

// normalizedWeights returns the load assigned to each site in free per server, relative to the highest; nil if it is nearly even.
func normalizedWeights(sites []SiteCapacity, free, assigned map[Site]float64) []SiteShare {
	var weights []SiteShare
	highest := 0.0
	for _, site := range sites {
		_, remains := free[site.Site]
		if !remains || site.Servers <= 0 {
			continue
		}
		perServer := assigned[site.Site] / float64(site.Servers)
		weights = append(weights, SiteShare{Site: site.Site, Fraction: perServer})
		highest = max(highest, perServer)
	}
	lowest := 1.0
	for i := range weights {
		weights[i].Fraction = max(minFailoverWeight, weights[i].Fraction/max(minDivisor, highest))
		lowest = min(lowest, weights[i].Fraction)
	}
	if lowest > evenFailoverWeight || highest == 0 {
		return nil
	}
	return weights
}

// distributeLoad assigns a load to sites: to the preferred ones in order up to their free capacity, and the rest in proportion to
// the free capacity that is left. The capacities are summed in the order of the sites' names: the last digit of a sum depends on
// the order, and every leader must compute the same weights.
func distributeLoad(load float64, free map[Site]float64, preferred []Site) map[Site]float64 {
	assigned := map[Site]float64{}
	remaining := maps.Clone(free)
	for _, site := range preferred {
		assigned[site] = min(load, remaining[site])
		load -= assigned[site]
		remaining[site] -= assigned[site]
	}
	totalRemaining := 0.0
	for _, site := range slices.Sorted(maps.Keys(remaining)) {
		totalRemaining += remaining[site]
	}
	for site, capacity := range remaining {
		if totalRemaining > 0 {
			assigned[site] += load * capacity / totalRemaining
		}
	}
	return assigned
}
