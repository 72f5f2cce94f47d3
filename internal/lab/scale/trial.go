package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

const (
	idleSpan    = time.Second // for which the workers are measured without routers
	statusEvery = 250 * time.Millisecond
	knownEvery  = 100 * time.Millisecond
)

// trial is one fleet under one fault. It belongs to the goroutine that runs it, apart from away.
type trial struct {
	scenario  Scenario
	network   network
	workers   workers
	random    *rand.Rand
	order     []int              // in which the routers are started
	specs     map[int]routerSpec // of the routers that were started
	away      away
	turn      int // index into order of the router that announces the next change
	revision  uint64
	maxMemory int64 // memory in bytes that all workers may use together
	isReal    map[int]bool
	real      *realRouters // nil without real routers
	out       result.Trial
}

// plan identifies a trial of a scenario.
type plan struct {
	fault result.Fault
	size  int
	seed  uint64
}

var errMemory = errors.New("the workers use more than half of the machine's memory")

// runTrial runs one trial. On an error the result holds what was measured until then, and why it is incomplete.
func runTrial(ctx context.Context, s Scenario, p plan, o Options) (result.Trial, error) {
	n, err := claimNetwork(s.Network)
	if err != nil {
		return result.Trial{}, err
	}
	defer n.close()
	if err := n.checkFree(p.size); err != nil {
		return result.Trial{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ws, err := startWorkers(ctx, o.Program, processes(s, p.size))
	if err != nil {
		return result.Trial{}, err
	}
	defer ws.end()
	t := &trial{scenario: s, specs: map[int]routerSpec{}, away: away{gone: map[int]bool{}}, network: n, workers: ws, random: rand.New(rand.NewPCG(p.seed, uint64(p.size))), maxMemory: o.Machine.Memory / 2, isReal: map[int]bool{},
		out: result.Trial{Topology: s.Topology, Fault: p.fault, Seed: p.seed, Routers: p.size, Sites: s.sites(p.size), Regions: s.regions(p.size),
			ProbeInterval: time.Duration(s.Probe).Seconds()}}
	t.order = t.random.Perm(p.size)
	for _, index := range realIndexes(s.Real, p.size) {
		t.isReal[index] = true
	}
	err = t.run(ctx, o.Router)
	if t.real != nil {
		t.real.end()
	}
	if ctx.Err() != nil {
		return t.out, ctx.Err()
	}
	if err != nil {
		t.out.Incomplete = err.Error()
	}
	return t.out, err
}

// hollowRouters returns the number of routers that are not real processes.
func (t *trial) hollowRouters() int { return t.out.Routers - len(t.isReal) }

func (t *trial) run(ctx context.Context, router string) error {
	if err := t.measureHarness(ctx); err != nil {
		return err
	}
	if t.out.Fault == result.PacketLoss {
		t.out.LossRate = t.scenario.Loss
		if err := t.link(linkState{Loss: t.out.LossRate}); err != nil {
			return err
		}
	}
	started, err := t.start()
	if err != nil {
		return err
	}
	if err := t.startReal(ctx, router, started); err != nil {
		return err
	}
	if err := t.settle(ctx, time.Now()); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration(t.scenario.Calm)); err != nil {
		return err
	}
	if err := t.measure(ctx); err != nil {
		return err
	}
	return t.change(ctx)
}

// measureHarness measures the usage of the workers without routers, which is subtracted from the results.
func (t *trial) measureHarness(ctx context.Context) error {
	before, err := t.usage()
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := sleep(ctx, idleSpan); err != nil {
		return err
	}
	after, err := t.usage()
	if err != nil {
		return err
	}
	each := float64(t.hollowRouters())
	t.out.Harness = result.Usage{CPU: (after.CPU - before.CPU).Seconds() / time.Since(begin).Seconds() / each, Memory: float64(after.Memory) / each}
	return nil
}

// usage returns the usage of all workers so far, and errMemory if they use too much memory.
func (t *trial) usage() (sum processUsage, err error) {
	replies, err := t.workers.broadcast(request{Kind: requestUsage})
	for _, r := range replies {
		if r.Usage != nil {
			sum.CPU += r.Usage.CPU
			sum.Memory += r.Usage.Memory
		}
	}
	if err == nil && sum.Memory > t.maxMemory {
		err = errMemory
	}
	return sum, err
}

// workerOf returns the worker that runs a router. Consecutive routers, and so most of a site, share a worker.
func (t *trial) workerOf(router int) int { return router * len(t.workers) / t.out.Routers }

// start starts all hollow routers, a batch at each worker at a time, and returns them in order of their start.
func (t *trial) start() (started []int, err error) {
	queues := make([][]int, len(t.workers))
	for _, r := range t.order {
		if t.isReal[r] {
			continue
		}
		queues[t.workerOf(r)] = append(queues[t.workerOf(r)], r)
	}
	for slices.ContainsFunc(queues, func(q []int) bool { return len(q) > 0 }) {
		batches := make([][]routerSpec, len(t.workers))
		for i, q := range queues {
			k := min(t.scenario.Starts, len(q))
			for _, r := range q[:k] {
				t.specs[r] = t.spec(r, started)
				batches[i] = append(batches[i], t.specs[r])
			}
			queues[i] = q[k:]
		}
		if _, err := t.workers.askAll(func(i int) request { return request{Kind: requestStart, Routers: batches[i]} }); err != nil {
			return started, err
		}
		for _, batch := range batches {
			for _, s := range batch {
				started = append(started, s.Index)
			}
		}
		if _, err := t.usage(); err != nil {
			return started, err
		}
	}
	return started, nil
}

// maxJoin limits how many routers a starting router contacts first.
const maxJoin = 4

// spec returns the configuration of a router. The routers that it contacts first depend on the topology and on which were
// started before.
func (t *trial) spec(router int, started []int) routerSpec {
	s := t.scenario
	site := router / s.RoutersPerSite
	spec := routerSpec{Index: router, Network: t.network.number, Fleet: t.out.Routers, Topology: s.Topology, Site: site,
		Region: site / s.SitesPerRegion, Probe: time.Duration(s.Probe), Seed: t.out.Seed}
	if s.Topology == result.Flat {
		spec.Join = t.flatJoin(router, started)
		return spec
	}
	first := site * s.RoutersPerSite
	for r := first; r < min(first+s.RoutersPerSite, t.out.Routers) && len(spec.Join) < maxJoin; r++ {
		if r != router {
			spec.Join = append(spec.Join, r)
		}
	}
	spec.Remote = t.remote(spec)
	return spec
}

// flatJoin returns the first router that was started and some random others.
func (t *trial) flatJoin(router int, started []int) (join []int) {
	if t.order[0] != router {
		join = append(join, t.order[0])
	}
	for range min(maxJoin-1, len(started)) {
		if r := started[t.random.IntN(len(started))]; r != router && !slices.Contains(join, r) {
			join = append(join, r)
		}
	}
	return join
}

// remote returns the first router of the first site of the own region, and of the next region.
func (t *trial) remote(spec routerSpec) (remote []int) {
	perRegion := t.scenario.RoutersPerSite * t.scenario.SitesPerRegion
	for _, region := range []int{spec.Region, (spec.Region + 1) % t.out.Regions} {
		if r := region * perRegion; r != spec.Index && r/t.scenario.RoutersPerSite != spec.Site && !slices.Contains(remote, r) {
			remote = append(remote, r)
		}
	}
	return remote
}

// settle waits until all views agree, and records how long that took since a time.
func (t *trial) settle(ctx context.Context, since time.Time) error {
	t.out.ConvergenceTime, t.out.ConvergenceKnownTime = nil, nil
	for time.Since(since) < time.Duration(t.scenario.Settle) {
		agreed, settled, err := t.agreement()
		if err != nil {
			return err
		}
		if !agreed {
			t.out.ConvergenceTime = nil // the agreement did not last
		} else if t.out.ConvergenceTime == nil {
			t.out.ConvergenceTime = seconds(since)
		}
		if agreed && settled {
			t.out.ConvergenceKnownTime = seconds(since)
			return nil
		}
		if err := sleep(ctx, statusEvery); err != nil {
			return err
		}
		if _, err := t.usage(); err != nil {
			return err
		}
	}
	return nil
}

func seconds(since time.Time) *float64 {
	s := time.Since(since).Seconds()
	return &s
}

// agreement reports whether all views are the same, and whether all routers know it.
func (t *trial) agreement() (agreed, settled bool, err error) {
	replies, err := t.workers.broadcast(request{Kind: requestStatus})
	if err != nil {
		return false, false, err
	}
	digests, agreed := map[string]uint64{}, true
	running, know := 0, 0
	for _, r := range replies {
		running, know = running+r.Routers, know+r.Status.Settled
		for scope, all := range r.Status.Digests {
			for _, d := range all {
				if known, ok := digests[scope]; ok && known != d {
					agreed = false
				}
				digests[scope] = d
			}
		}
	}
	return agreed && running == t.hollowRouters(), know == t.hollowRouters(), nil
}

// measure counts the traffic and usage of a span during which the fault is applied.
func (t *trial) measure(ctx context.Context) error {
	before, err := t.workers.broadcast(request{Kind: requestCount})
	if err != nil {
		return err
	}
	realBefore, err := t.sampleReal()
	if err != nil {
		return err
	}
	busyBefore, err := machineBusy()
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := t.applyFault(ctx, begin.Add(time.Duration(t.scenario.Measure))); err != nil {
		return err
	}
	after, err := t.workers.broadcast(request{Kind: requestCount})
	if err != nil {
		return err
	}
	busyAfter, err := machineBusy()
	if err != nil {
		return err
	}
	span := time.Since(begin)
	realAfter, err := t.sampleReal()
	if err != nil {
		return err
	}
	own := workersUsed(before, after) + realBefore.used(realAfter)
	others := otherLoad(busyAfter-busyBefore, own, span)
	t.out.OtherLoad = &others
	t.rates(before, after, span)
	t.realRates(realBefore, realAfter, span)
	return t.heal(ctx)
}

// killsBeforeChange is how many representatives are killed before the change, so that their successors have taken over.
const killsBeforeChange = 5

// changeAt returns a running router that no fault stops from now on: a change is lost if its router stops too early.
func (t *trial) changeAt() (int, error) {
	t.away.mu.Lock()
	defer t.away.mu.Unlock()
	if len(t.away.gone) >= t.hollowRouters() {
		return 0, errNoRouter
	}
	for {
		if r := t.order[t.turn%t.out.Routers]; !t.away.gone[r] && !t.isReal[r] {
			t.away.gone[r] = true
			return r, nil
		}
		t.turn++
	}
}

var errNoRouter = errors.New("no router runs at which a change could be made")

// change has one router announce a new revision of the policy and measures how long it takes until all routers know it.
func (t *trial) change(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var striking sync.WaitGroup
	defer func() {
		cancel()
		striking.Wait()
		t.away.Wait()
	}()
	if t.out.Fault == result.RepresentativeKilled {
		until := time.Now().Add(time.Duration(t.scenario.Change) + time.Duration(killsBeforeChange*t.scenario.KillEvery))
		striking.Go(func() { _ = t.killRepresentatives(ctx, until) }) // its error does not matter: it ends with the change
		if err := sleep(ctx, time.Duration(killsBeforeChange*t.scenario.KillEvery)); err != nil {
			return err
		}
	}
	at, err := t.changeAt()
	if err != nil {
		return err
	}
	t.revision++
	changed, err := t.workers[t.workerOf(at)].ask(request{Kind: requestChange, Router: at, Revision: t.revision})
	if err != nil {
		return err
	}
	begin := time.Now()
	for time.Since(begin) < time.Duration(t.scenario.Change) {
		known, running, err := t.known(changed.Process)
		if err != nil {
			return err
		}
		if known == running {
			t.out.PropagationTime = seconds(begin)
			return nil
		}
		if err := sleep(ctx, knownEvery); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) known(process fleet.Incarnation) (known, running int, err error) {
	replies, err := t.workers.broadcast(request{Kind: requestKnown, Process: process, Revision: t.revision})
	for _, r := range replies {
		known, running = known+r.Known, running+r.Routers
	}
	return known, running, err
}

func (t *trial) link(l linkState) error {
	_, err := t.workers.broadcast(request{Kind: requestLink, Link: l})
	return err
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
