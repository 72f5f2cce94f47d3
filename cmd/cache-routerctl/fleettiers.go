package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
)

// sameViews tells whether two routers hold the same, as far as both know it: the routers of a site, the sites of a region, the
// regions of a fleet. In a flat fleet that is everything.
func sameViews(a, b answer) bool {
	if a.Tiers == nil || b.Tiers == nil {
		return a.Tiers == b.Tiers && a.View.Digest == b.View.Digest
	}
	near := a.Tiers.Region == b.Tiers.Region
	return a.Tiers.RegionsDigest == b.Tiers.RegionsDigest &&
		(!near || a.Tiers.SitesDigest == b.Tiers.SitesDigest) &&
		(otherSite(a.Tiers, b.Tiers) || a.View.Digest == b.View.Digest)
}

// otherSite tells whether two routers of a tiered fleet are of different sites.
func otherSite(a, b *hierarchy.Status) bool {
	return a != nil && b != nil && (a.Region != b.Region || a.Site != b.Site)
}

// printTiers shows what a router knows of other sites and regions, a line each; nothing for a flat fleet.
func printTiers(out io.Writer, s *hierarchy.Status) error {
	if s == nil {
		return nil
	}
	role := "represents nobody"
	switch {
	case s.RepresentsRegion:
		role = "represents its site and its region"
	case s.RepresentsSite:
		role = "represents its site"
	}
	settled := "not settled"
	if s.Settled {
		settled = "settled"
	}
	fmt.Fprintf(out, "\nsite %s of region %s, %s; tiers %s, newest policy %d\n", s.Site, s.Region, role, settled, s.NewestRevision)
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "summary\tstate\tsites\talive\tclients\tpolicy\theard")
	for _, x := range []struct {
		kind   string
		groups []hierarchy.GroupStatus
	}{{"site", s.Sites}, {"region", s.Regions}} {
		for _, g := range x.groups {
			fmt.Fprintf(t, "%s %s\t%v\t%s\t%d of %d\t%d\t%d-%d\t%s ago\n", x.kind, g.Name, g.State, sitesOf(g), g.Alive, g.Total, g.Accepting, g.MinRevision, g.MaxRevision,
				spanOf(clock.Time(g.Age)))
		}
	}
	return t.Flush()
}

func sitesOf(g hierarchy.GroupStatus) string {
	if g.SiteCount == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", g.SiteCount-g.LostSites, g.SiteCount)
}

// tierChanges are the lines of what is shown of sites and regions otherwise than before.
func tierChanges(was, now *hierarchy.Status) (lines []string) {
	if now == nil {
		return nil
	}
	if was == nil {
		was = &hierarchy.Status{}
	}
	lines = append(groupChanges("site", was.Sites, now.Sites), groupChanges("region", was.Regions, now.Regions)...)
	if was.RepresentsSite != now.RepresentsSite || was.RepresentsRegion != now.RepresentsRegion {
		lines = append(lines, fmt.Sprintf("represents its site: %v, its region: %v", now.RepresentsSite, now.RepresentsRegion))
	}
	return lines
}

func groupChanges(kind string, was, now []hierarchy.GroupStatus) (lines []string) {
	before := map[string]hierarchy.GroupStatus{}
	for _, g := range was {
		before[g.Name] = g
	}
	for _, g := range now {
		if b, known := before[g.Name]; !known || b.State != g.State || b.Counts != g.Counts || b.LostSites != g.LostSites {
			lines = append(lines, fmt.Sprintf("%s %s: %v, %d of %d alive, %d take clients", kind, g.Name, g.State, g.Alive, g.Total, g.Accepting))
		}
	}
	return lines
}
