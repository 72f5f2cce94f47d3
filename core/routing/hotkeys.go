package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

// This file: which keys are hot, and the shares by which their reads are drawn.

// A third of the bound of one over the cache count: a key just under that bound is most of a cache's load.
const hotBound = 0.35

// load is what the reads of a key are, as a multiple of a mean cache's reads, and how sure that is. One read
// is chance, however few a router of hundreds has seen; and forty reads of other keys are granted at the
// start.
func (r *Router) load(q *request) (load, sure float64) {
	const few, granted = 2, 40
	n := r.hot.counts[keyHash(q.key)]
	if n < few || q.write || q.key == "" {
		return 0, 0
	}
	return n / (r.hot.total + granted) * float64(len(r.caches)), 1 - 1/math.Sqrt(n)
}

// recompute fixes what the shares are made from until the next time.
func (r *Router) recompute() {
	const every, stale = 2e6, 10e6 // the design's first setting; samples older than five of it drop
	if r.now < r.recomputeAt {
		return
	}
	r.recomputeAt = r.now + every
	// The window is one of reads too: in seconds alone a router of hundreds never saw a key often enough. Of ten
	// reads a cache a key at the bound has some.
	if r.hot.total >= 10*float64(len(r.caches)) {
		r.hot.age()
	}
	sum, n := clock.Time(0), clock.Time(0)
	for _, s := range r.caches {
		s.reported = slices.DeleteFunc(s.reported, func(x sample) bool { return r.now-x.at > stale })
		s.fixed = load{mean(s.reported), s.writes, s.reads}
		s.writes, s.reads = 0, 0
		if s.fixed.time > 0 {
			sum, n = sum+s.fixed.time, n+1
		}
	}
	for _, s := range r.caches {
		if s.fixed.time == 0 && n > 0 {
			s.fixed.time = sum / n // not yet heard from: the others' mean
		}
	}
}

// sharesOf is the design's read distribution over one group.
func (r *Router) sharesOf(group []*server) []float64 {
	writes, times, reads := make([]float64, len(group)), make([]float64, len(group)), 0.0
	for i, s := range group {
		if !r.aside { // in aside mode the writes go to the origin: Pw = 0
			writes[i] = s.fixed.writes
		}
		reads += s.fixed.reads
		times[i] = float64(s.fixed.time)
	}
	return algorithm2(algorithm1(writes, reads), times)
}

// algorithm1 levels reads and writes over the group; with nothing counted each gets 1/GF.
func algorithm1(writes []float64, reads float64) []float64 {
	n, all := float64(len(writes)), total(writes)
	shares := make([]float64, len(writes))
	for i, w := range writes {
		shares[i] = 1 / n
		if all > 0 && reads > 0 {
			fw := all / (all + reads)
			shares[i] = (1/n - w/all*fw) / (1 - fw)
		}
	}
	return clamp(shares)
}

// algorithm2 takes from the slow and gives to the quick.
func algorithm2(shares, times []float64) []float64 {
	n, all := float64(len(times)), total(times)
	for i, t := range times {
		if all > 0 {
			shares[i] -= t/all - 1/n
		}
	}
	return clamp(shares)
}
