package gossip

import (
	"encoding/binary"

	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// What follows makes Node a fleet.Transport.

// Me is this process.
func (p *Node) Self() fleet.Incarnation { return fleet.Incarnation(p.me.Incarnation) }

// Hear has what others tell come to a function.
func (p *Node) OnMessage(f func(fleet.Incarnation, []byte)) {
	p.mu.Lock()
	p.hear = f
	p.mu.Unlock()
}

func (p *Node) talked(b []byte) {
	p.mu.Lock()
	hear := p.hear
	p.mu.Unlock()
	if len(b) > 8 && hear != nil {
		hear(fleet.Incarnation(binary.BigEndian.Uint64(b)), append([]byte(nil), b[8:]...)) // the library uses its buffer again
	}
}

// Tell sends a message to a process. What does not fit into a packet goes over a connection, on a goroutine of its own.
func (p *Node) Send(to fleet.Incarnation, body []byte) {
	const packet = 1200
	if to == p.Self() {
		p.mu.Lock()
		hear := p.hear
		p.mu.Unlock()
		go hear(to, body)
		return
	}
	p.mu.Lock()
	node, list := p.nodes[membership.Incarnation(to)], p.list
	p.mu.Unlock()
	if node == nil || list == nil {
		return
	}
	text := append(binary.BigEndian.AppendUint64([]byte{kindTalk}, uint64(p.me.Incarnation)), body...)
	if len(text) <= packet {
		_ = list.SendBestEffort(node, text) // asked again
		return
	}
	go func() { _ = list.SendReliable(node, text) }() // asked again
}

// Leaders are the processes that say that they lead the keepers.
func (p *Node) Leaders() (all []fleet.Incarnation) {
	p.words(func(m membership.Member, w membership.Heartbeat) {
		if w.Leader {
			all = append(all, fleet.Incarnation(m.Incarnation))
		}
	})
	return all
}

// Leads says whether this one does.
func (p *Node) SetLeader(on bool) { p.sayMore(func(w *membership.Heartbeat) { w.Leader = on }) }

// Holds says which revision of the policy this router holds.
func (p *Node) SetPolicyRevision(revision uint64) {
	p.sayMore(func(w *membership.Heartbeat) { w.PolicyRevision = revision })
}

// Keeps says what this router is as a keeper.
func (p *Node) SetVoter(k fleet.VoterStatus) {
	p.sayMore(func(w *membership.Heartbeat) {
		w.VoterID, w.VoterAddr, w.Voter, w.LastIndex = k.VoterID, k.Addr, k.Voter, k.LastIndex
	})
}

func (p *Node) sayMore(change func(*membership.Heartbeat)) {
	p.mu.Lock()
	p.news = p.view.UpdateHeartbeat(p.micros(), change) || p.news
	p.mu.Unlock()
}

// Keepers are the living routers that are keepers.
func (p *Node) Voters() (all []fleet.VoterStatus) {
	p.words(func(m membership.Member, w membership.Heartbeat) {
		if w.VoterID != 0 {
			all = append(all, fleet.VoterStatus{Name: string(m.Name), Incarnation: fleet.Incarnation(m.Incarnation), VoterID: w.VoterID, Addr: w.VoterAddr,
				Voter: w.Voter, LastIndex: w.LastIndex})
		}
	})
	return all
}

// Met tells whether another router is there.
func (p *Node) HasJoined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.view.AliveMembers()) > 1
}

// Promised is the highest entry that any process with a folder of this number has spoken of.
func (p *Node) AcknowledgedIndex(folder uint64) (last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.view.Heartbeats() {
		if w.VoterID == folder {
			last = max(last, w.LastIndex)
		}
	}
	return last
}

// Members are the routers that are there, or were lost without a word.
func (p *Node) Members() (all []fleet.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.view.Snapshot(p.micros()).Routers {
		if r.State != membership.Left {
			all = append(all, fleet.Member{Name: string(r.Name), Site: string(r.Site)})
		}
	}
	return all
}

func (p *Node) words(do func(membership.Member, membership.Heartbeat)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	words := map[membership.Incarnation]membership.Heartbeat{}
	for _, w := range p.view.Heartbeats() {
		words[w.Incarnation] = w
	}
	for _, m := range p.view.AliveMembers() {
		do(m, words[m.Incarnation])
	}
}

// Digest is that of the view, and whether all of the living have said the same for a while.
func (p *Node) Digest() (digest uint64, settled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Digest()
}

// RevisionOf is the policy's revision that a process last said that it holds; 0: none is known.
func (p *Node) RevisionOf(process fleet.Incarnation) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, _ := p.view.HeartbeatOf(membership.Incarnation(process))
	return w.PolicyRevision
}
