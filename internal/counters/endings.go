package counters

import (
	"fmt"
	"strings"

	"spurtrestle/core/routing"
)

// ServerConnectionEnd says why a connection to a server ended.
type ServerConnectionEnd uint8

// The ends of connections to servers.
const (
	EndedByServer   ServerConnectionEnd = iota // closed or reset by the server
	IdleTimeout                                // idle for almost as long as the server allows
	EvictedIdle                                // idle, and its descriptor was needed
	ServerNotInUse                             // the server is draining, gone, banned, or at another address
	AttemptAborted                             // its attempt timed out or was canceled
	SingleUse                                  // its protocol or its server allows no further attempt
	MalformedAnswer                            // the answer could not be parsed
	UnsolicitedData                            // data arrived that answers no attempt
	AnswerInDoubt                              // an answer may belong to an earlier attempt
	serverConnectionEndCount
)

var serverConnectionEndNames = [serverConnectionEndCount]string{
	EndedByServer:   "by-server",
	IdleTimeout:     "idle",
	EvictedIdle:     "evicted",
	ServerNotInUse:  "not-in-use",
	AttemptAborted:  "aborted",
	SingleUse:       "single-use",
	MalformedAnswer: "malformed",
	UnsolicitedData: "unsolicited",
	AnswerInDoubt:   "in-doubt",
}

// String returns the name of the end in the line of counters.
func (e ServerConnectionEnd) String() string { return serverConnectionEndNames[e] }

// ServerConnectionEnds counts the ends of connections to servers by their cause.
type ServerConnectionEnds [serverConnectionEndCount]int

// String returns names and counts.
func (c ServerConnectionEnds) String() string { return joinCounts(serverConnectionEndNames[:], c[:]) }

// ClientConnectionEnd says why a connection of a client ended.
type ClientConnectionEnd uint8

// The ends of connections of clients.
const (
	EndedByClient      ClientConnectionEnd = iota // closed or reset by the client, or broken
	ClientEvicted                                 // quiet, and its descriptor was needed
	ClientIdle                                    // quiet for too long
	ClientSilent                                  // it stopped in the middle of a command, or never sent one
	ClientMalformed                               // it sent what is no command
	ClientQuit                                    // it asked for the end
	ClientUnread                                  // it did not read its answers
	ClientDrained                                 // the process ends, or is drained
	ClientNoDescriptor                            // no descriptor was free for it
	clientConnectionEndCount
)

var clientConnectionEndNames = [clientConnectionEndCount]string{
	EndedByClient:      "by-client",
	ClientEvicted:      "evicted",
	ClientIdle:         "idle",
	ClientSilent:       "silent",
	ClientMalformed:    "malformed",
	ClientQuit:         "quit",
	ClientUnread:       "unread",
	ClientDrained:      "drained",
	ClientNoDescriptor: "no-descriptor",
}

// String returns the name of the end in the line of counters.
func (e ClientConnectionEnd) String() string { return clientConnectionEndNames[e] }

// ClientConnectionEnds counts the ends of connections of clients by their cause.
type ClientConnectionEnds [clientConnectionEndCount]int

// String returns names and counts.
func (c ClientConnectionEnds) String() string { return joinCounts(clientConnectionEndNames[:], c[:]) }

var attemptStatusNames = []string{
	routing.OK:           "ok",
	routing.Failed:       "failed",
	routing.QueueFull:    "rejected",
	routing.TimedOut:     "timed-out",
	routing.ConnectError: "connect-error",
	routing.Reset:        "reset",
	routing.Canceled:     "canceled",
	routing.NotSent:      "not-sent",
	routing.Miss:         "miss",
}

// AttemptEnds counts the ends of attempts by their status.
type AttemptEnds [routing.Miss + 1]int

// String returns names and counts.
func (c AttemptEnds) String() string { return joinCounts(attemptStatusNames, c[:]) }

// AttemptStatusName returns the name of a status in the line of counters.
func AttemptStatusName(status routing.AttemptStatus) string { return attemptStatusNames[status] }

func joinCounts(names []string, counts []int) string {
	var pairs []string
	for i, name := range names {
		pairs = append(pairs, fmt.Sprintf("%s=%d", name, counts[i]))
	}
	return strings.Join(pairs, " ")
}
