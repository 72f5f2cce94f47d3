package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"spurtrestle/internal/scale/result"
)

// Table writes a table with one line for each trial.
func Table(w io.Writer, trials []result.Trial) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "topology\tfault\trouters\tseed\tB/s in\tout\tmessages/s\tCPU\tMB\tagreed\tall settled\tchange\tby mechanism, B/s\t")
	for _, x := range trials {
		u := x.PerRouter
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.2f%%\t%.2f\t%s\t%s\t%s\t%s\t\n", x.Topology, x.Fault, x.Routers, x.Seed, u.BytesIn, u.BytesOut,
			u.MessagesIn+u.MessagesOut, 100*u.CPU, u.Memory/1e6, span(x.ConvergenceTime), span(x.ConvergenceKnownTime), span(x.PropagationTime), mechanisms(x)+real(x)+incomplete(x))
	}
	return t.Flush()
}

func span(s *float64) string {
	if s == nil {
		return "never"
	}
	return fmt.Sprintf("%.1f s", *s)
}

func mechanisms(t result.Trial) string {
	var all []string
	for _, m := range t.Mechanisms {
		all = append(all, fmt.Sprintf("%s %.0f", m.Name, m.Bytes))
	}
	return strings.Join(all, ", ")
}

func incomplete(t result.Trial) string {
	if t.Incomplete == "" {
		return ""
	}
	return "; incomplete: " + t.Incomplete
}

// summary describes a finished trial in one line.
func summary(t result.Trial) string {
	u := t.PerRouter
	return fmt.Sprintf("%.0f B/s (%s), %.2f%% of a core, %.2f MB, agreed %s, all settled %s, change %s%s%s", u.BytesIn+u.BytesOut, mechanisms(t),
		100*u.CPU, u.Memory/1e6, span(t.ConvergenceTime), span(t.ConvergenceKnownTime), span(t.PropagationTime), others(t), real(t)+incomplete(t))
}

func real(t result.Trial) string {
	if t.Real == nil {
		return ""
	}
	p, alone := t.Real.PerRouter, t.Real.WithoutFleet
	return fmt.Sprintf("; %d real: %.0f B/s, %.2f%% of a core and %.2f MB more than alone (%.1f MB)", t.Real.Routers, p.BytesIn+p.BytesOut, 100*(p.CPU-alone.CPU),
		(p.Memory-alone.Memory)/1e6, alone.Memory/1e6)
}

func others(t result.Trial) string {
	if t.OtherLoad == nil {
		return ""
	}
	return fmt.Sprintf(", others used %.2f cores", *t.OtherLoad)
}
