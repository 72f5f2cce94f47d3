package scale

import (
	"context"
	"errors"
	"sync"
	"time"

	"spurtrestle/internal/scale/result"
)

// The rate of ordinary restarts: restartsPerDay in a fleet of routersOfTheFleet.
const (
	restartsPerDay    = 5900.0
	routersOfTheFleet = 14000.0
	secondsPerDay     = 24 * 60 * 60
	herdFactor        = 10 // times the ordinary rate of restarts
)

// applyFault applies the fault of the trial until a time.
func (t *trial) applyFault(ctx context.Context, until time.Time) error {
	switch t.out.Fault {
	case result.RegionPartition:
		perRegion := t.scenario.RoutersPerSite * t.scenario.SitesPerRegion
		if err := t.link(linkState{Cut: []int{0, perRegion}}); err != nil {
			return err
		}
	case result.Restarts:
		return t.restart(ctx, until, 1)
	case result.RestartsTenfold:
		return t.restart(ctx, until, herdFactor)
	case result.RepresentativeKilled:
		t.out.LossRate = t.scenario.Loss
		if err := t.link(linkState{Loss: t.out.LossRate}); err != nil {
			return err
		}
		return t.killRepresentatives(ctx, until)
	}
	return sleep(ctx, time.Until(until))
}

// heal ends the fault and measures how long the views take to agree again. Packet loss continues.
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

// restarts returns how many routers of a fleet are restarted within a span: at least one, so that something is measured.
func restarts(routers int, span time.Duration, times float64) int {
	pace := restartsPerDay / routersOfTheFleet / secondsPerDay * times
	return max(1, int(pace*float64(routers)*span.Seconds()+0.5))
}

// restart stops routers in an orderly way and starts them again, evenly distributed until a time.
func (t *trial) restart(ctx context.Context, until time.Time, times float64) error {
	span := time.Until(until)
	n := restarts(t.out.Routers, span, times)
	return t.stopEvery(ctx, span/time.Duration(n), until, func() (request, error) {
		return request{Kind: requestEnd, Router: t.randomHollow()}, nil
	}, 0)
}

// randomHollow draws a router that is not a real process.
func (t *trial) randomHollow() int {
	for {
		if router := t.random.IntN(t.out.Routers); !t.isReal[router] {
			return router
		}
	}
}

// killRepresentatives kills one representative after the other until a time and starts each again after a while.
func (t *trial) killRepresentatives(ctx context.Context, until time.Time) error {
	return t.stopEvery(ctx, time.Duration(t.scenario.KillEvery), until, func() (request, error) {
		replies, err := t.workers.broadcast(request{Kind: requestRoles})
		var all []int
		for _, r := range replies {
			all = append(all, r.Roles...)
		}
		if err != nil || len(all) == 0 {
			return request{}, err // no representative has been elected yet
		}
		return request{Kind: requestKill, Router: all[t.random.IntN(len(all))]}, nil
	}, time.Duration(t.scenario.BackAfter))
}

// stopEvery stops a router once per span until a time, and starts it again after a while. A router that has not come back yet
// is skipped.
func (t *trial) stopEvery(ctx context.Context, span time.Duration, until time.Time, choose func() (request, error), away time.Duration) error {
	turn := time.NewTicker(span)
	defer turn.Stop()
	for time.Now().Before(until) {
		end, err := choose()
		if err != nil {
			return err
		}
		if end.Kind != "" && t.away.leave(end.Router) {
			t.out.RouterKills++
			t.away.Go(func() { t.away.back(end.Router, t.stopAndRestart(ctx, end, away)) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-turn.C:
		}
	}
	return nil
}

// stopAndRestart stops a router and starts it after a while.
func (t *trial) stopAndRestart(ctx context.Context, end request, away time.Duration) error {
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

// away holds the routers that were stopped and have not come back yet.
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

// all waits until all routers are back. It returns an error if one could not be started again.
func (a *away) all() error {
	a.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed
}
