// Package staleness decides how much of what a router knew still counts after a restart. It does no I/O and takes the time
// as an argument; package routing gives the knowledge and takes what is left of it.
//
// Every kind of figure has a half-life, and ages by the time of its own evidence: what was restored and not seen anew
// keeps its time, so that a row of restarts makes nothing younger. Weights fall smoothly to nothing, where the prior of
// package routing (no answers measured yet) stands in.
package staleness

import (
	"math"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Half-lives. Each is some times as long as the figure takes to be measured anew, and short against the time in which it
// changes by itself.
const (
	Times   clock.Time = 10 * 60e6 // service times: machines keep their speed for hours, but neighbours come and go
	Quick   clock.Time = 60 * 60e6 // the quickest time: what tells crowding from a slow method
	Rates   clock.Time = 60e6      // of traffic and answers: a crest lasts minutes
	Health  clock.Time = 15e6      // failures in a row, and being set aside: some trials long
	HotKeys clock.Time = 60e6      // hot keys cool within minutes
	Budget  clock.Time = 30e6      // the retry budget, towards a new router's
)

// Unknown is the age of evidence from the future: the clock was set back, and by how much nobody can tell. It leaves
// an eighth of the times and nothing that changes within minutes.
const Unknown clock.Time = 30 * 60e6

// MostWatched is how long rates count as watched at most: some times the longest span of a rate.
const MostWatched clock.Time = 60e6

// Least is the weight under which a figure is dropped: of 32 answers one is left.
const Least = 1.0 / 32

const newBudget = 10 // of a router that has just started

// Age is how old evidence is.
func Age(now, at clock.Time) clock.Time {
	if at > now {
		return Unknown
	}
	return now - at
}

// Weight is what evidence of an age counts, from one to nothing.
func Weight(age, halfLife clock.Time) float64 {
	w := math.Exp2(-float64(age) / float64(halfLife))
	if w < Least {
		return 0
	}
	return w
}

// Fade is what is left of knowledge at a time. The knowledge given is not changed.
func Fade(k routing.Knowledge, now clock.Time) routing.Knowledge {
	age := Age(now, k.CapturedAt)
	out := k
	out.CacheLatency = times(k.CacheLatency, age)
	rates := Weight(age, Rates)
	// The rates themselves stay: what fades is for how long they count as watched.
	out.ObservedFor = clock.Time(rates * float64(min(max(k.ObservedFor, 0), MostWatched)))
	out.RetryBudget = newBudget - Weight(age, Budget)*max(0, newBudget-k.RetryBudget)
	hot := Weight(age, HotKeys)
	out.KeyReads = hot * k.KeyReads
	out.Keys = nil
	for _, key := range k.Keys {
		if key.Count *= hot; key.Count >= 1 {
			out.Keys = append(out.Keys, key)
		}
	}
	out.MethodLatencies = nil
	for _, t := range k.MethodLatencies {
		out.MethodLatencies = append(out.MethodLatencies, clock.Time(Weight(age, Times)*float64(t)))
	}
	out.Servers = nil
	for _, s := range k.Servers {
		if s, left := server(s, now); left {
			out.Servers = append(out.Servers, s)
		}
	}
	return out
}

// server fades by the time of its own evidence; false where nothing is left.
func server(s routing.ServerKnowledge, now clock.Time) (routing.ServerKnowledge, bool) {
	age := Age(now, s.ObservedAt)
	s.Latency = times(s.Latency, age)
	s.AnswerRate *= Weight(age, Rates)
	if Weight(age, Times) == 0 {
		s.ReportedServiceTime = 0
	}
	if Weight(age, Health) < 0.25 { // two half-lives: it has had more trials since than it would be given now
		s.FailurePoints, s.Ejected, s.ConnectFailed = 0, false, false
	}
	if s.ObservedAt > now { // its time must not be from the future for those who come after
		s.ObservedAt = max(1, now-Unknown)
	}
	return s, s.Latency.Samples > 0 || s.Ejected
}

// times fades a gauge: fewer answers, and the quickest time goes over into the usual one.
func times(t routing.LatencySummary, age clock.Time) routing.LatencySummary {
	t.Samples = int(Weight(age, Times) * float64(max(0, t.Samples)))
	if t.Samples == 0 {
		return routing.LatencySummary{}
	}
	t.Fastest += clock.Time((1 - Weight(age, Quick)) * float64(max(0, t.Mean-t.Fastest)))
	return t
}
