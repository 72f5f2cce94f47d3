package policycommit

import "spurtrestle/core/clock"

// Follower is a router's side. It is not safe for use by several goroutines at once.
type Follower struct {
	rules    Rules
	name     Name
	process  Process
	serves   bool
	build    string
	check    func(doc string) error // whether this router could hold it
	knows    bool                   // it was told what is in force
	revision Revision
	doc      string
	index    Index
	until    clock.Time // of the last grant
	prepared Token
	at       Index // of the log state when it prepared
	refused  Token
	why      string
	leaving  bool
	granted  bool // by the leader, to this process itself
	asked    clock.Time
	answered bool // the last asking
	began    bool
}

// NewFollower begins with nothing known: a router that begins takes no client before it is told what is in force.
func NewFollower(rules Rules, name Name, process Process, serves bool, build string, check func(doc string) error) *Follower {
	return &Follower{rules: rules, name: name, process: process, serves: serves, build: build, check: check, answered: true}
}

// Ask is what to ask with now, if it is time. It is asked of whoever leads.
func (h *Follower) Ask(now clock.Time) (r Renewal, due bool) {
	wait := h.rules.Ask
	if !h.answered {
		wait = h.rules.Again
	}
	if h.began && now-h.asked < wait {
		return r, false
	}
	h.began, h.asked, h.answered = true, now, false
	return h.renewal(now), true
}

func (h *Follower) renewal(now clock.Time) Renewal {
	return Renewal{Name: h.name, Process: h.process, At: now, Serves: h.serves, Build: h.build, Held: h.revision, Index: h.index,
		Prepared: h.prepared, Refused: h.refused, Why: h.why, Leaving: h.leaving}
}

// Leave has it take nothing more, for good, and is what to say then.
func (h *Follower) Leave(now clock.Time) Renewal {
	h.leaving = true
	return h.renewal(now)
}

// Granted takes in an answer. adopt: another revision is in force, and holds from here on. Askings are to go out at once
// where one has prepared: prepared is told before anything else is taken.
func (h *Follower) Granted(now clock.Time, g Lease) (adopt, news bool) {
	// By its own clock: one from the future is of another process, and one of an older book says nothing that holds.
	if g.Process != h.process || g.At > now || g.Index < h.index || h.leaving {
		return false, false
	}
	if h.prepared != "" && g.Pending != h.prepared && g.Index <= h.at {
		return false, false // made before the change was asked for
	}
	h.answered, h.granted = true, true
	if g.Index > h.index {
		h.index = g.Index
	}
	if !h.knows || g.Revision != h.revision {
		if g.Revision < h.revision {
			return false, false // a folder that was put back: what was decided stays decided
		}
		h.revision, h.doc, h.knows, adopt = g.Revision, g.Doc, true, true
	}
	h.until = max(h.until, g.At+g.For)
	if g.Pending != h.prepared {
		h.prepared = ""
	}
	if g.Pending != h.refused {
		h.refused, h.why = "", ""
	}
	if g.Prepare != "" && g.Pending != "" && h.prepared != g.Pending && h.refused != g.Pending {
		if err := h.check(g.Prepare); err != nil {
			h.refused, h.why = g.Pending, err.Error()
		} else {
			h.prepared, h.at = g.Pending, g.Index
		}
		h.answered, news = false, true // it is waited for
		h.asked = now - h.rules.Again
	}
	return adopt, news
}

// LeaseTransfer is what a process leaves, again and again, to the one that takes over from it and cannot ask the leader yet. It
// counts for no longer than what the process itself could still take by, had it just promised a change: so whatever it
// promises later, its heir stops in time.
type LeaseTransfer struct {
	Revision Revision
	Index    Index
	Doc      string
	For      clock.Time
}

// Transfer is what to leave now; false: nothing.
func (h *Follower) Transfer(now clock.Time) (LeaseTransfer, bool) {
	until := h.AcceptsUntil(now)
	if until == 0 {
		until = now + h.rules.Lease
	}
	return LeaseTransfer{h.revision, h.index, h.doc, until - now}, h.knows && until > now
}

// Inherit takes in what the process before this one left. adopt: another revision is in force here. What the leader has
// granted to this process itself goes before it.
func (h *Follower) Inherit(now clock.Time, b LeaseTransfer) (adopt bool) {
	if h.granted || h.leaving || h.knows && b.Revision < h.revision || b.For <= 0 {
		return false
	}
	adopt = !h.knows || b.Revision > h.revision
	h.knows, h.revision, h.doc, h.index = true, b.Revision, b.Doc, max(h.index, b.Index)
	h.until = max(h.until, now+min(b.For, h.rules.Lease))
	return adopt
}

// Held is the revision in force here, and its document; false: it was not told yet.
func (h *Follower) Held() (Revision, string, bool) { return h.revision, h.doc, h.knows }

// AcceptsUntil tells until when it may take clients: a time, or for ever (0) where it serves on when cut off and has promised
// nothing. Not at all is a time that is past.
func (h *Follower) AcceptsUntil(now clock.Time) (until clock.Time) {
	switch {
	case !h.knows || h.leaving:
		return now
	case h.serves && h.prepared == "" && h.granted:
		return 0
	}
	return h.until
}

// Prepared is the change that it could hold and that is not resolved here; empty: there is none.
func (h *Follower) Prepared() Token { return h.prepared }
