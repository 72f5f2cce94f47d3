package controlplane

import (
	"encoding/json"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/routing"
	"spurtrestle/core/sitefailover"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/policy"
)

const (
	followerInterval = 20 * time.Millisecond
	transferInterval = 80 * time.Millisecond // between two transfers to the process that replaces this one
)

// admitNothing is an admission deadline in the past.
var admitNothing = time.Unix(0, 1)

// revisionSettings has the settings of a revision: its document combined with the router's own settings.
type revisionSettings struct {
	routing       routing.Settings
	bannedServers []string
	sitePlan      sitefailover.Plan
}

// runFollower renews the lease and updates the router's admission deadline periodically until the node is closed.
func (n *Node) runFollower() {
	ticker := time.NewTicker(followerInterval)
	defer ticker.Stop()
	offeredAt := time.Time{}
	for {
		n.renewAndAdmit()
		if now := time.Now(); now.Sub(offeredAt) > transferInterval {
			offeredAt = now
			n.router.OfferTransfer(n.leaseTransfer)
		}
		select {
		case <-n.stop:
			return
		case <-n.followerWake:
		case <-ticker.C:
		}
	}
}

// wakeFollower makes runFollower run its next pass immediately.
func (n *Node) wakeFollower() {
	select {
	case n.followerWake <- struct{}{}:
	default:
	}
}

// renewAndAdmit sends a renewal if one is due, and updates the admission deadline and the announced state of a voter.
func (n *Node) renewAndAdmit() {
	n.mu.Lock()
	renewal, due := n.follower.NextRenewal(n.now())
	renewal.Site = n.config.Site
	report := n.siteOrders.report
	n.updateAdmission()
	n.mu.Unlock()

	if due {
		for _, leader := range n.transport.Leaders() {
			n.send(leader, message{Renewal: &renewal, SiteReport: report})
		}
	}
	if n.raftLog != nil {
		n.transport.SetVoter(n.raftLog.voterStatus())
	}
}

// updateAdmission sets the router's admission deadline. n.mu must be held, so that the deadline of an earlier state cannot
// overwrite that of a later one.
func (n *Node) updateAdmission() { n.router.SetAdmissionDeadline(n.admissionDeadline()) }

// admissionDeadline returns the argument for Router.SetAdmissionDeadline. n.mu must be held.
func (n *Node) admissionDeadline() time.Time {
	if !n.hasApplied() {
		return admitNothing
	}
	deadline := n.follower.AdmissionDeadline(n.now())
	if deadline == policycommit.NoDeadline {
		return time.Time{}
	}
	return n.timeOf(deadline)
}

// hasApplied reports whether the active revision is in force on the router. n.mu must be held.
func (n *Node) hasApplied() bool {
	active, ok := n.follower.Active()
	return ok && !n.applyPending && n.applyError == "" && n.inForce == active.Revision
}

// receiveLease handles a lease, the leader's answer to a renewal. n.mu must be held.
func (n *Node) receiveLease(lease policycommit.Lease) {
	update := n.follower.ReceiveLease(n.now(), lease)
	if lease.Incarnation == policycommit.Incarnation(n.transport.Self()) {
		n.extraShare = lease.ExtraShare
		n.router.SetExtraShare(lease.ExtraShare, n.timeOf(lease.RenewalSentAt+lease.Duration))
	}
	if update.Adopt {
		n.startApplying()
	}
	if update.Adopt || update.RenewNow {
		n.wakeFollower()
	}
}

// leaseTransfer returns the lease for the successor, which cannot renew it before it listens at the router's address. The
// remaining time is sent as an expiry by the clock that all processes of a machine share. The result is nil if there is no lease
// or the active revision is not in force.
func (n *Node) leaseTransfer() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	transfer, ok := n.follower.Transfer(n.now())
	if !ok || !n.hasApplied() {
		return nil
	}
	transfer.Remaining += clock.Duration(fleet.Monotonic())
	text, _ := json.Marshal(transfer) // cannot fail: JSON can encode all fields
	return text
}

// receiveTransfer adopts the lease that the predecessor transferred.
func (n *Node) receiveTransfer(text []byte) {
	var transfer policycommit.LeaseTransfer
	if json.Unmarshal(text, &transfer) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	transfer.Remaining -= clock.Duration(fleet.Monotonic())
	if n.follower.AdoptTransfer(n.now(), transfer) {
		n.startApplying()
	}
	n.wakeFollower()
}

// validate returns an error if this router cannot apply a document.
func (n *Node) validate(document string) error {
	_, err := n.parse(document)
	return err
}

// parse returns the settings of a document. The empty document, that of revision 0, stands for the router's own settings.
func (n *Node) parse(document string) (revisionSettings, error) {
	own := revisionSettings{routing: n.config.OwnSettings}
	if document == "" {
		return own, nil
	}
	parsed, err := policy.Parse(document)
	if err != nil {
		return own, err
	}
	plan, err := parsed.Plan(n.config.OwnSettings, n.config.Sites)
	if err != nil {
		return own, err
	}
	settings, err := parsed.Settings(n.config.OwnSettings)
	return revisionSettings{routing: settings, bannedServers: parsed.BannedServers, sitePlan: plan}, err
}
