package main

import (
	"bytes"
	"strings"
	"testing"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
)

// Sites and regions are printed as summaries. Routers of different sites are compared only by what both track.
func TestTiers_PrintedAndCompared(t *testing.T) {
	at := func(region, site, digest string) routerReply {
		return routerReply{Endpoint: "d", View: &membership.Snapshot{ReportedBy: membership.Name(site), Settled: true, Digest: digest},
			Tiers: &hierarchy.Status{Region: region, Site: site, RepresentsSite: true, Settled: true, SitesDigest: region, RegionsDigest: "1",
				Sites:   []hierarchy.GroupStatus{{Name: site, Counts: hierarchy.Counts{Alive: 17, Accepting: 16, Total: 18}}},
				Regions: []hierarchy.GroupStatus{{Name: "south", State: hierarchy.Lost, SiteCount: 19, LostSites: 2, Counts: hierarchy.Counts{Alive: 300, Accepting: 299, Total: 342}}}}}
	}
	hill, coast, plain := at("north", "hill", "a"), at("north", "coast", "b"), at("south", "plain", "c")
	if err := checkSettled([]routerReply{hill, coast, plain}); err != nil {
		t.Error(err)
	}
	for what, change := range map[string]func(a *routerReply){
		"different digest of the sites":   func(a *routerReply) { a.Tiers.SitesDigest = "2" },
		"different digest of the regions": func(a *routerReply) { a.Tiers.RegionsDigest = "2" },
		"tiers not settled":               func(a *routerReply) { a.Tiers.Settled = false },
		"flat and tiered routers":         func(a *routerReply) { a.Tiers = nil },
		"different views of one site":     func(a *routerReply) { a.Tiers.Site = "hill" },
	} {
		other := at("north", "coast", "b")
		change(&other)
		if err := checkSettled([]routerReply{hill, other}); err == nil {
			t.Errorf("%s: got no error", what)
		}
	}
	var out bytes.Buffer
	if err := printTiers(&out, hill.Tiers); err != nil {
		t.Fatal(err)
	}
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"site hill of region north, represents its site; tiers settled", "site hill fresh - 17 of 18 16",
		"region south lost 17 of 19 300 of 342 299"} {
		if !strings.Contains(text, want) {
			t.Errorf("output does not contain %q: %s", want, text)
		}
	}
	if lines := tierChanges(hill.Tiers, at("north", "hill", "a").Tiers); len(lines) > 0 {
		t.Errorf("got changes %q between equal replies", lines)
	}
	if lines := tierChanges(nil, hill.Tiers); len(lines) != 3 || lines[1] != "region south: lost, 300 of 342 alive, 299 take clients" {
		t.Errorf("%q", lines)
	}
}
