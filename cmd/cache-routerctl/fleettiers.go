package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
)

// viewsAgree reports whether two routers agree on everything that both track: the routers of a common site, the sites of a common
// region, and the regions. In a flat fleet both track all routers.
func viewsAgree(a, b routerReply) bool {
	if a.Tiers == nil || b.Tiers == nil {
		return a.Tiers == b.Tiers && a.View.Digest == b.View.Digest
	}
	sameRegion := a.Tiers.Region == b.Tiers.Region
	return a.Tiers.RegionsDigest == b.Tiers.RegionsDigest &&
		(!sameRegion || a.Tiers.SitesDigest == b.Tiers.SitesDigest) &&
		(differentSites(a.Tiers, b.Tiers) || a.View.Digest == b.View.Digest)
}

// differentSites reports whether two routers of a tiered fleet are in different sites.
func differentSites(a, b *hierarchy.Status) bool {
	return a != nil && b != nil && (a.Region != b.Region || a.Site != b.Site)
}

// printTiers prints one line for each site and region that a router has a summary of. It prints nothing for a flat fleet.
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
			fmt.Fprintf(t, "%s %s\t%v\t%s\t%d of %d\t%d\t%d-%d\t%s ago\n", x.kind, g.Name, g.State, formatSiteCount(g), g.Alive, g.Total, g.Accepting, g.MinRevision, g.MaxRevision,
				formatDuration(clock.Time(g.Age)))
		}
	}
	return t.Flush()
}

func formatSiteCount(g hierarchy.GroupStatus) string {
	if g.SiteCount == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", g.SiteCount-g.LostSites, g.SiteCount)
}

// tierChanges returns a line for each difference in the summaries of sites and regions.
func tierChanges(previous, current *hierarchy.Status) (lines []string) {
	if current == nil {
		return nil
	}
	if previous == nil {
		previous = &hierarchy.Status{}
	}
	lines = append(groupChanges("site", previous.Sites, current.Sites), groupChanges("region", previous.Regions, current.Regions)...)
	if previous.RepresentsSite != current.RepresentsSite || previous.RepresentsRegion != current.RepresentsRegion {
		lines = append(lines, fmt.Sprintf("represents its site: %v, its region: %v", current.RepresentsSite, current.RepresentsRegion))
	}
	return lines
}

func groupChanges(kind string, previous, current []hierarchy.GroupStatus) (lines []string) {
	before := map[string]hierarchy.GroupStatus{}
	for _, g := range previous {
		before[g.Name] = g
	}
	for _, g := range current {
		if b, known := before[g.Name]; !known || b.State != g.State || b.Counts != g.Counts || b.LostSites != g.LostSites {
			lines = append(lines, fmt.Sprintf("%s %s: %v, %d of %d alive, %d take clients", kind, g.Name, g.State, g.Alive, g.Total, g.Accepting))
		}
	}
	return lines
}
