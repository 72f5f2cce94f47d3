package gossip

import (
	"encoding/json"

	"spurtrestle/core/membership"
)

// receive dispatches a message of another node. It ignores messages that cannot be decoded.
func (n *Node) receive(message []byte) {
	if !isAcceptable(message) {
		return
	}
	body := message[1:]
	switch messageKind(message[0]) {
	case kindHeartbeat:
		var heartbeat membership.Heartbeat
		if json.Unmarshal(body, &heartbeat) == nil {
			n.receiveHeartbeat(heartbeat)
		}
	case kindPackedHeartbeat:
		if heartbeat, _, err := unpackHeartbeat(body); err == nil {
			n.receiveHeartbeat(heartbeat)
		}
	case kindHeartbeatRequest:
		n.receiveHeartbeatRequest(body)
	case kindPolicy:
		n.receivePolicyMessage(body)
	case kindSummary:
		n.receiveSummary(body)
	case kindShareLease:
		n.receiveShareLease(body)
	}
}

// receiveHeartbeat records a heartbeat, and broadcasts it again if it is newer than the last one of its process.
func (n *Node) receiveHeartbeat(heartbeat membership.Heartbeat) {
	n.mu.Lock()
	isNewer := n.view.ReceiveHeartbeat(n.now(), heartbeat)
	n.mu.Unlock()
	if isNewer {
		n.broadcast(heartbeat)
	}
}

// receiveState records the heartbeats of another node's full state.
func (n *Node) receiveState(state []byte) {
	heartbeats, err := decodeState(state)
	if err != nil {
		return
	}
	for _, heartbeat := range heartbeats {
		n.receiveHeartbeat(heartbeat)
	}
}
