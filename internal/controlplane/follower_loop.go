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
	transferInterval = 80 * time.Millisecond // between two offers to the process that replaces this one
)

// admitNothing is an admission deadline that has passed.
var admitNothing = time.Unix(0, 1)

// revisionSettings is a document of the policy, combined with the router's own settings.
type revisionSettings struct {
	routing       routing.Settings
	bannedServers []string
	sitePlan      sitefailover.Plan
}

// runFollower renews the lease and sets the router's admission deadline until the node is closed.
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
		case <-n.wake:
		case <-ticker.C:
		}
	}
}

// wakeFollower makes runFollower's next pass come at once.
func (n *Node) wakeFollower() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

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

// updateAdmission sets the router's admission deadline. It does so with n.mu held, so that no deadline of an earlier state is
// set over that of a later one. n.mu must be held.
func (n *Node) updateAdmission() { n.router.SetAdmissionDeadline(n.admissionDeadline()) }

// admissionDeadline returns the deadline for the router. n.mu must be held.
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

// receiveLease handles the answer to a renewal. n.mu must be held.
func (n *Node) receiveLease(lease policycommit.Lease) {
	update := n.follower.ReceiveLease(n.now(), lease)
	if lease.Incarnation == policycommit.Incarnation(n.transport.Self()) {
		n.extraShare = lease.ExtraShare
		n.router.SetExtraShare(lease.ExtraShare, n.timeOf(lease.RenewalSentAt+lease.Duration))
	}
	if update.Adopt {
		n.adopt()
	}
	if update.Adopt || update.RenewNow {
		n.wakeFollower()
	}
}

// leaseTransfer returns what the successor may serve by until it has the address and can renew itself. Its expiry is by the clock
// that all processes of a machine share.
func (n *Node) leaseTransfer() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	transfer, ok := n.follower.Transfer(n.now())
	if !ok || !n.hasApplied() {
		return nil
	}
	transfer.Remaining += clock.Duration(fleet.Monotonic())
	text, _ := json.Marshal(transfer) // cannot fail: plain fields
	return text
}

// receiveTransfer handles a transfer of the predecessor.
func (n *Node) receiveTransfer(text []byte) {
	var transfer policycommit.LeaseTransfer
	if json.Unmarshal(text, &transfer) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	transfer.Remaining -= clock.Duration(fleet.Monotonic())
	if n.follower.AdoptTransfer(n.now(), transfer) {
		n.adopt()
	}
	n.wakeFollower()
}

// validate reports why this router cannot apply a document.
func (n *Node) validate(document string) error {
	_, err := n.parse(document)
	return err
}

// parse returns the settings of a document; of the empty one, revision 0, the router's own.
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
