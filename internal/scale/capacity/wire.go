package capacity

import (
	"encoding/json"

	"spurtrestle/core/membership"
	"spurtrestle/core/policycommit"
	"spurtrestle/core/sharelease"
)

// Sizes of the messages that routers send today, in bytes with the headers of IPv4 and UDP, as scale runs count them; of
// samples with names of a large fleet, whose numbers have as many digits as after some days. Words and members are parts of
// larger messages, and have no headers of their own.
type messageSizes struct {
	Renewal       float64 // a router asks the keepers' leader
	Grant         float64 // it is answered, and holds what is in force
	LeaseExchange float64 // two messages of the lending of parts: one is asked, one answered
	Heartbeat     float64 // what a router says of itself, in a full state
	Member        float64 // of the roster in the keepers' log
}

const (
	sampleName        = "site-0760-router-18"
	sampleSite        = "site-0760"
	sampleIncarnation = 1 << 63 // drawn at random: mostly as many digits
	sampleBuild       = "0123456789abcdef0123456789abcdef01234567"
	sampleTime        = 86_400_000_000 // a day, in microseconds
	sampleCount       = 1_000_000      // of a log's entries

	// talkFrame is around each message of the policy: its kind and process (internal/gossip), and the key of its field
	// (internal/controlplane).
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
	text, _ := json.Marshal(value) // plain fields: it cannot fail
	return float64(len(text))
}
