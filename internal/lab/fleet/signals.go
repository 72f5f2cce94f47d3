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
	// longestSignalRow is the most signals of one kind in a row, and signalRowStep the span between two of them: the kernel
	// makes one of equal signals that wait.
	longestSignalRow = 6
	signalRowStep    = 2 * time.Millisecond
	// badFileSpan is how long a bad configuration stays in the place of a good one.
	badFileSpan = 50 * time.Millisecond
	// signalsBesideEnd is the span behind SIGTERM within which further signals come.
	signalsBesideEnd = 500 * time.Millisecond
	// longestDudLife is how long a process lives at most that is to die beside the one it replaces.
	longestDudLife = 600 * time.Millisecond
)

// draws returns the random source of a fault at one router.
func (r *run) draws(fault, who int) *rand.Rand {
	const stream = 500 // not that of another part of the lab
	return rand.New(rand.NewPCG(r.o.Seed, stream+uint64(fault)<<16+uint64(who)))
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

// drawSpan draws a span from 0 to the longest.
func drawSpan(draws *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(draws.Int64N(int64(longest)))
}

// sendSignals sends a router a series of signals that it has to survive, spread over a span: rows of SIGUSR1, and SIGHUP with the
// file as it is, with a bad file, and with a new address of discovery.
func (p *router) sendSignals(ctx context.Context, count int, lasts time.Duration, draws *rand.Rand) error {
	for range count {
		if !sleep(ctx, drawSpan(draws, 2*lasts/time.Duration(count))) {
			return nil
		}
		var err error
		switch draws.IntN(4) {
		case 0:
			p.sendRow(1 + draws.IntN(longestSignalRow))
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

// sendRow sends SIGUSR1 several times.
func (p *router) sendRow(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil || !p.up {
		return
	}
	for range count {
		_ = p.at.Signal(syscall.SIGUSR1) // an error: it has just ended
		time.Sleep(signalRowStep)
	}
}

// reloadBadFile sends SIGHUP while its file cannot be read. No process of the router is started meanwhile.
func (p *router) reloadBadFile() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil || !p.up || p.ending {
		return nil
	}
	if err := os.WriteFile(p.spec().Config, []byte(`{"name":`), 0o644); err != nil {
		return err
	}
	p.hup()
	time.Sleep(badFileSpan)
	return p.configure(p.run.registry.FullList(p.n))
}

// moveDiscovery gives its agent a new address, which its file names from then on.
func (p *router) moveDiscovery() error {
	const lingers = 1500 * time.Millisecond
	p.mu.Lock()
	p.moves++
	addr := p.run.net.discovery(p.moves)[p.n]
	p.mu.Unlock()
	if err := p.run.registry.MoveAgent(p.n, addr, lingers); err != nil {
		return err
	}
	return p.reload()
}

// sendBesideEnd sends a process that was told to end further signals.
func sendBesideEnd(ctx context.Context, at Instance, count int, draws *rand.Rand) {
	for range count {
		if !sleep(ctx, drawSpan(draws, 2*signalsBesideEnd/time.Duration(count))) {
			return
		}
		further := []os.Signal{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM}[draws.IntN(3)]
		_ = at.Signal(further) // an error: it has ended
	}
}

// replaceBehindDud starts a process beside the one that serves which dies soon, or is told to end, and right behind it one that
// stays.
func (p *router) replaceBehindDud(ctx context.Context, draws *rand.Rand) error {
	p.mu.Lock()
	if p.stopped || p.ending || p.at == nil {
		p.mu.Unlock()
		return nil
	}
	p.duds++
	spec := p.spec()
	spec.Admin = p.run.net.doors(firstDudDoor + p.duds)[p.n]
	dud, err := p.run.o.Start(spec)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if !sleep(ctx, drawSpan(draws, longestDudLife)) {
		dud.End()
		return nil
	}
	if draws.IntN(2) == 0 {
		p.run.log.Add(event.Event{Kind: event.Killed, Router: p.n}) // clients may be with it by then
		dud.End()
		if p.ping() {
			p.run.log.Add(event.Event{Kind: event.Up, Router: p.n})
		}
		return p.replace(ctx)
	}
	_ = dud.Signal(syscall.SIGTERM) // an error: it has ended, which Done tells
	err = p.replace(ctx)
	select {
	case <-dud.Done():
		return err
	case <-time.After(p.run.killAfter()):
		dud.End()
		return errors.Join(err, errors.New("a successor that was told to end had not ended by its time"))
	}
}

// fillTmp has the file of the operator state not be written, as on a full disk, or takes that back.
func (p *router) fillTmp(full bool) error {
	spec := p.spec()
	next := filepath.Join(spec.TempDir, "spurtrestle-"+spec.Listen+".intent.next")
	if !full {
		return os.RemoveAll(next)
	}
	return os.MkdirAll(filepath.Join(next, "full"), 0o700)
}

// countersLine finds what a router counts of its requests.
var countersLine = regexp.MustCompile(`taken=(\d+) served=(\d+) rejected=(\d+) failed=(\d+) left=(\d+)`)

// checkCounters reports whether the last counters in a router's log, those of its exit, account for each request. A stand-in for
// a router writes none.
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
