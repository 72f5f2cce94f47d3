package routing

import "spurtrestle/core/clock"

// MaxRestoredSamples bounds the samples that a restored latency counts as. It is a quarter of a full estimate, so that new
// samples soon outweigh the restored ones.
const MaxRestoredSamples = 8

// restoreKnowledge restores the knowledge of an earlier process. Rates count as observed for as long as that process observed
// them. The retry budget is not raised, so that a restart does not renew it.
func (r *Router) restoreKnowledge(knowledge Knowledge) {
	r.startedAt = min(r.startedAt, r.now-knowledge.ObservedFor)
	r.cacheLatency.restore(knowledge.CacheLatency)
	r.budgets.retries = min(r.budgets.retries, knowledge.RetryBudget)
	r.hotKeys.counts.restore(knowledge.Keys, knowledge.KeyReads)
	known := min(len(knowledge.MethodLatencies), len(r.config.methods))
	for i, latency := range knowledge.MethodLatencies[:known] {
		r.config.methods[i].latency = latency
	}
	restored := func(rate float64, window clock.Duration) decayingRate {
		return decayingRate{rate * coveredFraction(knowledge.ObservedFor, window), r.now}
	}
	r.traffic.requests = restored(knowledge.RequestRate, trafficWindow)
	r.traffic.hits = restored(knowledge.HitRate, trafficWindow)
	r.admission.ended = restored(knowledge.EndedRate, trafficWindow)
	r.admission.answered = restored(knowledge.AnsweredRate, trafficWindow)
	r.traffic.attempts = restored(knowledge.AttemptRate, attemptWindow)
	r.traffic.failures = restored(knowledge.FailureRate, attemptWindow)
}

// restore restores an estimate. The fastest latency is kept while the estimate has few new samples.
func (l *latencyEstimate) restore(summary LatencySummary) {
	*l = latencyEstimate{
		recent:          summary.Recent,
		mean:            summary.Mean,
		fastest:         summary.Fastest,
		samples:         clock.Duration(min(summary.Samples, MaxRestoredSamples)),
		restoredFastest: summary.Fastest,
	}
}

// restore restores counts of keys, as far as there is space, and adds the total of reads that they are a part of.
func (k *keyCounts) restore(keys []KeyKnowledge, total float64) {
	free := k.capacity - len(k.keys)
	for _, key := range keys[:min(len(keys), free)] {
		_, known := k.byKey[key.Key]
		if !known {
			k.keys = append(k.keys, key.Key)
			k.byKey[key.Key] = key.Count
		}
	}
	k.total += total
}

// storeRestoredServers keeps the knowledge about servers until the endpoint list names them.
func (r *Router) storeRestoredServers(event ServersRestored) {
	for _, knowledge := range event.Servers {
		r.restored[knowledge.Server] = knowledge
	}
}

// restoreServer restores the knowledge of an earlier process about a server that the endpoint list names, unless the server has
// restarted since or has already answered. A server that was ejected gets a trial at once, since it may have recovered.
func (r *Router) restoreServer(server *server) {
	knowledge, known := r.restored[server.Server]
	delete(r.restored, server.Server)
	if !known || knowledge.StartedAt != server.StartedAt || server.latency.samples > 0 {
		return
	}
	server.latency.restore(knowledge.Latency)
	server.restored = true
	server.warmUp.returnedAt = max(server.warmUp.returnedAt, knowledge.ReturnedAt)
	server.lastAttemptEnd = knowledge.ObservedAt
	server.connectFailed = knowledge.ConnectFailed
	server.answerRate = decayingRate{knowledge.AnswerRate, r.now}
	// Without its rate of attempts the server would count as seldom used, and be ejected by its first failure.
	covered := coveredFraction(r.now-r.startedAt, attemptWindow)
	server.attemptRate = decayingRate{knowledge.AttemptRate * covered, r.now}
	if knowledge.ReportedServiceTime > 0 {
		server.addReportedTime(r.now, knowledge.ReportedServiceTime)
	}
	if knowledge.Ejected {
		server.failurePoints = knowledge.FailurePoints
		server.ejectedUntil = max(1, r.now)
	}
}
