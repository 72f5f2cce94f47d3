package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

// worker runs the hollow routers of one process. One goroutine serves its requests.
type worker struct {
	link atomic.Pointer[linkState]

	mu      sync.Mutex // guards the fields below while routers are started concurrently
	routers map[int]*hollow
	ended   []routerCounts // of routers that have stopped
}

// Work serves requests until the end of the input. It returns then without stopping its routers in an orderly way.
func Work(requests io.Reader, replies io.Writer) error {
	w := &worker{routers: map[int]*hollow{}}
	w.link.Store(&linkState{})
	in, out := json.NewDecoder(bufio.NewReader(requests)), json.NewEncoder(replies)
	for {
		var r request
		if err := in.Decode(&r); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("reading a request: %w", err)
		}
		answer, err := w.answer(r)
		if err != nil {
			answer.Error = err.Error()
		}
		answer.Routers = len(w.routers)
		if err := out.Encode(answer); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (w *worker) answer(r request) (reply, error) {
	switch r.Kind {
	case requestStart:
		return reply{}, w.start(r.Routers)
	case requestCount:
		answer, err := usage()
		answer.Counts = w.counts()
		return answer, err
	case requestUsage:
		return usage()
	case requestStatus:
		return reply{Status: w.status()}, nil
	case requestRoles:
		return reply{Roles: w.representatives()}, nil
	case requestChange:
		return w.change(r.Router, r.Revision)
	case requestKnown:
		return reply{Known: w.known(r.Process, r.Revision)}, nil
	case requestLink:
		w.link.Store(&r.Link)
		return reply{}, nil
	case requestKill, requestEnd:
		return reply{}, w.end(r.Router, r.Kind == requestKill)
	}
	return reply{}, fmt.Errorf("unknown request %q", r.Kind)
}

func (w *worker) start(specs []routerSpec) error {
	failed := make([]error, len(specs))
	var wg sync.WaitGroup
	for i, spec := range specs {
		wg.Go(func() {
			h := &hollow{spec: spec}
			if failed[i] = h.open(&w.link); failed[i] != nil {
				return
			}
			w.mu.Lock()
			w.routers[spec.Index] = h
			w.mu.Unlock()
		})
	}
	wg.Wait()
	return errors.Join(failed...)
}

// usage returns the resource usage of this process so far.
func usage() (reply, error) {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return reply{}, fmt.Errorf("reading the CPU time: %w", err)
	}
	memory, err := rss()
	if err != nil {
		return reply{}, err
	}
	return reply{Usage: &processUsage{time.Duration(used.Utime.Nano() + used.Stime.Nano()), memory}}, nil
}

// counts returns the traffic of all routers that run or ran in this process.
func (w *worker) counts() []routerCounts {
	all := slices.Clone(w.ended)
	for _, h := range w.routers {
		all = append(all, h.counts())
	}
	return all
}

// status collects the digests of the routers' views. It does not read whole views: in a large flat fleet that would cost more
// than what is measured.
func (w *worker) status() *status {
	s := &status{Digests: map[string][]uint64{}}
	add := func(scope string, digest uint64) {
		if !slices.Contains(s.Digests[scope], digest) {
			s.Digests[scope] = append(s.Digests[scope], digest)
		}
	}
	for _, h := range w.routers {
		digest, settled := h.node.Digest()
		if h.spec.Topology == result.Flat {
			add("fleet", digest)
		} else {
			sites, regions := h.node.HierarchyDigests()
			add("fleet", regions)
			add(fmt.Sprintf("region %d", h.spec.Region), sites)
			add(fmt.Sprintf("site %d", h.spec.Site), digest)
			settled = settled && h.node.Settled()
		}
		if settled {
			s.Settled++
		}
	}
	return s
}

func (w *worker) representatives() (all []int) {
	for i, h := range w.routers {
		if h.node.HierarchyRole().RepresentsSite {
			all = append(all, i)
		}
	}
	slices.Sort(all)
	return all
}

func (w *worker) change(router int, revision uint64) (reply, error) {
	h := w.routers[router]
	if h == nil {
		return reply{}, fmt.Errorf("router %d is not running in this worker", router)
	}
	h.node.SetPolicyRevision(revision)
	return reply{Process: h.node.Self()}, nil
}

func (w *worker) known(process fleet.Incarnation, revision uint64) (n int) {
	for _, h := range w.routers {
		newest := h.node.RevisionOf(process)
		if h.spec.Topology == result.Tiered {
			newest = h.node.NewestRevision()
		}
		if newest >= revision {
			n++
		}
	}
	return n
}

func (w *worker) end(router int, killed bool) error {
	h := w.routers[router]
	if h == nil {
		return fmt.Errorf("router %d is not running in this worker", router)
	}
	delete(w.routers, router)
	if killed {
		h.links.dead.Store(true)
		h.node.Kill()
	} else {
		h.node.Close(false)
	}
	w.ended = append(w.ended, h.counts())
	return nil
}
