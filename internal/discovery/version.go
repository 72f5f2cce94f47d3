package discovery

import "spurtrestle/core/clock"

// Call is a call to discovery. The zero value stands for a list that no call has returned.
type Call struct {
	Server      string     // address of the discovery server
	RequestedAt clock.Time // on the clock that the processes of the router share, as AnsweredAt
	AnsweredAt  clock.Time
	revision    int64 // of the list when the call was made
}

// isConcurrentWith reports whether another discovery server has answered with a version while the call was under way, so that
// neither is known to be newer.
func (c Call) isConcurrentWith(version Version) bool {
	return c.Server != "" && version.Server != "" && c.Server != version.Server && c.RequestedAt <= version.AnsweredAt
}

// Version identifies the response of discovery that a list is from. The zero value stands for a list that is from no response.
//
// Revisions are comparable only within one process of one discovery server. Two versions of the same server whose periods from
// RequestedAt to AnsweredAt overlap are from the same process, since each was connected to it all the time.
type Version struct {
	Server      string // address of the discovery server
	Revision    int64
	RequestedAt clock.Time // when the full list was requested that the later changes continue
	AnsweredAt  clock.Time // when the last response was received
}

// order is the relation of a version to another one.
type order int

const (
	notNewer order = iota
	concurrent
	newer
)

// compare returns the relation of the version to another one. Versions with the same revision are concurrent.
func (v Version) compare(other Version) order {
	switch {
	case v.Server == "":
		return notNewer
	case other.Server == "" || v.RequestedAt > other.AnsweredAt:
		return newer
	case other.RequestedAt > v.AnsweredAt:
		return notNewer
	case v.Server != other.Server || v.Revision == other.Revision:
		return concurrent
	case v.Revision > other.Revision:
		return newer
	}
	return notNewer
}

// isSuperseded reports whether the response to a call is older than the list, because the list of another process of the router
// was adopted during the call. The next watch continues from that list.
func (l *EndpointList) isSuperseded(call Call, received response) bool {
	isOlder := call.Server != "" && call.Server == l.version.Server && *received.Revision < l.version.Revision
	if l.synced {
		return isOlder && *received.Revision >= call.revision
	}
	return isOlder && received.Full && call.RequestedAt <= l.version.AnsweredAt
}
