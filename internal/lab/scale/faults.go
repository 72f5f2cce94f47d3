package scale

import (
	"context"
	"errors"
	"sync"
	"time"

	"spurtrestle/internal/scale/result"
)

// The operators' ordinary day: so many restarts of so many routers.
const (
	restartsPerDay    = 5900.0
	routersOfTheFleet = 14000.0
	secondsPerDay     = 24 * 60 * 60
	herd              = 10 // times the ordinary pace
)

// strike has the trial's fault strike until a time.
func (t *trial) strike(ctx context.Context, until time.Time) error {
	switch t.out.Fault {
	case result.RegionPartition:
		perRegion := t.scenario.RoutersPerSite * t.scenario.SitesPerRegion
		if err := t.link(linkState{Cut: []int{0, perRegion}}); err != nil {
			return err
		}
	case result.Restarts:
		return t.restart(ctx, until, 1)
	case result.RestartsTenfold:
		return t.restart(ctx, until, herd)
	case result.RepresentativeKilled:
		t.out.LossRate = t.scenario.Loss
		if err := t.link(linkState{Loss: t.out.LossRate}); err != nil {
			return err
		}
		return t.killRepresentatives(ctx, until)
	}
	return sleep(ctx, time.Until(until))
}

// heal ends what a fault left, and measures how long it takes until all agree again. A loss stays.
func (t *trial) heal(ctx context.Context) error {
	switch t.out.Fault {
	case result.RegionPartition:
		if err := t.link(linkState{}); err != nil {
			return err
		}
	case result.Restarts, result.RestartsTenfold, result.RepresentativeKilled:
	default:
		return nil
	}
	if err := t.away.all(); err != nil {
		return err
	}
	return t.settle(ctx, time.Now())
}

// restarts is how many of a fleet's routers are restarted in a span: one at least, so that something is measured.
func restarts(routers int, span time.Duration, times float64) int {
	pace := restartsPerDay / routersOfTheFleet / secondsPerDay * times
	return max(1, int(pace*float64(routers)*span.Seconds()+0.5))
}

// restart ends routers in order and starts them again, evenly until a time.
func (t *trial) restart(ctx context.Context, until time.Time, times float64) error {
	span := time.Until(until)
	n := restarts(t.out.Routers, span, times)
	return t.every(ctx, span/time.Duration(n), until, func() (request, error) {
		return request{Kind: requestEnd, Router: t.anyHollow()}, nil
	}, 0)
}

// anyHollow draws a router that is no process of its own.
func (t *trial) anyHollow() int {
	for {
		if router := t.random.IntN(t.out.Routers); !t.isReal[router] {
			return router
		}
	}
}

// killRepresentatives kills one after the other until a time. Each is started again a while later.
func (t *trial) killRepresentatives(ctx context.Context, until time.Time) error {
	return t.every(ctx, time.Duration(t.scenario.KillEvery), until, func() (request, error) {
		replies, err := t.workers.askAllTheSame(request{Kind: requestRoles})
		var all []int
		for _, r := range replies {
			all = append(all, r.Roles...)
		}
		if err != nil || len(all) == 0 {
			return request{}, err // none: they have not been found by then
		}
		return request{Kind: requestKill, Router: all[t.random.IntN(len(all))]}, nil
	}, time.Duration(t.scenario.BackAfter))
}

// every ends a router each span until a time, and starts it again after a while. A router that is away is passed over.
func (t *trial) every(ctx context.Context, span time.Duration, until time.Time, choose func() (request, error), away time.Duration) error {
	turn := time.NewTicker(span)
	defer turn.Stop()
	for time.Now().Before(until) {
		end, err := choose()
		if err != nil {
			return err
		}
		if end.Kind != "" && t.away.leave(end.Router) {
			t.out.RouterKills++
			t.away.Go(func() { t.away.back(end.Router, t.again(ctx, end, away)) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-turn.C:
		}
	}
	return nil
}

// again ends a router and starts it after a while.
func (t *trial) again(ctx context.Context, end request, away time.Duration) error {
	w := t.workers[t.workerOf(end.Router)]
	if _, err := w.ask(end); err != nil {
		return err
	}
	if err := sleep(ctx, away); err != nil {
		return err
	}
	_, err := w.ask(request{Kind: requestStart, Routers: []routerSpec{t.specs[end.Router]}})
	return err
}

// away are the routers that were ended and have not come back.
type away struct {
	sync.WaitGroup
	mu     sync.Mutex
	gone   map[int]bool
	failed error
}

func (a *away) leave(router int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone[router] {
		return false
	}
	a.gone[router] = true
	return true
}

func (a *away) back(router int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.gone, router)
	a.failed = errors.Join(a.failed, err)
}

// all waits until all are back. An error: one could not come back.
func (a *away) all() error {
	a.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed
}
