package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// Mechanism is what traffic between routers is for.
type TrafficKind uint8

// The mechanisms that traffic is counted by.
const (
	Probe         TrafficKind = iota // pings, their answers, and the heartbeats that go with these
	Gossip                           // membership's changes passed on
	Heartbeat                        // heartbeats passed on
	FullState                        // whole states over connections
	ShareLease                       // of parts
	PolicyMessage                    // talk of the policy's keepers and holders
	Summary                          // of sites and regions
	Other                            // what none of the above explains
	TrafficKinds                     // how many there are
)

var mechanismNames = [TrafficKinds]string{"probe", "gossip", "heartbeat", "full_state", "lending", "grant", "summary", "other"}

func (m TrafficKind) String() string { return mechanismNames[m] }

// Count is bytes, headers included, and messages.
type Count struct {
	Bytes    int64 `json:"b"`
	Messages int64 `json:"m"`
}

// TrafficCounts are what a router has sent and received so far for its place among the others, by mechanism.
type TrafficCounts struct {
	Sent     [TrafficKinds]Count `json:"s"`
	Received [TrafficKinds]Count `json:"r"`
}

// The names of a count in statsd's form, which the mechanism's follows.
const (
	sentBytes        = "router.fleet.sent_bytes."
	sentMessages     = "router.fleet.sent_messages."
	receivedBytes    = "router.fleet.received_bytes."
	receivedMessages = "router.fleet.received_messages."
	counterSuffix    = "|c"
)

// statsd gives each count by its name.
func (c *TrafficCounts) statsd(of func(name string, count *int64)) {
	for m := range TrafficKinds {
		of(sentBytes+m.String(), &c.Sent[m].Bytes)
		of(sentMessages+m.String(), &c.Sent[m].Messages)
		of(receivedBytes+m.String(), &c.Received[m].Bytes)
		of(receivedMessages+m.String(), &c.Received[m].Messages)
	}
}

// Statsd writes the counts as statsd lines.
func (c TrafficCounts) Statsd() string {
	var out strings.Builder
	c.statsd(func(name string, count *int64) { fmt.Fprintf(&out, "%s:%d%s\n", name, *count, counterSuffix) })
	return out.String()
}

// ParseStatsd reads the counts among the statsd lines of a router; those that it does not show are zero.
func ParseStatsd(text string) (c TrafficCounts, err error) {
	counts := map[string]*int64{}
	c.statsd(func(name string, count *int64) { counts[name] = count })
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		count, known := counts[name]
		if !known {
			continue
		}
		if *count, err = strconv.ParseInt(strings.TrimSuffix(value, counterSuffix), 10, 64); err != nil {
			return c, fmt.Errorf("%s: %q is no count", name, value)
		}
	}
	return c, nil
}

// Add sums two counts.
func (c *TrafficCounts) Add(o TrafficCounts) {
	for m := range TrafficKinds {
		c.Sent[m].add(o.Sent[m])
		c.Received[m].add(o.Received[m])
	}
}

func (c *Count) add(o Count) {
	c.Bytes += o.Bytes
	c.Messages += o.Messages
}

// Traffic counts what a router sends and receives. Its functions may be called from several goroutines at once.
type Traffic struct{ sent, received [TrafficKinds]counter }

type counter struct{ bytes, messages atomic.Int64 }

func (c *counter) add(bytes, messages int) {
	c.bytes.Add(int64(bytes))
	c.messages.Add(int64(messages))
}

func (c *counter) read() Count { return Count{c.bytes.Load(), c.messages.Load()} }

// Sent counts bytes, headers included, and messages that go out.
func (t *Traffic) Sent(m TrafficKind, bytes, messages int) { t.sent[m].add(bytes, messages) }

// Received counts bytes, headers included, and messages that come in.
func (t *Traffic) Received(m TrafficKind, bytes, messages int) { t.received[m].add(bytes, messages) }

// Counts reads what was counted so far. Counts of different mechanisms may be of slightly different moments.
func (t *Traffic) Counts() (c TrafficCounts) {
	for m := range TrafficKinds {
		c.Sent[m], c.Received[m] = t.sent[m].read(), t.received[m].read()
	}
	return c
}

// Links is the network between the routers of a trial, which may lose what is sent. Its functions are called from several
// goroutines at once.
type FaultyLinks interface {
	// Lose tells whether a packet that is about to be sent to an address gets lost. It is counted as sent all the same.
	DropsPacket(to string) bool
	// Refuse tells whether no connection to an address can be had now.
	RejectsConnection(to string) bool
}
