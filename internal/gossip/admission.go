package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/settings"
)

const (
	rejectionLogInterval = time.Minute // minimum interval between two log lines with the same reason
	maxRejections        = 1000        // limits Node.rejections; further reasons are logged at each rejection
)

// poolSeparator separates the parts of a pool's name. The name of a fleet cannot contain it.
const poolSeparator = "/"

// poolName returns the name of the pool, the set of routers that exchange full membership: a fleet, or a site of a tiered fleet.
// Nodes of different pools reject each other. So do a flat and a tiered router of the same fleet.
func poolName(config fleet.Config) string {
	if !config.Tiered {
		return config.Fleet
	}
	return strings.Join([]string{config.Fleet, config.Region, config.Site}, poolSeparator)
}

// memberName returns the name of a process in memberlist. It contains the incarnation, since memberlist rejects a new node with
// the name of a node that it has not declared dead yet.
func memberName(member membership.Member) string {
	return fmt.Sprintf("%s#%x", member.Name, uint64(member.Incarnation))
}

// incarnationOf returns the incarnation in a node's memberlist name, or 0 if the name has none.
func incarnationOf(peer *memberlist.Node) membership.Incarnation {
	separator := strings.LastIndexByte(peer.Name, '#')
	if separator < 0 {
		return 0
	}
	number, _ := strconv.ParseUint(peer.Name[separator+1:], 16, 64) // 0 on failure
	return membership.Incarnation(number)
}

// metadata returns the metadata that this process announces.
func (n *Node) metadata() nodeMetadata {
	return nodeMetadata{
		Pool:        poolName(n.config),
		Name:        string(n.self.Name),
		Site:        string(n.self.Site),
		Incarnation: uint64(n.self.Incarnation),
		Slot:        int(n.self.Slot),
		StartedAt:   n.self.StartedAt,
		Build:       n.self.Build,
		Predecessor: uint64(n.self.Predecessor),
		Methods:     n.config.Methods,
	}
}

// metadataOf decodes and validates a node's metadata.
func metadataOf(peer *memberlist.Node) (nodeMetadata, error) {
	var metadata nodeMetadata
	if err := json.Unmarshal(peer.Meta, &metadata); err != nil {
		return nodeMetadata{}, fmt.Errorf("decode metadata of router at %s: %w", peer.Address(), err)
	}
	incarnation := membership.Incarnation(metadata.Incarnation)
	if metadata.Name == "" || incarnation == 0 || incarnation != incarnationOf(peer) {
		return nodeMetadata{}, fmt.Errorf("decode metadata of router at %s: name or incarnation missing or inconsistent", peer.Address())
	}
	return metadata, nil
}

// memberOf converts a node to a member of the view. The member's Fleet is the name of its pool.
func memberOf(peer *memberlist.Node) (membership.Member, error) {
	metadata, err := metadataOf(peer)
	if err != nil {
		return membership.Member{}, err
	}
	ip, _ := netip.AddrFromSlice(peer.Addr)
	return membership.Member{
		Fleet:       metadata.Pool,
		Name:        membership.Name(metadata.Name),
		Site:        membership.Site(metadata.Site),
		Incarnation: membership.Incarnation(metadata.Incarnation),
		Slot:        membership.Slot(metadata.Slot),
		StartedAt:   metadata.StartedAt,
		Build:       metadata.Build,
		Addr:        netip.AddrPortFrom(ip.Unmap(), peer.Port).String(),
		Predecessor: membership.Incarnation(metadata.Predecessor),
	}, nil
}

// checkPeer returns an error if a node may not join this one's pool, and logs the rejection.
func (n *Node) checkPeer(peer *memberlist.Node) error {
	err := n.rejectionOf(peer)
	if err != nil && n.isRejectionDue(err.Error()) {
		n.log.WithError(err).WithField("formerly", formerRejected).Warn("fleet: router rejected")
	}
	return err
}

// rejectionOf returns the reason why a node may not join this one's pool, or nil.
func (n *Node) rejectionOf(peer *memberlist.Node) error {
	metadata, err := metadataOf(peer)
	if err != nil {
		return err
	}
	pool := poolName(n.config)
	if metadata.Pool != pool {
		return fmt.Errorf("router %q at %s is of fleet %q, and this one, %q, of fleet %q; correct %s of one of them",
			metadata.Name, peer.Address(), metadata.Pool, n.self.Name, pool, differingFields(metadata.Pool, pool))
	}
	if err := n.checkService(metadata); err != nil {
		return fmt.Errorf("router %q at %s: %w; correct fleet.name or fleet.join of one of them, %q or this one, %q",
			metadata.Name, peer.Address(), err, metadata.Name, n.self.Name)
	}
	return nil
}

// checkService returns an error if a node announces the methods of another service. Such a router has other servers and limits,
// even if its fleet has the same name. Older builds announce no methods and are accepted.
func (n *Node) checkService(metadata nodeMetadata) error {
	isOwnMethod := func(method string) bool { return slices.Contains(n.config.Methods, method) }
	sharesMethod := metadata.MethodsTruncated && slices.ContainsFunc(metadata.Methods, isOwnMethod)
	if len(metadata.Methods) == 0 || sharesMethod {
		return nil
	}
	return settings.CheckSameService(metadata.Methods, n.config.Methods)
}

// isRejectionDue reports whether to log a rejection, and records the time if so.
func (n *Node) isRejectionDue(reason string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	loggedAt, isKnown := n.rejections[reason]
	if isKnown && now.Sub(loggedAt) < rejectionLogInterval {
		return false
	}
	if len(n.rejections) < maxRejections {
		n.rejections[reason] = now
	}
	return true
}

// differingFields names the fields of the operator's file that may make two pools differ.
func differingFields(theirs, own string) string {
	isTheirsTiered := strings.Contains(theirs, poolSeparator)
	isOwnTiered := strings.Contains(own, poolSeparator)
	switch {
	case !isTheirsTiered && !isOwnTiered:
		return "fleet.name or fleet.join"
	case isTheirsTiered != isOwnTiered:
		return "fleet.tiered"
	}
	return "fleet.name, fleet.region, fleet.site or fleet.join"
}
