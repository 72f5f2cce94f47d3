// Package arrivals makes the schedule of what clients ask for: when, from which site, for which tenant, method and key,
// and how large the value is. It does no I/O; the same scenario and seed give the same schedule, byte by byte.
package arrivals

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// Arrival is one op that a client wants.
type Arrival struct {
	At     event.Micros
	Site   event.Site
	Method event.Method
	Tenant event.Tenant // -1: none
	Key    string
	Size   int // bytes of the value
	// Leaves is when the client goes away without its answer, counted from At; 0: it stays.
	AbandonAfter event.Micros
}

// zipf draws ranks 0..n-1 with weight 1/(rank+1)^s, from a table: the generator of the library has no s up to one.
type zipf []float64

func newZipf(n int, s float64) zipf {
	z, sum := make(zipf, n), 0.0
	for i := range z {
		sum += math.Pow(float64(i+1), -s)
		z[i] = sum
	}
	return z
}

func (z zipf) draw(r *rand.Rand) int {
	x := r.Float64() * z[len(z)-1]
	return min(sort.SearchFloat64s(z, x), len(z)-1)
}

// weighted draws an index by weights.
func drawWeighted(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// Make makes the whole schedule.
func Generate(s scenario.Scenario, seed uint64) []Arrival {
	// A source of its own for times and for what is asked: a change of one leaves the other as it was.
	times := rand.New(rand.NewPCG(seed, 1))
	contents := rand.New(rand.NewPCG(seed, 2))
	keys := newZipf(s.Load.Keys, s.Load.Zipf)
	// Which key holds which rank is drawn once, so that neighbours in rank are no neighbours in name.
	keyNames := rand.New(rand.NewPCG(seed, 3)).Perm(s.Load.Keys)
	var out []Arrival
	for at := 0.0; ; {
		rate := rateAt(s, event.Micros(at))
		if rate <= 0 {
			at += 1000
		} else if step := 1e6 / rate; s.Load.Arrivals == "even" {
			at += step
		} else {
			at += times.ExpFloat64() * step
		}
		if at >= float64(s.Length) {
			return out
		}
		if rate <= 0 {
			continue
		}
		out = append(out, drawArrival(s, event.Micros(at), contents, keys, keyNames))
	}
}

func rateAt(s scenario.Scenario, at event.Micros) float64 {
	rate := s.Load.Rate
	for _, step := range s.Load.Steps {
		if step.At.Micros() <= at {
			rate = step.Rate
		}
	}
	for _, f := range s.Faults {
		if f.Kind == "burst" && activeAt(f, at) {
			rate *= f.Factor
		}
	}
	return rate
}

func activeAt(f scenario.Fault, at event.Micros) bool {
	return at >= f.At.Micros() && at < f.At.Micros()+f.Duration.Micros()
}

func drawArrival(s scenario.Scenario, at event.Micros, r *rand.Rand, keys zipf, keyNames []int) Arrival {
	a := Arrival{At: at, Tenant: -1}
	a.Site = event.Site(drawWeighted(r, len(s.Sites), func(i int) float64 {
		for _, x := range s.Load.SiteShares {
			if x.Site == s.Sites[i] {
				return x.Share
			}
		}
		return 1
	}))
	a.Method = event.Method(drawWeighted(r, len(s.Methods), func(i int) float64 { return s.Methods[i].Share }))
	if len(s.Tenants) > 0 {
		a.Tenant = event.Tenant(drawWeighted(r, len(s.Tenants), func(i int) float64 {
			return s.Tenants[i].Share * s.Tenants[i].Usage
		}))
	}
	key, spread, abandonShare := keyNames[keys.draw(r)], r.NormFloat64(), s.Clients.AbandonShare
	for i, f := range s.Faults {
		switch {
		case !activeAt(f, at) || f.Site != "" && f.Site != s.Sites[a.Site]:
		case f.Kind == "hot_key" && r.Float64() < f.Share:
			key = s.Load.Keys + i // a key that was cold before
		case f.Kind == "leave":
			abandonShare = f.Share
		}
	}
	a.Key = "k" + strconv.FormatInt(int64(key), 36)
	a.Size = min(s.Load.MaxValueBytes, max(32, int(float64(s.Load.ValueBytes)*math.Exp(0.6*spread-0.18))))
	if s.Load.MaxValueBytes == s.Load.ValueBytes {
		a.Size = s.Load.ValueBytes
	}
	if abandonPoint := r.Float64(); r.Float64() < abandonShare {
		a.AbandonAfter = max(1, event.Micros(abandonPoint*float64(s.Methods[a.Method].LatencyBudget)))
	}
	return a
}

// Hottest are the keys that are asked for most, by rank.
func HottestKeys(s scenario.Scenario, seed uint64, n int) (out []string) {
	keyNames := rand.New(rand.NewPCG(seed, 3)).Perm(s.Load.Keys)
	for _, key := range keyNames[:min(n, len(keyNames))] {
		out = append(out, "k"+strconv.FormatInt(int64(key), 36))
	}
	return out
}

// Digest is a checksum of a schedule, for telling two apart at a glance.
func Digest(schedule []Arrival) string {
	h := sha256.New()
	for _, a := range schedule {
		fmt.Fprintln(h, a.At, a.Site, a.Method, a.Tenant, a.Key, a.Size, a.AbandonAfter)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
