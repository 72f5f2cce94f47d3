package sitefailover

import (
	"maps"
	"slices"
)

const (
	// minFailoverWeight is the lowest weight relative to the highest: each site gets some of the keys, so that its measured
	// capacity remains current.
	minFailoverWeight = 0.05
	// evenFailoverWeight is the threshold for the lowest weight above which the keys are distributed evenly: a smaller difference
	// does not justify moving keys.
	evenFailoverWeight = 0.8
	// minDivisor prevents a division by zero.
	minDivisor = 1e-9
)

// SiteCapacity is the capacity of a site for the computation of failover weights.
type SiteCapacity struct {
	Site             Site
	Servers          int
	Capacity         float64 // answers per second
	PreferredTargets []Site
}

// failoverWeights returns weights by which the keys of lost sites are distributed to the servers of the others, so that the other
// sites reach their capacity at the same load. If the last lost site has preferred targets, these first get as many keys as they
// have free capacity for at the given load. The weights are per server and the highest is 1; nil distributes the keys evenly.
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
		load = remainingCapacity // a higher load cannot be served
	}
	if totalServers == 0 || load <= 0 {
		return nil
	}
	freeCapacity := map[Site]float64{}
	for _, site := range sites {
		if !slices.Contains(lost, site.Site) {
			freeCapacity[site.Site] = max(0, site.Capacity-load*float64(site.Servers)/totalServers)
		}
	}
	assigned := distributeLoad(load*lostServers/totalServers, freeCapacity, preferred)
	return normalizedWeights(sites, freeCapacity, assigned)
}

// normalizedWeights returns the load per server that is assigned to each site in freeCapacity, relative to the highest; nil if the
// distribution is nearly even.
func normalizedWeights(sites []SiteCapacity, freeCapacity, assigned map[Site]float64) []SiteShare {
	var weights []SiteShare
	highest := 0.0
	for _, site := range sites {
		_, remains := freeCapacity[site.Site]
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

// distributeLoad assigns a load to sites: first to the preferred ones, in order, up to their free capacity, and the rest in
// proportion to the remaining free capacity. The capacities are summed in the order of the sites' names: the last digit of a
// floating-point sum depends on the order, and every leader must compute the same weights.
func distributeLoad(load float64, freeCapacity map[Site]float64, preferred []Site) map[Site]float64 {
	assigned := map[Site]float64{}
	remaining := maps.Clone(freeCapacity)
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
