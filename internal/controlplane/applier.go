package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/fleet"
)

// applyRetryInterval is the wait before another attempt while the router's event loop is busy.
const applyRetryInterval = 50 * time.Millisecond

// startApplying makes the applier apply the active revision. The router admits no requests until it is in force. n.mu must be
// held.
func (n *Node) startApplying() {
	n.applyPending = true
	n.updateAdmission()
	select {
	case n.applierWake <- struct{}{}:
	default:
	}
}

// runApplier applies revisions to the router until the node is closed. Only this goroutine calls Router.SetPolicy, so that a
// revision cannot overwrite a later one.
func (n *Node) runApplier() {
	for {
		select {
		case <-n.stop:
			return
		case <-n.applierWake:
		}
		n.applyPendingRevisions()
	}
}

// applyPendingRevisions applies the active revision, and retries while the event loop is busy. Each attempt is for the revision
// that is active at that time.
func (n *Node) applyPendingRevisions() {
	for {
		active, pending := n.pendingRevision()
		if !pending {
			return
		}
		settings, err := n.parse(active.Document)
		if err == nil {
			if busy := n.router.SetPolicy(settings.routing, settings.bannedServers); busy != nil {
				n.log.WithError(busy).WithField("revision", uint64(active.Revision)).Debug("policy: revision not applied yet")
				if !n.sleep(applyRetryInterval) {
					return
				}
				continue
			}
		}
		n.recordApplied(active, settings, err)
	}
}

// pendingRevision returns the revision that is waiting to be applied, if there is one.
func (n *Node) pendingRevision() (policycommit.ActivePolicy, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	active, ok := n.follower.Active()
	return active, ok && n.applyPending
}

// sleep waits for a duration. It returns false at once if the node is closed.
func (n *Node) sleep(duration time.Duration) bool {
	select {
	case <-n.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// recordApplied records that a revision is in force on the router, or that this build cannot apply it.
func (n *Node) recordApplied(applied policycommit.ActivePolicy, settings revisionSettings, applyError error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	active, _ := n.follower.Active()
	if active.Revision != applied.Revision {
		return // a later revision is pending
	}
	n.applyPending = false
	n.applyError = ""
	if applyError != nil {
		n.applyError = applyError.Error()
		n.log.WithError(applyError).WithFields(logrus.Fields{
			"revision": uint64(applied.Revision),
			"formerly": "policy: this build cannot hold it; taking no clients",
		}).Error("policy: this build cannot apply the revision; admitting no requests")
		return
	}
	n.inForce = applied.Revision
	n.siteOrders.plan = settings.sitePlan
	n.updateAdmission()
	n.wakeFollower() // reports the revision to the leader without waiting for the next tick
	n.transport.SetPolicyRevision(uint64(applied.Revision))
	n.log.WithFields(logrus.Fields{"revision": uint64(applied.Revision), "mono_us": fleet.Monotonic()}).Info("policy: in force")
}
