package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// TrafficKind classifies traffic between routers by its purpose.
type TrafficKind uint8

// The kinds of traffic that are counted separately.
const (
	Probe         TrafficKind = iota // pings and their replies, which carry a heartbeat
	Gossip                           // memberlist's own broadcasts about changed members
	Heartbeat                        // broadcast heartbeats
	FullState                        // full state exchanges over connections
	ShareLease                       // messages about leases of shares
	PolicyMessage                    // messages between the voters of the policy and its followers
	Summary                          // summaries of sites and regions
	Other                            // all other traffic
	TrafficKinds                     // the number of kinds
)

// trafficKindNames are the last parts of metric names.
var trafficKindNames = [TrafficKinds]string{"probe", "gossip", "heartbeat", "full_state", "lending", "grant", "summary", "other"}

// String returns the name of the kind in metrics.
func (k TrafficKind) String() string { return trafficKindNames[k] }

// Count is a number of bytes, including headers, and of messages. The replies of the lab's workers contain it as JSON.
type Count struct {
	Bytes    int64 `json:"b"`
	Messages int64 `json:"m"`
}

func (c *Count) add(other Count) {
	c.Bytes += other.Bytes
	c.Messages += other.Messages
}

// TrafficCounts has the traffic that a node has sent and received since its start, by kind.
type TrafficCounts struct {
	Sent     [TrafficKinds]Count `json:"s"`
	Received [TrafficKinds]Count `json:"r"`
}

// Prefixes of the names of statsd metrics. The name of the traffic kind follows.
const (
	sentBytes        = "router.fleet.sent_bytes."
	sentMessages     = "router.fleet.sent_messages."
	receivedBytes    = "router.fleet.received_bytes."
	receivedMessages = "router.fleet.received_messages."
	counterSuffix    = "|c"
)

// forEachMetric calls visit with the name and the count of each metric.
func (c *TrafficCounts) forEachMetric(visit func(name string, count *int64)) {
	for kind := range TrafficKinds {
		visit(sentBytes+kind.String(), &c.Sent[kind].Bytes)
		visit(sentMessages+kind.String(), &c.Sent[kind].Messages)
		visit(receivedBytes+kind.String(), &c.Received[kind].Bytes)
		visit(receivedMessages+kind.String(), &c.Received[kind].Messages)
	}
}

// Statsd formats the counts as statsd lines.
func (c *TrafficCounts) Statsd() string {
	var out strings.Builder
	c.forEachMetric(func(name string, count *int64) { fmt.Fprintf(&out, "%s:%d%s\n", name, *count, counterSuffix) })
	return out.String()
}

// ParseStatsd reads the counts from a router's statsd lines and ignores all other metrics. Missing counts are zero.
func ParseStatsd(text string) (TrafficCounts, error) {
	var counts TrafficCounts
	byName := map[string]*int64{}
	counts.forEachMetric(func(name string, count *int64) { byName[name] = count })
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		count, ok := byName[name]
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSuffix(value, counterSuffix), 10, 64)
		if err != nil {
			return counts, fmt.Errorf("read metric %s: %q is not a count: %w", name, value, err)
		}
		*count = number
	}
	return counts, nil
}

// Add adds the counts of another node.
func (c *TrafficCounts) Add(other TrafficCounts) {
	for kind := range TrafficKinds {
		c.Sent[kind].add(other.Sent[kind])
		c.Received[kind].add(other.Received[kind])
	}
}

// Traffic counts the traffic of a node. It is safe for concurrent use.
type Traffic struct{ sent, received [TrafficKinds]atomicCount }

type atomicCount struct{ bytes, messages atomic.Int64 }

func (c *atomicCount) add(bytes, messages int) {
	c.bytes.Add(int64(bytes))
	c.messages.Add(int64(messages))
}

func (c *atomicCount) load() Count { return Count{Bytes: c.bytes.Load(), Messages: c.messages.Load()} }

// RecordSent counts outgoing bytes, including headers, and messages.
func (t *Traffic) RecordSent(kind TrafficKind, bytes, messages int) {
	t.sent[kind].add(bytes, messages)
}

// RecordReceived counts incoming bytes, including headers, and messages.
func (t *Traffic) RecordReceived(kind TrafficKind, bytes, messages int) {
	t.received[kind].add(bytes, messages)
}

// Counts returns the current counts. They are not an atomic snapshot: traffic may be counted while they are read.
func (t *Traffic) Counts() TrafficCounts {
	var counts TrafficCounts
	for kind := range TrafficKinds {
		counts.Sent[kind] = t.sent[kind].load()
		counts.Received[kind] = t.received[kind].load()
	}
	return counts
}

// FaultyLinks injects network faults in tests and trials. It is safe for concurrent use.
type FaultyLinks interface {
	// DropsPacket reports whether a packet to an address is lost. A lost packet is still counted as sent.
	DropsPacket(to string) bool
	// RejectsConnection reports whether a connection to an address fails.
	RejectsConnection(to string) bool
}
