package choice

import "math"

// decayed is a rate a second over about the last span, forgetting evenly.
type decayed struct {
	value float64
	at    Micros
}

func (d *decayed) now(t, span Micros) float64 {
	if t > d.at {
		d.value *= math.Exp(-float64(t-d.at) / float64(span))
		d.at = t
	}
	return d.value
}

func (d *decayed) add(t, span Micros) {
	d.value = d.now(t, span) + 1e6/float64(span)
}

// sample is one measured time.
type sample struct {
	at, time Micros
}

// mean is that of the samples, 0 where there are none.
func mean(of []sample) Micros {
	sum := Micros(0)
	for _, x := range of {
		sum += x.time
	}
	return sum / Micros(max(1, len(of)))
}

func total(of []float64) (sum float64) {
	for _, x := range of {
		sum += x
	}
	return sum
}

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
