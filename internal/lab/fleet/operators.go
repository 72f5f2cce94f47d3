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

// call makes one request to a router's admin endpoint. A status other than 2xx is an error.
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

// setBanned makes an operator ban a server at every router, or allow it again. It takes effect within a second.
func (r *run) setBanned(ctx context.Context, uid event.Server, out bool) {
	kind, path := event.ServerBanned, "/ops/cache-servers/down"
	if !out {
		kind, path = event.ServerUnbanned, "/ops/cache-servers/up"
	}
	for _, p := range r.routers {
		r.actions.Go(func() {
			if !out { // requests to the server are allowed from now on
				r.log.Add(event.Event{Kind: kind, Router: p.index, Server: uid})
			}
			if err := p.callOperator(ctx, path, string(uid)); err != nil {
				r.options.Log.WithError(err).Warn("operator call failed")
				return
			}
			if out {
				r.log.Add(event.Event{Kind: kind, Router: p.index, Server: uid})
			}
			p.wanted.setBanned(string(uid), out)
		})
	}
}

// setDrained makes an operator drain a router, or end its drain. The load balancer detects it later.
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

// runReplacement replaces a router's process concurrently with the timeline, one replacement per router at a time.
func (r *run) runReplacement(ctx context.Context, p *router, replace func() error) {
	r.actions.Go(func() {
		p.replaceMu.Lock()
		defer p.replaceMu.Unlock()
		if err := replace(); err != nil {
			r.fail(ctx, fmt.Errorf("replacing router %s: %w; see %s", p.name(), err, p.spec().Log))
		}
	})
}

// fail records an error that fails the run, unless the run has been stopped.
func (r *run) fail(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
}

// replace starts a second process, waits until it is ready, and shuts the first one down.
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
		p.instance, p.acceptsSignals = next, false // the end of the run ends this process; the old one is ended here
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
		return fmt.Errorf("the old process did not end in time")
	}
}
