package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// bootstrapPolicy creates the policy of the routers and applies the scenario's plan, if it has one.
func (r *run) bootstrapPolicy(ctx context.Context) error {
	if r.scenario.Routers.Policy == "" {
		return nil
	}
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		_, err := requestPolicy(ctx, r.routers[0], map[string]any{"what": "found"})
		if err == nil {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return err
		}
	}
	if r.scenario.Routers.SiteLossPlan == "" {
		return nil
	}
	for _, p := range r.routers {
		if err := p.waitUntilReady(ctx, 15*time.Second); err != nil {
			return err
		}
	}
	v, err := requestPolicy(ctx, r.routers[0], map[string]any{"what": "apply", "doc": r.policyDocument(nil), "base": 0, "token": "plan", "author": "lab",
		"reason": "the scenario's plan"})
	if err == nil && (v == nil || !v.Committed) {
		err = fmt.Errorf("the scenario's plan was not committed: %+v", v)
	}
	r.policyRevision = 1
	return err
}

// policyDocument returns a policy that excludes the given servers.
func (r *run) policyDocument(out []string) string {
	list, _ := json.Marshal(out) // strings always encode
	doc := "schema = 1\n"
	if len(out) > 0 {
		doc += fmt.Sprintf("out = %s\n", list)
	}
	return doc + r.scenario.Routers.SiteLossPlan
}

// requestPolicy sends a policy request through the admin endpoint of a router. The verdict is nil for "found".
func requestPolicy(ctx context.Context, p *router, q map[string]any) (v *policycommit.Verdict, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.currentAdmin()+"/ops/policy/ask", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(call)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", a.Status, text)
	}
	if err != nil || q["what"] == "found" {
		return nil, err
	}
	var s struct{ Verdict *policycommit.Verdict }
	err = json.Unmarshal(text, &s)
	return s.Verdict, err
}

// changePolicy requests a policy that excludes the targets of a fault, through one router after another until there is a
// verdict.
func (r *run) changePolicy(ctx context.Context, f scenario.Fault) {
	r.mu.Lock()
	var out []string
	for _, place := range f.Targets {
		out = append(out, string(r.current[place].entry.UID))
	}
	base := r.policyRevision
	r.mu.Unlock()
	startedAt := r.log.Now()
	q := map[string]any{"what": "apply", "doc": r.policyDocument(out), "base": base, "token": fmt.Sprint("at ", startedAt),
		"author": "lab", "reason": "as the scenario has it"}
	for n := 0; ctx.Err() == nil; n++ {
		v, err := requestPolicy(ctx, r.routers[n%len(r.routers)], q)
		if err != nil || v == nil {
			time.Sleep(100 * time.Millisecond)
			if n > 100 {
				r.fail(ctx, fmt.Errorf("policy change got no verdict: %w", err))
				return
			}
			continue
		}
		e := event.Event{Kind: event.PolicyChanged, Router: event.NoRouter, Since: startedAt, Note: strings.Join(out, " ")}
		if v.Committed {
			e.Limit = 1
			r.mu.Lock()
			r.policyRevision = int(v.Revision)
			r.mu.Unlock()
		} else {
			r.options.Log.WithField("why", v.Reason).Info("policy change was not committed")
		}
		r.log.Add(e)
		return
	}
}
