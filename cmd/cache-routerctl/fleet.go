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

func (a *app) fleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "See which routers are there, as they see one another",
		Long: "Every command asks the operators' doors of one router or of several, by their addresses; those of several are compared.\n" +
			"Exit codes: 0 settled, 1 bad input, 2 wrong usage, 6 not settled or at odds, 7 a router cannot be reached. See docs/fleet.md.",
		Example: "  cache-routerctl fleet status 10.1.2.3:8400", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(fleetStatus(), fleetWatch(), fleetWait(), fleetSite())
	return c
}

// answer is what a router's door said.
type answer struct {
	Door  string               `json:"door"`
	View  *membership.Snapshot `json:"view"`
	Tiers *hierarchy.Status    `json:"tiers,omitempty"` // of a tiered fleet, whose view is of the site alone
	Error string               `json:"error,omitempty"`
}

// askFleet asks all admin endpoints at once.
func askFleet(ctx context.Context, doors []string) []answer {
	all := make([]answer, len(doors))
	var wg sync.WaitGroup
	for i, door := range doors {
		wg.Go(func() {
			all[i].Door = door
			w, err := askView(ctx, door)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].View, all[i].Tiers = &w.Snapshot, w.Tiers
		})
	}
	wg.Wait()
	return all
}

// seen is what an admin endpoint shows.
type seen struct {
	membership.Snapshot
	Tiers *hierarchy.Status `json:"tiers"`
}

func askView(ctx context.Context, door string) (w seen, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+door+"/ops/fleet", nil)
	if err != nil {
		return w, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return w, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 64<<20)) // thousands of routers
	if err != nil {
		return w, err
	}
	if a.StatusCode != http.StatusOK {
		return w, fmt.Errorf("%s", strings.TrimSpace(string(text)))
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return w, fmt.Errorf("what it says is no view: %w", err)
	}
	return w, nil
}

// admin endpoints checks the addresses given.
func doors(c *cobra.Command, args []string) error {
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

// fleetVerdict is the error that a look ends with; nil: all are settled on one view.
func fleetVerdict(all []answer) error {
	for _, a := range all {
		if a.View == nil {
			return coded{exitUnreachable, fmt.Errorf("%s cannot be asked: %s", a.Door, a.Error)}
		}
	}
	for i, a := range all {
		switch {
		case !a.View.Settled:
			return coded{exitUnsettled, fmt.Errorf("%s is not settled; at odds with %v", a.View.ReportedBy, a.View.Disagreeing)}
		case a.Tiers != nil && !a.Tiers.Settled:
			return coded{exitUnsettled, fmt.Errorf("%s is not settled on the other sites and regions", a.View.ReportedBy)}
		}
		for _, b := range all[:i] {
			if !sameViews(a, b) {
				return coded{exitUnsettled, fmt.Errorf("%s and %s are settled on different views", b.View.ReportedBy, a.View.ReportedBy)}
			}
		}
	}
	return nil
}

func spanOf(m clock.Time) string {
	d := time.Duration(m) * time.Microsecond
	if d > 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

func printView(out io.Writer, w membership.Snapshot) error {
	state := "not settled"
	if w.Settled {
		state = "settled"
	}
	fmt.Fprintf(out, "fleet %s by %s: %s for %s, digest %s\n", w.Fleet, w.ReportedBy, state, spanOf(w.SettledFor), w.Digest)
	if w.YieldReason != "" {
		fmt.Fprintf(out, "%s is out of service: %s\n", w.ReportedBy, w.YieldReason)
	}
	for _, s := range w.Sites {
		fmt.Fprintf(out, "site %s: %d of %d alive, %d take clients\n", s.Site, s.Alive, s.Known, s.Accepting)
	}
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "router\tsite\tstate\tfor\tclients\tpolicy\tincarnation\tbuild\theard\taddress")
	for _, r := range w.Routers {
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s ago\t%s\n", r.Name, r.Site, state, spanOf(r.InStateFor), clients, r.PolicyRevision, r.Incarnation,
			r.Build, spanOf(r.ContactAge), r.Addr)
	}
	return t.Flush()
}

func fleetStatus() *cobra.Command {
	var output string
	c := &cobra.Command{Use: "status DOOR...", Short: "Show the view of one router, and where others differ from it",
		Example: "  cache-routerctl fleet status 10.1.2.3:8400 10.1.2.4:8400\n  cache-routerctl fleet status 10.1.2.3:8400 --output json", Args: doors,
		RunE: func(c *cobra.Command, args []string) error {
			all, out := askFleet(c.Context(), args), c.OutOrStdout()
			if output == "json" {
				if err := writeJSON(out, all); err != nil {
					return err
				}
				return fleetVerdict(all)
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
				case otherSite(tiers, a.Tiers): // it knows other routers, and the same summaries
				default:
					for _, line := range membership.Diff(*first, *a.View) {
						fmt.Fprintln(out, line)
					}
				}
			}
			return fleetVerdict(all)
		}}
	outputFlag(c, &output)
	return c
}

func fleetWatch() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{Use: "watch DOOR...", Short: "Print a line for each change, until it is stopped",
		Example: "  cache-routerctl fleet watch 10.1.2.3:8400", Args: doors,
		RunE: func(c *cobra.Command, args []string) error {
			if every < 100*time.Millisecond || every > time.Hour {
				return usage("--every: %v is not from 100ms to 1h", every)
			}
			was := make([]answer, len(args))
			for t := time.NewTicker(every); ; {
				all := askFleet(c.Context(), args)
				if c.Context().Err() != nil {
					return nil
				}
				for i, a := range all {
					for _, line := range changes(was[i], a) {
						fmt.Fprintln(c.OutOrStdout(), time.Now().UTC().Format("15:04:05.000"), a.Door, line)
					}
				}
				was = all
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

// changes are the lines of what a router shows otherwise than before.
func changes(was, now answer) (lines []string) {
	switch {
	case now.View == nil && was.Error != now.Error:
		return []string{"cannot be asked: " + now.Error}
	case now.View == nil:
		return nil
	}
	w, before := *now.View, membership.Snapshot{}
	if was.View != nil {
		before = *was.View
	}
	rows := map[membership.Name]membership.RouterStatus{}
	for _, r := range before.Routers {
		rows[r.Name] = r
	}
	for _, r := range w.Routers {
		b := rows[r.Name]
		delete(rows, r.Name)
		if b.State != r.State || b.Incarnation != r.Incarnation || b.Accepting != r.Accepting || b.Draining != r.Draining || b.NameConflict != r.NameConflict ||
			b.PolicyRevision != r.PolicyRevision {
			lines = append(lines, fmt.Sprintf("%s: %v, process %s, takes clients: %v, draining: %v, two of the name: %v, policy %d", r.Name, r.State,
				r.Incarnation, r.Accepting, r.Draining, r.NameConflict, r.PolicyRevision))
		}
	}
	for name := range rows {
		lines = append(lines, fmt.Sprintf("%s: forgotten", name))
	}
	if was.View == nil || before.Settled != w.Settled {
		lines = append(lines, fmt.Sprintf("%s: settled: %v, at odds with %v", w.ReportedBy, w.Settled, w.Disagreeing))
	}
	return append(lines, tierChanges(was.Tiers, now.Tiers)...)
}

func fleetWait() *cobra.Command {
	var settled bool
	var forSpan, within time.Duration
	c := &cobra.Command{Use: "wait DOOR... --settled", Short: "Wait until the routers asked are settled on one view",
		Example: "  cache-routerctl fleet wait 10.1.2.3:8400 10.1.2.4:8400 --settled --for 10s --within 2m", Args: doors,
		RunE: func(c *cobra.Command, args []string) error {
			if !settled {
				return usage("say what to wait for: --settled")
			}
			if forSpan < 0 || within < forSpan {
				return usage("--within: %v is shorter than --for, %v", within, forSpan)
			}
			end := time.Now().Add(within)
			var since time.Time
			for {
				all := askFleet(c.Context(), args)
				err := fleetVerdict(all)
				now := time.Now()
				if err != nil {
					since = time.Time{}
				} else if since.IsZero() {
					since = now
				}
				if err == nil && now.Sub(since) >= forSpan {
					_, err := fmt.Fprintf(c.OutOrStdout(), "settled for %v, digest %s\n", now.Sub(since).Round(time.Millisecond), all[0].View.Digest)
					return err
				}
				if c.Context().Err() != nil {
					return errors.New("stopped before it was settled")
				}
				if now.After(end) {
					if err == nil {
						err = coded{exitUnsettled, fmt.Errorf("settled for %v only", now.Sub(since).Round(time.Millisecond))}
					}
					return err
				}
				select {
				case <-c.Context().Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
		}}
	c.Flags().BoolVar(&settled, "settled", false, "wait for one settled view")
	c.Flags().DurationVar(&forSpan, "for", 0, "so long without a break")
	c.Flags().DurationVar(&within, "within", time.Minute, "give up after this")
	return c
}
