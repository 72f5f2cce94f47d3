package routing

import "spurtrestle/core/clock"

// LatencySummary is the state of a latency estimate.
type LatencySummary struct {
	Recent  clock.Duration
	Mean    clock.Duration
	Fastest clock.Duration
	Samples int // at most 32
}

// ServerKnowledge is what a router has learned about one process of a server.
type ServerKnowledge struct {
	Server              ServerID
	StartedAt           clock.Time // from the endpoint list; a different start is a different process
	ReturnedAt          clock.Time // when it was observed to be back, or its ban ended; 0: neither
	ObservedAt          clock.Time // end of the last attempt; if restored, of the earlier process until an attempt ends
	Latency             LatencySummary
	AnswerRate          float64        // per second
	AttemptRate         float64        // per second, over a longer window than AnswerRate
	ReportedServiceTime clock.Duration // mean of the recent reports; 0: none
	FailurePoints       int            // of consecutive failures
	Ejected             bool
	ConnectFailed       bool // the next answer may come from a new process
}

// KeyKnowledge is the count of the reads of one key.
type KeyKnowledge struct {
	Key   KeyHash
	Count float64
}

// Knowledge is what a router has learned and a later process may use. Package staleness decides how much of it counts after a
// restart. It does not include requests, attempts and connections, nor the budgets of warming caches, which are derived from
// the starts in the endpoint list.
type Knowledge struct {
	CapturedAt      clock.Time
	ObservedFor     clock.Duration // how long the rates have been observed
	CacheLatency    LatencySummary // over all caches
	RequestRate     float64
	HitRate         float64
	EndedRate       float64
	AnsweredRate    float64
	AttemptRate     float64
	FailureRate     float64
	RetryBudget     float64
	KeyReads        float64 // reads of all keys, of which Keys are a part
	MethodLatencies []clock.Duration
	Servers         []ServerKnowledge // in no order
	Keys            []KeyKnowledge
}

// Knowledge returns what the router has learned up to an instant. It changes no state except the decay of rates.
func (r *Router) Knowledge(now clock.Time) Knowledge {
	r.now = max(now, r.now)
	knowledge := Knowledge{
		CapturedAt:   r.now,
		ObservedFor:  r.now - r.startedAt,
		CacheLatency: r.cacheLatency.summary(),
		RequestRate:  r.correctedRate(&r.traffic.requests, trafficWindow),
		HitRate:      r.correctedRate(&r.traffic.hits, trafficWindow),
		EndedRate:    r.correctedRate(&r.admission.ended, trafficWindow),
		AnsweredRate: r.correctedRate(&r.admission.answered, trafficWindow),
		AttemptRate:  r.correctedRate(&r.traffic.attempts, attemptWindow),
		FailureRate:  r.correctedRate(&r.traffic.failures, attemptWindow),
		RetryBudget:  r.budgets.retries,
		KeyReads:     r.hotKeys.counts.total,
	}
	for _, m := range r.config.methods {
		knowledge.MethodLatencies = append(knowledge.MethodLatencies, m.latency)
	}
	knowledge.Servers = make([]ServerKnowledge, 0, len(r.endpoints.servers))
	for _, server := range r.endpoints.servers {
		if server.lastAttemptEnd > 0 {
			knowledge.Servers = append(knowledge.Servers, r.serverKnowledge(server))
		}
	}
	knowledge.Keys = r.hotKeys.counts.knowledge()
	return knowledge
}

func (r *Router) serverKnowledge(server *server) ServerKnowledge {
	return ServerKnowledge{
		Server:              server.Server,
		StartedAt:           server.StartedAt,
		ReturnedAt:          server.warmUp.returnedAt,
		ObservedAt:          server.lastAttemptEnd,
		Latency:             server.latency.summary(),
		AnswerRate:          server.answerRate.at(r.now, answerWindow),
		AttemptRate:         r.correctedRate(&server.attemptRate, attemptWindow),
		ReportedServiceTime: meanOf(server.reportedTimes),
		FailurePoints:       server.failurePoints,
		Ejected:             server.isEjected(r.now),
		ConnectFailed:       server.connectFailed,
	}
}

func (l latencyEstimate) summary() LatencySummary {
	return LatencySummary{Recent: l.recent, Mean: l.mean, Fastest: l.fastest, Samples: int(l.samples)}
}

// knowledge returns the counts of the keys that may be hot.
func (k *keyCounts) knowledge() []KeyKnowledge {
	keys := make([]KeyKnowledge, 0, len(k.keys))
	for _, key := range k.keys {
		count := k.byKey[key]
		if count >= minimumReads {
			keys = append(keys, KeyKnowledge{key, count})
		}
	}
	return keys
}
