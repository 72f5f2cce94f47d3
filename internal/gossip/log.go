package gossip

import (
	"fmt"
	"strconv"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// Log lines that were renamed have their previous text in the field "formerly" for one release.
const (
	formerRejected         = "fleet: refused"
	formerPersistFailed    = "fleet: the peers known are not kept; free the disk, or give fleet.dir a folder that can be written"
	formerPersistRecovered = "fleet: the peers known are kept again"
)

// formerEvents has the previous log texts of renamed events.
var formerEvents = map[membership.Event]string{
	membership.EventNewIncarnation:    "fleet: another process",
	membership.EventAccepting:         "fleet: takes clients",
	membership.EventNotAccepting:      "fleet: takes no clients",
	membership.EventPolicyChanged:     "fleet: another policy",
	membership.EventDuplicateName:     "fleet: two have this name",
	membership.EventDuplicateResolved: "fleet: the name is one router's again",
	membership.EventStalled:           "fleet: this process stood still; its view is old",
}

// logChanges logs each change of the view.
func (n *Node) logChanges(changes []membership.Change) {
	for _, change := range changes {
		entry := n.log.WithFields(changeFields(change))
		message := fmt.Sprintf("fleet: %s", change.Event)
		if change.Warning {
			entry.Warn(message)
		} else {
			entry.Info(message)
		}
	}
}

func changeFields(change membership.Change) logrus.Fields {
	fields := logrus.Fields{"router": string(change.Router), "mono_us": fleet.Monotonic()}
	owner := change.Owner
	if owner != nil {
		fields["site"] = owner.Site
		fields["incarnation"] = strconv.FormatUint(uint64(owner.Incarnation), 16)
		fields["address"] = owner.Addr
		fields["policy"] = change.PolicyRevision
	}
	if change.Event == membership.EventStalled {
		fields["for_us"] = int64(change.StalledFor)
	}
	if former, ok := formerEvents[change.Event]; ok {
		fields["formerly"] = former
	}
	return fields
}
