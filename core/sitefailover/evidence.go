package sitefailover

import "slices"

const (
	// silentFraction is the fraction of responding servers up to which a site is silent. It is above 0 because the last servers
	// may still be listed by discovery.
	silentFraction = 0.2
	// recoveryFraction is the fraction of the expected servers, a half, that a recovering site must exceed.
	recoveryFraction = 0.5
)

// evidence is the combined information about a site from the reports of all routers.
type evidence struct {
	known                  bool    // a reporting router expects servers there
	expectedServers        int     // the highest number that a router expects
	responding             float64 // fraction of the expected servers, median over the observing sites
	listed                 float64 // fraction of the expected servers in discovery, maximum over the routers
	routers                int     // of the site
	reportingRouters       int     // of the site
	otherSites             int     // with a reporting router
	sitesFindingSilent     int     // other sites where most routers find the site silent
	sitesFindingHalfSilent int     // other sites where most routers find at most half of the servers responding
	routersReachingServers int     // reporting routers of the site to which its servers respond
	respondingLocally      float64 // fraction of the expected servers that respond to the site's own routers, mean over these
	answerRate             float64 // answers of the site's servers per second
}

// siteView aggregates the observations by the routers of one site.
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

// collectEvidence aggregates the reports about one site. reporting are the routers with a recent report.
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

// addViews aggregates the views of the observing sites, including that of the site itself.
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

// isQuorum reports whether a number of the other sites is a majority of them, and at least two unless there is only one.
func (e evidence) isQuorum(sites int) bool {
	return e.otherSites > 0 && sites >= min(2, e.otherSites) && 2*sites > e.otherSites
}

// showsLoss reports whether the entire site is lost: a quorum of the other sites finds it silent, and no reporting router of the
// site disagrees. A site that is slow, partly failed or partitioned from only one other site is not lost.
func (e evidence) showsLoss() bool {
	isUncontested := e.reportingRouters == 0 || e.routersReachingServers == 0
	return e.known && e.isQuorum(e.sitesFindingSilent) && isUncontested
}

// showsPartialLoss reports whether a quorum of the other sites finds half of the servers silent, by which a recovering site is
// lost again.
func (e evidence) showsPartialLoss() bool { return e.known && e.isQuorum(e.sitesFindingHalfSilent) }

// showsRecovery reports whether the site can serve keys again: half of its routers report, more than half of its servers are
// listed and, if any router of the site reports, more than half respond to its routers.
func (e evidence) showsRecovery() bool {
	routersReport := 2*e.reportingRouters >= e.routers
	serversRespond := e.reportingRouters == 0 || e.respondingLocally > recoveryFraction
	return e.known && e.listed > recoveryFraction && routersReport && serversRespond
}
