package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

const (
	// operatorTimeout is how long a failing operator call is retried, since a router's processes may be being replaced.
	operatorTimeout       = 3 * time.Second
	operatorRetryInterval = 100 * time.Millisecond
)

// operatorState is the state that operators last requested of a router and that it confirmed.
type operatorState struct {
	mu      sync.Mutex
	drained bool
	banned  map[string]bool
}

func (o *operatorState) setDrained(drained bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained = drained
}

func (o *operatorState) setBanned(uid string, banned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.banned == nil {
		o.banned = map[string]bool{}
	}
	o.banned[uid] = banned
}

func (o *operatorState) isDrained() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drained
}

// callOperator makes a change through the admin endpoint of the serving process, and retries it for a while on failure.
func (p *router) callOperator(ctx context.Context, path, body string) error {
	for until := time.Now().Add(operatorTimeout); ; {
		err := call(ctx, http.MethodPut, p.currentAdmin(), path, body)
		if err == nil || time.Now().After(until) || !sleep(ctx, operatorRetryInterval) {
			return err
		}
	}
}

// checkOperatorStates records the routers whose state differs from what operators last requested.
func (r *run) checkOperatorStates(ctx context.Context) {
	hindered := slices.ContainsFunc(r.scenario.Faults, func(f scenario.Fault) bool { return f.Kind == "router_tmp_full" })
	for _, p := range r.routers {
		problem := p.checkDrained(ctx)
		if problem == "" && !hindered {
			problem = p.checkBanned()
		}
		if problem != "" {
			r.log.Add(event.Event{Kind: event.BadInputAccepted, Router: p.index, Note: problem})
		}
	}
}

// checkDrained returns a description of the problem, or an empty string if there is none.
func (p *router) checkDrained(ctx context.Context) string {
	want := p.wanted.isDrained()
	for until := time.Now().Add(operatorTimeout); ; {
		isReady := call(ctx, http.MethodGet, p.currentAdmin(), "/ops/readiness", "") == nil
		if isReady != want {
			return ""
		}
		if time.Now().After(until) || !sleep(ctx, operatorRetryInterval) {
			return fmt.Sprintf("operators last requested drained=%v, but ready is %v", want, isReady)
		}
	}
}

// checkBanned compares the operator state file with the requested state. It returns a description of the problem, or an empty
// string.
func (p *router) checkBanned() string {
	spec := p.spec()
	text, err := os.ReadFile(filepath.Join(spec.TempDir, "spurtrestle-"+spec.Listen+".intent"))
	if err != nil {
		return "" // nothing was requested yet, or the router is simulated
	}
	var file struct {
		Banned []string `json:"down"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return fmt.Sprintf("the file of the operator state cannot be read: %v", err)
	}
	p.wanted.mu.Lock()
	defer p.wanted.mu.Unlock()
	for uid, banned := range p.wanted.banned {
		if slices.Contains(file.Banned, uid) != banned {
			return fmt.Sprintf("operators last requested banned=%v for %s, but the file has %v", banned, uid, file.Banned)
		}
	}
	return ""
}
