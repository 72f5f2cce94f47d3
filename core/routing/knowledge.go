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

// Times are what a gauge has measured.
type Times struct {
	Time, Long, Best clock.Time
	N                int // answers, up to 32
}

// ServerKnowledge is what is known of one life of a server.
type ServerKnowledge struct {
	Server  ServerID
	Started clock.Time // by the list; another start is another process
	At      clock.Time // of the last own evidence; what was restored and not seen since keeps its time
	Times   Times
	Rate    float64    // answers a second
	Used    float64    // attempts a second, over longer
	Told    clock.Time // mean of the service times that it reported; 0: none
	Lost    int        // points for failures in a row
	Aside   bool       // it is set aside
	Unheard bool       // connections to it failed: it may come back cold
}

// KeyKnowledge is the count of one key among the reads.
type KeyKnowledge struct {
	Key   KeyHash
	Count float64
}

// Knowledge is all that a router knows.
type Knowledge struct {
	At       clock.Time // when it was given
	Span     clock.Time // for how long the rates had been watched
	Seen     Times      // of all caches together
	Traffic  float64
	Hits     float64
	Asked    float64
	Answered float64
	Used     float64
	Noise    float64
	Retries  float64 // the retry budget
	Reads    float64 // that the keys' counts are part of
	Methods  []clock.Time
	Servers  []ServerKnowledge
	Keys     []KeyKnowledge
}

func (g gauge) times() Times { return Times{g.time, g.long, g.best, int(g.n)} }

// rate takes out of a decayed rate that it has not been watched for ever.
func (r *Router) rate(d *decayed, span clock.Time) float64 {
	return d.now(r.now, span) / (1 - math.Exp(-float64(r.now+1-r.began)/float64(span)))
}

// Knows gives what the router knows now, servers in no order. It does not change the router but for the fading of its
// rates.
func (r *Router) Knows(now clock.Time) Knowledge {
	r.now = max(now, r.now)
	k := Knowledge{At: r.now, Span: r.now - r.began, Seen: r.seen.times(), Traffic: r.rate(&r.traffic, trafficSpan),
		Hits: r.rate(&r.hits, trafficSpan), Asked: r.rate(&r.asked, trafficSpan), Answered: r.rate(&r.answered, trafficSpan),
		Used: r.rate(&r.used, useSpan), Noise: r.rate(&r.noise, useSpan), Retries: r.retries, Reads: r.hot.total}
	for _, m := range r.methods {
		k.Methods = append(k.Methods, m.time)
	}
	k.Servers = make([]ServerKnowledge, 0, len(r.servers))
	for id, s := range r.servers {
		if s.ended > 0 {
			k.Servers = append(k.Servers, ServerKnowledge{Server: id, Started: s.Started, At: s.ended, Times: s.times(),
				Rate: s.rate.now(r.now, rateSpan), Used: r.rate(&s.used, useSpan), Told: mean(s.reported), Lost: s.lost, Aside: s.aside > r.now, Unheard: s.unheard})
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

// MostRecalled is as how many answers a gauge is taken up at most: a quarter of a full one, so that own outcomes soon
// outweigh it.
const MostRecalled = 8

// recall takes up a gauge. The quickest time stays known.
func (g *gauge) recall(t Times) {
	*g = gauge{time: t.Time, long: t.Long, best: t.Best, n: clock.Time(min(t.N, MostRecalled)), kept: t.Best}
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
	r.began = min(r.began, r.now-k.Span)
	r.seen.recall(k.Seen)
	r.retries = min(r.retries, k.Retries)
	r.hot.recall(k.Keys, k.Reads)
	for i, time := range k.Methods[:min(len(k.Methods), len(r.methods))] {
		r.methods[i].time = time
	}
	since := func(rate float64, span clock.Time) decayed {
		return decayed{rate * (1 - math.Exp(-float64(k.Span)/float64(span))), r.now}
	}
	r.traffic, r.hits = since(k.Traffic, trafficSpan), since(k.Hits, trafficSpan)
	r.asked, r.answered = since(k.Asked, trafficSpan), since(k.Answered, trafficSpan)
	r.used, r.noise = since(k.Used, useSpan), since(k.Noise, useSpan)
}

// learnServers keeps what was known of servers until a list names them.
func (r *Router) learnServers(e LearnedServers) {
	for _, b := range e.Servers {
		r.before[b.Server] = b
	}
}
