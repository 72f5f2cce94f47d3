// Package staleness determines how much of a router's learned state is still valid after a restart. Package internal/router
// decays the state of a snapshot before it passes the state to package routing; cache-routerctl shows the result. The package
// has no state, does no I/O and reads no clock.
//
// Each kind of measurement decays exponentially with its own half-life, by the age of its own evidence. Restored measurements
// that have not been confirmed keep the time of their old evidence, so that repeated restarts do not make them younger. When the
// weights have fallen to zero, the defaults of package routing for unmeasured servers apply.
package staleness

import (
	"math"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Half-lives by kind of measurement. Each is several times the time that a new measurement takes, and shorter than the time in
// which the measured quantity usually changes.
const (
	LatencyHalfLife        = 10 * clock.Minute
	FastestLatencyHalfLife = 60 * clock.Minute // of the baseline that distinguishes overload from a slow method
	RateHalfLife           = 60 * clock.Second // of traffic and answers
	HealthHalfLife         = 15 * clock.Second // of consecutive failures and ejection
	HotKeyHalfLife         = 60 * clock.Second
	RetryBudgetHalfLife    = 30 * clock.Second // of the difference from the budget of a new router
)

const (
	// UnknownAge is the age of evidence from the future, whose real age is unknown because the clock was set back. An eighth of the
	// latency samples remains, and nothing that changes within minutes.
	UnknownAge = 30 * clock.Minute

	// MaxObservedFor bounds the time for which restored rates count as observed.
	MaxObservedFor = 60 * clock.Second

	// MinWeight is the weight below which a measurement is dropped: one of the at most 32 samples that package routing counts.
	MinWeight = 1.0 / 32

	// minHealthWeight is the weight below which health is reset: after two half-lives an ejected server would be due for a retry.
	minHealthWeight = 0.25

	// initialRetryBudget is the retry budget of a new router, as in package routing (initialRetries).
	initialRetryBudget = 10

	// minKeyCount is the count below which a hot key is dropped.
	minKeyCount = 1
)

// Age returns the age of evidence, which is UnknownAge for evidence from the future.
func Age(now, observedAt clock.Time) clock.Duration {
	if observedAt > now {
		return UnknownAge
	}
	return now - observedAt
}

// Weight returns the weight of evidence by its age, from 1 down to MinWeight, and 0 below. The half-life must not be 0.
func Weight(age, halfLife clock.Duration) float64 {
	weight := math.Exp2(-float64(age) / float64(halfLife))
	if weight < MinWeight {
		return 0
	}
	return weight
}

// Decay returns the part of the knowledge that is still valid. It does not modify its argument. Knowledge from a predecessor may
// contain invalid values, so negative durations and counts are treated as 0.
func Decay(knowledge routing.Knowledge, now clock.Time) routing.Knowledge {
	age := Age(now, knowledge.CapturedAt)
	decayed := knowledge
	decayed.CacheLatency = decayLatency(knowledge.CacheLatency, age)
	// The rates themselves are kept; the time for which they count as observed decays.
	observedFor := min(max(knowledge.ObservedFor, 0), MaxObservedFor)
	decayed.ObservedFor = scaleDuration(observedFor, Weight(age, RateHalfLife))
	usedRetries := max(0, initialRetryBudget-knowledge.RetryBudget)
	decayed.RetryBudget = initialRetryBudget - Weight(age, RetryBudgetHalfLife)*usedRetries
	hotKeyWeight := Weight(age, HotKeyHalfLife)
	decayed.KeyReads = hotKeyWeight * knowledge.KeyReads
	decayed.Keys = decayKeys(knowledge.Keys, hotKeyWeight)
	decayed.MethodLatencies = nil
	latencyWeight := Weight(age, LatencyHalfLife)
	for _, latency := range knowledge.MethodLatencies {
		decayed.MethodLatencies = append(decayed.MethodLatencies, scaleDuration(latency, latencyWeight))
	}
	decayed.Servers = nil
	for _, server := range knowledge.Servers {
		server = decayServer(server, now)
		if hasEvidence(server) {
			decayed.Servers = append(decayed.Servers, server)
		}
	}
	return decayed
}

func scaleDuration(duration clock.Duration, factor float64) clock.Duration {
	return clock.Duration(factor * float64(duration))
}

// decayKeys scales the counts of the hot keys and drops keys with a small count.
func decayKeys(keys []routing.KeyKnowledge, weight float64) (decayed []routing.KeyKnowledge) {
	for _, key := range keys {
		key.Count *= weight
		if key.Count >= minKeyCount {
			decayed = append(decayed, key)
		}
	}
	return decayed
}

// decayServer decays the knowledge about one server by the age of its own evidence. AttemptRate is kept: package routing corrects
// it by the time for which rates count as observed. ReportedServiceTime is kept until latencies have no weight.
func decayServer(server routing.ServerKnowledge, now clock.Time) routing.ServerKnowledge {
	age := Age(now, server.ObservedAt)
	server.Latency = decayLatency(server.Latency, age)
	server.AnswerRate *= Weight(age, RateHalfLife)
	if Weight(age, LatencyHalfLife) == 0 {
		server.ReportedServiceTime = 0
	}
	if Weight(age, HealthHalfLife) < minHealthWeight {
		server.FailurePoints = 0
		server.Ejected = false
		server.ConnectFailed = false
	}
	server.ReturnedAt = min(server.ReturnedAt, now) // of a time in the future, all that counts is that it is recent
	if server.ObservedAt > now {
		// A later snapshot must not contain evidence from the future. Time 0 would mean that no attempt has ended.
		server.ObservedAt = max(1, now-UnknownAge)
	}
	return server
}

// hasEvidence reports whether the remaining knowledge about a server is worth restoring.
func hasEvidence(server routing.ServerKnowledge) bool {
	return server.Latency.Samples > 0 || server.Ejected
}

// decayLatency reduces the number of samples and moves the fastest latency towards the mean.
func decayLatency(latency routing.LatencySummary, age clock.Duration) routing.LatencySummary {
	latency.Samples = int(Weight(age, LatencyHalfLife) * float64(max(0, latency.Samples)))
	if latency.Samples == 0 {
		return routing.LatencySummary{}
	}
	distance := max(0, latency.Mean-latency.Fastest)
	latency.Fastest += scaleDuration(distance, 1-Weight(age, FastestLatencyHalfLife))
	return latency
}
