package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

// This file: what a server's answers tell of it: set aside, out of reach, an idle connection closed.

const useSpan = 20e6 // a few requests of one of hundreds of routers to a mean cache

// leave closes an idle connection that costs more than a new one would. Where each of hundreds of routers
// keeps one to every cache, a cache is at its maximum, and refuses most routers though it has little to do.
func (r *Router) leave(s *server) {
	const granted = 1e6 / useSpan // one use: so much is chance
	mean := r.used.now(r.now, useSpan) / float64(len(r.caches)+1)
	if s.inFlight == 0 && s.used.now(r.now, useSpan)+granted < r.keep*(mean+granted) {
		r.decided = append(r.decided, Decision{Action: CloseIdle, Server: s.Server})
	}
}

// judge keeps a server's record by what this router itself has seen of it.
func (r *Router) judge(w *attempt, status Status, took clock.Time) {
	s, points := w.server, 0
	used := s.used.now(r.now, useSpan) / (1 - math.Exp(-float64(r.now+1-r.began)/useSpan))
	switch status {
	case OK, Miss:
		s.heard = r.now
		if status == OK && !s.origin {
			r.hits.add(r.now, trafficSpan)
		}
		if status == OK || s.time == 0 {
			r.measure(s, took)
		}
		s.rate.add(r.now, rateSpan)
		// What was sent before an answered attempt has had its turn.
		s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return g.sent <= w.sent })
		if s.aside != 0 && s.unheard { // after a crash the list is late to tell of the new process, which is cold
			s.coldFrom = r.now
		}
		s.lost, s.aside, s.unheard = 0, 0, false
	case QueueFull:
		s.lost = 0
	case TimedOut:
		until := w.sent + 2*r.seen.long // cut short: no blame, and done when it would have been answered
		if s.origin || took >= 2*r.seen.long {
			const stays = 1e6 // longer than an overdue answer of a crowded server takes
			until = r.now + max(took, stays)
			r.measure(s, max(took, s.time))
			points = 1
		}
		s.ghosts = append(s.ghosts, ghost{w.sent, until})
	case Failed, Reset:
		points = 1
	case ConnectError:
		s.unheard, s.ghosts = true, nil
		points = 2
	}
	r.follow(s, status, points, took)
	if points == 0 {
		return
	}
	// What strikes all alike (broken connections, spoilt answers) is no one's ill health: it set
	// aside a healthy fleet, and the origin. A row too long for chance at the others' share is.
	const granted, unlikely, most = 1, 1e-5, 8 // attempts a second; such a row is seen once in many minutes
	others := max(0, r.noise.now(r.now, useSpan)-float64(s.lost)*1e6/useSpan)
	share := min(0.5, others/(r.used.now(r.now, useSpan)+granted))
	row := min(most, int(math.Ceil(math.Log(unlikely)/math.Log(share))))
	if status != TimedOut && status != QueueFull { // these are load
		r.noise.add(r.now, useSpan)
	}
	// One bad answer is chance, three in a row are not. But a cache used once in seconds has no long row: there
	// the second one counts, and it is left for three uses, which its partners hardly feel. The origin has no
	// partner: one late answer of its long tail kept a router from it for half a minute.
	rest := max(2e6, 3e6/max(used, 0.1))
	if s.origin { // its trials cost little: what they carry would be rejected
		used, rest = 2, 5e5
	}
	if s.lost += points; s.lost >= max(2, 1+int(min(2, used)), row) && s.aside <= r.now {
		// Long enough that trials cost little, random so that the routers' trials do not fall together.
		s.aside = r.now + clock.Time(rest*(1+r.chance()/2))
	}
}

// follow keeps the record of the way to a zone. Caches of it that are silent one after the other, and no word
// from any, are out of reach, or gone together: each router found that out cache by cache, and lost a request
// on each. A refused connection is a word. In a healthy zone two that hang cost a moment at partners.
func (r *Router) follow(s *server, status Status, points int, took clock.Time) {
	w := r.ways[s.Zone]
	switch {
	case s.origin || status == TimedOut && points == 0 || status == NotSent || status == Canceled:
	case status != TimedOut && (status != ConnectError || took < r.connect/2):
		delete(r.ways, s.Zone)
	case w.last != s:
		w.silent, w.last = w.silent+1, s
		r.rest(s, w)
	}
}

// rest leaves a zone alone, where two were silent and there are others, until it is time for a trial.
func (r *Router) rest(s *server, w way) {
	const short = 3e5 // some answers: long enough for the trial's own, and each costs a request
	if w.silent > 1 && slices.ContainsFunc(r.caches, func(c *server) bool { return c.Zone != s.Zone }) {
		w.rest = r.now + clock.Time(short*(1+r.chance()/2))
	}
	r.ways[s.Zone] = w
}

// recall: another start is another process. What was set aside gets a trial, at once: it may have recovered.
func (r *Router) recall(s *server) {
	b, known := r.before[s.Server]
	delete(r.before, s.Server)
	if !known || b.StartedAt != s.StartedAt || s.n > 0 {
		return
	}
	s.gauge.recall(b.Latency)
	s.recalled, s.ended, s.unheard, s.rate = true, b.ObservedAt, b.ConnectFailed, decayed{b.AnswerRate, r.now}
	// Else it would seem to be used once in many seconds, where one failure sets it aside.
	s.used = decayed{b.AttemptRate * (1 - math.Exp(-float64(r.now-r.began)/useSpan)), r.now}
	if b.ReportedServiceTime > 0 {
		s.report(r.now, b.ReportedServiceTime)
	}
	if b.Ejected {
		s.lost, s.aside = b.FailurePoints, max(1, r.now)
	}
}
