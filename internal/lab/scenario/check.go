package scenario

import (
	"fmt"
	"slices"
	"strings"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// Effects maps the effect of a method in a scenario to its name in the routers' settings.
var Effects = map[string]string{"retryable": "free", "deduplicated": "guarded", "non-retryable": "single_shot"}

// LoadReportFields maps the name of a load report field in a scenario to its name on the wire.
var LoadReportFields = map[string]string{"latency": "avg_ms", "queue": "waiting", "in_flight": "active", "busy": "cpu",
	"errors": "err_rps", "hits": "x0"}

// faultKind describes a kind of fault: its target and the fields that it requires.
type faultKind struct {
	target        string // servers, routers, links, sites, origin, discovery, policy or clients
	requiredField string // empty if no field beside duration is required
	hasDuration   bool   // the field "for" must be set
}

// FaultKinds maps the name of each kind of fault, as a scenario writes it, to its description.
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
	"duplicate":        {"servers", "share", true},
	"stale_reports":    {"servers", "", true},
	"bad_reports":      {"servers", "", true},
	"origin_slow":      {"origin", "factor", true},
	"origin_stop":      {"origin", "", true},
	"origin_duplicate": {"origin", "share", true},
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

// checker collects the validation errors of one scenario.
type checker struct {
	lines tomlfile.Lines
	errs  []error
}

// require records an error for the field unless ok is true.
func (c *checker) require(ok bool, field, problem, remedy string) {
	if !ok {
		c.errs = append(c.errs, &configerror.Error{Line: c.lines.Line(field), Field: field, Problem: problem, Remedy: remedy})
	}
}

func (c *checker) positive(field string, x float64) {
	c.require(x > 0, field, fmt.Sprintf("%v is not above zero", x), "write a number above zero")
}

func (c *checker) fraction(field string, x float64) {
	c.require(x >= 0 && x <= 1, field, fmt.Sprintf("%v is not between 0 and 1", x), "write a number from 0 to 1")
}

func (c *checker) oneOf(field, x string, allowed ...string) {
	c.require(slices.Contains(allowed, x), field, fmt.Sprintf("%q is not known", x), "write one of "+strings.Join(allowed, ", "))
}

// check returns all validation errors of a scenario and fills in defaults that depend on other fields.
func check(s *Scenario, lines tomlfile.Lines) []error {
	c := &checker{lines: lines}
	c.require(s.Title != "", "title", "is missing", "name the scenario in a few words")
	c.positive("length", float64(s.Length))
	c.require(s.Length <= span(10*60e9), "length", "is longer than ten minutes", "split the scenario")
	c.require(len(s.Sites) > 0, "sites", "is empty", "name at least one site")
	c.oneOf("service.mode", s.Service.Mode, "aside", "through")
	c.positive("service.max_write_outs", float64(s.Service.MaxAttempts))
	c.positive("service.connect_timeout", float64(s.Service.ConnectTimeout))
	c.fraction("service.over_share_worth", s.Service.OverShareValue)
	c.require(len(s.Methods) > 0, "method", "is missing", "add a [[method]] with name, share and deadline")
	names := map[string]bool{}
	for i := range s.Methods {
		c.method(fmt.Sprintf("method[%d].", i), &s.Methods[i], names)
	}
	for i, t := range s.Tenants {
		f := fmt.Sprintf("tenant[%d].", i)
		c.require(t.Name != "" && !strings.ContainsAny(t.Name, ",= \t"), f+"name", "is empty or contains a comma, = or whitespace",
			"give it a plain name")
		c.fraction(f+"share", t.Share)
		if t.Usage == 0 {
			s.Tenants[i].Usage = 1
		}
	}
	c.routers(s)
	c.servers(s)
	c.positive("origin.cores", float64(s.Origin.Cores))
	c.positive("origin.work", float64(s.Origin.Work))
	c.oneOf("clients.protocol", s.Clients.Protocol, RESP2, GRPC, Mixed)
	c.positive("routers.kill_after", float64(s.Routers.KillAfter))
	c.fraction("clients.honour_hints", s.Clients.HonourHintsShare)
	c.fraction("clients.leave", s.Clients.AbandonShare)
	c.require(s.Clients.Patience > 0 && s.Clients.Patience <= 1, "clients.patience", "is not above 0 and at most 1",
		"write a number above 0, up to 1")
	c.require(s.Clients.Pipeline >= 1 && s.Clients.Pipeline <= 256, "clients.pipeline", "is not from 1 to 256", "choose a number in that range")
	c.load(s)
	for i := range s.Faults {
		c.fault(s, i)
	}
	c.fraction("expect.service", s.Expect.Service)
	return c.errs
}

func (c *checker) routers(s *Scenario) {
	c.require(s.Routers.Count >= 1 && s.Routers.Count <= 64, "routers.count", "is not from 1 to 64", "choose a number in that range")
	c.require(s.Routers.MemoryMB >= 16, "routers.memory_mb", "is below 16", "give each router at least 16 MB")
	c.require(s.Routers.Descriptors >= 80, "routers.descriptors", "is below 80", "give each router at least 80")
	c.oneOf("routers.policy", s.Routers.Policy, "", "serve", "refuse")
	c.require(s.Routers.Policy == "" || s.Routers.Fleet && s.Routers.Count >= 3, "routers.policy", "requires at least three routers that form a fleet", "set fleet = true and count to at least 3")
	c.require(s.Routers.SiteLossPlan == "" || s.Routers.Policy != "", "routers.plan", "requires a policy", "set policy under [routers]")
	c.positive("routers.cores", float64(s.Routers.Cores))
	c.require(s.Routers.Probe >= 100e3 && s.Routers.Probe <= 10e6, "routers.probe", "is not from 100ms to 10s", "choose a duration in that range")
}

func (c *checker) servers(s *Scenario) {
	c.require(s.Servers.Count >= 1 && s.Servers.Count <= 200, "servers.count", "is not from 1 to 200", "choose a number in that range")
	c.positive("servers.cores", float64(s.Servers.Cores))
	c.positive("servers.keys", float64(s.Servers.Keys))
	c.positive("servers.connections", float64(s.Servers.Connections))
	c.fraction("servers.filled", s.Servers.FilledShare)
	c.require(s.Servers.ColdShare > 0 && s.Servers.ColdShare <= 1, "servers.cold_share", "is not above 0 and at most 1",
		"write a number above 0, up to 1")
	for i, name := range s.Servers.ReportFields {
		c.require(LoadReportFields[name] != "", fmt.Sprintf("servers.reports[%d]", i), fmt.Sprintf("%q is not known", name),
			"write latency, queue, in_flight, busy, errors or hits")
	}
}

func (c *checker) method(f string, m *Method, names map[string]bool) {
	c.require(m.Name != "" && !strings.ContainsAny(m.Name, ",= \t"), f+"name", "is empty or contains a comma, = or whitespace",
		"give it a plain name")
	c.require(!names[m.Name], f+"name", "is used twice", "rename one of them")
	names[m.Name] = true
	c.positive(f+"share", m.Share)
	c.oneOf(f+"effect", m.Effect, "retryable", "deduplicated", "non-retryable")
	if m.Effect == "deduplicated" {
		c.oneOf(f+"group", m.Group, "all", "zone", "cell")
		c.positive(f+"window", float64(m.Window))
	}
	c.require(m.Effect == "retryable" || m.Write, f+"write", "is false, but the effect is "+m.Effect,
		"set write = true: only writes have an effect")
	if m.WorkDistribution == "" {
		m.WorkDistribution = "exp"
	}
	c.oneOf(f+"spread", m.WorkDistribution, "none", "exp")
	c.positive(f+"work", float64(m.Work))
	c.positive(f+"latency_budget", float64(m.LatencyBudget))
	c.require(m.Deadline >= m.LatencyBudget, f+"deadline", "is shorter than the latency budget", "make it at least as long")
	c.positive(f+"criticality", m.Criticality)
	c.fraction(f+"late_share", m.LateShare)
}

func (c *checker) load(s *Scenario) {
	c.positive("load.rate", s.Load.Rate)
	c.oneOf("load.arrivals", s.Load.Arrivals, "poisson", "even")
	c.positive("load.keys", float64(s.Load.Keys))
	c.require(s.Load.Zipf >= 0 && s.Load.Zipf <= 3, "load.zipf", "is not from 0 to 3", "choose a number in that range")
	c.require(s.Load.ValueBytes >= 32 && s.Load.MaxValueBytes <= 64<<10 && s.Load.ValueBytes <= s.Load.MaxValueBytes,
		"load.value_bytes", "is below 32 or above value_most, or value_most is above 65536", "use sizes from 32 to 65536")
	for i, x := range s.Load.Steps {
		c.require(i == 0 || x.At > s.Load.Steps[i-1].At, fmt.Sprintf("load.steps[%d].at", i), "is not after the previous step",
			"order the steps by time")
		c.require(x.Rate >= 0, fmt.Sprintf("load.steps[%d].rate", i), "is negative", "use a rate of zero or more")
	}
	peak, field := s.Load.Rate, "load.rate"
	for _, x := range s.Load.Steps {
		if x.Rate > peak {
			peak, field = x.Rate, "load.steps"
		}
	}
	c.require(peak*float64(s.Length)/1e6 <= 5e6, field, "exceeds five million requests in total", "lower it, or the length")
	for i, x := range s.Load.SiteShares {
		c.require(slices.Contains(s.Sites, x.Site), fmt.Sprintf("load.site_shares[%d].site", i),
			fmt.Sprintf("%q is not one of the sites", x.Site), "write one of "+strings.Join(s.Sites, ", "))
	}
}

func (c *checker) fault(s *Scenario, i int) {
	f, x := fmt.Sprintf("fault[%d].", i), &s.Faults[i]
	x.Line = c.lines.Line(f + "kind")
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
	c.require(x.At+x.StartSpread < s.Length, f+"at", "is past the end of the run", "start it before the end of length, including spread")
	c.fraction(f+"chance", x.Chance)
	c.require(!kind.hasDuration || x.Duration > 0, f+"for", "is missing", "set its duration")
	c.fraction(f+"part", x.TargetShare)
	has := map[string]bool{"factor": x.Factor > 0, "share": x.Share > 0 && x.Share <= 1, "step": x.Step > 0,
		"batch": x.BatchShare > 0 && x.BatchShare <= 1, "count": x.Count > 0 && x.Count <= 2000, "site": x.Site != "", "": true}
	c.require(kind.target != "policy" || s.Routers.Policy != "", f+"kind", "changes the policy, but the routers have none", "set policy under [routers]")
	c.require(kind.target != "links" || s.Routers.Fleet, f+"kind", "affects links between routers, but they do not form a fleet",
		"set fleet = true under [routers]")
	for name, group := range map[string][]int{"from": x.From, "to": x.To} {
		for j, n := range group {
			c.require(n >= 0 && n < s.Routers.Count, fmt.Sprintf("%s%s[%d]", f, name, j), fmt.Sprintf("%d is not the index of a router", n),
				fmt.Sprintf("use indexes from 0 to %d", s.Routers.Count-1))
		}
	}
	c.require(kind.target != "sites" || len(s.Sites) > 1, f+"kind", "affects the only site", "name at least two sites")
	c.require(has[kind.requiredField], f+kind.requiredField, "is missing or out of range", "a fault of kind "+x.Kind+" requires it")
	for j, form := range x.ReplyForms {
		c.oneOf(fmt.Sprintf("%sanswers[%d]", f, j), form, "endless", "huge", "length", "nested", "noise")
	}
	count := map[string]int{"servers": s.Servers.Count, "policy": s.Servers.Count, "routers": s.Routers.Count}[kind.target]
	for j, n := range x.Targets {
		c.require(n >= 0 && n < count, fmt.Sprintf("%spick[%d]", f, j), fmt.Sprintf("%d is not an index into the %s", n, kind.target),
			fmt.Sprintf("use indexes from 0 to %d", count-1))
	}
	c.require(x.Site == "" || slices.Contains(s.Sites, x.Site), f+"site", fmt.Sprintf("%q is not one of the sites", x.Site),
		"write one of "+strings.Join(s.Sites, ", "))
}

// Target returns what a kind of fault affects: servers, routers, links (between routers), policy, sites, origin, discovery
// or clients.
func (k faultKind) Target() string { return k.target }
