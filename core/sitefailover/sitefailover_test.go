package sitefailover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/tracetest"
)

const (
	evaluationInterval = 100 * clock.Millisecond
	routersPerSite     = 2
	serversPerSite     = 4
)

// link is the path from the routers of one site to the servers of another.
type link struct{ from, to Site }

// simulation is a fleet as the leader sees it. Each transition is applied immediately.
type simulation struct {
	now         clock.Time
	plan        Plan
	coordinator *Coordinator
	orders      Orders // in force at all routers
	decisions   map[Site]Decision
	index       uint64
	routersDown map[Site]bool // sites whose routers do not report
	responding  map[Site]float64
	unreachable map[link]bool // links over which the servers appear silent
	offered     []OfferedLoad // of each router
	capacity    float64       // answers per second of a complete site
	logDecision func(string, ...any)
	check       func(Orders, *Transition, []RouterState)
}

var sites = []Site{"a", "b", "c"}

func newSimulation() *simulation {
	s := &simulation{
		plan:        DefaultPlan(),
		coordinator: NewCoordinator(0),
		decisions:   map[Site]Decision{},
		routersDown: map[Site]bool{},
		responding:  map[Site]float64{},
		unreachable: map[link]bool{},
		offered:     []OfferedLoad{{1000001, 20}, {600001, 60}, {200001, 20}},
		capacity:    250,
		logDecision: func(string, ...any) {},
	}
	for _, site := range sites {
		s.plan.Sites = append(s.plan.Sites, SitePlan{Name: site, Capacity: s.capacity})
		s.responding[site] = 1
	}
	return s
}

// routers returns the state of all routers under the orders in force.
func (s *simulation) routers() (routers []RouterState) {
	admitted, answered, reporting := 0.0, 0.0, 0.0
	for _, site := range sites {
		if !s.routersDown[site] {
			reporting += routersPerSite
		}
		answered += s.capacity * s.responding[site] * s.decisions[site].keyShare(&s.plan)
	}
	for _, offered := range s.offered {
		admitted += offered.Rate * reporting
	}
	offeredRate := admitted
	if s.orders.AdmissionTarget > 0 {
		admitted = min(admitted, s.orders.AdmissionTarget)
	}
	failed := max(0, admitted-answered)
	for _, site := range sites {
		for i := range routersPerSite {
			router := RouterState{Name: fmt.Sprint(site, i), Site: site, Reporting: !s.routersDown[site]}
			if router.Reporting {
				router.Report = Report{
					Site:            site,
					Offered:         s.offered,
					AdmittedRate:    admitted / reporting,
					FailedRate:      failed / reporting,
					AdmittedWeight:  admitted / reporting,
					FailedWeight:    failed / reporting,
					AdmissionTarget: s.orders.AdmissionTarget,
					Observations:    s.observations(site, offeredRate, reporting),
				}
			}
			routers = append(routers, router)
		}
	}
	return routers
}

// observations returns what a router of a site observes of all sites.
func (s *simulation) observations(from Site, offeredRate, reporting float64) (observations []SiteObservation) {
	for _, site := range sites {
		responding := int(serversPerSite*s.responding[site] + 0.5)
		if s.unreachable[link{from, site}] {
			responding = 0
		}
		observations = append(observations, SiteObservation{
			Site:            site,
			ExpectedServers: serversPerSite,
			ListedServers:   serversPerSite,
			SilentServers:   serversPerSite - responding,
			AnswerRate:      min(s.capacity, offeredRate/3) * s.responding[site] / reporting,
		})
	}
	return observations
}

func (s *simulation) step() {
	routers := s.routers()
	orders, transition := s.coordinator.Evaluate(s.now, &s.plan, s.decisions, routers)
	if s.check != nil {
		s.check(orders, transition, routers)
	}
	s.orders = orders
	s.apply(transition)
	s.now += evaluationInterval
}

func (s *simulation) apply(transition *Transition) {
	if transition == nil || s.decisions[transition.Site].Index != transition.PreviousIndex {
		return
	}
	s.index++
	transition.Index = s.index
	s.decisions[transition.Site] = transition.Decision
	s.logDecision("%.1f %s: %s step %d repeated losses %d by %s: %s", float64(s.now)/1e6, transition.Site, transition.Stage, transition.Step+1,
		transition.RepeatedLosses, transition.DecidedBy, transition.Reason)
}

// isRecovered reports whether all sites are up and no requests are shed.
func (s *simulation) isRecovered() bool {
	for _, site := range sites {
		if s.decisions[site].Stage != Up {
			return false
		}
	}
	return s.coordinator.throttle.target == 0
}

// Each line of a script is a time in seconds and an event, followed by the decisions up to then and, for "look", the status.
func TestCoordinator_Traces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		s := newSimulation()
		return tracetest.Steps(script, func(line string, log func(string, ...any)) {
			s.logDecision = log
			words := strings.Fields(line)
			seconds := parseNumber(t, words[0])
			for s.now < clock.Time(seconds*1e6) {
				s.step()
			}
			s.event(t, words[1], words[2:], log)
		})
	})
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// event executes one event of a script.
func (s *simulation) event(t *testing.T, event string, arguments []string, log func(string, ...any)) {
	t.Helper()
	site := Site("")
	if len(arguments) > 0 {
		site = Site(arguments[0])
	}
	switch event {
	case "look":
		s.logStatus(log)
	case "down":
		s.routersDown[site], s.responding[site] = true, 0
	case "up":
		s.routersDown[site], s.responding[site] = false, 1
	case "servers":
		s.responding[site] = parseNumber(t, arguments[1])
	case "mute": // the routers of the site do not report
		s.routersDown[site] = arguments[1] == "on"
	case "blind": // the routers of one site cannot reach the servers of another
		s.unreachable[link{site, Site(arguments[1])}] = arguments[2] == "on"
	case "load":
		for i := range s.offered {
			s.offered[i].Rate *= parseNumber(t, arguments[0])
		}
	case "capacity":
		s.sitePlan(site).Capacity = parseNumber(t, arguments[1])
	case "prefer":
		plan := s.sitePlan(site)
		plan.PreferredTargets = append(plan.PreferredTargets, Site(arguments[1]))
	case "leader":
		s.coordinator = NewCoordinator(s.now)
	case "command":
		command := Command{Site: site, Action: Action(arguments[1]), Author: "ann", Reason: "told by phone"}
		transition, err := command.Transition(&s.plan, s.decisions)
		if err != nil {
			log("%v", err)
		}
		s.apply(transition)
	default:
		t.Fatalf("unknown event %q", event)
	}
}

func (s *simulation) sitePlan(site Site) *SitePlan {
	return &s.plan.Sites[slices.IndexFunc(s.plan.Sites, func(plan SitePlan) bool { return plan.Name == site })]
}

func (s *simulation) logStatus(log func(string, ...any)) {
	status := s.coordinator.Status()
	for _, site := range status.Sites {
		log("%s %s key share %.2f capacity %.0f %s", site.Name, site.DisplayStage(), site.KeyShare, site.Capacity, site.WaitingFor)
	}
	orders := status.Orders
	for _, weight := range orders.FailoverWeights {
		log("failover weight of %s: %.2f", weight.Site, weight.Fraction)
	}
	log("capacity %.0f (%s) target %.0f min rank %d fraction %.2f", status.Capacity, status.LimitingSite, orders.AdmissionTarget,
		orders.MinRank, orders.MinRankFraction)
}

// Under random faults every transition has its evidence, no recovery skips a step, and the admitted requests fit the target. Once
// all faults have ended, every site comes up and no requests are shed.
func TestCoordinator_RecoversFromRandomFaults(t *testing.T) {
	const faults = 40
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newSimulation()
		for i := range s.offered {
			s.offered[i].Rate *= 0.5 + 1.5*random.Float64()
		}
		s.check = func(orders Orders, transition *Transition, routers []RouterState) {
			s.checkAdmission(t, seed, orders, routers)
			if transition != nil {
				s.checkTransition(t, seed, transition)
			}
		}
		for range faults {
			s.injectFault(random)
			for range random.IntN(40) {
				s.step()
			}
		}
		s.endFaults()
		const longestRecovery = 30 * 60 * clock.Second // the waits double with each repeated loss
		for range int(longestRecovery / evaluationInterval) {
			s.step()
			if s.isRecovered() {
				break
			}
		}
		if !s.isRecovered() {
			t.Fatalf("seed %d: after all faults have ended: got decisions %v and target %.0f, want all sites up and target 0", seed, s.decisions, s.coordinator.throttle.target)
		}
	}
}

// checkAdmission fails the test if the orders admit more requests than the target.
func (s *simulation) checkAdmission(t *testing.T, seed uint64, orders Orders, routers []RouterState) {
	t.Helper()
	admitted := 0.0
	for _, offered := range sumOffered(routers) {
		switch {
		case offered.Rank > orders.MinRank:
			admitted += offered.Rate
		case offered.Rank == orders.MinRank:
			admitted += offered.Rate * orders.MinRankFraction
		}
	}
	if orders.AdmissionTarget > 0 && admitted > orders.AdmissionTarget+1e-6 {
		t.Fatalf("seed %d, %v: admitted: got %.1f, want at most %.1f", seed, s.now, admitted, orders.AdmissionTarget)
	}
}

// checkTransition fails the test if the simulated state does not justify the transition.
func (s *simulation) checkTransition(t *testing.T, seed uint64, transition *Transition) {
	t.Helper()
	site, previous := transition.Site, s.decisions[transition.Site]
	skipsStep := transition.Stage == Recovering && transition.Step != previous.Step+1
	endsEarly := transition.Stage == Up && previous.Step != len(s.plan.RecoverySteps)-1
	switch {
	case transition.Stage == Lost && previous.Stage == Up:
		silent := s.sitesFindingSilent(site)
		if silent < 2 && silent < len(sites)-1-s.otherSitesDown(site) {
			t.Fatalf("seed %d, %v: %s is lost: got %d sites that find it silent, want a majority", seed, s.now, site, silent)
		}
	case transition.Stage == Recovering && previous.Stage == Lost:
		if s.routersDown[site] || s.responding[site] < recoveryFraction {
			t.Fatalf("seed %d, %v: %s recovers: got routers down %v and %.2f of the servers responding, want a working site",
				seed, s.now, site, s.routersDown[site], s.responding[site])
		}
	case skipsStep, endsEarly:
		t.Fatalf("seed %d, %v: transition from step %d: got %v, want the next step", seed, s.now, previous.Step, transition.Decision)
	}
}

func (s *simulation) sitesFindingSilent(site Site) (count int) {
	for _, other := range sites {
		findsSilent := s.responding[site] <= silentFraction || s.unreachable[link{other, site}]
		if other != site && !s.routersDown[other] && findsSilent {
			count++
		}
	}
	return count
}

func (s *simulation) otherSitesDown(site Site) (count int) {
	for other, down := range s.routersDown {
		if down && other != site {
			count++
		}
	}
	return count
}

func (s *simulation) injectFault(random *rand.Rand) {
	site, other := sites[random.IntN(3)], sites[random.IntN(3)]
	switch random.IntN(6) {
	case 0:
		s.routersDown[site], s.responding[site] = true, 0
	case 1:
		s.routersDown[site], s.responding[site] = false, 1
	case 2:
		s.responding[site] = float64(random.IntN(5)) / 4
	case 3:
		s.unreachable[link{site, other}] = !s.unreachable[link{site, other}] && site != other
	case 4:
		s.routersDown[site] = !s.routersDown[site]
	case 5:
		s.coordinator = NewCoordinator(s.now)
	}
}

func (s *simulation) endFaults() {
	clear(s.routersDown)
	clear(s.unreachable)
	for _, site := range sites {
		s.responding[site] = 1
	}
	for i := range s.offered {
		s.offered[i].Rate = 30
	}
}

// Requests of a tenant over its share are shed first, regardless of their method.
func ExampleForecastLoss() {
	loads := []ExpectedLoad{
		{Method: "status", Rate: 420},
		{Method: "alert", Rate: 70},
		{Method: "report", Rate: 150},
		{Method: "report", Tenant: "dairy", Rate: 60},
	}
	methodWeights := map[string]float64{"status": 0.6, "alert": 1, "report": 0.2}
	tenantShares := map[string]float64{"grain": 0.8, "dairy": 0.2}
	requests := DistributeLoads(loads, methodWeights, tenantShares, 0.1)
	capacities := []SiteCapacity{
		{Site: "hill", Servers: 3, Capacity: 250},
		{Site: "coast", Servers: 3, Capacity: 250},
		{Site: "valley", Servers: 2, Capacity: 200},
	}
	forecast := ForecastLoss(capacities, requests, []Site{"coast"})
	fmt.Printf("offered %.0f, capacity %.0f, limited by %s\n", forecast.OfferedRate, forecast.Capacity, forecast.LimitingSite)
	for _, shed := range slices.Concat(forecast.ByMethod, forecast.ByTenant) {
		fmt.Printf("%s %.0f of %.0f\n", shed.Name, shed.ShedRate, shed.OfferedRate)
	}
	// Output:
	// offered 700, capacity 450, limited by hill
	// alert 14 of 70
	// status 84 of 420
	// report 152 of 210
	// grain 62 of 512
	// dairy 188 of 188
}

// Servers that discovery no longer lists remain expected for some minutes.
func ExampleServerCounts() {
	var counts ServerCounts
	for _, listing := range []struct {
		at     clock.Time
		listed int
	}{{0, 3}, {10e6, 4}, {20e6, 0}, {500e6, 2}, {700e6, 1}, {2000e6, 1}} {
		observations := counts.Record(listing.at, []SiteObservation{{Site: "a", ListedServers: listing.listed}})
		fmt.Println(listing.at/clock.Second, listing.listed, observations[0].ExpectedServers)
	}
	// Output:
	// 0 3 3
	// 10 4 4
	// 20 0 4
	// 500 2 4
	// 700 1 2
	// 2000 1 1
}
