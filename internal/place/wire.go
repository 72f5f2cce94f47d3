package place

// Mechanism is what traffic between routers is for.
type Mechanism uint8

// The mechanisms that traffic is counted by.
const (
	Probe      Mechanism = iota // pings, their answers, and the heartbeats that go with these
	Gossip                      // membership's changes passed on
	Heartbeat                   // heartbeats passed on
	FullState                   // whole states over connections
	Lending                     // of parts
	Grant                       // talk of the policy's keepers and holders
	Summary                     // of sites and regions
	Other                       // what none of the above explains
	Mechanisms                  // how many there are
)

var mechanismNames = [Mechanisms]string{"probe", "gossip", "heartbeat", "full_state", "lending", "grant", "summary", "other"}

func (m Mechanism) String() string { return mechanismNames[m] }

// Wire is told of all that a router sends and receives for its place among the others. Its functions are called from
// several goroutines at once.
type Wire interface {
	// Sent and Received count bytes, headers included, and messages.
	Sent(m Mechanism, bytes, messages int)
	Received(m Mechanism, bytes, messages int)
	// Lose tells whether a packet that is about to be sent to an address gets lost. It is counted as sent all the same.
	Lose(to string) bool
	// Refuse tells whether no connection to an address can be had now.
	Refuse(to string) bool
}
