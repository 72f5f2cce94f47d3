package gossip

import (
	"encoding/binary"

	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// What follows makes Node a fleet.Transport.

// Me is this process.
func (p *Node) Me() fleet.Process { return fleet.Process(p.me.Process) }

// Hear has what others tell come to a function.
func (p *Node) Hear(f func(fleet.Process, []byte)) {
	p.mu.Lock()
	p.hear = f
	p.mu.Unlock()
}

func (p *Node) talked(b []byte) {
	p.mu.Lock()
	hear := p.hear
	p.mu.Unlock()
	if len(b) > 8 && hear != nil {
		hear(fleet.Process(binary.BigEndian.Uint64(b)), append([]byte(nil), b[8:]...)) // the library uses its buffer again
	}
}

// Tell sends a message to a process. What does not fit into a packet goes over a connection, on a goroutine of its own.
func (p *Node) Tell(to fleet.Process, body []byte) {
	const packet = 1200
	if to == p.Me() {
		p.mu.Lock()
		hear := p.hear
		p.mu.Unlock()
		go hear(to, body)
		return
	}
	p.mu.Lock()
	node, list := p.nodes[membership.Process(to)], p.list
	p.mu.Unlock()
	if node == nil || list == nil {
		return
	}
	text := append(binary.BigEndian.AppendUint64([]byte{kindTalk}, uint64(p.me.Process)), body...)
	if len(text) <= packet {
		_ = list.SendBestEffort(node, text) // asked again
		return
	}
	go func() { _ = list.SendReliable(node, text) }() // asked again
}

// Leaders are the processes that say that they lead the keepers.
func (p *Node) Leaders() (all []fleet.Process) {
	p.words(func(m membership.Member, w membership.Heartbeat) {
		if w.Leads {
			all = append(all, fleet.Process(m.Process))
		}
	})
	return all
}

// Leads says whether this one does.
func (p *Node) Leads(on bool) { p.sayMore(func(w *membership.Heartbeat) { w.Leads = on }) }

// Holds says which revision of the policy this router holds.
func (p *Node) Holds(revision uint64) {
	p.sayMore(func(w *membership.Heartbeat) { w.Revision = revision })
}

// Keeps says what this router is as a keeper.
func (p *Node) Keeps(k fleet.Keeping) {
	p.sayMore(func(w *membership.Heartbeat) {
		w.Folder, w.Keeper, w.Member, w.Last = k.Folder, k.Addr, k.Member, k.Last
	})
}

func (p *Node) sayMore(change func(*membership.Heartbeat)) {
	p.mu.Lock()
	p.news = p.view.SayMore(p.micros(), change) || p.news
	p.mu.Unlock()
}

// Keepers are the living routers that are keepers.
func (p *Node) Keepers() (all []fleet.Keeping) {
	p.words(func(m membership.Member, w membership.Heartbeat) {
		if w.Folder != 0 {
			all = append(all, fleet.Keeping{Name: string(m.Name), Process: fleet.Process(m.Process), Folder: w.Folder, Addr: w.Keeper,
				Member: w.Member, Last: w.Last})
		}
	})
	return all
}

// Met tells whether another router is there.
func (p *Node) Met() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.view.Living()) > 1
}

// Promised is the highest entry that any process with a folder of this number has spoken of.
func (p *Node) Promised(folder uint64) (last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.view.Heartbeats() {
		if w.Folder == folder {
			last = max(last, w.Last)
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
	words := map[membership.Process]membership.Heartbeat{}
	for _, w := range p.view.Heartbeats() {
		words[w.Process] = w
	}
	for _, m := range p.view.Living() {
		do(m, words[m.Process])
	}
}

// Digest is that of the view, and whether all of the living have said the same for a while.
func (p *Node) Digest() (digest uint64, settled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Digest()
}

// RevisionOf is the policy's revision that a process last said that it holds; 0: none is known.
func (p *Node) RevisionOf(process fleet.Process) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, _ := p.view.HeartbeatOf(membership.Process(process))
	return w.Revision
}
