package membership

import (
	"fmt"
	"slices"
)

// nameOwner is the process that owns a router's name, with the state of the router.
type nameOwner struct {
	*process
	routerState State // Alive during a handover, regardless of the state of the process
	duplicated  bool  // an older alive process has announced a younger alive one with the same name
}

// ownerOf determines which of the processes with the same name owns the name. It sorts the slice, the youngest process first.
//
// Of several alive processes the youngest owns the name, since the failure detector is about to declare the others dead. There
// are two exceptions: an older process that announces the younger one as a duplicate is alive and keeps the name; and a
// predecessor keeps the name until it has handed over. Without an alive process, the one that was alive last owns the name; the
// router stays Alive if that process has handed over to a successor that has not joined yet.
func ownerOf(processes []*process) nameOwner {
	slices.SortFunc(processes, compareYoungestFirst)
	aliveOwner := aliveOwnerOf(processes)
	if aliveOwner.process != nil {
		return aliveOwner
	}
	last := processes[0]
	for _, p := range processes {
		if p.stateSince > last.stateSince {
			last = p
		}
	}
	if last.heartbeat.HandingOver {
		return nameOwner{process: last, routerState: Alive}
	}
	return nameOwner{process: last, routerState: last.state}
}

// compareYoungestFirst orders processes of different incarnations, of which no two are equal.
func compareYoungestFirst(a, b *process) int {
	if a.olderThan(b.Member) {
		return 1
	}
	return -1
}

// aliveOwnerOf determines the owner among the alive processes, which are sorted by compareYoungestFirst. The result has no
// process if none is alive.
func aliveOwnerOf(processes []*process) nameOwner {
	owner := nameOwner{routerState: Alive}
	for _, p := range processes {
		if p.state != Alive {
			continue
		}
		if owner.process == nil {
			owner.process = p
			continue
		}
		for _, younger := range processes {
			if younger.state != Alive || !p.olderThan(younger.Member) {
				continue
			}
			announcesDuplicate := p.heartbeat.Duplicate == younger.Incarnation
			servesAsPredecessor := younger.Predecessor == p.Incarnation && !p.heartbeat.HandingOver
			switch {
			case announcesDuplicate: // the first exception of ownerOf
				owner.process = p
				owner.duplicated = true
			case servesAsPredecessor && owner.process == younger: // the second one
				owner.process = p
			}
		}
	}
	return owner
}

// detectNameConflict compares this process with the other alive ones of its name. It returns the younger duplicate that this
// process announces, and whether this process yields to an older one. Only a running older process announces a duplicate: the
// dead process before a restart announces nothing.
func (v *View) detectNameConflict() (duplicate Incarnation, yielded bool) {
	for _, p := range v.aliveProcessesOf(v.self.Name) {
		if p.Incarnation == v.self.Incarnation {
			continue
		}
		isSuccessor := p.Predecessor == v.self.Incarnation
		if v.self.olderThan(p.Member) && !isSuccessor {
			duplicate = p.Incarnation
		} else if p.olderThan(v.self) && p.heartbeat.Duplicate == v.self.Incarnation {
			yielded = true
		}
	}
	return duplicate, yielded
}

// YieldReason returns why this process stays out of service, or "" if it does not.
func (v *View) YieldReason() string {
	if !v.Heartbeat().Yielded {
		return ""
	}
	for _, p := range v.aliveProcessesOf(v.self.Name) {
		if p.heartbeat.Duplicate == v.self.Incarnation {
			return fmt.Sprintf("the name %q is that of a router at %s, which has been there for longer; give this one a name of its own",
				v.self.Name, p.Addr)
		}
	}
	return "the name is another router's; give this one a name of its own"
}

// HasOlderDuplicate reports whether an older process with this one's name counts as alive at another address. An older process
// at this process's own address has exited, since this process could not listen there otherwise.
func (v *View) HasOlderDuplicate() bool {
	for _, p := range v.aliveProcessesOf(v.self.Name) {
		if p.Incarnation != v.self.Incarnation && p.olderThan(v.self) && p.Addr != v.self.Addr {
			return true
		}
	}
	return false
}
