// Package arrivals generates the schedule of client operations: arrival time, site, tenant, method, key and value size.
// Package fleet runs the schedule and package trace stores it. It does no I/O and keeps no state; a scenario and a seed
// always give the same schedule, byte for byte.
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

// Arrival is one scheduled operation of a client.
type Arrival struct {
	At     event.Micros
	Site   event.Site
	Method event.Method
	Tenant event.Tenant // -1 if there is none
	Key    string
	Size   int // size of the value in bytes
	// AbandonAfter is the time from At after which the client gives up waiting; 0 means that it waits for the answer.
	AbandonAfter event.Micros
}

// zipf is a table of cumulative weights for ranks 0..n-1 with weight 1/(rank+1)^s. rand.Zipf supports only s > 1.
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

// drawWeighted returns an index below n with a probability in proportion to its weight.
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

// Generate returns the complete schedule of a scenario, ordered by arrival time.
func Generate(s scenario.Scenario, seed uint64) []Arrival {
	// Times and contents have separate random streams, so that a change to one does not alter the other.
	times := rand.New(rand.NewPCG(seed, 1))
	contents := rand.New(rand.NewPCG(seed, 2))
	keys := newZipf(s.Load.Keys, s.Load.Zipf)
	// Keys are assigned to ranks at random, so that keys of similar popularity do not have adjacent names.
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
			key = s.Load.Keys + i // a key outside the normal key space, so it is not cached yet
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

// HottestKeys returns the n most popular keys, most popular first.
func HottestKeys(s scenario.Scenario, seed uint64, n int) (out []string) {
	keyNames := rand.New(rand.NewPCG(seed, 3)).Perm(s.Load.Keys)
	for _, key := range keyNames[:min(n, len(keyNames))] {
		out = append(out, "k"+strconv.FormatInt(int64(key), 36))
	}
	return out
}

// Digest returns a short checksum of a schedule.
func Digest(schedule []Arrival) string {
	h := sha256.New()
	for _, a := range schedule {
		fmt.Fprintln(h, a.At, a.Site, a.Method, a.Tenant, a.Key, a.Size, a.AbandonAfter)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
