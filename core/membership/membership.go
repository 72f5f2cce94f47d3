// Package membership decides what a router makes of what it hears of the others: who is there, in which state, who speaks for a
// name, whether all see the same. It does no I/O and knows no clock; the time is an argument, in microseconds of a clock
// that never goes back, and only spans of it count.
//
// A router is a name. Each of its processes is a process of its own here, with a number that no other has: a restart, a
// replacement and a name that two use are told apart by numbers, never by wall clocks.
package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc64"
	"slices"

	"spurtrestle/core/clock"
)

// The ids are types of their own, so that one cannot stand for another.
type (
	Name        string // of a router, over all of its processes
	Site        string
	Incarnation uint64 // one life of a router; drawn at its start
	Slot        int    // which of the settings' routers it is, from 0
)

// Member is what a process says of itself for all of its life.
type Member struct {
	Fleet       string
	Name        Name
	Site        Site
	Incarnation Incarnation
	Slot        Slot
	StartedAt   int64 // the wall clock at its start, in microseconds since 1970; orders processes of one name, nothing else
	Build       string
	Addr        string      // where others reach it
	Predecessor Incarnation // of the same router, which it takes over from while that serves; 0: none
}

// Heartbeat is what a process says of itself now. Of two words the one with the higher Seq holds, however late it comes.
type Heartbeat struct {
	Incarnation    Incarnation `json:"Process"`
	Seq            uint64      `json:"Seq"`
	Accepting      bool        `json:"Takes"`    // it takes clients
	Draining       bool        `json:"Draining"` // operators drain it, or it is ending
	HandingOver    bool        `json:"Passing"`  // it has handed over to a process that follows, and is about to end
	Yielded        bool        `json:"Out"`      // it keeps out of service, since its name is another's
	Left           bool        `json:"Left"`     // it ends now, in order
	Duplicate      Incarnation `json:"Rival"`    // a younger process of its name that it has seen alive
	PolicyRevision uint64      `json:"Revision"` // of the policy that it holds; 0: there is none
	ViewDigest     uint64      `json:"Digest"`   // of its view, when it last was calm

	Leader    bool   `json:"Leads"`  // it leads the keepers of the policy
	VoterID   uint64 `json:"Folder"` // the number of its folder as a keeper; 0: it is none
	VoterAddr string `json:"Keeper"` // where it is reached as one
	Voter     bool   `json:"Member"` // its folder takes part
	LastIndex uint64 `json:"Last"`   // the last entry of the log that it has
}

// State is what a router is held to be.
type State uint8

// Lost and Left are over; a router that comes back is Alive again.
const (
	Alive   State = iota + 1
	Suspect       // it counts as alive, but this router has heard nothing from itself for long
	Lost          // it ended, or cannot be reached, without a word
	Left          // it said that it ends
)

func (s State) String() string {
	return [...]string{"", "alive", "suspect", "lost", "left"}[s]
}

// MarshalText writes a state as people read it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads one.
func (s *State) UnmarshalText(text []byte) error {
	for x := Alive; x <= Left; x++ {
		if x.String() == string(text) {
			*s = x
			return nil
		}
	}
	return fmt.Errorf("%q is none of alive, suspect, lost, left", text)
}

// Rules are the spans by which a view is kept.
type Config struct {
	StableFor         clock.Time // without a change until it is told, and may be settled
	SuspectAfter      clock.Time // without a sign of its own until an alive router is suspect
	HandoverTimeout   clock.Time // for which a router that is being replaced stays alive without a process
	StallThreshold    clock.Time // between two steps, from which on the view is held to be old
	ForgetAfter       clock.Time // after which a lost or left router is no longer shown
	ReconnectInterval clock.Time // between two calls to who is not there, in a small fleet
	MaxReconnectAddrs int        // kept to call at, beyond those of the living
}

// DefaultRules are those for a probe each so many microseconds.
func DefaultConfig(probe clock.Time) Config {
	return Config{
		StableFor: probe / 2, // over two turns of gossip
		// A router is probed by each other about once in as many probes as there are routers; of sixty, most within this.
		SuspectAfter:      90 * probe,
		StallThreshold:    2 * probe, // others may have called this one suspect, and it them
		HandoverTimeout:   5 * probe, // the next process takes the address some 0.1 s after the old one has ended
		ForgetAfter:       600e6,     // long enough for someone on call to come and look
		ReconnectInterval: 2 * probe,
		// A name of 60 bytes each: 64 kB.
		MaxReconnectAddrs: 1024,
	}
}

// process is one life of a router.
type process struct {
	Member
	word  Heartbeat
	there bool  // Member was heard
	state State // Alive, Lost or Left
	since clock.Time
	heard clock.Time // a sign from itself
}

// View is one router's view. It is not safe for use by several goroutines at once.
type View struct {
	rules Config
	me    Member
	procs map[Incarnation]*process

	digest  uint64
	changed clock.Time // the content
	settled bool
	since   clock.Time // settled or not
	last    map[Name]row

	stepped clock.Time
	stood   clock.Time // for so long it stood still, which is not told yet

	call   []string // addresses of those who are not there
	next   int      // whom to call
	callAt clock.Time
}

// row is what is shown of a name, as far as a change of it is worth a line.
type row struct {
	state    State
	process  Incarnation
	conflict bool
	word     Heartbeat
}

// New begins with the own process alone.
func New(now clock.Time, rules Config, me Member) *View {
	v := &View{rules: rules, me: me, procs: map[Incarnation]*process{}, last: map[Name]row{}, changed: now, since: now}
	v.procs[me.Incarnation] = &process{Member: me, word: Heartbeat{Incarnation: me.Incarnation, Seq: 1}, there: true, state: Alive, since: now, heard: now}
	v.callAt = now + rules.ReconnectInterval
	v.look(now)
	return v
}

// Joined takes in that a process is there, or is there again.
func (v *View) MemberJoined(now clock.Time, m Member) {
	p := v.process(now, m.Incarnation)
	if p == nil || m.Incarnation == v.me.Incarnation || p.word.Left {
		return
	}
	if !p.there || p.state != Alive {
		p.since = now
	}
	p.Member, p.there, p.state, p.heard = m, true, Alive, now
	v.look(now)
}

// Gone takes in that a process is no more, as was found out.
func (v *View) MemberFailed(now clock.Time, id Incarnation) {
	if p := v.procs[id]; p != nil && p.there && p.state == Alive && id != v.me.Incarnation {
		v.over(now, p, Lost)
		v.look(now)
	}
}

func (v *View) over(now clock.Time, p *process, how State) {
	if p.word.Left {
		how = Left
	}
	p.state, p.since = how, now
	v.missing(p.Addr)
}

// Said takes in a process's word. It tells whether it is news, which is passed on.
func (v *View) ReceiveHeartbeat(now clock.Time, w Heartbeat) bool {
	p := v.process(now, w.Incarnation)
	if p == nil || w.Incarnation == v.me.Incarnation || w.Seq <= p.word.Seq {
		return false
	}
	if p.word = w; p.there && w.Left && p.state != Left {
		v.over(now, p, Left)
	}
	v.look(now)
	return true
}

// Heard takes in a sign of life from a process itself.
func (v *View) RecordContact(now clock.Time, id Incarnation) {
	if p := v.procs[id]; p != nil {
		p.heard = now
	}
}

// Say sets what this router says of itself beyond what the view knows. It tells whether the own word is another now.
func (v *View) UpdateLocal(now clock.Time, takes, draining bool) bool {
	w := v.Heartbeat()
	w.Accepting, w.Draining = takes, draining
	return v.say(now, w)
}

// SayMore sets the rest of what this router says of itself. It tells whether the own word is another now.
func (v *View) UpdateHeartbeat(now clock.Time, change func(*Heartbeat)) bool {
	w := v.Heartbeat()
	change(&w)
	return v.say(now, w)
}

// End says that this process ends: in order, or to one that follows.
func (v *View) AnnounceEnd(now clock.Time, passing bool) {
	w := v.Heartbeat()
	w.HandingOver, w.Left = passing, !passing
	v.say(now, w)
}

func (v *View) say(now clock.Time, w Heartbeat) bool {
	me := v.procs[v.me.Incarnation]
	if w == me.word {
		return false
	}
	w.Seq++
	me.word = w
	v.look(now)
	return true
}

// Step lets time pass. It tells whether the own word is another now, and what has changed since the last step, a line each.
func (v *View) Tick(now clock.Time) (news bool, lines []Change) {
	if gap := now - v.stepped; v.stepped > 0 && gap > v.rules.StallThreshold {
		v.changed, v.stood = now, gap // what it knows is old, however calm it looks
	}
	v.stepped = now
	v.procs[v.me.Incarnation].heard = now
	stale := v.passed(now)
	for id, p := range v.procs {
		if p.state != Alive && now-p.since > v.rules.ForgetAfter {
			delete(v.procs, id)
			stale = true
		}
	}
	if stale { // all else that changes what the digest is over has looked already
		v.look(now)
	}
	// A rival is named by the elder alone: the elder of a restart is dead and says nothing.
	w := v.procs[v.me.Incarnation].word
	w.Duplicate, w.Yielded = 0, false
	for _, p := range v.living(v.me.Name) {
		if p.Incarnation == v.me.Incarnation {
			continue
		}
		if older(v.me, p.Member) && p.Predecessor != v.me.Incarnation {
			w.Duplicate = p.Incarnation
		} else if older(p.Member, v.me) && p.word.Duplicate == v.me.Incarnation {
			w.Yielded = true
		}
	}
	if now-v.changed >= v.rules.StableFor {
		w.ViewDigest = v.digest
	}
	news = v.say(now, w)
	if ok := now-v.changed >= v.rules.StableFor && len(v.Disagreeing()) == 0; ok != v.settled {
		v.settled, v.since = ok, now
	}
	return news, v.lines()
}

// Whom tells whom to call now, of those who are not there: a way back from a partition that outlasted all memory of
// the others. Over the whole fleet there are some calls a second, however large it is. always are called as well.
func (v *View) NextReconnect(now clock.Time, always []string) (addr string, ok bool) {
	if now < v.callAt {
		return "", false
	}
	there, alive := map[string]bool{}, 0
	for _, p := range v.procs {
		if p.there && p.state == Alive {
			alive++
			there[p.Addr] = true
		}
	}
	v.callAt = now + max(v.rules.ReconnectInterval, v.rules.ReconnectInterval*clock.Time(alive)/8)
	all := slices.Concat(always, v.call)
	for range all {
		addr = all[v.next%len(all)]
		v.next++
		if !there[addr] {
			return addr, true
		}
	}
	return "", false
}

// Known are the addresses of all others that are there or are missed, for a file that a restart reads.
func (v *View) KnownAddrs() []string {
	all := slices.Clone(v.call)
	for _, p := range v.procs {
		if p.there && p.state == Alive && p.Incarnation != v.me.Incarnation {
			all = append(all, p.Addr)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Heartbeat is what this process says of itself.
func (v *View) Heartbeat() Heartbeat { return v.procs[v.me.Incarnation].word }

// Heartbeats are all that have been heard, for a router that has just come.
func (v *View) Heartbeats() []Heartbeat {
	var all []Heartbeat
	for _, p := range v.procs {
		if p.word.Seq > 0 {
			all = append(all, p.word)
		}
	}
	slices.SortFunc(all, func(a, b Heartbeat) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return all
}

// Living are the processes that speak for a name, by name; this one as well.
func (v *View) AliveMembers() []Member {
	var all []Member
	for name, ps := range v.names() {
		if p, state, _ := v.speaker(name, ps); state == Alive {
			all = append(all, p.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Disagree names the living routers whose last word on their view is not this router's.
func (v *View) Disagreeing() (names []Name) {
	for name, ps := range v.names() {
		if p, state, _ := v.speaker(name, ps); state == Alive && p.Incarnation != v.me.Incarnation && p.word.ViewDigest != v.digest {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// process finds or makes one; nil where there are too many: a flood of words does not grow without end.
func (v *View) process(now clock.Time, id Incarnation) *process {
	p := v.procs[id]
	if p == nil && id != 0 && len(v.procs) < 4*v.rules.MaxReconnectAddrs {
		p = &process{Member: Member{Incarnation: id}, since: now}
		v.procs[id] = p
	}
	return p
}

func (v *View) missing(addr string) {
	if slices.Contains(v.call, addr) {
		return
	}
	if v.call = append(v.call, addr); len(v.call) > v.rules.MaxReconnectAddrs {
		v.call = v.call[1:]
	}
}

// older orders processes of one name: by their starts, and by number where a clock told the same or was stepped.
func older(a, b Member) bool {
	return a.StartedAt < b.StartedAt || a.StartedAt == b.StartedAt && a.Incarnation < b.Incarnation
}

func (v *View) names() map[Name][]*process {
	names := map[Name][]*process{}
	for _, p := range v.procs {
		if p.there {
			names[p.Name] = append(names[p.Name], p)
		}
	}
	return names
}

func (v *View) living(name Name) (ps []*process) {
	for _, p := range v.procs {
		if p.there && p.state == Alive && p.Name == name {
			ps = append(ps, p)
		}
	}
	return ps
}

// speaker is the process that speaks for a name, what the router is held to be, and whether two that live claim the name.
// Of several that live the youngest does, since the others will be found dead; but an elder that has seen a younger one
// lives, and keeps the name; and one that is followed has it until it has handed over.
func (v *View) speaker(_ Name, ps []*process) (at *process, state State, conflict bool) {
	slices.SortFunc(ps, func(a, b *process) int {
		if older(a.Member, b.Member) {
			return 1
		}
		return -1
	}) // the youngest first
	for _, p := range ps {
		if p.state != Alive {
			continue
		}
		if at == nil {
			at = p
			continue
		}
		for _, young := range ps {
			if young.state != Alive || !older(p.Member, young.Member) {
				continue
			}
			if p.word.Duplicate == young.Incarnation {
				at, conflict = p, true
			} else if young.Predecessor == p.Incarnation && !p.word.HandingOver && at == young {
				at = p
			}
		}
	}
	if at != nil {
		return at, Alive, conflict
	}
	for _, p := range ps { // the last that went
		if at == nil || p.since > at.since {
			at = p
		}
	}
	if at.word.HandingOver { // its successor takes the address in a moment
		return at, Alive, false
	}
	return at, at.state, false
}

// passed turns one whose successor never came into a lost one. It tells whether there was one.
func (v *View) passed(now clock.Time) (any bool) {
	for _, p := range v.procs {
		if p.there && p.state != Alive && p.word.HandingOver && now-p.since > v.rules.HandoverTimeout {
			p.word.HandingOver, p.state, p.since = false, Lost, now
			any = true
		}
	}
	return any
}

// look makes the digest anew: over what the living are, as each of them says it, and nothing that is this router's own
// impression. Two views with the same living routers in the same states have the same one.
func (v *View) look(now clock.Time) {
	v.passed(now)
	var rows [][]byte
	for name, ps := range v.names() {
		p, state, conflict := v.speaker(name, ps)
		if state != Alive {
			continue
		}
		row := append([]byte(name), 0)
		row = append(append(row, p.Site...), 0)
		for _, n := range []uint64{uint64(p.Incarnation), uint64(p.Slot), p.word.PolicyRevision,
			bits(p.word.Accepting, p.word.Draining, p.word.HandingOver, p.word.Yielded, conflict)} {
			row = binary.BigEndian.AppendUint64(row, n)
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b []byte) int { return cmp.Compare(string(a), string(b)) })
	sum := crc64.New(table)
	for _, row := range rows {
		_, _ = sum.Write(row) // it cannot fail
	}
	if d := sum.Sum64(); d != v.digest {
		v.digest, v.changed = d, now
	}
}

var table = crc64.MakeTable(crc64.ECMA)

func bits(flags ...bool) (n uint64) {
	for i, f := range flags {
		if f {
			n |= 1 << i
		}
	}
	return n
}

// Digest is that of the view, and whether all of the living have said the same for a while.
func (v *View) Digest() (digest uint64, settled bool) { return v.digest, v.settled }

// HeartbeatOf is what a process last said of itself; false where nothing of it was heard.
func (v *View) HeartbeatOf(id Incarnation) (Heartbeat, bool) {
	p := v.procs[id]
	if p == nil || p.word.Seq == 0 {
		return Heartbeat{}, false
	}
	return p.word, true
}
