package controlplane

import (
	"encoding/json"

	"spurtrestle/core/policycommit"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
)

// message is a message between nodes, encoded as JSON. Exactly one of Renewal, Lease, Request, Reply and VoterInvitation is set.
type message struct {
	Renewal         *policycommit.Renewal `json:"r,omitempty"` // to the leader
	Lease           *policycommit.Lease   `json:"g,omitempty"` // from the leader
	Request         *policycommit.Request `json:"q,omitempty"` // to the leader
	Reply           *policycommit.Reply   `json:"a,omitempty"` // from the leader
	VoterInvitation string                `json:"w,omitempty"` // from the leader; the ID of the voter that may join raft

	SiteReport *sitefailover.Report `json:"s,omitempty"` // with Renewal
	SiteOrders *sitefailover.Orders `json:"o,omitempty"` // with Lease
}

// send sends a message, which may be lost.
func (n *Node) send(to fleet.Incarnation, m message) {
	body, _ := json.Marshal(m) // cannot fail: JSON can encode all fields
	n.transport.Send(to, body)
}

// receive handles a message. The transport calls it from its receiving goroutine, so it must not block.
func (n *Node) receive(from fleet.Incarnation, body []byte) {
	var m message
	if json.Unmarshal(body, &m) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case m.Renewal != nil:
		n.enqueueRenewal(from, *m.Renewal, m.SiteReport)
	case m.Lease != nil:
		n.receiveLease(*m.Lease)
		n.receiveSiteOrders(m.SiteOrders)
	case m.Request != nil:
		n.spawn(func() { n.serveRequest(from, *m.Request) })
	case m.Reply != nil:
		n.receiveReply(*m.Reply)
	case m.VoterInvitation != "":
		n.spawn(func() { n.acceptInvitation(m.VoterInvitation) })
	}
}
