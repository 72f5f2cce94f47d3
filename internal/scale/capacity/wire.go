package capacity

import (
	"encoding/json"

	"spurtrestle/core/membership"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sharelease"
)

// messageSizes holds the sizes of the current messages in bytes, with the headers of IPv4 and UDP, as scale runs count them. They
// are computed from sample messages with the names of a large fleet and numbers with as many digits as after some days of
// operation. Heartbeats and members are parts of larger messages and have no headers of their own.
type messageSizes struct {
	Renewal       float64 // a router's renewal to the policy leader
	Grant         float64 // the lease in reply; the router holds the revision in force
	LeaseExchange float64 // request and reply of a share lease
	Heartbeat     float64 // the heartbeat of one router, in a full state
	Member        float64 // one member in the replicated policy log
}

const (
	sampleName        = "site-0760-router-18"
	sampleSite        = "site-0760"
	sampleIncarnation = 1 << 63 // incarnations are random, and most have this many digits
	sampleBuild       = "0123456789abcdef0123456789abcdef01234567"
	sampleTime        = 86_400_000_000 // a day, in microseconds
	sampleCount       = 1_000_000      // log entries

	// policyOverhead is added to each policy message: its type and incarnation (internal/gossip), and the JSON key of its field
	// (internal/controlplane). messageOverhead is added to other messages: their type.
	policyOverhead  = datagramHeader + 1 + 8 + len(`{"r":}`)
	messageOverhead = datagramHeader + 1
)

func sampleMessageSizes() messageSizes {
	renewal := policycommit.Renewal{Name: sampleName, Incarnation: sampleIncarnation, SentAt: sampleTime, FailOpen: true, Build: sampleBuild, Site: sampleSite,
		ActiveRevision: sampleCount, Index: sampleCount}
	grant := policycommit.Lease{Incarnation: sampleIncarnation, RenewalSentAt: sampleTime, Duration: policycommit.DefaultTiming().LeaseDuration, Index: sampleCount, Revision: sampleCount}
	leaseMessage := sharelease.Message{Kind: sharelease.Revoke, From: 10_000, To: 10_001, Grantor: sampleIncarnation, Holder: sampleIncarnation, Stamp: sampleTime}
	heartbeat := membership.Heartbeat{Incarnation: sampleIncarnation, Seq: sampleCount, Accepting: true, PolicyRevision: sampleCount, ViewDigest: sampleIncarnation}
	member := map[policycommit.RouterName]policycommit.Member{sampleName: {Incarnation: sampleIncarnation, FailOpen: true, Build: sampleBuild, Site: sampleSite}}
	return messageSizes{
		Renewal:       jsonSize(renewal) + float64(policyOverhead),
		Grant:         jsonSize(grant) + float64(policyOverhead),
		LeaseExchange: 2 * (jsonSize(leaseMessage) + messageOverhead),
		Heartbeat:     jsonSize(heartbeat),
		Member:        jsonSize(member),
	}
}

func jsonSize(value any) float64 {
	text, _ := json.Marshal(value) // cannot fail: all fields are plain values
	return float64(len(text))
}
