package rig

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/viewref"
)

// Outcome is the result of a round, or of a measurement of one size.
type Outcome struct {
	Seed    uint64                `json:"seed"`
	Routers int                   `json:"routers"`
	Drop    float64               `json:"drop"`
	Did     []string              `json:"did"`
	Events  []viewref.Convergence `json:"events"`
	Broken  []viewref.Violation   `json:"broken"`
	False   int                   `json:"false_losses"`
	Hours   float64               `json:"router_hours"` // sum of the running times of all routers
	Idle    *Idle                 `json:"idle,omitempty"`
}

// Idle is the mean usage of a router of a fleet in which nothing changes.
type Idle struct {
	Packets float64 `json:"packets_a_second"` // sent
	Bytes   float64 `json:"bytes_a_second"`
	CPU     float64 `json:"cpu_share"` // of one core
	Memory  float64 `json:"memory_mb"`
}

// RoundBounds returns the bounds for a probe interval and a number of routers: the times of an otherwise idle machine, plus half.
func RoundBounds(probe time.Duration, routers int) viewref.Bounds {
	b := time.Duration(60+routers)*probe + 3*time.Second
	return viewref.Bounds{SettleWithin: b, RemoveWithin: b, RestoreWithin: b}
}

// Round applies random faults to a fleet, removes them all and checks the record. An error is a failure of the machine, not of
// the fleet.
func Round(o Options, acts int) (out Outcome, err error) {
	if o.Dir, err = os.MkdirTemp(o.Dir, "round"); err != nil {
		return out, err
	}
	r, err := New(o)
	if err != nil {
		return out, err
	}
	defer r.Close()
	out = Outcome{Seed: o.Seed, Routers: o.Routers}
	all := make([]int, o.Routers)
	for i := range all {
		all[i] = i
	}
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	some := func() []int { return append([]int(nil), rng.Perm(o.Routers)[:1+rng.IntN(o.Routers/2)]...) }
	rest := func(of []int) (others []int) {
		in := map[int]bool{}
		for _, i := range of {
			in[i] = true
		}
		for _, i := range all {
			if !in[i] {
				others = append(others, i)
			}
		}
		return others
	}
	if err := r.Start("start of all", all...); err != nil {
		return out, err
	}
	for range acts {
		time.Sleep(time.Duration(rng.Int64N(int64(25 * o.Probe))))
		i, group, what := rng.IntN(o.Routers), some(), ""
		switch rng.IntN(9) {
		case 0:
			what = fmt.Sprintf("crash of %v", group[:1+len(group)/3])
			r.Kill("crash", group[:1+len(group)/3]...)
		case 1:
			what = fmt.Sprintf("leave of %d", i)
			if r.Running(i) {
				err = r.Stop("leave", i)
			}
		case 2:
			what = fmt.Sprintf("restart of %v", group)
			for _, i := range group {
				if r.Running(i) {
					r.Kill("restart", i)
					err = r.Start("restart", i)
				}
			}
		case 3:
			what = fmt.Sprintf("stall of %d", i)
			err = r.Stall("stall", true, i)
		case 4:
			what = fmt.Sprintf("%v cut off", group)
			r.Cut("cut", true, group, rest(group), true, rng.IntN(2) == 0)
		case 5:
			what = fmt.Sprintf("%d heard by none", i)
			r.Cut("one way", true, []int{i}, all, false, false)
		case 6:
			what = "30% lost"
			r.Links.UpdateRules(all, all, func(x *links.Rule) { x.LossShare, x.DuplicateShare, x.ReorderShare = 0.3, 0.1, 0.1 })
			r.RecordStatusChange(0, what)
		case 7:
			what = "ways healed"
			r.Cut("heal", false, all, all, true, false)
		case 8:
			what = "all that are gone start"
			err = r.restoreAll("start", all)
		}
		out.Did = append(out.Did, what)
		if err != nil {
			return out, fmt.Errorf("%s: %w", what, err)
		}
	}
	r.Links.UpdateRules(all, all, func(x *links.Rule) { cut := x.Cut; *x = links.Rule{Cut: cut} })
	r.Cut("all in order", false, all, all, true, false)
	if err := r.restoreAll("all in order", all); err != nil {
		return out, err
	}
	b := RoundBounds(o.Probe, o.Routers)
	if err := r.Settle(b.SettleWithin); err != nil {
		out.Broken = append(out.Broken, viewref.Violation{At: r.Now(), Rule: "settles", What: err.Error()})
	}
	rec := r.Record()
	out.Broken = append(out.Broken, rec.Check(b)...)
	out.Events, out.False = rec.Convergences(), rec.FalseLosses()
	out.Hours = float64(o.Routers) * rec.End.Hours()
	if len(out.Broken) == 0 {
		return out, os.RemoveAll(o.Dir)
	}
	return out, nil
}

// restoreAll resumes all routers that are stalled and starts all that are not running.
func (r *Rig) restoreAll(note string, all []int) error {
	var gone []int
	for _, i := range all {
		if r.running(i) == nil {
			gone = append(gone, i)
		} else if !r.Running(i) {
			if err := r.Stall(note, false, i); err != nil {
				return err
			}
		}
	}
	return r.Start(note, gone...)
}

// Measure applies each kind of change once to an otherwise calm fleet, and measures the usage of a router of the calm fleet.
func Measure(o Options, drop float64, calm time.Duration) (out Outcome, err error) {
	if o.Dir, err = os.MkdirTemp(o.Dir, "size"); err != nil {
		return out, err
	}
	defer os.RemoveAll(o.Dir)
	r, err := New(o)
	if err != nil {
		return out, err
	}
	defer r.Close()
	n := o.Routers
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	b := RoundBounds(o.Probe, n)
	then := func(err error) error {
		if err == nil {
			err = r.Settle(b.SettleWithin)
			time.Sleep(5 * o.Probe)
		}
		return err
	}
	if err := then(r.Start("start of all", all...)); err != nil {
		return out, err
	}
	if drop > 0 {
		r.Links.UpdateRules(all, all, func(x *links.Rule) { x.LossShare = drop })
		r.RecordStatusChange(0, fmt.Sprintf("%.0f%% lost", 100*drop))
	}
	var packets, bytes int64
	var cpu time.Duration
	sum := func(sign int64) {
		for i := range all {
			c := r.Links.Sent(i)
			used, _, _ := r.Usage(i)
			packets, bytes, cpu = packets+sign*c.Packets, bytes+sign*c.Bytes, cpu+time.Duration(sign)*used
		}
	}
	r.PausePolling(true) // polling costs more than what is measured
	sum(-1)
	time.Sleep(calm)
	sum(1)
	r.PausePolling(false)
	memory := int64(0)
	for i := range all {
		_, rss, _ := r.Usage(i)
		memory += rss
	}
	per := calm.Seconds() * float64(n)
	out.Idle = &Idle{Packets: float64(packets) / per, Bytes: float64(bytes) / per, CPU: cpu.Seconds() / per,
		Memory: float64(memory) / float64(n) / (1 << 20)}
	time.Sleep(time.Second)
	half, other := all[:n/2], all[n/2:]
	for _, step := range []func() error{
		func() error { r.Kill("crash of one", n-1); return nil },
		func() error { return r.Start("return of one", n-1) },
		func() error { return r.Stop("leave of one", n-1) },
		func() error { return r.Start("join of one", n-1) },
		func() error { r.Kill("crash of a fifth", all[n-n/5:]...); return nil },
		func() error { return r.Start("return of a fifth", all[n-n/5:]...) },
		func() error { r.Cut("halves", true, half, other, true, false); return nil },
		func() error { r.Cut("halves healed", false, half, other, true, false); return nil },
	} {
		if err := step(); err != nil {
			return out, err
		}
		end := time.Now().Add(b.SettleWithin)
		for time.Sleep(2 * o.Probe); time.Now().Before(end) && r.unsettled() >= 0; time.Sleep(100 * time.Millisecond) {
		}
		time.Sleep(5 * o.Probe)
	}
	rec := r.Record()
	out.Seed, out.Routers, out.Drop = o.Seed, n, drop
	out.Events, out.False, out.Hours = rec.Convergences(), rec.FalseLosses(), float64(n)*rec.End.Hours()
	out.Broken = rec.Check(b)
	return out, nil
}

// unsettled returns a running router that is not settled or does not show exactly the reachable routers, or -1.
func (r *Rig) unsettled() int {
	rec := r.Record()
	if len(rec.Changes) == 0 {
		return 0
	}
	last := rec.Changes[len(rec.Changes)-1].At
	seen := map[int]bool{}
	for i := len(rec.Samples) - 1; i >= 0 && rec.Samples[i].At > last; i-- {
		s := rec.Samples[i]
		if !seen[s.Router] {
			if seen[s.Router] = true; !rec.Converged(s) {
				return s.Router
			}
		}
	}
	for i := range r.o.Routers {
		if r.Running(i) && !seen[i] {
			return i
		}
	}
	return -1
}
