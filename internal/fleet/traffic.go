package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// TrafficKind is a purpose of traffic between routers.
type TrafficKind uint8

// The purposes that traffic is counted by.
const (
	Probe         TrafficKind = iota // pings, their replies, and the heartbeats in these
	Gossip                           // memberlist's own broadcasts of changed members
	Heartbeat                        // broadcast heartbeats
	FullState                        // exchanges of the full state over connections
	ShareLease                       // messages about leases of shares
	PolicyMessage                    // messages between the voters of the policy and its followers
	Summary                          // summaries of sites and regions
	Other                            // anything else
	TrafficKinds                     // number of kinds
)

// trafficKindNames are part of the names of metrics.
var trafficKindNames = [TrafficKinds]string{"probe", "gossip", "heartbeat", "full_state", "lending", "grant", "summary", "other"}

func (k TrafficKind) String() string { return trafficKindNames[k] }

// Count counts bytes, headers included, and messages. Its JSON is part of the replies of the lab's workers.
type Count struct {
	Bytes    int64 `json:"b"`
	Messages int64 `json:"m"`
}

func (c *Count) add(other Count) {
	c.Bytes += other.Bytes
	c.Messages += other.Messages
}

// TrafficCounts is what a node has sent and received since its start, by kind.
type TrafficCounts struct {
	Sent     [TrafficKinds]Count `json:"s"`
	Received [TrafficKinds]Count `json:"r"`
}

// Names of the metrics in the form of statsd; the name of the kind follows.
const (
	sentBytes        = "router.fleet.sent_bytes."
	sentMessages     = "router.fleet.sent_messages."
	receivedBytes    = "router.fleet.received_bytes."
	receivedMessages = "router.fleet.received_messages."
	counterSuffix    = "|c"
)

// forEachMetric calls visit with each metric's name and count.
func (c *TrafficCounts) forEachMetric(visit func(name string, count *int64)) {
	for kind := range TrafficKinds {
		visit(sentBytes+kind.String(), &c.Sent[kind].Bytes)
		visit(sentMessages+kind.String(), &c.Sent[kind].Messages)
		visit(receivedBytes+kind.String(), &c.Received[kind].Bytes)
		visit(receivedMessages+kind.String(), &c.Received[kind].Messages)
	}
}

// Statsd formats the counts as lines of statsd.
func (c *TrafficCounts) Statsd() string {
	var out strings.Builder
	c.forEachMetric(func(name string, count *int64) { fmt.Fprintf(&out, "%s:%d%s\n", name, *count, counterSuffix) })
	return out.String()
}

// ParseStatsd reads the counts among a router's lines of statsd. Those that are missing are zero.
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

// Traffic counts what a node sends and receives. It is safe for concurrent use.
type Traffic struct{ sent, received [TrafficKinds]atomicCount }

type atomicCount struct{ bytes, messages atomic.Int64 }

func (c *atomicCount) add(bytes, messages int) {
	c.bytes.Add(int64(bytes))
	c.messages.Add(int64(messages))
}

func (c *atomicCount) load() Count { return Count{Bytes: c.bytes.Load(), Messages: c.messages.Load()} }

// RecordSent counts outgoing bytes, headers included, and messages.
func (t *Traffic) RecordSent(kind TrafficKind, bytes, messages int) {
	t.sent[kind].add(bytes, messages)
}

// RecordReceived counts incoming bytes, headers included, and messages.
func (t *Traffic) RecordReceived(kind TrafficKind, bytes, messages int) {
	t.received[kind].add(bytes, messages)
}

// Counts returns the counts so far. Those of different kinds may be of slightly different times.
func (t *Traffic) Counts() TrafficCounts {
	var counts TrafficCounts
	for kind := range TrafficKinds {
		counts.Sent[kind] = t.sent[kind].load()
		counts.Received[kind] = t.received[kind].load()
	}
	return counts
}

// FaultyLinks is the network of a trial, which may lose messages. It is safe for concurrent use.
type FaultyLinks interface {
	// DropsPacket reports whether a packet to an address gets lost. It counts as sent all the same.
	DropsPacket(to string) bool
	// RejectsConnection reports whether a connection to an address fails.
	RejectsConnection(to string) bool
}
