package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"spurtrestle/internal/lab/event"
)

// call is one call at a router's door; what the router says is an answer, and how the run goes on is judged without it.
func call(ctx context.Context, method, addr, path, body string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return err
	}
	a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s", method, path, a.Status)
	}
	return nil
}

func (p *router) currentAdmin() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admin()
}

// ban has operators take a server out at every router, or give it back. A second passes at most until it holds.
func (r *run) setBanned(ctx context.Context, uid event.Server, out bool) {
	kind, path := event.Barred, "/ops/cache-servers/down"
	if !out {
		kind, path = event.Unbarred, "/ops/cache-servers/up"
	}
	for _, p := range r.routers {
		r.actions.Go(func() {
			if !out { // what is sent from now on is right
				r.log.Add(event.Event{Kind: kind, Router: p.index, Server: uid})
			}
			if err := p.callOperator(ctx, path, string(uid)); err != nil {
				r.options.Log.WithError(err).Warn("an operator's call")
				return
			}
			if out {
				r.log.Add(event.Event{Kind: kind, Router: p.index, Server: uid})
			}
			p.wanted.setBanned(string(uid), out)
		})
	}
}

// empty has operators drain a router, or take clients again; the front hears of it a little later.
func (r *run) setDrained(ctx context.Context, p *router, on bool) {
	r.actions.Go(func() {
		path := "/ops/drain/stop"
		if on {
			path = "/ops/drain/start"
		}
		err := p.callOperator(ctx, path, "")
		if err == nil {
			p.wanted.setDrained(on)
		}
		if err == nil && !on {
			err = p.waitUntilReady(ctx, 2*time.Second)
		}
		if err != nil {
			r.fail(ctx, fmt.Errorf("router %s, %s: %w", p.name(), path, err))
			return
		}
		if on {
			time.AfterFunc(200*time.Millisecond, func() { r.balancer.SetAlive(p.index, false) })
		}
	})
}

// replacing replaces a router's process beside the timeline. One replacement of a router runs at a time.
func (r *run) runReplacement(ctx context.Context, p *router, replace func() error) {
	r.actions.Go(func() {
		p.replaceMu.Lock()
		defer p.replaceMu.Unlock()
		if err := replace(); err != nil {
			r.fail(ctx, fmt.Errorf("replacing router %s: %w; see %s", p.name(), err, p.spec().Log))
		}
	})
}

func (r *run) fail(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
}

// replace starts a second process beside the one that serves, waits for its yes, and ends the first in order.
func (p *router) replace(ctx context.Context) error {
	const timeout = 6 * time.Second
	p.mu.Lock()
	if p.stopped || p.ending || p.instance == nil {
		p.mu.Unlock()
		return nil
	}
	old := p.instance
	p.replacements++
	admin := p.admin()
	next, err := p.run.options.Start(p.spec())
	if err == nil {
		p.instance, p.acceptsSignals = next, false // whoever ends the run ends this one; the other is ended here
		go p.watch(next)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	defer old.End()
	for until := time.Now().Add(timeout); call(ctx, http.MethodGet, admin, "/ops/readiness", "") != nil; {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("not ready within %v", timeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.allowSignals(next)
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old.Done():
		return old.Err()
	case <-time.After(p.run.killAfter()):
		return fmt.Errorf("the old process had not ended by its time")
	}
}
