package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/core/clock"
	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
)

func (*cli) fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "See which routers are there, as they see one another",
		Long: "Every command asks the operators' doors of one router or of several, by their addresses; those of several are compared.\n" +
			"Exit codes: 0 settled, 1 bad input, 2 wrong usage, 6 not settled or at odds, 7 a router cannot be reached. See docs/fleet.md.",
		Example: "  cache-routerctl fleet status 10.1.2.3:8400", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(fleetStatusCommand(), fleetWatchCommand(), fleetWaitCommand(), siteCommand())
	return c
}

// routerReply is the reply of one router's admin endpoint, or the error.
type routerReply struct {
	Endpoint string               `json:"door"`
	View     *membership.Snapshot `json:"view"`
	Tiers    *hierarchy.Status    `json:"tiers,omitempty"` // only in a tiered fleet, where View covers only the router's site
	Error    string               `json:"error,omitempty"`
}

// queryRouters queries all admin endpoints concurrently. The replies are in the order of the endpoints.
func queryRouters(ctx context.Context, endpoints []string) []routerReply {
	all := make([]routerReply, len(endpoints))
	var wg sync.WaitGroup
	for i, endpoint := range endpoints {
		wg.Go(func() {
			all[i].Endpoint = endpoint
			view, err := queryRouter(ctx, endpoint)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].View, all[i].Tiers = &view.Snapshot, view.Tiers
		})
	}
	wg.Wait()
	return all
}

// fleetView is the reply body of an admin endpoint.
type fleetView struct {
	membership.Snapshot
	Tiers *hierarchy.Status `json:"tiers"`
}

func queryRouter(ctx context.Context, endpoint string) (view fleetView, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/ops/fleet", nil)
	if err != nil {
		return view, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return view, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20)) // a fleet may have thousands of routers
	if err != nil {
		return view, err
	}
	if response.StatusCode != http.StatusOK {
		return view, fmt.Errorf("%s", strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &view); err != nil {
		return view, fmt.Errorf("what it says is no view: %w", err)
	}
	return view, nil
}

// validateEndpoints checks that all arguments are addresses of admin endpoints, and that there is at least one.
func validateEndpoints(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return errors.New("name the door of one router at least")
	}
	for _, a := range args {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("%q is no address and port of an operators' door, such as 10.1.2.3:8400", a)
		}
	}
	return nil
}

// checkSettled returns nil if all routers are settled on one view, or else an error with its exit code.
func checkSettled(all []routerReply) error {
	for _, a := range all {
		if a.View == nil {
			return exitError{exitUnreachable, fmt.Errorf("%s cannot be asked: %s", a.Endpoint, a.Error)}
		}
	}
	for i, a := range all {
		switch {
		case !a.View.Settled:
			return exitError{exitUnsettled, fmt.Errorf("%s is not settled; at odds with %v", a.View.ReportedBy, a.View.Disagreeing)}
		case a.Tiers != nil && !a.Tiers.Settled:
			return exitError{exitUnsettled, fmt.Errorf("%s is not settled on the other sites and regions", a.View.ReportedBy)}
		}
		for _, b := range all[:i] {
			if !viewsAgree(a, b) {
				return exitError{exitUnsettled, fmt.Errorf("%s and %s are settled on different views", b.View.ReportedBy, a.View.ReportedBy)}
			}
		}
	}
	return nil
}

func formatDuration(duration clock.Time) string {
	d := time.Duration(duration) * time.Microsecond
	if d > 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

func printView(out io.Writer, view membership.Snapshot) error {
	state := "not settled"
	if view.Settled {
		state = "settled"
	}
	fmt.Fprintf(out, "fleet %s by %s: %s for %s, digest %s\n", view.Fleet, view.ReportedBy, state, formatDuration(view.SettledFor), view.Digest)
	if view.YieldReason != "" {
		fmt.Fprintf(out, "%s is out of service: %s\n", view.ReportedBy, view.YieldReason)
	}
	for _, s := range view.Sites {
		fmt.Fprintf(out, "site %s: %d of %d alive, %d take clients\n", s.Site, s.Alive, s.Known, s.Accepting)
	}
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "router\tsite\tstate\tfor\tclients\tpolicy\tincarnation\tbuild\theard\taddress")
	for _, r := range view.Routers {
		clients := "no"
		switch {
		case r.State > membership.Suspect:
			clients = "-"
		case r.Draining:
			clients = "draining"
		case r.Accepting:
			clients = "yes"
		}
		state := r.State.String()
		if r.NameConflict {
			state += ", two of the name"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s ago\t%s\n", r.Name, r.Site, state, formatDuration(r.InStateFor), clients, r.PolicyRevision, r.Incarnation,
			r.Build, formatDuration(r.ContactAge), r.Addr)
	}
	return t.Flush()
}

func fleetStatusCommand() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "status DOOR...", Short: "Show the view of one router, and where others differ from it",
		Example: "  cache-routerctl fleet status 10.1.2.3:8400 10.1.2.4:8400\n  cache-routerctl fleet status 10.1.2.3:8400 --output json", Args: validateEndpoints,
		RunE: func(c *cobra.Command, args []string) error {
			all, out := queryRouters(c.Context(), args), c.OutOrStdout()
			if output == "json" {
				if err := writeJSON(out, all); err != nil {
					return err
				}
				return checkSettled(all)
			}
			var first *membership.Snapshot
			var tiers *hierarchy.Status
			for _, a := range all {
				switch {
				case a.View == nil:
				case first == nil:
					first = a.View
					if err := errors.Join(printView(out, *first), printTiers(out, a.Tiers)); err != nil {
						return err
					}
					tiers = a.Tiers
				case differentSites(tiers, a.Tiers): // it tracks other routers, but the same summaries
				default:
					for _, line := range membership.Diff(*first, *a.View) {
						fmt.Fprintln(out, line)
					}
				}
			}
			return checkSettled(all)
		}}
	addOutputFlag(c, &output)
	return c
}

func fleetWatchCommand() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{Use: "watch DOOR...", Short: "Print a line for each change, until it is stopped",
		Example: "  cache-routerctl fleet watch 10.1.2.3:8400", Args: validateEndpoints,
		RunE: func(c *cobra.Command, args []string) error {
			if every < 100*time.Millisecond || every > time.Hour {
				return usageErrorf("--every: %v is not from 100ms to 1h", every)
			}
			previous := make([]routerReply, len(args))
			for t := time.NewTicker(every); ; {
				all := queryRouters(c.Context(), args)
				if c.Context().Err() != nil {
					return nil
				}
				for i, a := range all {
					for _, line := range viewChanges(previous[i], a) {
						fmt.Fprintln(c.OutOrStdout(), time.Now().UTC().Format("15:04:05.000"), a.Endpoint, line)
					}
				}
				previous = all
				select {
				case <-c.Context().Done():
					t.Stop()
					return nil
				case <-t.C:
				}
			}
		}}
	c.Flags().DurationVar(&every, "every", time.Second, "between two looks")
	return c
}

// viewChanges returns a line for each difference between two successive replies of a router.
func viewChanges(previous, current routerReply) (lines []string) {
	switch {
	case current.View == nil && previous.Error != current.Error:
		return []string{"cannot be asked: " + current.Error}
	case current.View == nil:
		return nil
	}
	view, before := *current.View, membership.Snapshot{}
	if previous.View != nil {
		before = *previous.View
	}
	previousRouters := map[membership.Name]membership.RouterStatus{}
	for _, r := range before.Routers {
		previousRouters[r.Name] = r
	}
	for _, r := range view.Routers {
		before := previousRouters[r.Name]
		delete(previousRouters, r.Name)
		if before.State != r.State || before.Incarnation != r.Incarnation || before.Accepting != r.Accepting || before.Draining != r.Draining || before.NameConflict != r.NameConflict ||
			before.PolicyRevision != r.PolicyRevision {
			lines = append(lines, fmt.Sprintf("%s: %v, process %s, takes clients: %v, draining: %v, two of the name: %v, policy %d", r.Name, r.State,
				r.Incarnation, r.Accepting, r.Draining, r.NameConflict, r.PolicyRevision))
		}
	}
	for name := range previousRouters {
		lines = append(lines, fmt.Sprintf("%s: forgotten", name))
	}
	if previous.View == nil || before.Settled != view.Settled {
		lines = append(lines, fmt.Sprintf("%s: settled: %v, at odds with %v", view.ReportedBy, view.Settled, view.Disagreeing))
	}
	return append(lines, tierChanges(previous.Tiers, current.Tiers)...)
}

func fleetWaitCommand() *cobra.Command {
	var settled bool
	var minSettled, within time.Duration
	c := &cobra.Command{Use: "wait DOOR... --settled", Short: "Wait until the routers asked are settled on one view",
		Example: "  cache-routerctl fleet wait 10.1.2.3:8400 10.1.2.4:8400 --settled --for 10s --within 2m", Args: validateEndpoints,
		RunE: func(c *cobra.Command, args []string) error {
			if !settled {
				return usageErrorf("say what to wait for: --settled")
			}
			if minSettled < 0 || within < minSettled {
				return usageErrorf("--within: %v is shorter than --for, %v", within, minSettled)
			}
			return waitUntilSettled(c, args, minSettled, within)
		}}
	c.Flags().BoolVar(&settled, "settled", false, "wait for one settled view")
	c.Flags().DurationVar(&minSettled, "for", 0, "so long without a break")
	c.Flags().DurationVar(&within, "within", time.Minute, "give up after this")
	return c
}

// waitUntilSettled queries the routers until they are settled on one view for minSettled, and fails after within.
func waitUntilSettled(c *cobra.Command, args []string, minSettled, within time.Duration) error {
	deadline := time.Now().Add(within)
	var settledSince time.Time
	for {
		all := queryRouters(c.Context(), args)
		err := checkSettled(all)
		now := time.Now()
		if err != nil {
			settledSince = time.Time{}
		} else if settledSince.IsZero() {
			settledSince = now
		}
		if err == nil && now.Sub(settledSince) >= minSettled {
			_, err := fmt.Fprintf(c.OutOrStdout(), "settled for %v, digest %s\n", now.Sub(settledSince).Round(time.Millisecond), all[0].View.Digest)
			return err
		}
		if c.Context().Err() != nil {
			return errors.New("stopped before it was settled")
		}
		if now.After(deadline) {
			if err == nil {
				err = exitError{exitUnsettled, fmt.Errorf("settled for %v only", now.Sub(settledSince).Round(time.Millisecond))}
			}
			return err
		}
		select {
		case <-c.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
