package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"spurtrestle/internal/lab/event"
)

const (
	// maxRepeatedSignals bounds the signals of one kind sent in a row. repeatedSignalGap separates them, because the kernel
	// merges equal signals that are pending.
	maxRepeatedSignals = 6
	repeatedSignalGap  = 2 * time.Millisecond
	// badFileDuration is how long an invalid configuration replaces a valid one.
	badFileDuration = 50 * time.Millisecond
	// signalsDuringShutdown is the time after SIGTERM in which further signals are sent.
	signalsDuringShutdown = 500 * time.Millisecond
	// maxFailedLifetime bounds the lifetime of a replacing process that is started to fail.
	maxFailedLifetime = 600 * time.Millisecond
)

// randomFor returns the random source of a fault at one router.
func (r *run) randomFor(fault, who int) *rand.Rand {
	const stream = 500 // differs from the streams of other parts of the lab
	return rand.New(rand.NewPCG(r.options.Seed, stream+uint64(fault)<<16+uint64(who)))
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// randomDuration returns a random duration from 0 up to the longest.
func randomDuration(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(longest)))
}

// sendSignals sends a router a series of signals that it has to survive, spread over a duration: repeated SIGUSR1, and SIGHUP
// with an unchanged file, with an invalid file, and with a new address of discovery.
func (p *router) sendSignals(ctx context.Context, count int, duration time.Duration, random *rand.Rand) error {
	for range count {
		if !sleep(ctx, randomDuration(random, 2*duration/time.Duration(count))) {
			return nil
		}
		var err error
		switch random.IntN(4) {
		case 0:
			p.sendRepeatedUSR1(1 + random.IntN(maxRepeatedSignals))
		case 1:
			err = p.reload()
		case 2:
			err = p.reloadBadFile()
		case 3:
			err = p.moveDiscovery()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// sendRepeatedUSR1 sends SIGUSR1 several times.
func (p *router) sendRepeatedUSR1(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance == nil || !p.acceptsSignals {
		return
	}
	for range count {
		_ = p.instance.Signal(syscall.SIGUSR1) // fails if it has just ended
		time.Sleep(repeatedSignalGap)
	}
}

// reloadBadFile sends SIGHUP while the configuration file is invalid. No process of the router is started meanwhile.
func (p *router) reloadBadFile() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance == nil || !p.acceptsSignals || p.ending {
		return nil
	}
	if err := os.WriteFile(p.spec().Config, []byte(`{"name":`), 0o644); err != nil {
		return err
	}
	p.sendReload()
	time.Sleep(badFileDuration)
	return p.configure(p.run.registry.FullList(p.index))
}

// moveDiscovery gives the router's agent a new address and reloads the router.
func (p *router) moveDiscovery() error {
	const lingers = 1500 * time.Millisecond
	p.mu.Lock()
	p.moves++
	addr := p.run.addresses.discovery(p.moves)[p.index]
	p.mu.Unlock()
	if err := p.run.registry.MoveAgent(p.index, addr, lingers); err != nil {
		return err
	}
	return p.reload()
}

// sendSignalsDuringShutdown sends further signals to a process that was told to shut down.
func sendSignalsDuringShutdown(ctx context.Context, instance Instance, count int, random *rand.Rand) {
	for range count {
		if !sleep(ctx, randomDuration(random, 2*signalsDuringShutdown/time.Duration(count))) {
			return
		}
		signal := []os.Signal{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM}[random.IntN(3)]
		_ = instance.Signal(signal) // fails if it has ended
	}
}

// replaceAfterFailedStart starts a replacing process that is soon killed or told to end, and right after it replaces the
// serving process.
func (p *router) replaceAfterFailedStart(ctx context.Context, random *rand.Rand) error {
	p.mu.Lock()
	if p.stopped || p.ending || p.instance == nil {
		p.mu.Unlock()
		return nil
	}
	p.failedReplacements++
	spec := p.spec()
	spec.Admin = p.run.addresses.adminEndpoints(firstFailedAdmin + p.failedReplacements)[p.index]
	failing, err := p.run.options.Start(spec)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if !sleep(ctx, randomDuration(random, maxFailedLifetime)) {
		failing.End()
		return nil
	}
	if random.IntN(2) == 0 {
		p.run.log.Add(event.Event{Kind: event.SIGKILLSent, Router: p.index}) // clients may have connected to it
		failing.End()
		if p.ping() {
			p.run.log.Add(event.Event{Kind: event.RouterUp, Router: p.index})
		}
		return p.replace(ctx)
	}
	_ = failing.Signal(syscall.SIGTERM) // fails if it has ended, which Done reports
	err = p.replace(ctx)
	select {
	case <-failing.Done():
		return err
	case <-time.After(p.run.killAfter()):
		failing.End()
		return errors.Join(err, errors.New("a replacing process that was told to end did not end in time"))
	}
}

// fillTmp makes writes of the operator state file fail, as on a full disk, or lets them succeed again.
func (p *router) fillTmp(full bool) error {
	spec := p.spec()
	next := filepath.Join(spec.TempDir, "spurtrestle-"+spec.Listen+".intent.next")
	if !full {
		return os.RemoveAll(next)
	}
	return os.MkdirAll(filepath.Join(next, "full"), 0o700)
}

// countersLine matches the request counters in a router's log.
var countersLine = regexp.MustCompile(`taken=(\d+) served=(\d+) rejected=(\d+) failed=(\d+) left=(\d+)`)

// checkCounters checks that the last counters in a router's log, those of its exit, account for every request. Simulated
// routers log none.
func checkCounters(logFile string) error {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return nil
	}
	lines := countersLine.FindAllStringSubmatch(string(text), -1)
	if len(lines) == 0 {
		return nil
	}
	last := lines[len(lines)-1]
	taken, ended := 0, 0
	for i, digits := range last[1:] {
		count, err := strconv.Atoi(digits)
		if err != nil {
			return err
		}
		if i == 0 {
			taken = count
		} else {
			ended += count
		}
	}
	if taken != ended {
		return fmt.Errorf("its counters do not add up: %s", last[0])
	}
	return nil
}
