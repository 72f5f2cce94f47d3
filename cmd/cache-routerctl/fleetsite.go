package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/config"
	"spurtrestle/internal/policy"
)

func siteCommand() *cobra.Command {
	c := &cobra.Command{Use: "site", Short: "See and steer what the fleet does about the loss of a whole site",
		Long: "Every command but plan asks by the operators' door of any router, which asks the keepers of the policy.\n" +
			"Exit codes: 0 done, 1 bad input, 2 wrong usage, 7 the router or the keepers cannot be reached. See docs/site.md.",
		Example: "  cache-routerctl fleet site status 10.1.2.3:8400", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(siteStatusCommand(), sitePlanCommand(),
		siteActionCommand("lost", "Say that a site is lost: its servers get nothing until it is said to be back"),
		siteActionCommand("back", "Have a site come back, step by step, without waiting for the evidence"),
		siteActionCommand("hold", "Have a lost or returning site stay as it is"),
		siteActionCommand("go", "Let a site that is held go on by the evidence"))
	return c
}

func siteActionCommand(action, short string) *cobra.Command {
	var audit auditInfo
	c := &cobra.Command{Use: action + " SITE DOOR", Short: short, Args: endpointAsLastArg(2),
		Example: "  cache-routerctl fleet site " + action + " coast 10.1.2.3:8400 --reason 'the carrier says so'",
		RunE: func(c *cobra.Command, args []string) error {
			if err := audit.validate(); err != nil {
				return err
			}
			reply, _, err := queryPolicy(c.Context(), args[1], audit.sign(policycommit.Request{Type: policycommit.RequestSiteAction, Name: args[0], SiteAction: sitefailover.Action(action)}))
			if err != nil {
				return err
			}
			return showSites(c.OutOrStdout(), reply)
		}}
	audit.flags(c, "who says so", "how that is known")
	return c
}

func siteStatusCommand() *cobra.Command {
	return policyQuery{use: "status DOOR", short: "Tell what each site counts as, what is refused, and what the next step waits for",
		example: "  cache-routerctl fleet site status 10.1.2.3:8400", requestType: policycommit.RequestSites, show: showSites}.command()
}

func showSites(w io.Writer, reply policycommit.Reply) error {
	if reply.Sites == nil {
		return errors.New("nothing is planned for sites: the policy in force has no [sites]; see docs/site.md")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tstage\tkeys\tservers\trouters\tbears\tby\twhy\twaits for\t")
	for _, site := range reply.Sites.Sites {
		source := "seen"
		if site.CapacityPlanned {
			source = "told"
		}
		held := ""
		if site.Paused {
			held = ", held"
		}
		fmt.Fprintf(t, "%s\t%s%s\t%.0f%%\t%.0f%%\t%d of %d\t%.0f/s (%s)\t%s\t%s\t%s\t\n", site.Name, site.DisplayStage(), held, 100*site.KeyShare, 100*site.Responding, site.ReportingRouters, site.Routers,
			site.Capacity, source, site.DecidedBy, site.Reason, site.WaitingFor)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	offeredRate := 0.0
	for _, orders := range reply.Sites.Offered {
		offeredRate += orders.Rate
	}
	orders := reply.Sites.Orders
	if orders.AdmissionTarget == 0 {
		_, err := fmt.Fprintf(w, "asked %.0f/s; nothing is refused by plan\n", offeredRate)
		return err
	}
	_, err := fmt.Fprintf(w, "asked %.0f/s, let in %.0f/s (%s binds, at %.0f/s); given up of what is let in: %.0f/s\nrefused: all below worth %.3f of the highest, and %.0f%% of what has just that\n",
		offeredRate, orders.AdmissionTarget, reply.Sites.LimitingSite, reply.Sites.Capacity, reply.Sites.FailedRate, float64(orders.MinRank)/1e6, 100*(1-orders.MinRankFraction))
	return err
}

func sitePlanCommand() *cobra.Command {
	var configFile, endpoint string
	var lose []string
	c := &cobra.Command{Use: "plan FILE", Short: "Tell beforehand what the loss of a site would be like", Args: cobra.ExactArgs(1),
		Long: "What would be refused, by method and tenant, if sites were lost: from what a policy's [sites] tells of loads and of what each\n" +
			"site bears, or, with --door, from what the routers measure now.",
		Example: "  cache-routerctl fleet site plan policy.toml --lose coast --config router.json",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readPolicy(args[0])
			if err != nil {
				return err
			}
			cfg, err := config.Load(func(name string) string { return map[string]string{"EDGE_CONFIG": configFile}[name] })
			if err != nil {
				return err
			}
			d, err := policy.Parse(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			plan, err := d.Plan(cfg.Settings, cfg.Sites)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			s, err := d.Settings(cfg.Settings)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			var status *sitefailover.Status
			if endpoint != "" {
				r, _, err := queryPolicy(c.Context(), endpoint, policycommit.Request{Type: policycommit.RequestSites})
				if err != nil {
					return err
				}
				if status = r.Sites; status == nil {
					return fmt.Errorf("%s: nothing is planned there, and so nothing is measured; tell bears and loads in %s", endpoint, args[0])
				}
			}
			return forecastSiteLoss(c.OutOrStdout(), plan, s, status, lose)
		}}
	c.Flags().StringVar(&configFile, "config", os.Getenv("EDGE_CONFIG"), "a router's configuration")
	c.Flags().StringVar(&endpoint, "door", "", "of a router, to take loads and what sites bear as measured")
	c.Flags().StringSliceVar(&lose, "lose", nil, "the sites that are lost")
	_ = c.MarkFlagRequired("lose") // fails only for an undefined flag
	return c
}

// lostSites returns the named sites. They must be in the plan, and at least one other site must remain.
func lostSites(plan sitefailover.Plan, lostNames []string) (lost []sitefailover.Site, err error) {
	for _, name := range lostNames {
		known := false
		for _, x := range plan.Sites {
			known = known || string(x.Name) == name
		}
		if !known {
			return nil, fmt.Errorf("--lose: %q is no site of the plan, which has %q", name, plan.SiteNames())
		}
		lost = append(lost, sitefailover.Site(name))
	}
	if len(lost) >= len(plan.Sites) {
		return nil, errors.New("--lose: no site is left; leave one out")
	}
	return lost, nil
}

// siteCapacities returns the capacity of each site of the plan: as configured, or as measured if it is not configured.
func siteCapacities(plan sitefailover.Plan, status *sitefailover.Status) ([]sitefailover.SiteCapacity, error) {
	capacities := make([]sitefailover.SiteCapacity, len(plan.Sites))
	for i, x := range plan.Sites {
		capacities[i] = sitefailover.SiteCapacity{Site: x.Name, Capacity: x.Capacity, PreferredTargets: x.PreferredTargets}
		for _, y := range siteStatuses(status) {
			if y.Name == x.Name && x.Capacity == 0 {
				capacities[i].Capacity = y.Capacity
			}
		}
		if status != nil {
			capacities[i].Capacity *= max(1, status.MeasuredCapacityRatio)
		}
		if capacities[i].Capacity == 0 {
			return nil, fmt.Errorf("sites.site: what %s bears is not told; write bears, or ask a router with --door", x.Name)
		}
	}
	return capacities, nil
}

// siteLoads returns the measured loads, or without a status those that the plan expects.
func siteLoads(plan sitefailover.Plan, s routing.Settings, status *sitefailover.Status) []sitefailover.RequestLoad {
	maxCriticality, weights, shares := 0.0, map[string]float64{}, map[string]float64{}
	for _, m := range s.Methods {
		maxCriticality = max(maxCriticality, m.Criticality)
	}
	for _, m := range s.Methods {
		weights[m.Name] = m.Criticality / max(maxCriticality, 1e-9)
	}
	for _, t := range s.Tenants {
		shares[string(t.Name)] = t.Share
	}
	loads := sitefailover.DistributeLoads(plan.ExpectedLoads, weights, shares, s.OverShareWeight)
	if status != nil {
		loads = measuredLoads(status, s.Methods, weights)
	}
	return loads
}

// forecastSiteLoss prints which requests would be rejected if the named sites were lost.
func forecastSiteLoss(w io.Writer, plan sitefailover.Plan, s routing.Settings, status *sitefailover.Status, lostNames []string) error {
	lost, err := lostSites(plan, lostNames)
	if err != nil {
		return err
	}
	capacities, err := siteCapacities(plan, status)
	if err != nil {
		return err
	}
	loads := siteLoads(plan, s, status)
	if len(loads) == 0 {
		return errors.New("sites.load: none is told; add a [[sites.load]] with method and rate for each method, or ask a router with --door")
	}
	forecast := sitefailover.ForecastLoss(capacities, loads, lost)
	summary := "the rest bears it"
	if forecast.OfferedRate > forecast.Capacity {
		summary = fmt.Sprintf("%.0f/s are refused", forecast.OfferedRate-forecast.Capacity)
	}
	fmt.Fprintf(w, "without %s: asked %.0f/s, borne %.0f/s (%s binds): %s\n", strings.Join(lostNames, ", "), forecast.OfferedRate, forecast.Capacity, forecast.LimitingSite, summary)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, x := range []struct {
		title string
		rows  []sitefailover.ShedLoad
	}{{"method", forecast.ByMethod}, {"tenant", forecast.ByTenant}} {
		if len(x.rows) > 0 {
			fmt.Fprintf(t, "%s\tasked\trefused\t\t\n", x.title)
		}
		for _, r := range x.rows {
			fmt.Fprintf(t, "%s\t%.0f/s\t%.0f/s\t%.1f%%\t\n", r.Name, r.OfferedRate, r.ShedRate, 100*r.ShedFraction())
		}
	}
	return t.Flush()
}

func siteStatuses(s *sitefailover.Status) []sitefailover.SiteStatus {
	if s == nil {
		return nil
	}
	return s.Sites
}

// measuredLoads returns the loads that the routers measured. Routers count requests by rank, so methods of equal weight cannot be
// distinguished and share one entry.
func measuredLoads(s *sitefailover.Status, methods []routing.MethodSettings, weights map[string]float64) (all []sitefailover.RequestLoad) {
	for _, offered := range s.Offered {
		var names []string
		for _, m := range methods {
			if sitefailover.RankOf(weights[m.Name]) == offered.Rank {
				names = append(names, m.Name)
			}
		}
		name := strings.Join(names, " and ")
		if name == "" {
			name = fmt.Sprintf("over share or asked again, worth %.3f", float64(offered.Rank)/1e6)
		}
		all = append(all, sitefailover.RequestLoad{Method: name, Rank: offered.Rank, Rate: offered.Rate})
	}
	return all
}
