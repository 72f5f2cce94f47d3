package gossip

import "time"

// joinTimeout limits how long the start of a router waits for its seeds. An unreachable seed delays a restart by this time.
const joinTimeout = 100 * time.Millisecond

// duplicateProbes limits how long the start waits for the heartbeat of an older process with this name, in probe intervals.
const duplicateProbes = 3

// duplicateCheckInterval is how often the view is checked during that wait.
const duplicateCheckInterval = 10 * time.Millisecond

// listenRetryInterval is how often the node tries to listen at the address of its predecessor.
const listenRetryInterval = 50 * time.Millisecond

// runAfterPredecessor waits until the predecessor has released the address, then listens and runs the node.
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

// joinFleet contacts the seeds and returns an error if an alive router has the name of this one. Without this check, a router
// with a wrong name would accept clients until the first heartbeats arrive. If the seeds do not answer within joinTimeout, it
// returns nil, and the node contacts them again later.
func (n *Node) joinFleet() error {
	joined := make(chan struct{})
	n.spawn(func() {
		defer close(joined)
		if len(n.config.Join) > 0 {
			_, _ = n.list.Join(n.config.Join) // reconnect contacts unreachable seeds again
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
		heartbeatChanged, _ := n.view.Tick(n.now()) // changes during startup are not logged
		reason := n.view.YieldReason()
		hasDuplicate := n.view.HasOlderDuplicate()
		n.mu.Unlock()
		if heartbeatChanged {
			n.broadcastLocal()
		}
		if reason != "" {
			return n.config.ConfigError("fleet.router", reason, "give each router a unique name")
		}
		if !hasDuplicate {
			return nil
		}
		time.Sleep(duplicateCheckInterval)
	}
	return nil // the older process sends no heartbeats: it was killed, and has not been declared dead yet
}

// reconnect exchanges full states with a router, and so joins one that was lost. Only one attempt runs at a time.
func (n *Node) reconnect(addr string) {
	if !n.reconnecting.CompareAndSwap(false, true) {
		return
	}
	n.running.Go(func() {
		defer n.reconnecting.Store(false)
		_, _ = n.list.Join([]string{addr}) // a later tick repeats a failed attempt
	})
}
