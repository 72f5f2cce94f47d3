package routing

import (
	"math"

	"spurtrestle/core/clock"
)

// What a router knows, as plain data that outlives it. This file copies; how much of it counts after a restart is
// decided by package staleness, and what is made of what is known of a server in health.go (recall).
//
// Never part of it: attempts and requests in hand, connections, ghosts, what deduplicated requests may have run (their requests
// end with the process), and the budgets of cold servers, which follow from the start that the list tells.

// LatencySummary is what a gauge has measured.
type LatencySummary struct {
	Recent, Mean, Fastest clock.Time
	Samples               int // answers, up to 32
}

// ServerKnowledge is what is known of one life of a server.
type ServerKnowledge struct {
	Server              ServerID
	StartedAt           clock.Time // by the list; another start is another process
	ObservedAt          clock.Time // of the last own evidence; what was restored and not seen since keeps its time
	Latency             LatencySummary
	AnswerRate          float64    // answers a second
	AttemptRate         float64    // attempts a second, over longer
	ReportedServiceTime clock.Time // mean of the service times that it reported; 0: none
	FailurePoints       int        // points for failures in a row
	Ejected             bool       // it is set aside
	ConnectFailed       bool       // connections to it failed: it may come back cold
}

// KeyKnowledge is the count of one key among the reads.
type KeyKnowledge struct {
	Key   KeyHash
	Count float64
}

// Knowledge is all that a router knows.
type Knowledge struct {
	CapturedAt      clock.Time     // when it was given
	ObservedFor     clock.Time     // for how long the rates had been watched
	CacheLatency    LatencySummary // of all caches together
	RequestRate     float64
	HitRate         float64
	EndedRate       float64
	AnsweredRate    float64
	AttemptRate     float64
	FailureRate     float64
	RetryBudget     float64 // the retry budget
	KeyReads        float64 // that the keys' counts are part of
	MethodLatencies []clock.Time
	Servers         []ServerKnowledge
	Keys            []KeyKnowledge
}

func (g gauge) times() LatencySummary { return LatencySummary{g.time, g.long, g.best, int(g.n)} }

// rate takes out of a decayed rate that it has not been watched for ever.
func (r *Router) rate(d *decayed, span clock.Time) float64 {
	return d.now(r.now, span) / (1 - math.Exp(-float64(r.now+1-r.began)/float64(span)))
}

// Knowledge gives what the router knows now, servers in no order. It does not change the router but for the fading of its
// rates.
func (r *Router) Knowledge(now clock.Time) Knowledge {
	r.now = max(now, r.now)
	k := Knowledge{CapturedAt: r.now, ObservedFor: r.now - r.began, CacheLatency: r.seen.times(), RequestRate: r.rate(&r.traffic, trafficSpan),
		HitRate: r.rate(&r.hits, trafficSpan), EndedRate: r.rate(&r.asked, trafficSpan), AnsweredRate: r.rate(&r.answered, trafficSpan),
		AttemptRate: r.rate(&r.used, useSpan), FailureRate: r.rate(&r.noise, useSpan), RetryBudget: r.retries, KeyReads: r.hot.total}
	for _, m := range r.methods {
		k.MethodLatencies = append(k.MethodLatencies, m.time)
	}
	k.Servers = make([]ServerKnowledge, 0, len(r.servers))
	for id, s := range r.servers {
		if s.ended > 0 {
			k.Servers = append(k.Servers, ServerKnowledge{Server: id, StartedAt: s.StartedAt, ObservedAt: s.ended, Latency: s.times(),
				AnswerRate: s.rate.now(r.now, rateSpan), AttemptRate: r.rate(&s.used, useSpan), ReportedServiceTime: mean(s.reported), FailurePoints: s.lost, Ejected: s.aside > r.now, ConnectFailed: s.unheard})
		}
	}
	k.Keys = make([]KeyKnowledge, 0, len(r.hot.keys))
	for _, key := range r.hot.keys {
		if n := r.hot.counts[key]; n >= 2 { // one read is chance
			k.Keys = append(k.Keys, KeyKnowledge{key, n})
		}
	}
	return k
}

// MaxRestoredSamples is as how many answers a gauge is taken up at most: a quarter of a full one, so that own outcomes soon
// outweigh it.
const MaxRestoredSamples = 8

// recall takes up a gauge. The quickest time stays known.
func (g *gauge) recall(t LatencySummary) {
	*g = gauge{time: t.Recent, long: t.Mean, best: t.Fastest, n: clock.Time(min(t.Samples, MaxRestoredSamples)), kept: t.Fastest}
}

func (h *keyCounts) recall(keys []KeyKnowledge, total float64) {
	for _, k := range keys[:min(len(keys), h.most-len(h.keys))] {
		if _, known := h.counts[k.Key]; !known {
			h.keys, h.counts[k.Key] = append(h.keys, k.Key), k.Count
		}
	}
	h.total += total
}

// learn takes what an earlier process knew. Rates count as watched for as long as they still weigh; a restart
// renews no budget.
func (r *Router) learn(k Knowledge) {
	r.began = min(r.began, r.now-k.ObservedFor)
	r.seen.recall(k.CacheLatency)
	r.retries = min(r.retries, k.RetryBudget)
	r.hot.recall(k.Keys, k.KeyReads)
	for i, time := range k.MethodLatencies[:min(len(k.MethodLatencies), len(r.methods))] {
		r.methods[i].time = time
	}
	since := func(rate float64, span clock.Time) decayed {
		return decayed{rate * (1 - math.Exp(-float64(k.ObservedFor)/float64(span))), r.now}
	}
	r.traffic, r.hits = since(k.RequestRate, trafficSpan), since(k.HitRate, trafficSpan)
	r.asked, r.answered = since(k.EndedRate, trafficSpan), since(k.AnsweredRate, trafficSpan)
	r.used, r.noise = since(k.AttemptRate, useSpan), since(k.FailureRate, useSpan)
}

// learnServers keeps what was known of servers until a list names them.
func (r *Router) learnServers(e ServersRestored) {
	for _, b := range e.Servers {
		r.before[b.Server] = b
	}
}
