package gossip

import (
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/membership"
)

// delegate receives the callbacks of memberlist, and passes them to the node. Memberlist calls it from its own goroutines,
// some of them under its own locks: a callback must not call memberlist.
type delegate struct{ node *Node }

var (
	_ memberlist.Delegate      = delegate{}
	_ memberlist.EventDelegate = delegate{}
	_ memberlist.PingDelegate  = delegate{}
	_ memberlist.AliveDelegate = delegate{}
	_ memberlist.MergeDelegate = delegate{}
)

// NodeMeta returns the metadata of this process.
func (d delegate) NodeMeta(limit int) []byte { return d.node.metadata().encode(limit) }

// NotifyMsg receives a message.
func (d delegate) NotifyMsg(message []byte) { d.node.receive(message) }

// GetBroadcasts returns the broadcasts to send with the next packet.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.node.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns the full state, for anti-entropy with another node.
func (d delegate) LocalState(_ bool) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return encodeState(d.node.view.Heartbeats(), d.node.config.Tiered)
}

// MergeRemoteState receives the full state of another node.
func (d delegate) MergeRemoteState(state []byte, _ bool) { d.node.receiveState(state) }

// NotifyAlive rejects nodes of other fleets and of other services.
func (d delegate) NotifyAlive(peer *memberlist.Node) error { return d.node.checkPeer(peer) }

// NotifyMerge rejects a full state exchange with such nodes.
func (d delegate) NotifyMerge(peers []*memberlist.Node) error {
	for _, peer := range peers {
		if err := d.node.checkPeer(peer); err != nil {
			return err
		}
	}
	return nil
}

// NotifyJoin records that a process has joined.
func (d delegate) NotifyJoin(peer *memberlist.Node) {
	member, err := memberOf(peer)
	if err != nil {
		return
	}
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	clone := *peer // memberlist changes its own later
	d.node.peers[member.Incarnation] = &clone
	d.node.view.MemberJoined(d.node.now(), member)
}

// NotifyUpdate records changed metadata of a process, as at its join.
func (d delegate) NotifyUpdate(peer *memberlist.Node) { d.NotifyJoin(peer) }

// NotifyLeave records that a process is dead or has left.
func (d delegate) NotifyLeave(peer *memberlist.Node) {
	incarnation := incarnationOf(peer)
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	delete(d.node.peers, incarnation)
	d.node.view.MemberFailed(d.node.now(), incarnation)
}

// AckPayload returns this process's heartbeat, which goes with each reply to a probe: it repairs a missed broadcast.
func (d delegate) AckPayload() []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return encodeHeartbeat(d.node.view.Heartbeat(), d.node.config.Tiered)
}

// NotifyPingComplete records that a process has replied to a probe.
func (d delegate) NotifyPingComplete(peer *memberlist.Node, _ time.Duration, payload []byte) {
	d.node.mu.Lock()
	d.node.view.RecordContact(d.node.now(), incarnationOf(peer))
	d.node.mu.Unlock()
	d.node.receive(payload)
}

// heartbeatBroadcast is a heartbeat in memberlist's queue of broadcasts. A newer one of the same process replaces it.
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

// Name identifies the process.
func (b heartbeatBroadcast) Name() string { return fmt.Sprintf("%x", uint64(b.incarnation)) }

// Invalidates reports whether another broadcast is outdated by this one.
func (b heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	older, ok := other.(heartbeatBroadcast)
	return ok && older.incarnation == b.incarnation && older.seq <= b.seq
}

// Message returns the bytes to send.
func (b heartbeatBroadcast) Message() []byte { return b.message }

// Finished does nothing: no goroutine waits for the broadcast.
func (heartbeatBroadcast) Finished() {}
