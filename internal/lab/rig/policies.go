package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/viewref"
)

// PolicyOutcome is the result of a round of policy changes under faults.
type PolicyOutcome struct {
	Seed       uint64          `json:"seed"`
	CutOff     string          `json:"cut_off"`
	Did        []string        `json:"did"`
	Everywhere int             `json:"everywhere"`
	Nowhere    int             `json:"nowhere"`
	Unknown    int             `json:"unknown"` // changes whose verdict was never received
	Took       []time.Duration `json:"took"`    // of committed changes, from the request to the verdict
	Broken     []string        `json:"broken"`
}

// policyCall is one call of an operator, or its answer, in the history that is checked for linearizability.
type policyCall struct {
	read  bool
	base  policycommit.Revision
	known bool // the answer
	done  bool // it holds everywhere
	now   policycommit.Revision
}

// history models the policy revision as a counter that only a change with the current base advances: each answer must fit one
// time between call and return.
var history = porcupine.Model{
	Init: func() any { return policycommit.Revision(0) },
	Step: func(state, in, out any) (bool, any) {
		at, q, a := state.(policycommit.Revision), in.(policyCall), out.(policyCall)
		switch {
		case q.read:
			return a.now == at, at
		case a.known && a.done:
			return q.base == at && a.now == at+1, at + 1
		case a.known:
			return true, at
		}
		return true, at // no answer: such calls are recorded only once their verdict is known
	},
}

// AskPolicy sends a request to the keepers by the admin endpoint of a router.
func (r *Rig) AskPolicy(by int, q map[string]any) (a policycommit.Reply, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return a, err
	}
	c := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := c.Post("http://"+r.AdminAddress(by)+"/ops/policy/ask", "application/json", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	if err == nil && got.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	if err == nil && q["what"] != "found" {
		err = json.Unmarshal(text, &a)
	}
	return a, err
}

// PolicyInForce returns the revision that a router reports as in force, and whether it accepts requests under it.
func (r *Rig) PolicyInForce(i int) (revision policycommit.Revision, may bool, err error) {
	text, err := r.Call(i, "GET", "/ops/policy")
	if err != nil {
		return 0, false, err
	}
	var h struct {
		InForce policycommit.Revision `json:"in_force"`
		May     bool                  `json:"may_take"`
	}
	err = json.Unmarshal([]byte(text), &h)
	return h.InForce, h.May, err
}

// watchForMixedPolicies polls all routers until stop is closed. It returns a violation for each router that accepts requests under
// a revision for longer than the window after another router was seen to accept requests under a newer one.
func (r *Rig) watchForMixedPolicies(stop chan struct{}, n int) (broken []string) {
	const window, maxAge = time.Second, 400 * time.Millisecond // maxAge is the greatest age of an answer that counts
	first := map[policycommit.Revision]time.Duration{}
	for {
		select {
		case <-stop:
			return broken
		case <-time.After(20 * time.Millisecond):
		}
		for i := range n {
			if !r.Running(i) {
				continue
			}
			began := r.Now()
			revision, may, err := r.PolicyInForce(i)
			if err != nil || !may || r.Now()-began > maxAge {
				continue
			}
			if at, ok := first[revision]; !ok || r.Now() < at {
				first[revision] = r.Now() // an upper bound of the time
			}
			for newer, at := range first {
				if newer > revision && began > at+window {
					broken = append(broken, fmt.Sprintf("at %v router %d takes reqs under %d, and %d was served at %v", began, i, revision, newer, at))
				}
			}
		}
	}
}

// PolicyRound has operators change the policy continuously while random faults are applied, then removes all faults and checks
// the history of calls and the revisions in force.
func PolicyRound(o Options, acts int) (out PolicyOutcome, err error) {
	if o.Dir, err = os.MkdirTemp(o.Dir, "policy"); err != nil {
		return out, err
	}
	o.Keepers = 3
	o.Policy = []string{"refuse", "serve"}[o.Seed%2]
	r, err := New(o)
	if err != nil {
		return out, err
	}
	defer r.Close()
	out = PolicyOutcome{Seed: o.Seed, CutOff: o.Policy}
	all, err := r.startFounded()
	if err != nil {
		return out, err
	}
	n := o.Routers
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ops []porcupine.Operation
	note := func(client int, q, a policyCall, from, to time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: q, Output: a, Call: int64(from), Return: int64(to)})
	}
	type lost struct {
		token string
		q     policyCall
		from  time.Duration
		by    int
	}
	var unknown []lost
	for op := range 2 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(100+op)))
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.Int64N(int64(800 * time.Millisecond)))):
				}
				by := rng.IntN(n)
				if !r.Running(by) {
					continue
				}
				from := r.Now()
				now, err := r.AskPolicy(by, map[string]any{"what": "status"})
				if err != nil {
					continue
				}
				current := now.Current
				note(2*op, policyCall{read: true}, policyCall{now: current}, from, r.Now())
				from = r.Now()
				token := fmt.Sprintf("%d-%d", op, k)
				q := policyCall{base: current}
				a, err := r.AskPolicy(by, map[string]any{"what": "apply", "doc": fmt.Sprintf("schema = 1\nout = [%q]\n", token), "base": current,
					"token": token, "author": fmt.Sprint("operator ", op), "reason": token})
				v := a.Verdict
				if err != nil || v == nil {
					mu.Lock()
					unknown = append(unknown, lost{token, q, from, 2*op + 1})
					mu.Unlock()
					continue
				}
				to := r.Now()
				note(2*op+1, q, policyCall{known: true, done: v.Committed, now: v.Revision}, from, to)
				mu.Lock()
				if v.Committed {
					out.Everywhere++
					out.Took = append(out.Took, to-from)
				} else {
					out.Nowhere++
				}
				mu.Unlock()
			}
		})
	}
	wg.Go(func() {
		broken := r.watchForMixedPolicies(stop, n)
		mu.Lock()
		out.Broken = append(out.Broken, broken...)
		mu.Unlock()
	})
	rng := rand.New(rand.NewPCG(o.Seed, 9))
	for range acts {
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		i, what := rng.IntN(n), ""
		group := rng.Perm(n)[:1+rng.IntN(n/2)]
		switch rng.IntN(7) {
		case 0:
			what = fmt.Sprintf("kill of %d", i)
			r.Kill(what, i)
		case 1:
			what = "all that are gone start"
			err = r.restoreAll(what, all)
		case 2:
			what = fmt.Sprintf("stall of %d", i)
			err = r.Stall(what, true, i)
		case 3:
			what = fmt.Sprintf("%v cut off", group)
			r.Cut(what, true, group, all, true, false)
		case 4:
			what = "ways healed"
			r.Cut(what, false, all, all, true, false)
		case 5:
			what = "30% lost, a fifth doubled and late"
			r.Links.UpdateRules(all, all, func(x *links.Rule) { x.LossShare, x.DuplicateShare, x.ReorderShare = 0.3, 0.2, 0.2 })
		case 6:
			what = fmt.Sprintf("%d heard by none", i)
			r.Cut(what, true, []int{i}, all, false, false)
		}
		out.Did = append(out.Did, what)
		if err != nil {
			break
		}
	}
	close(stop)
	wg.Wait()
	if err != nil {
		return out, err
	}
	r.Links.UpdateRules(all, all, func(x *links.Rule) { *x = links.Rule{} })
	r.recordChange("all in order", viewref.StatusChange, 0, 0)
	if err := r.restoreAll("all in order", all); err != nil {
		return out, err
	}
	// Changes whose answer was lost are requested again with their token; the verdict may have been reached at any time since.
	last := policycommit.Revision(0)
	for end := time.Now().Add(40 * time.Second); ; {
		ok := true
		for _, u := range unknown {
			a, err := r.AskPolicy(0, map[string]any{"what": "apply", "doc": fmt.Sprintf("schema = 1\nout = [%q]\n", u.token), "base": u.q.base, "token": u.token,
				"author": "operator", "reason": u.token})
			v := a.Verdict
			if err != nil || v == nil {
				ok = false
				break
			}
			note(u.by, u.q, policyCall{known: true, done: v.Committed, now: v.Revision}, u.from, r.Now())
			unknown = unknown[1:]
		}
		if ok {
			from := r.Now()
			now, err := r.AskPolicy(0, map[string]any{"what": "status"})
			if ok = err == nil; ok {
				last = now.Current
				note(9, policyCall{read: true}, policyCall{now: last}, from, r.Now())
				break
			}
		}
		if time.Now().After(end) {
			out.Broken = append(out.Broken, fmt.Sprintf("%d changes have no verdict 40 s after all was put in order", len(unknown)))
			break
		}
	}
	out.Unknown = len(unknown)
	if err := r.waitForRevision(last, all, 30*time.Second); err != nil {
		out.Broken = append(out.Broken, err.Error())
	}
	switch porcupine.CheckOperationsTimeout(history, ops, time.Minute) {
	case porcupine.Illegal:
		out.Broken = append(out.Broken, fmt.Sprintf("the history of %d calls fits no order", len(ops)))
	case porcupine.Unknown:
		out.Broken = append(out.Broken, "the history could not be judged in a minute")
	}
	if len(out.Broken) == 0 {
		return out, os.RemoveAll(o.Dir)
	}
	return out, nil
}

// startFounded starts all routers, founds their policy, and waits until all accept requests.
func (r *Rig) startFounded() ([]int, error) {
	all := make([]int, r.o.Routers)
	for i := range all {
		all[i] = i
	}
	if err := r.Start("start of all", all...); err != nil {
		return nil, err
	}
	if _, err := r.AskPolicy(0, map[string]any{"what": "found"}); err != nil {
		return nil, err
	}
	return all, r.waitForRevision(0, all, time.Minute)
}

// waitForRevision waits until routers accept requests under a revision. It returns an error after the timeout.
func (r *Rig) waitForRevision(revision policycommit.Revision, routers []int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		why := ""
		for _, i := range routers {
			if at, may, err := r.PolicyInForce(i); err != nil || !may || at != revision {
				why = fmt.Sprintf("router %d holds %d, takes reqs: %v; %v", i, at, may, err)
			}
		}
		if why == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all hold revision %d within %v: %s", revision, timeout, why)
		}
	}
}

// PolicyFigures are the durations of policy changes in a fleet of one size.
type PolicyFigures struct {
	Routers int
	CutOff  string
	Rows    []PolicyRow
	Idle    Idle // of a router while nothing changes
}

// PolicyRow is the result of the changes that were made in one state of the fleet.
type PolicyRow struct {
	What    string
	Changes int
	Through int             // committed changes
	Verdict []time.Duration // of committed changes, until the verdict
	Effect  []time.Duration // of committed changes, until all reachable routers applied them
}

// MeasurePolicy measures policy changes in a calm fleet, with one keeper dead, and with 30% of the packets lost.
func MeasurePolicy(o Options, changes int, calm time.Duration) (out PolicyFigures, err error) {
	if o.Dir, err = os.MkdirTemp(o.Dir, "policy-size"); err != nil {
		return out, err
	}
	defer os.RemoveAll(o.Dir)
	o.Keepers = 3
	r, err := New(o)
	if err != nil {
		return out, err
	}
	defer r.Close()
	out = PolicyFigures{Routers: o.Routers, CutOff: o.Policy}
	all, err := r.startFounded()
	if err != nil {
		return out, err
	}
	time.Sleep(5 * o.Probe)
	var packets, bytes, memory int64
	var cpu time.Duration
	sum := func(sign int64) {
		for i := range all {
			c := r.Links.Sent(i)
			used, rss, _ := r.Usage(i)
			packets, bytes, cpu, memory = packets+sign*c.Packets, bytes+sign*c.Bytes, cpu+time.Duration(sign)*used, memory+max(0, sign)*rss
		}
	}
	sum(-1)
	time.Sleep(calm)
	sum(1)
	per := calm.Seconds() * float64(o.Routers)
	out.Idle = Idle{Packets: float64(packets) / per, Bytes: float64(bytes) / per, CPU: cpu.Seconds() / per,
		Memory: float64(memory) / float64(o.Routers) / (1 << 20)}
	base := 0
	there := all
	for _, step := range []struct {
		what string
		do   func()
	}{
		{"calm", func() {}},
		{"one keeper dead", func() {
			at := 0
			for i := range o.Keepers {
				if r.leads(i) {
					at = i
				}
			}
			r.Kill("a keeper, the leader", at)
			there = slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == at })
		}},
		{"30% lost", func() {
			for i := range all {
				if !r.Running(i) {
					err = r.Start("back", i)
				}
			}
			there = all
			r.Links.UpdateRules(all, all, func(x *links.Rule) { x.LossShare = 0.3 })
		}},
	} {
		if step.do(); err != nil {
			return out, err
		}
		row := PolicyRow{What: step.what}
		for n := range changes {
			began := time.Now()
			row.Changes++
			a, err := r.AskPolicy(there[n%len(there)], map[string]any{"what": "apply", "doc": fmt.Sprintf("schema = 1\nout = [\"s%d\"]\n", base), "base": base,
				"token": fmt.Sprint(step.what, n), "author": "measure", "reason": step.what})
			if err != nil || a.Verdict == nil {
				if s, err := r.AskPolicy(there[0], map[string]any{"what": "status"}); err == nil {
					base = int(s.Current)
				}
				continue
			}
			if base = int(a.Verdict.Revision); !a.Verdict.Committed {
				continue
			}
			row.Through++
			row.Verdict = append(row.Verdict, time.Since(began))
			if err := r.waitForRevision(policycommit.Revision(base), there, 20*time.Second); err != nil {
				return out, fmt.Errorf("%s: %w", step.what, err)
			}
			row.Effect = append(row.Effect, time.Since(began))
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}
