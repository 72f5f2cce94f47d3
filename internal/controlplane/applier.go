package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/fleet"
)

const applyRetryInterval = 50 * time.Millisecond

// adopt has the applier put the active revision into force. The router admits nothing until it is. n.mu must be held.
func (n *Node) adopt() {
	n.applyPending = true
	n.updateAdmission()
	select {
	case n.adopted <- struct{}{}:
	default:
	}
}

// runApplier puts revisions into force on the router until the node is closed. It is the only caller of Router.SetPolicy, so
// that a revision never reaches the router behind a later one.
func (n *Node) runApplier() {
	for {
		select {
		case <-n.stop:
			return
		case <-n.adopted:
		}
		n.applyPendingRevisions()
	}
}

// applyPendingRevisions retries while the event loop is busy. Each attempt is for the revision that is active by then.
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

// pendingRevision returns the revision that is to be put into force, if there is one.
func (n *Node) pendingRevision() (policycommit.ActivePolicy, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	active, ok := n.follower.Active()
	return active, ok && n.applyPending
}

// sleep reports whether the node is still open after a duration.
func (n *Node) sleep(duration time.Duration) bool {
	select {
	case <-n.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// recordApplied records that the router decides by a revision, or that this build cannot apply it.
func (n *Node) recordApplied(applied policycommit.ActivePolicy, settings revisionSettings, applyError error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	active, _ := n.follower.Active()
	if active.Revision != applied.Revision {
		return // a later one is pending
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
	n.wakeFollower() // to report the revision without waiting for the next tick
	n.transport.SetPolicyRevision(uint64(applied.Revision))
	n.log.WithFields(logrus.Fields{"revision": uint64(applied.Revision), "mono_us": fleet.Monotonic()}).Info("policy: in force")
}
