package membership

import (
	"cmp"
	"slices"

	"spurtrestle/core/clock"
)

// process is the view's record of one incarnation. Its state is Alive, Lost or Left; Suspect is derived by Snapshot.
type process struct {
	Member
	joined      bool // Member is known
	heartbeat   Heartbeat
	state       State
	stateSince  clock.Time
	lastContact clock.Time // last direct contact
}

func (p *process) isAlive() bool { return p.joined && p.state == Alive }

// View is one router's view of its fleet. It is not safe for concurrent use.
type View struct {
	config    Config
	self      Member
	processes map[Incarnation]*process

	digest       uint64
	changedAt    clock.Time // when the digest last changed or the process resumed after a stall
	settled      bool
	settledSince clock.Time // when settled last changed

	reported   map[Name]reportedState // as of the last call of Tick
	lastTick   clock.Time
	stalledFor clock.Duration // duration of a stall that Tick has not reported yet; 0: none

	reconnectAddrs []string // of processes that are lost or left, oldest first
	reconnectNext  int
	reconnectAt    clock.Time
}

// New returns a view that contains only this process.
func New(now clock.Time, config Config, self Member) *View {
	v := &View{
		config:       config,
		self:         self,
		processes:    map[Incarnation]*process{},
		reported:     map[Name]reportedState{},
		changedAt:    now,
		settledSince: now,
		reconnectAt:  now + config.ReconnectInterval,
	}
	v.processes[self.Incarnation] = &process{
		Member:      self,
		joined:      true,
		heartbeat:   Heartbeat{Incarnation: self.Incarnation, Seq: 1},
		state:       Alive,
		stateSince:  now,
		lastContact: now,
	}
	v.updateDigest(now)
	return v
}

// MemberJoined records that the failure detector reports a process as alive, for the first time or again, or with changed
// metadata. It ignores a process that has announced its shutdown: the failure detector's information is outdated.
func (v *View) MemberJoined(now clock.Time, member Member) {
	p := v.findOrAdd(now, member.Incarnation)
	if p == nil || member.Incarnation == v.self.Incarnation {
		return
	}
	if p.heartbeat.Left {
		return
	}
	if !p.isAlive() {
		p.stateSince = now
	}
	p.Member = member
	p.joined = true
	p.state = Alive
	p.lastContact = now
	v.updateDigest(now)
}

// MemberFailed records that the failure detector has declared a process dead.
func (v *View) MemberFailed(now clock.Time, incarnation Incarnation) {
	p := v.processes[incarnation]
	if p == nil || !p.isAlive() || incarnation == v.self.Incarnation {
		return
	}
	v.markDeparted(now, p)
	v.updateDigest(now)
}

// ReceiveHeartbeat records a heartbeat and reports whether it is newer than the last one of the same process. The caller
// rebroadcasts newer heartbeats.
func (v *View) ReceiveHeartbeat(now clock.Time, heartbeat Heartbeat) bool {
	p := v.findOrAdd(now, heartbeat.Incarnation)
	if p == nil || heartbeat.Incarnation == v.self.Incarnation || heartbeat.Seq <= p.heartbeat.Seq {
		return false
	}
	p.heartbeat = heartbeat
	isFirstLeave := p.joined && heartbeat.Left && p.state != Left
	if isFirstLeave {
		v.markDeparted(now, p)
	}
	v.updateDigest(now)
	return true
}

// RecordContact records direct contact with a process.
func (v *View) RecordContact(now clock.Time, incarnation Incarnation) {
	p, ok := v.processes[incarnation]
	if ok {
		p.lastContact = now
	}
}

// UpdateLocal sets whether this router accepts clients and whether it is draining. It reports whether this process's
// heartbeat has changed.
func (v *View) UpdateLocal(now clock.Time, accepting, draining bool) bool {
	heartbeat := v.Heartbeat()
	heartbeat.Accepting = accepting
	heartbeat.Draining = draining
	return v.setHeartbeat(now, heartbeat)
}

// UpdateHeartbeat applies change to this process's heartbeat, and reports whether the heartbeat has changed.
func (v *View) UpdateHeartbeat(now clock.Time, change func(*Heartbeat)) bool {
	heartbeat := v.Heartbeat()
	change(&heartbeat)
	return v.setHeartbeat(now, heartbeat)
}

// AnnounceLeave announces that this process is shutting down gracefully.
func (v *View) AnnounceLeave(now clock.Time) {
	v.UpdateHeartbeat(now, func(heartbeat *Heartbeat) {
		heartbeat.HandingOver = false
		heartbeat.Left = true
	})
}

// AnnounceHandover announces that this process is exiting because a successor has taken over.
func (v *View) AnnounceHandover(now clock.Time) {
	v.UpdateHeartbeat(now, func(heartbeat *Heartbeat) {
		heartbeat.HandingOver = true
		heartbeat.Left = false
	})
}

// Heartbeat returns this process's heartbeat.
func (v *View) Heartbeat() Heartbeat { return v.processes[v.self.Incarnation].heartbeat }

// HeartbeatOf returns the last heartbeat of a process. ok is false if none has been received.
func (v *View) HeartbeatOf(incarnation Incarnation) (heartbeat Heartbeat, ok bool) {
	p := v.processes[incarnation]
	if p == nil || p.heartbeat.Seq == 0 {
		return Heartbeat{}, false
	}
	return p.heartbeat, true
}

// Heartbeats returns the last heartbeat of each process, ordered by incarnation. It is the full state for anti-entropy.
func (v *View) Heartbeats() []Heartbeat {
	var heartbeats []Heartbeat
	for _, p := range v.processes {
		if p.heartbeat.Seq > 0 {
			heartbeats = append(heartbeats, p.heartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return heartbeats
}

// AliveMembers returns the owner of each alive router's name, ordered by name. It includes this process.
func (v *View) AliveMembers() []Member {
	var members []Member
	for _, processes := range v.processesByName() {
		owner := ownerOf(processes)
		if owner.routerState == Alive {
			members = append(members, owner.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Disagreeing returns the sorted names of the alive routers whose last announced digest differs from this view's.
func (v *View) Disagreeing() []Name {
	var names []Name
	for name, processes := range v.processesByName() {
		owner := ownerOf(processes)
		isPeer := owner.routerState == Alive && owner.Incarnation != v.self.Incarnation
		if isPeer && owner.heartbeat.ViewDigest != v.digest {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// processesPerReconnectAddr bounds the processes of a view, as a multiple of MaxReconnectAddrs.
const processesPerReconnectAddr = 4

// findOrAdd returns the record of an incarnation, which it adds if there is none. It returns nil for a new incarnation if the
// view is full, so that a flood of heartbeats cannot grow the view without bound.
func (v *View) findOrAdd(now clock.Time, incarnation Incarnation) *process {
	p := v.processes[incarnation]
	isFull := len(v.processes) >= processesPerReconnectAddr*v.config.MaxReconnectAddrs
	if p != nil || incarnation == 0 || isFull {
		return p
	}
	p = &process{Member: Member{Incarnation: incarnation}, stateSince: now}
	v.processes[incarnation] = p
	return p
}

// markDeparted marks a process as left if it has announced its shutdown, and as lost otherwise.
func (v *View) markDeparted(now clock.Time, p *process) {
	p.state = Lost
	if p.heartbeat.Left {
		p.state = Left
	}
	p.stateSince = now
	v.addReconnectAddr(p.Addr)
}

// setHeartbeat replaces this process's heartbeat, and reports whether it has changed.
func (v *View) setHeartbeat(now clock.Time, heartbeat Heartbeat) bool {
	self := v.processes[v.self.Incarnation]
	if heartbeat == self.heartbeat {
		return false
	}
	heartbeat.Seq++
	self.heartbeat = heartbeat
	v.updateDigest(now)
	return true
}

// processesByName groups the joined processes by the name of their router.
func (v *View) processesByName() map[Name][]*process {
	groups := map[Name][]*process{}
	for _, p := range v.processes {
		if p.joined {
			groups[p.Name] = append(groups[p.Name], p)
		}
	}
	return groups
}

// aliveProcessesOf returns the alive processes of a name.
func (v *View) aliveProcessesOf(name Name) []*process {
	var alive []*process
	for _, p := range v.processes {
		if p.isAlive() && p.Name == name {
			alive = append(alive, p)
		}
	}
	return alive
}
