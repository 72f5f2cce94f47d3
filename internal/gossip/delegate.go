package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/clock"
	"spurtrestle/core/membership"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/settings"
)

// What one router tells another, by its first byte.
const (
	kindWord   = 'w'
	kindParts  = 'p'
	kindTalk   = 't'
	kindTiers  = 'h' // package hierarchy's
	kindPacked = 'q' // a heartbeat in few bytes
	kindAsk    = 'a' // for the heartbeat of who is asked
)

const (
	longest    = 4 << 10 // of a message
	longTalk   = 1 << 20 // a history of documents
	mostWords  = 8192    // of a state
	mostAnswer = 1024    // that wait for a step
)

// meta is what a process says of itself for all of its life, in as few bytes as its names allow.
type meta struct {
	F string   `json:"f"`           // fleet
	N string   `json:"n"`           // name
	S string   `json:"s"`           // site
	P uint64   `json:"p"`           // process
	I int      `json:"i"`           // seat
	T int64    `json:"t"`           // start
	B string   `json:"b"`           // build
	O uint64   `json:"o,omitempty"` // follows
	M []string `json:"m,omitempty"` // the service's methods, as many as there is room for
	C bool     `json:"c,omitempty"` // there are more
}

// NodeMeta is called by memberlist.
func (p *Node) NodeMeta(limit int) []byte {
	m := p.me
	said := meta{F: pool(p.cfg), N: string(m.Name), S: string(m.Site), P: uint64(m.Incarnation), I: int(m.Slot), T: m.StartedAt, B: m.Build,
		O: uint64(m.Predecessor), M: p.cfg.Methods}
	for {
		text, _ := json.Marshal(said) // plain fields: it cannot fail
		if len(text) <= limit || len(said.M) == 0 {
			return text
		}
		said.M, said.C = said.M[:len(said.M)-1], true
	}
}

// sameService: a router of another service has other servers and other limits, whatever its fleet is called. One of an older
// build names no methods.
func (p *Node) sameService(node *memberlist.Node) error {
	var m meta
	_ = json.Unmarshal(node.Meta, &m) // memberOf tells what is wrong in it
	if len(m.M) == 0 || m.C && slices.ContainsFunc(m.M, func(x string) bool { return slices.Contains(p.cfg.Methods, x) }) {
		return nil
	}
	return settings.SameService(m.M, p.cfg.Methods)
}

func memberOf(node *memberlist.Node) (membership.Member, error) {
	var m meta
	if err := json.Unmarshal(node.Meta, &m); err != nil {
		return membership.Member{}, fmt.Errorf("what %s says of itself cannot be read: %w", node.Address(), err)
	}
	if m.N == "" || m.P == 0 || processOf(node) != membership.Incarnation(m.P) {
		return membership.Member{}, fmt.Errorf("what %s says of itself is not whole", node.Address())
	}
	addr, _ := netip.AddrFromSlice(node.Addr)
	return membership.Member{Fleet: m.F, Name: membership.Name(m.N), Site: membership.Site(m.S), Incarnation: membership.Incarnation(m.P), Slot: membership.Slot(m.I),
		StartedAt: m.T, Build: m.B, Predecessor: membership.Incarnation(m.O), Addr: netip.AddrPortFrom(addr.Unmap(), node.Port).String()}, nil
}

// NotifyAlive refuses routers of other fleets and of other services. It is called by memberlist, as all below.
func (p *Node) NotifyAlive(node *memberlist.Node) error {
	m, err := memberOf(node)
	if own := pool(p.cfg); err == nil && m.Fleet != own {
		err = fmt.Errorf("router %q at %s is of fleet %q, and this one, %q, of fleet %q; correct %s of one of them",
			m.Name, m.Addr, m.Fleet, p.me.Name, own, fieldsOf(m.Fleet, own))
	}
	if err == nil {
		if err = p.sameService(node); err == nil {
			return nil
		}
		err = fmt.Errorf("router %q at %s: %w; correct fleet.name or fleet.join of one of them, %q or this one, %q", m.Name, m.Addr, err, m.Name, p.me.Name)
	}
	const again = time.Minute
	p.mu.Lock()
	now := time.Now()
	last, said := p.refused[err.Error()]
	if said = said && now.Sub(last) < again; !said && len(p.refused) < 1000 {
		p.refused[err.Error()] = now
	}
	p.mu.Unlock()
	if !said {
		p.log.WithError(err).Warn("fleet: refused")
	}
	return err
}

// NotifyMerge refuses to join another fleet, or to be joined by it.
func (p *Node) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if err := p.NotifyAlive(n); err != nil {
			return err
		}
	}
	return nil
}

// NotifyJoin records a process that has joined.
func (p *Node) NotifyJoin(node *memberlist.Node) {
	m, err := memberOf(node)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := *node // the library goes on with its own
	p.nodes[m.Incarnation] = &n
	p.view.MemberJoined(p.micros(), m)
}

// NotifyUpdate records changed metadata of a process.
func (p *Node) NotifyUpdate(node *memberlist.Node) { p.NotifyJoin(node) }

// NotifyLeave forgets a process that has left.
func (p *Node) NotifyLeave(node *memberlist.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.nodes, processOf(node))
	p.view.MemberFailed(p.micros(), processOf(node))
}

// AckPayload goes with each answer to a probe: who missed a word has it then.
func (p *Node) AckPayload() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.encode(p.view.Heartbeat())
}

// NotifyPingComplete records that a process has answered a probe.
func (p *Node) NotifyPingComplete(node *memberlist.Node, _ time.Duration, payload []byte) {
	p.mu.Lock()
	p.view.RecordContact(p.micros(), processOf(node))
	p.mu.Unlock()
	p.NotifyMsg(payload)
}

// NotifyMsg takes in what another router says.
func (p *Node) NotifyMsg(b []byte) {
	if len(b) < 2 || len(b) > longest && (b[0] != kindTalk || len(b) > longTalk) {
		return
	}
	switch b[0] {
	case kindWord:
		var w membership.Heartbeat
		if json.Unmarshal(b[1:], &w) == nil {
			p.said(w)
		}
	case kindPacked:
		if w, _, err := unpackWord(b[1:]); err == nil {
			p.said(w)
		}
	case kindAsk:
		p.asked(b[1:])
	case kindTalk:
		p.talked(b[1:])
	case kindTiers:
		p.takeTiers(b[1:])
	case kindParts:
		var m sharelease.Message
		if json.Unmarshal(b[1:], &m) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if a, ok := p.parts.Receive(clock.Time(p.micros()), m); !ok {
			return
		} else if len(p.answers) < mostAnswer {
			p.answers = append(p.answers, a)
		} else {
			p.dropped.Add(1)
		}
	}
}

// said passes on what is news.
func (p *Node) said(w membership.Heartbeat) {
	p.mu.Lock()
	news := p.view.ReceiveHeartbeat(p.micros(), w)
	p.mu.Unlock()
	if news {
		p.queue.QueueBroadcast(p.wordOf(w))
	}
}

// GetBroadcasts returns the messages to send along with the next packet.
func (p *Node) GetBroadcasts(overhead, limit int) [][]byte {
	return p.queue.GetBroadcasts(overhead, limit)
}

// LocalState is all words, for one who has just come or may have missed some.
func (p *Node) LocalState(bool) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Tiered {
		return packWords(p.view.Heartbeats())
	}
	text, _ := json.Marshal(p.view.Heartbeats()) // plain fields: it cannot fail
	return text
}

// MergeRemoteState takes such a state in.
func (p *Node) MergeRemoteState(b []byte, _ bool) {
	words, err := wordsIn(b)
	if err != nil || len(words) > mostWords {
		return
	}
	for _, w := range words {
		p.said(w)
	}
}

// word is one that is to be passed on; a newer one of the same process takes its place.
type word struct {
	membership.Heartbeat
	text []byte
}

func wordsIn(b []byte) (words []membership.Heartbeat, err error) {
	switch {
	case len(b) > mostWords*longest/8:
		return nil, errWord
	case len(b) > 0 && b[0] == kindPacked:
		return unpackWords(b)
	}
	err = json.Unmarshal(b, &words)
	return words, err
}

func (p *Node) encode(w membership.Heartbeat) []byte {
	if p.cfg.Tiered {
		return packWord([]byte{kindPacked}, w)
	}
	text, _ := json.Marshal(w) // plain fields: it cannot fail
	return append([]byte{kindWord}, text...)
}

func (p *Node) wordOf(w membership.Heartbeat) word { return word{w, p.encode(w)} }

// Name, Invalidates, Message and Finished are what memberlist's queue wants.
func (w word) Name() string { return fmt.Sprintf("%x", uint64(w.Incarnation)) }

// Invalidates tells whether another needs no passing on any more.
func (w word) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(word)
	return ok && o.Incarnation == w.Incarnation && o.Seq <= w.Seq
}

// Message is what goes out.
func (w word) Message() []byte { return w.text }

// Finished: nobody waits for it.
func (w word) Finished() {}
