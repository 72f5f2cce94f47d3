package gossip

import (
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/membership"
)

// delegate forwards the callbacks of memberlist to the node. Memberlist calls it from its own goroutines, sometimes with its own
// locks held: a callback must not call memberlist.
type delegate struct{ node *Node }

var (
	_ memberlist.Delegate      = delegate{}
	_ memberlist.EventDelegate = delegate{}
	_ memberlist.PingDelegate  = delegate{}
	_ memberlist.AliveDelegate = delegate{}
	_ memberlist.MergeDelegate = delegate{}
)

// NodeMeta implements memberlist.Delegate. It returns the metadata of this process.
func (d delegate) NodeMeta(limit int) []byte { return d.node.metadata().encode(limit) }

// NotifyMsg implements memberlist.Delegate. It handles a message of another node.
func (d delegate) NotifyMsg(message []byte) { d.node.receive(message) }

// GetBroadcasts implements memberlist.Delegate. It returns the broadcasts to send with the next packet.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.node.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It returns the full state for an exchange with another node.
func (d delegate) LocalState(_ bool) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return encodeState(d.node.view.Heartbeats(), d.node.config.Tiered)
}

// MergeRemoteState implements memberlist.Delegate. It merges the full state of another node.
func (d delegate) MergeRemoteState(state []byte, _ bool) { d.node.receiveState(state) }

// NotifyAlive implements memberlist.AliveDelegate. It rejects nodes of other fleets and of other services.
func (d delegate) NotifyAlive(peer *memberlist.Node) error { return d.node.checkPeer(peer) }

// NotifyMerge implements memberlist.MergeDelegate. It rejects a full state exchange with nodes that NotifyAlive rejects.
func (d delegate) NotifyMerge(peers []*memberlist.Node) error {
	for _, peer := range peers {
		if err := d.node.checkPeer(peer); err != nil {
			return err
		}
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate. It adds a process to the view.
func (d delegate) NotifyJoin(peer *memberlist.Node) {
	member, err := memberOf(peer)
	if err != nil {
		return
	}
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	clone := *peer // memberlist modifies the original later
	d.node.peers[member.Incarnation] = &clone
	d.node.view.MemberJoined(d.node.now(), member)
}

// NotifyUpdate implements memberlist.EventDelegate. It replaces the metadata of a process in the view.
func (d delegate) NotifyUpdate(peer *memberlist.Node) { d.NotifyJoin(peer) }

// NotifyLeave implements memberlist.EventDelegate. It records that a process is dead or has left.
func (d delegate) NotifyLeave(peer *memberlist.Node) {
	incarnation := incarnationOf(peer)
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	delete(d.node.peers, incarnation)
	d.node.view.MemberFailed(d.node.now(), incarnation)
}

// AckPayload implements memberlist.PingDelegate. It returns this process's heartbeat, so that each reply to a probe repairs a
// missed broadcast.
func (d delegate) AckPayload() []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return encodeHeartbeat(d.node.view.Heartbeat(), d.node.config.Tiered)
}

// NotifyPingComplete implements memberlist.PingDelegate. It records that a process has replied to a probe, and handles the
// heartbeat in the reply.
func (d delegate) NotifyPingComplete(peer *memberlist.Node, _ time.Duration, payload []byte) {
	d.node.mu.Lock()
	d.node.view.RecordContact(d.node.now(), incarnationOf(peer))
	d.node.mu.Unlock()
	d.node.receive(payload)
}

// heartbeatBroadcast is a heartbeat in memberlist's broadcast queue. A newer heartbeat of the same process replaces it.
type heartbeatBroadcast struct {
	incarnation membership.Incarnation
	seq         uint64
	message     []byte
}

var _ memberlist.NamedBroadcast = heartbeatBroadcast{}

func (n *Node) newHeartbeatBroadcast(heartbeat membership.Heartbeat) heartbeatBroadcast {
	return heartbeatBroadcast{
		incarnation: heartbeat.Incarnation,
		seq:         heartbeat.Seq,
		message:     encodeHeartbeat(heartbeat, n.config.Tiered),
	}
}

// Name implements memberlist.NamedBroadcast. It identifies the process.
func (b heartbeatBroadcast) Name() string { return fmt.Sprintf("%x", uint64(b.incarnation)) }

// Invalidates implements memberlist.Broadcast. It reports whether this broadcast replaces another one.
func (b heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	older, ok := other.(heartbeatBroadcast)
	return ok && older.incarnation == b.incarnation && older.seq <= b.seq
}

// Message implements memberlist.Broadcast. It returns the bytes to send.
func (b heartbeatBroadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast. It does nothing, since no goroutine waits for the broadcast.
func (heartbeatBroadcast) Finished() {}
