package main

import (
	"bytes"
	"strings"
	"testing"

	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/policy"
)

// The forecast of a site loss uses configured and measured loads and capacities. If one is missing, the error names it.
func TestForecastSiteLoss(t *testing.T) {
	s := routing.Settings{OverShareWeight: 0.1, Tenants: []routing.TenantSettings{{Name: "grain", Share: 0.7}, {Name: "dairy", Share: 0.3}},
		Methods: []routing.MethodSettings{{Name: "alert", Criticality: 5}, {Name: "status", Criticality: 3}, {Name: "report", Criticality: 1}}}
	const sites = "schema = 1\n[[sites.site]]\nname = \"hill\"\nbears = 320.0\n[[sites.site]]\nname = \"coast\"\nbears = 320.0\n[[sites.site]]\nname = \"valley\"\n"
	const loads = "[[sites.load]]\nmethod = \"status\"\nrate = 540.0\n[[sites.load]]\nmethod = \"alert\"\nrate = 135.0\n[[sites.load]]\nmethod = \"report\"\nrate = 225.0\n"
	status := &sitefailover.Status{Offered: []sitefailover.OfferedLoad{{Rank: 1000001, Rate: 100}, {Rank: 600001, Rate: 300}, {Rank: 594002, Rate: 50}, {Rank: 200001, Rate: 100}},
		Sites: []sitefailover.SiteStatus{{Name: "valley", Capacity: 200}}}
	for _, x := range []struct {
		doc    string
		status *sitefailover.Status
		lose   string
		want   []string
	}{
		{sites + "bears = 320.0\n" + loads, nil, "coast", []string{"without coast: asked 900/s, borne 640/s (hill binds): 260/s are refused", "status 540/s 35/s 6.5%",
			"alert 135/s 0/s 0.0%", "report 225/s 225/s 100.0%", "grain 630/s 182/s 28.9%"}},
		{strings.Replace(sites, "name = \"coast\"\n", "name = \"coast\"\nprefer = [\"hill\"]\n", 1) + "bears = 320.0\n" + loads, nil, "coast",
			[]string{"asked 900/s, borne 640/s"}},
		{sites + "bears = 320.0\n" + loads, nil, "coast,hill", []string{"borne 320/s (valley binds)", "status 540/s 355/s 65.7%"}},
		{sites + loads, status, "coast", []string{"asked 550/s, borne 520/s (hill binds): 30/s are refused", "report 100/s 30/s 30.0%",
			"over share or asked again, worth 0.594 50/s 0/s 0.0%", "alert 100/s 0/s"}},
		{sites + loads, nil, "coast", []string{"what valley bears is not told; write bears, or ask a router with --door"}},
		{sites + "bears = 320.0\n", nil, "coast", []string{"sites.load: none is told"}},
		{sites + "bears = 320.0\n" + loads, nil, "moon", []string{`--lose: "moon" is no site of the plan, which has ["coast" "hill" "valley"]`}},
		{sites + "bears = 320.0\n" + loads, nil, "coast,hill,valley", []string{"no site is left"}},
	} {
		d, err := policy.Parse(x.doc)
		if err != nil {
			t.Fatal(err)
		}
		plan, err := d.Plan(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := forecastSiteLoss(&out, plan, s, x.status, strings.Split(x.lose, ",")); err != nil {
			out.WriteString(err.Error())
		}
		text := strings.Join(strings.Fields(out.String()), " ")
		for _, want := range x.want {
			if !strings.Contains(text, want) {
				t.Errorf("lost %s: output does not contain %q:\n%s", x.lose, want, out.String())
			}
		}
	}
}
