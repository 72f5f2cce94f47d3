package sitefailover

import "slices"

const (
	// silentFraction of the expected servers or fewer responding is a silent site: the last servers may be leaving discovery.
	silentFraction = 0.2
	// recoveryFraction of the expected servers is needed by a recovering site.
	recoveryFraction = 0.5
)

// evidence is what all routers together show about a site.
type evidence struct {
	known                  bool    // a reporting router expects servers there
	expectedServers        int     // the most that a router expects
	responding             float64 // fraction of the expected servers, the median over the observing sites
	listed                 float64 // fraction of the expected servers in discovery, the highest over the routers
	routers                int     // of the site
	reportingRouters       int     // of the site
	otherSites             int     // with a reporting router
	sitesFindingSilent     int     // other sites where most routers find the site silent
	sitesFindingHalfSilent int     // other sites where most routers find half of the servers or fewer responding
	routersReachingServers int     // reporting routers of the site to which its servers respond
	respondingLocally      float64 // fraction of the expected servers that responds at the site, mean over its routers
	answerRate             float64 // answers of the site's servers per second
}

// siteView sums the observations of one observing site.
type siteView struct {
	routers           int
	findingSilent     int // routers
	findingHalfSilent int // routers
	respondingSum     float64
}

func (v *siteView) add(responding float64) {
	v.routers++
	v.respondingSum += responding
	if responding <= silentFraction {
		v.findingSilent++
	}
	if responding <= recoveryFraction {
		v.findingHalfSilent++
	}
}

// collectEvidence evaluates the reports about one site. reporting are the routers with a recent report.
func collectEvidence(site Site, routers, reporting []RouterState) (e evidence) {
	for _, router := range routers {
		if router.Site != site {
			continue
		}
		e.routers++
		if router.Reporting {
			e.reportingRouters++
		}
	}
	views := map[Site]*siteView{}
	for _, router := range reporting {
		observation, ok := router.Report.observationOf(site)
		if !ok {
			continue
		}
		e.known = true
		e.expectedServers = max(e.expectedServers, observation.ExpectedServers)
		e.listed = max(e.listed, float64(observation.ListedServers)/float64(observation.ExpectedServers))
		e.answerRate += observation.AnswerRate
		if views[router.Site] == nil {
			views[router.Site] = &siteView{}
		}
		views[router.Site].add(observation.responding())
	}
	e.addViews(site, views)
	return e
}

// addViews evaluates the views of the observing sites, that of the site itself included.
func (e *evidence) addViews(site Site, views map[Site]*siteView) {
	var means []float64
	for observer, view := range views {
		mean := view.respondingSum / float64(view.routers)
		means = append(means, mean)
		if observer == site {
			e.routersReachingServers = view.routers - view.findingSilent
			e.respondingLocally = mean
			continue
		}
		e.otherSites++
		if 2*view.findingSilent > view.routers {
			e.sitesFindingSilent++
		}
		if 2*view.findingHalfSilent > view.routers {
			e.sitesFindingHalfSilent++
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		e.responding = means[(len(means)-1)/2]
	}
}

// isQuorum reports whether a number of the other sites is a majority of them, and at least two if there are two or more.
func (e evidence) isQuorum(sites int) bool {
	return e.otherSites > 0 && sites >= min(2, e.otherSites) && 2*sites > e.otherSites
}

// showsLoss reports whether the entire site is lost: a quorum of the other sites finds it silent, and no router of the site that
// reports disagrees. A site that is slow, partly failed or partitioned from one other site is not lost.
func (e evidence) showsLoss() bool {
	isUncontested := e.reportingRouters == 0 || e.routersReachingServers == 0
	return e.known && e.isQuorum(e.sitesFindingSilent) && isUncontested
}

// showsPartialLoss reports whether a quorum of the other sites finds half of the servers silent. A recovering site is lost again.
func (e evidence) showsPartialLoss() bool { return e.known && e.isQuorum(e.sitesFindingHalfSilent) }

// showsRecovery reports whether the site can take keys again: half of its routers report, and more than half of its servers are
// listed and, where a router of the site reports, respond to it.
func (e evidence) showsRecovery() bool {
	routersReport := 2*e.reportingRouters >= e.routers
	serversRespond := e.reportingRouters == 0 || e.respondingLocally > recoveryFraction
	return e.known && e.listed > recoveryFraction && routersReport && serversRespond
}
