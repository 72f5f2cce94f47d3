package scenario

import (
	"fmt"
	"slices"
	"strings"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// Effects maps each effect of a method, as a scenario names it, to its name in the settings on the wire.
var Effects = map[string]string{"retryable": "free", "deduplicated": "guarded", "non-retryable": "single_shot"}

// Figures maps each figure of a load report, as a scenario names it, to its name on the wire.
var LoadReportFields = map[string]string{"latency": "avg_ms", "queue": "waiting", "in_flight": "active", "busy": "cpu",
	"errors": "err_rps", "hits": "x0"}

// What a kind of fault strikes, and which fields it needs.
type faultKind struct {
	strikes string // servers, routers, links, sites, origin, discovery, clients
	needs   string // fields that must be set
	lasts   bool   // for must be set
}

// Kinds are the faults by name.
var FaultKinds = map[string]faultKind{
	"kill":             {"servers", "", false},
	"hang":             {"servers", "", true},
	"slow":             {"servers", "factor", true},
	"drain":            {"servers", "", true},
	"deploy":           {"servers", "batch", true},
	"ban":              {"servers", "", true},
	"refuse":           {"servers", "", true},
	"vanish":           {"servers", "", true},
	"zone_lost":        {"servers", "site", true},
	"zone_cut":         {"sites", "site", true},
	"site_lost":        {"sites", "site", true},
	"reset":            {"servers", "share", true},
	"spoil":            {"servers", "share", true},
	"surplus":          {"servers", "share", true},
	"stale_reports":    {"servers", "", true},
	"bad_reports":      {"servers", "", true},
	"origin_slow":      {"origin", "factor", true},
	"origin_stop":      {"origin", "", true},
	"discovery_silent": {"discovery", "", true},
	"discovery_late":   {"discovery", "step", true},
	"discovery_bad":    {"discovery", "", true},
	"discovery_move":   {"discovery", "", false},
	"clock_step":       {"discovery", "step", true},
	"router_kill":      {"routers", "", false},
	"router_restart":   {"routers", "", false},
	"router_empty":     {"routers", "", true},
	"router_replace":   {"routers", "", false},
	"router_reload":    {"routers", "", false},
	"router_stall":     {"routers", "", true},
	"router_signals":   {"routers", "count", true},
	"router_dud":       {"routers", "", false},
	"router_tmp_full":  {"routers", "", true},
	"policy":           {"policy", "", false},
	"link_drop":        {"links", "share", true},
	"link_cut":         {"links", "", true},
	"link_delay":       {"links", "step", true},
	"hot_key":          {"clients", "share", true},
	"burst":            {"clients", "factor", true},
	"leave":            {"clients", "share", true},
	"rubbish":          {"clients", "count", true},
	"flood":            {"clients", "count", true},
	"mute":             {"clients", "count", true},
	"crowd":            {"clients", "count", true},
}

type checker struct {
	at    tomlfile.Lines
	wrong []error
}

func (c *checker) want(ok bool, field, what, remedy string) {
	if !ok {
		c.wrong = append(c.wrong, &configerror.Error{Line: c.at.Line(field), Field: field, Problem: what, Remedy: remedy})
	}
}

func (c *checker) positive(field string, x float64) {
	c.want(x > 0, field, fmt.Sprintf("%v is not above zero", x), "write a number above zero")
}

func (c *checker) part(field string, x float64) {
	c.want(x >= 0 && x <= 1, field, fmt.Sprintf("%v is no part of one", x), "write a number from 0 to 1")
}

func (c *checker) oneOf(field, x string, of ...string) {
	c.want(slices.Contains(of, x), field, fmt.Sprintf("%q is not known", x), "write one of "+strings.Join(of, ", "))
}

// check tells all that is wrong with a scenario.
func check(s *Scenario, at tomlfile.Lines) []error {
	c := &checker{at: at}
	c.want(s.Title != "", "title", "is missing", "name the scenario in a few words")
	c.positive("length", float64(s.Length))
	c.want(s.Length <= span(10*60e9), "length", "is over ten minutes", "split the scenario")
	c.want(len(s.Sites) > 0, "sites", "is empty", "name one site at least")
	c.oneOf("service.mode", s.Service.Mode, "aside", "through")
	c.positive("service.max_write_outs", float64(s.Service.MaxAttempts))
	c.positive("service.connect_timeout", float64(s.Service.ConnectTimeout))
	c.part("service.over_share_worth", s.Service.OverShareValue)
	c.want(len(s.Methods) > 0, "method", "none is there", "add a [[method]] with name, share and deadline")
	names := map[string]bool{}
	for i := range s.Methods {
		c.method(fmt.Sprintf("method[%d].", i), &s.Methods[i], names, s.Service.Mode)
	}
	for i, t := range s.Tenants {
		f := fmt.Sprintf("tenant[%d].", i)
		c.want(t.Name != "" && !strings.ContainsAny(t.Name, ",= \t"), f+"name", "is empty or holds a comma, = or space",
			"give it a plain name")
		c.part(f+"share", t.Share)
		if t.Usage == 0 {
			s.Tenants[i].Usage = 1
		}
	}
	c.want(s.Routers.Count >= 1 && s.Routers.Count <= 64, "routers.count", "is not from 1 to 64", "write such a number")
	c.want(s.Routers.MemoryMB >= 16, "routers.memory_mb", "is below 16", "give each router 16 MB at least")
	c.want(s.Routers.Descriptors >= 80, "routers.descriptors", "is below 80", "give each router 80 at least")
	c.oneOf("routers.policy", s.Routers.Policy, "", "serve", "refuse")
	c.want(s.Routers.Policy == "" || s.Routers.Fleet && s.Routers.Count >= 3, "routers.policy", "needs three routers that keep a view of one another", "set fleet = true and count = 3 at least")
	c.want(s.Routers.SiteLossPlan == "" || s.Routers.Policy != "", "routers.plan", "needs a policy to stand in", "set policy under [routers]")
	c.positive("routers.cores", float64(s.Routers.Cores))
	c.want(s.Routers.Probe >= 100e3 && s.Routers.Probe <= 10e6, "routers.probe", "is not from 100ms to 10s", "write such a span")
	c.want(s.Servers.Count >= 1 && s.Servers.Count <= 200, "servers.count", "is not from 1 to 200", "write such a number")
	c.positive("servers.cores", float64(s.Servers.Cores))
	c.positive("servers.keys", float64(s.Servers.Keys))
	c.positive("servers.connections", float64(s.Servers.Connections))
	c.part("servers.filled", s.Servers.FilledShare)
	c.want(s.Servers.ColdShare > 0 && s.Servers.ColdShare <= 1, "servers.cold_share", "is no part of one above zero",
		"write a number above 0, up to 1")
	for i, name := range s.Servers.ReportFields {
		c.want(LoadReportFields[name] != "", fmt.Sprintf("servers.reports[%d]", i), fmt.Sprintf("%q is not known", name),
			"write latency, queue, in_flight, busy, errors or hits")
	}
	c.positive("origin.cores", float64(s.Origin.Cores))
	c.positive("origin.work", float64(s.Origin.Work))
	c.oneOf("clients.protocol", s.Clients.Protocol, RESP2, GRPC, Mixed)
	c.positive("routers.kill_after", float64(s.Routers.KillAfter))
	c.part("clients.honour_hints", s.Clients.HonourHintsShare)
	c.part("clients.leave", s.Clients.AbandonShare)
	c.want(s.Clients.Patience > 0 && s.Clients.Patience <= 1, "clients.patience", "is no part of one above zero",
		"write a number above 0, up to 1")
	c.want(s.Clients.Pipeline >= 1 && s.Clients.Pipeline <= 256, "clients.pipeline", "is not from 1 to 256", "write such a number")
	c.load(s)
	for i := range s.Faults {
		c.fault(s, i)
	}
	c.part("expect.service", s.Expect.Service)
	return c.wrong
}

func (c *checker) method(f string, m *Method, names map[string]bool, mode string) {
	c.want(m.Name != "" && !strings.ContainsAny(m.Name, ",= \t"), f+"name", "is empty or holds a comma, = or space",
		"give it a plain name")
	c.want(!names[m.Name], f+"name", "is there twice", "rename one of them")
	names[m.Name] = true
	c.positive(f+"share", m.Share)
	c.oneOf(f+"effect", m.Effect, "retryable", "deduplicated", "non-retryable")
	if m.Effect == "deduplicated" {
		c.oneOf(f+"group", m.Group, "all", "zone", "cell")
		c.positive(f+"window", float64(m.Window))
	}
	c.want(m.Effect == "retryable" || m.Write, f+"write", "is false though the effect is "+m.Effect,
		"set write = true: only writes have an effect")
	if m.WorkDistribution == "" {
		m.WorkDistribution = "exp"
	}
	c.oneOf(f+"spread", m.WorkDistribution, "none", "exp")
	c.positive(f+"work", float64(m.Work))
	c.positive(f+"latency_budget", float64(m.LatencyBudget))
	c.want(m.Deadline >= m.LatencyBudget, f+"deadline", "is shorter than the latency budget", "make it as long at least")
	c.positive(f+"criticality", m.Criticality)
	c.part(f+"late_share", m.LateShare)
}

func (c *checker) load(s *Scenario) {
	c.positive("load.rate", s.Load.Rate)
	c.oneOf("load.arrivals", s.Load.Arrivals, "poisson", "even")
	c.positive("load.keys", float64(s.Load.Keys))
	c.want(s.Load.Zipf >= 0 && s.Load.Zipf <= 3, "load.zipf", "is not from 0 to 3", "write such a number")
	c.want(s.Load.ValueBytes >= 32 && s.Load.MaxValueBytes <= 64<<10 && s.Load.ValueBytes <= s.Load.MaxValueBytes,
		"load.value_bytes", "is below 32 or over value_most, or that is over 65536", "write sizes from 32 to 65536")
	for i, x := range s.Load.Steps {
		c.want(i == 0 || x.At > s.Load.Steps[i-1].At, fmt.Sprintf("load.steps[%d].at", i), "is not after the one before",
			"order the steps by time")
		c.want(x.Rate >= 0, fmt.Sprintf("load.steps[%d].rate", i), "is below zero", "write a rate")
	}
	most, field := s.Load.Rate, "load.rate"
	for _, x := range s.Load.Steps {
		if x.Rate > most {
			most, field = x.Rate, "load.steps"
		}
	}
	c.want(most*float64(s.Length)/1e6 <= 5e6, field, "asks for over five million reqs", "lower it, or the length")
	for i, x := range s.Load.SiteShares {
		c.want(slices.Contains(s.Sites, x.Site), fmt.Sprintf("load.site_shares[%d].site", i),
			fmt.Sprintf("%q is no site", x.Site), "write one of "+strings.Join(s.Sites, ", "))
	}
}

func (c *checker) fault(s *Scenario, i int) {
	f, x := fmt.Sprintf("fault[%d].", i), &s.Faults[i]
	x.Line = c.at.Line(f + "kind")
	kind, known := FaultKinds[x.Kind]
	if !known {
		all := make([]string, 0, len(FaultKinds))
		for name := range FaultKinds {
			all = append(all, name)
		}
		slices.Sort(all)
		c.oneOf(f+"kind", x.Kind, all...)
		return
	}
	c.want(x.At+x.StartSpread < s.Length, f+"at", "is past the end", "let it begin before length is over, spread included")
	c.part(f+"chance", x.Chance)
	c.want(!kind.lasts || x.Duration > 0, f+"for", "is missing", "say how long it lasts")
	c.part(f+"part", x.TargetShare)
	has := map[string]bool{"factor": x.Factor > 0, "share": x.Share > 0 && x.Share <= 1, "step": x.Step > 0,
		"batch": x.BatchShare > 0 && x.BatchShare <= 1, "count": x.Count > 0 && x.Count <= 2000, "site": x.Site != "", "": true}
	c.want(kind.strikes != "policy" || s.Routers.Policy != "", f+"kind", "changes a policy that the routers do not have", "set policy under [routers]")
	c.want(kind.strikes != "links" || s.Routers.Fleet, f+"kind", "strikes what routers tell one another, and they tell nothing",
		"set fleet = true under [routers]")
	for name, group := range map[string][]int{"from": x.From, "to": x.To} {
		for j, n := range group {
			c.want(n >= 0 && n < s.Routers.Count, fmt.Sprintf("%s%s[%d]", f, name, j), fmt.Sprintf("%d is none of the routers", n),
				fmt.Sprintf("count from 0 to %d", s.Routers.Count-1))
		}
	}
	c.want(kind.strikes != "sites" || len(s.Sites) > 1, f+"kind", "cuts off the only site", "name two sites at least")
	c.want(has[kind.needs], f+kind.needs, "is missing or out of range", "a fault of kind "+x.Kind+" needs it")
	for j, form := range x.ReplyForms {
		c.oneOf(fmt.Sprintf("%sanswers[%d]", f, j), form, "endless", "huge", "length", "nested", "noise")
	}
	most := map[string]int{"servers": s.Servers.Count, "policy": s.Servers.Count, "routers": s.Routers.Count}[kind.strikes]
	for j, n := range x.Targets {
		c.want(n >= 0 && n < most, fmt.Sprintf("%spick[%d]", f, j), fmt.Sprintf("%d is none of the %s", n, kind.strikes),
			fmt.Sprintf("count from 0 to %d", most-1))
	}
	c.want(x.Site == "" || slices.Contains(s.Sites, x.Site), f+"site", fmt.Sprintf("%q is no site", x.Site),
		"write one of "+strings.Join(s.Sites, ", "))
}

// Strikes names what a kind of fault strikes: servers, routers, links (what routers tell one another), policy, sites, origin, discovery or clients.
func (k faultKind) Target() string { return k.strikes }
