package gossip

import "time"

// joinTimeout bounds how long the start of a router waits for its seeds. A seed that is cut off would delay a restart by as
// much.
const joinTimeout = 100 * time.Millisecond

// duplicateProbes bounds, in probe intervals, how long the start waits for the heartbeat of an older process of this name.
const duplicateProbes = 3

// duplicateCheckInterval is the span between two looks at the view during that wait.
const duplicateCheckInterval = 10 * time.Millisecond

// listenRetryInterval is the span between two attempts to listen at the address of a predecessor.
const listenRetryInterval = 50 * time.Millisecond

// runAfterPredecessor waits until the predecessor has left the address, and runs the node from then on.
func (n *Node) runAfterPredecessor() {
	for n.listen() != nil {
		select {
		case <-n.stop:
			return
		case <-time.After(listenRetryInterval):
		}
	}
	n.run()
}

// joinFleet contacts the seeds and returns an error if an alive router has this one's name. Otherwise a process with a wrong
// file would accept clients until the first heartbeats arrive. Without an answer from the seeds it returns after joinTimeout; the
// node contacts them again later.
func (n *Node) joinFleet() error {
	joined := make(chan struct{})
	n.spawn(func() {
		defer close(joined)
		if len(n.config.Join) > 0 {
			_, _ = n.list.Join(n.config.Join) // seeds that do not answer are contacted again by reconnect
		}
	})
	select {
	case <-joined:
	case <-time.After(joinTimeout):
		return nil
	}
	deadline := time.Now().Add(duplicateProbes * n.config.ProbeInterval)
	for time.Now().Before(deadline) {
		n.mu.Lock()
		heartbeatChanged, _ := n.view.Tick(n.now()) // changes during the start are not logged
		reason := n.view.YieldReason()
		hasDuplicate := n.view.HasOlderDuplicate()
		n.mu.Unlock()
		if heartbeatChanged {
			n.broadcastLocal()
		}
		if reason != "" {
			return n.config.ConfigError("fleet.router", reason, "give this one a name of its own")
		}
		if !hasDuplicate {
			return nil
		}
		time.Sleep(duplicateCheckInterval)
	}
	return nil // the older process sends no heartbeat: it was killed, and is not found dead yet
}

// reconnect contacts a router that is not alive. One attempt runs at a time.
func (n *Node) reconnect(addr string) {
	if !n.reconnecting.CompareAndSwap(false, true) {
		return
	}
	n.running.Go(func() {
		defer n.reconnecting.Store(false)
		_, _ = n.list.Join([]string{addr}) // a failed attempt is made again
	})
}
