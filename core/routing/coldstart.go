package routing

import (
	"math"

	"spurtrestle/core/clock"
)

// This file: how much a server gets that has just started.

// coldAge is the time since a server's start, as far as it is known.
func (r *Router) coldAge(s *server) clock.Time {
	start := max(s.StartedAt, s.coldFrom)
	if start == 0 || s.origin {
		return r.coldSpan
	}
	return max(0, r.now-start)
}

const safe = 0.6 // of the multiple: the work of a request varies, and so do the keys

// warmFor lets a cold cache have a fraction of its keys, alike at every router, by a budget, own ones first.
func (r *Router) warmFor(q *request, s *server, own bool) bool {
	age, at := r.coldAge(s), float64(q.hash>>32&0xffff)/0x10000
	if age >= r.coldSpan || at >= r.share(s.Zone) {
		return at < r.share(s.Zone)
	}
	part := r.coldTimes * (r.coldShare + (1-r.coldShare)*float64(age)/float64(r.coldSpan))
	if at >= part {
		return false
	}
	// The router's part of its work is that of a mean cache's hits (misses cost little); at the start half of
	// what came stands for them. The budget grows evenly from somewhere under one: of hundreds of routers each
	// has less than one attempt in the window, and one from each at once is many times what it can do.
	since := 1 - math.Exp(-float64(r.now+1-r.began)/trafficSpan)
	hits := max(r.hits.now(r.now, trafficSpan), r.traffic.now(r.now, trafficSpan)/2) / since
	mean := hits / float64(len(r.caches))
	if start := max(s.StartedAt, s.coldFrom); s.coldRun != start {
		// Of hundreds of routers each saves up less than one in all of the span: what it begins with is all that
		// it sends. Where some is lost, more is asked than caches carry, and fewer routers may begin; where a
		// quarter is, none may: at half of that a cache was still pushed over.
		heard, asked := r.answered.now(r.now, trafficSpan), r.asked.now(r.now, trafficSpan)
		lost := 1 - (heard+granted)/(asked+granted)
		s.coldRun, s.coldLeft, s.coldAt = start, r.chance()-4*max(0, lost), r.now
	}
	most := max(2, part*mean*float64(r.fallSpan)/4e6) // saved up: a quarter of the window, or two by chance
	s.coldLeft = min(most, s.coldLeft+part/safe*mean*float64(r.now-s.coldAt)/1e6)
	s.coldAt = r.now
	return s.coldLeft >= 1 || own && s.coldLeft > (1-since)*(1-r.part) // a hot read of each new one is too much
}
