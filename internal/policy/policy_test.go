package policy

import (
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

var own = routing.Settings{MaxAttempts: 3, MaxRetryAfter: 2 * clock.Second, OverShareWeight: 0.1, WarmUpShare: 0.3, WarmUpDuration: 6 * clock.Second, OverloadMultiple: 3, OverloadWindow: 2 * clock.Second,
	Methods: []routing.MethodSettings{{Name: "read", LatencyBudget: 200 * clock.Millisecond, Deadline: 700 * clock.Millisecond, Criticality: 2}, {Name: "hold", LatencyBudget: 300 * clock.Millisecond, Deadline: 900 * clock.Millisecond}},
	Tenants: []routing.TenantSettings{{Name: "grain", Share: 0.6}, {Name: "dairy", Share: 0.4}}}

func TestSettings_KeepsFieldsLeftOut(t *testing.T) {
	d, err := Parse("schema = 1\nmax_write_outs = 2\n[cold]\nspan = \"3s\"\n[[method]]\nname = \"hold\"\ncriticality = 7.0\n" +
		"[[tenant]]\nname = \"dairy\"\nshare = 0.2\n")
	if err != nil {
		t.Fatal(err)
	}
	s, err := d.Settings(own)
	if err != nil {
		t.Fatal(err)
	}
	if s.MaxAttempts != 2 || s.WarmUpDuration != 3*clock.Second || s.Methods[1].Criticality != 7 || s.Tenants[1].Share != 0.2 || s.WarmUpShare != 0.3 ||
		s.Methods[0] != own.Methods[0] || s.Tenants[0].Share != 0.6 {
		t.Errorf("settings: got %+v, want those of the document, and the router's own for all other fields", s)
	}
	if own.Methods[1].Criticality != 0 || own.Tenants[1].Share != 0.4 {
		t.Error("Settings changed the router's own settings")
	}
}

func TestSettings_ErrorNamesLineFieldAndRemedy(t *testing.T) {
	for text, want := range map[string]string{
		"":                                        "line 1: schema: is 0, and this build knows 1; write schema = 1",
		"schema = 1\ncolor = 2":                   "line 2: color: is no field here; see docs/policy.md for all fields",
		"schema = 1\nmax_write_outs = 0":          "line 2: max_write_outs: is 0; write 1 to 100",
		"schema = 1\nmax_hint = \"soon\"":         `line 2: max_hint: "soon" is no span`,
		"schema = 1\nout = [\"a\", \"a\"]":        `line 2: out: its entry 2, "a", is empty, too long or there twice`,
		"schema = 1\n[cold]\nshare = 2.0":         "line 3: cold.share: 2 is no part of one",
		"schema = 1\n[cold]\nfall_multiple = 0.0": "line 3: cold.fall_multiple: 0 is not above zero",
		"schema = 1\n[[method]]\nname = \"x\"":    `line 3: method[0].name: "x" is no method of the settings`,
		"schema = 1\n[[method]]\nname = \"read\"\neffect = \"free\"":       "line 4: method[0].effect: cannot change while routers serve",
		"schema = 1\n[[method]]\nname = \"read\"\nlatency_budget = \"2s\"": `line 4: method[0].latency_budget: "2s" is no span from 1ms to 700ms`,
		"schema = 1\n[[tenant]]\nname = \"grain\"\nshare = 0.9":            "line 4: tenant[0].share: all shares come to 1.3; let them come to 1 at most",
		"schema = 1\n[[tenant]]\nname = \"grain\"\nshare = nan":            "line 4: tenant[0].share: NaN is no part of one",
		"schema = 1\n#" + strings.Repeat("x", MaxDocumentBytes):            "it has 65548 bytes, and 65536 are the most",
	} {
		d, err := Parse(text)
		if err == nil {
			_, err = d.Settings(own)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: got %v, want %q", text, err, want)
		}
	}
}

func TestPlan_ErrorNamesLineFieldAndRemedy(t *testing.T) {
	const twoSites = "[[sites.site]]\nname = \"hill\"\n[[sites.site]]\nname = \"coast\"\nbears = 100.0\n"
	for text, want := range map[string]string{
		"[sites]\nsteps = [0.5, 0.2]\n" + twoSites:                                 "line 3: sites.steps: its entry 2, 0.2, is no part of one above the one before",
		"[sites]\nsteps = [0.5, 1.5]\n" + twoSites:                                 "line 3: sites.steps: its entry 2, 1.5, is no part of one above",
		"[sites]\nsteps = [0.5]\n" + twoSites:                                      "line 3: sites.steps: end at 0.5, and the site would never be whole again",
		"[sites]\nfetches = -1.0\n" + twoSites:                                     "line 3: sites.fetches: -1 is not above zero",
		"[sites]\nlost_after = \"9ms\"\n" + twoSites:                               `line 3: sites.lost_after: "9ms" is no span from 500ms to an hour`,
		"[sites]\nhold = \"2s\"\n":                                                 "line 2: sites.site: none is there, though other fields of [sites] are set",
		"[[sites.site]]\nname = \"hill\"\n":                                        "line 3: sites.site[0].name: is the only site, and its load could go nowhere",
		twoSites + "[[sites.site]]\nname = \"moon\"\n":                             `line 8: sites.site[2].name: "moon" is no site that the routers know; write one of ["hill" "coast"]`,
		twoSites + "[[sites.site]]\nname = \"hill\"\n":                             `line 8: sites.site[2].name: "hill" is empty or there twice`,
		"[[sites.site]]\nname = \"hill\"\nprefer = [\"hill\"]\n" + twoSites:        `line 4: sites.site[0].prefer: its entry 1, "hill", is the site itself`,
		twoSites + "[[sites.load]]\nmethod = \"x\"\nrate = 1.0\n":                  `line 8: sites.load[0].method: "x" is no method of the settings`,
		twoSites + "[[sites.load]]\nmethod = \"read\"\ntenant = \"x\"\nrate = 1.0": `line 9: sites.load[0].tenant: "x" is no tenant of the settings`,
		twoSites + "[[sites.load]]\nmethod = \"read\"\n":                           "line 7: sites.load[0].rate: 0 is not above zero",
		"[[sites.site]]\nname = \"hill\"\nstays = true\n":                          "line 4: sites.site.stays: is no field here",
	} {
		d, err := Parse("schema = 1\n" + text)
		if err == nil {
			_, err = d.Plan(own, []string{"hill", "coast"})
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
	d, err := Parse("schema = 1\n" + twoSites)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Plan(own, []string{"hill", "coast", "valley"}); err == nil || !strings.Contains(err.Error(), `"valley" is not planned for`) {
		t.Errorf("plan without one of the known sites: got %v, want an error about the site", err)
	}
	p, err := d.Plan(own, nil)
	if err != nil || !p.Enabled() || p.Sites[1].Capacity != 100 || p.RecoverAfter != 3*clock.Second || len(p.RecoverySteps) != 8 {
		t.Errorf("plan: got %+v, %v", p, err)
	}
}
