package report

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Verdict returns one line that says whether all rules held and whether the metrics are valid.
func (r Report) Verdict() string {
	switch {
	case len(r.Violations) > 0:
		return fmt.Sprintf("%d rule breaks", len(r.Violations))
	case r.InvalidReason != "":
		return "void: " + r.InvalidReason
	}
	return "all rules kept"
}

// WriteTable writes a report as a table.
func WriteTable(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("scenario", "%s, seed %d", r.Scenario, r.Seed)
	row("verdict", "%s", r.Verdict())
	row("service", "%.4f whole, %.4f in the worst 10 s", r.Service.Overall, r.Service.Worst10s)
	for _, m := range r.Service.Methods {
		row("  "+m.Name, "%.4f of %d ops", m.Share, m.Ops)
	}
	for _, m := range r.Service.Tenants {
		row("  "+m.Name, "%.4f of %d ops", m.Share, m.Ops)
	}
	row("ops", "%d wanted, %d in time, %d late, %d unserved", r.Ops.Offered, r.Ops.InTime, r.Ops.Late, r.Ops.Unserved)
	row("tries", "%d, of them %d nacked, %d failed, %d cut off, %d left; %d never reached a router", r.Ops.Requests, r.Ops.Rejected,
		r.Ops.Failed, r.Ops.Cut, r.Ops.Abandoned, r.Ops.Unreached)
	row("latency ms", "p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.P999,
		r.Latency.Max)
	row("write-outs", "%d, %.3f a try; %d misses, %d to the origin, %d turned away, %d of no use", r.Attempts.Total, r.Attempts.PerRequest,
		r.Attempts.Misses, r.Attempts.ToOrigin, r.Attempts.Rejected, r.Attempts.Wasted)
	hints := ""
	for _, b := range r.Rejections {
		if b.Count > 0 {
			hints += fmt.Sprintf("%s: %d  ", b.Hint, b.Count)
		}
	}
	row("nacks by hint", "%s", hints)
	row("connections", "%d opened to servers", r.ConnectionsOpened)
	for _, u := range r.Routers {
		row(fmt.Sprintf("router %d", u.Router), "%.2f s of CPU, %.0f us a try, %.1f MB at most", u.CPUSeconds, u.CPUPerRequestUs, u.MemoryMaxMB)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if r.SiteLoss != nil {
		if err := writeLossTable(w, r.SiteLoss); err != nil {
			return err
		}
	}
	const most = 5
	for i, b := range r.Violations {
		if i == most {
			fmt.Fprintf(w, "... and %d more; --output json has all\n", len(r.Violations)-most)
			break
		}
		fmt.Fprintf(w, "\n%s\n", b)
		for _, line := range b.Evidence {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	return nil
}
