package routing

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"

	"spurtrestle/core/clock"
)

// decayed is a rate a second over about the last span, forgetting evenly.
type decayed struct {
	value float64
	at    clock.Time
}

func (d *decayed) now(t, span clock.Time) float64 {
	if t > d.at {
		d.value *= math.Exp(-float64(t-d.at) / float64(span))
		d.at = t
	}
	return d.value
}

func (d *decayed) add(t, span clock.Time) { d.addSome(1, t, span) }

func (d *decayed) addSome(n float64, t, span clock.Time) {
	d.value = d.now(t, span) + n*1e6/float64(span)
}

// sample is one measured time.
type sample struct {
	at, time clock.Time
}

// mean is that of the samples, 0 where there are none.
func mean(of []sample) clock.Time {
	sum := clock.Time(0)
	for _, x := range of {
		sum += x.time
	}
	return sum / clock.Time(max(1, len(of)))
}

// gauge follows a time: smoothed over about the last fifteen, over more, and the quickest of that, which
// falls at once and rises over minutes, not within one trouble.
type gauge struct {
	time, long, best clock.Time
	n                clock.Time // samples, up to gaugeFull
	kept             clock.Time // the quickest, as known before a restart; 0: none
}

const gaugeFull = 32

func (g *gauge) measure(took clock.Time) {
	g.n = min(g.n+1, gaugeFull)
	g.time += (took - g.time) / min(g.n, 8)
	g.long += (took - g.long) / g.n
	if g.n < gaugeFull { // a mean of few is quick or slow by chance
		g.best = g.long
		if g.kept > 0 {
			g.best = min(g.long, g.kept)
		}
	}
	g.best = min(g.best+max(0, g.long-g.best)/2000, g.long)
}

// quick is one up to so many times the quickest answer; beyond it falls by the square.
func (g gauge) quick(times float64) float64 {
	q := min(1, times*float64(max(1, g.best))/float64(max(1, g.long)))
	return q * q
}

// upTo is one up to the goal; beyond it falls by the square.
func upTo(time, goal clock.Time) float64 {
	q := min(1, float64(goal)/float64(max(1, time)))
	return q * q
}

// report keeps a service time that a server told, or that stands for one.
func (s *server) report(at, time clock.Time) {
	const last = 16 // N: answers enough to smooth a heavy-tailed service time
	s.reported = append(s.reported, sample{at, time})
	s.reported = s.reported[max(0, len(s.reported)-last):]
}

// measure takes the time of an answer, into the record of all caches as well.
func (r *Router) measure(s *server, took clock.Time) {
	if s.measure(took); !s.origin {
		r.seen.measure(took)
	}
}

// takeReport keeps the reported service time, or where none is told the own one. The origin's is that of all
// routers' fetches: one of hundreds has a few answers a second, and saw it fill seconds late.
func (r *Router) takeReport(s *server, rep Report, took clock.Time) {
	i := slices.Index(r.figures, FigureServiceTime)
	told := i >= 0 && i < len(rep) && rep[i] > 0
	if told {
		took = clock.Time(rep[i] * 1e3)
	}
	if s.origin && told {
		s.time = took
	} else if took > 0 && !s.origin {
		s.report(r.now, took)
	}
}

// leaning is g where it has samples enough, and the other one as far as it lacks them.
func (g gauge) leaning(on gauge) gauge {
	mix := func(own, other clock.Time) clock.Time { return (g.n*own + (gaugeFull-g.n)*other) / gaugeFull }
	return gauge{mix(g.time, on.time), mix(g.long, on.long), mix(g.best, on.best), g.n, g.kept}
}

// keyCounts is a bounded table of counts.
type keyCounts struct {
	counts map[KeyHash]float64
	keys   []KeyHash // in order of coming, so that nothing hangs on the map's order
	total  float64
	most   int // keys kept
}

func (h *keyCounts) count(k KeyHash) {
	h.total++
	if _, ok := h.counts[k]; ok || len(h.keys) < h.most {
		if !ok {
			h.keys = append(h.keys, k)
		}
		h.counts[k]++
		return
	}
	// Full: all lose one, and those at nothing leave (after Misra and Gries).
	h.keys = slices.DeleteFunc(h.keys, func(k KeyHash) bool {
		if h.counts[k]--; h.counts[k] > 0 {
			return false
		}
		delete(h.counts, k)
		return true
	})
}

// age halves all counts.
func (h *keyCounts) age() {
	h.total /= 2
	for _, k := range h.keys {
		h.counts[k] /= 2
	}
}

// CountCaches counts the caches in the list, and those of them that are not used now: taken out, or set aside.
func (r *Router) CountCaches() (listed, avoided int) {
	for _, s := range r.all {
		if !s.origin {
			listed++
			if r.barred[s.Server] || s.aside > r.now {
				avoided++
			}
		}
	}
	return listed, avoided
}

func total(of []float64) (sum float64) {
	for _, x := range of {
		sum += x
	}
	return sum
}

// clamp makes a negative share zero, takes its size over GF-1 from the positive ones, and renormalises.
func clamp(shares []float64) []float64 {
	short := 0.0
	for i, x := range shares {
		if x < 0 {
			short -= x / float64(len(shares)-1)
			shares[i] = 0
		}
	}
	for i, x := range shares {
		if x > 0 {
			shares[i] = max(0, x-short)
		}
	}
	sum := total(shares)
	for i := range shares {
		if sum > 0 {
			shares[i] /= sum
		} else {
			shares[i] = 1 / float64(len(shares))
		}
	}
	return shares
}

func keyHash(k Key) KeyHash { return KeyHash(hashText(string(k))) }

// mix spreads the bits of x (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashText is FNV-1a, mixed. It is the same in every process, which hash/maphash is not.
func hashText(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// dice gives chance by a seed and a counter.
type dice struct {
	seed, draws uint32
}

// chance draws from [0, 1).
func (d *dice) chance() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], d.seed)
	binary.LittleEndian.PutUint32(b[4:], d.draws)
	d.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// draw gives a place by shares that add up to one.
func (d *dice) draw(shares []float64) int {
	x := d.chance()
	for i, p := range shares {
		if x < p {
			return i
		}
		x -= p
	}
	return 0
}
