// Package counters declares the counters of a router. The router's event loop updates them; the program logs them on request
// and at exit.
package counters

import (
	"fmt"
	"time"
)

// Counters counts what a router has handled since its start. The router's event loop owns it: no other goroutine may access it.
type Counters struct {
	Requests  int // received from clients
	Served    int
	Rejected  int
	Failed    int
	Abandoned int // the client disconnected before the answer

	RejectedForMemory int // of Rejected: there was no memory for the request

	RepeatedIDs int // requests whose id was open, or may have run

	UnsentAttempts int // cancelled before they were sent, because the client had disconnected

	OutcomesByMethod [][3]int // for each method: served, rejected, failed

	Attempts          int
	Retries           int // attempts after the first of their request
	ForwardedAttempts int // written to the server's connection as a whole
	OK                int
	Misses            int
	NotExecuted       int // rejected by the server, or not sent because the connection failed
	MaybeExecuted     int // ended by an error, a reset or a timeout: the server may have executed them
	Canceled          int
	AttemptEnds       AttemptEnds

	ClientConnections    int // accepted
	Dials                int
	FailedDials          int
	LocalDialErrors      int // of these: caused by this machine
	PausedClients        int // times that a client was not read from, for lack of room
	EvictedConnections   int // closed to free resources for others
	ServerConnectionEnds ServerConnectionEnds
	ClientConnectionEnds ClientConnectionEnds
	UnansweredEnds       ClientConnectionEnds // of these: before everything that the client had sent was answered
	RepeatedAnswers      int                  // equal to an earlier answer on the same connection
	ConfirmedAnswers     int                  // of these: confirmed by a fence
	AbortedConnections   int                  // closed because of invalid data, or of output that the client does not read
	ServerLists          int                  // received from discovery
	FailedDiscoveryCalls int
	Batches              int           // of the event loop
	LongestUnread        time.Duration // in which the loop read no socket while clients waited
	ConfigReloads        int           // successful, requested by a signal
	RejectedReloads      int
}

// String returns one line of names and values. Names of earlier releases are repeated at its end for one release.
func (c Counters) String() string {
	return fmt.Sprintf("taken=%d served=%d rejected=%d failed=%d left=%d attempts=%d ok=%d miss=%d never-ran=%d "+
		"may-have-run=%d given-up=%d client-conns=%d dials=%d dials-failed=%d shed=%d broken=%d lists=%d "+
		"lists-failed=%d batches=%d left-waiting=%d deprecated(satisfied=%d nacked=%d write-outs=%d) "+
		"retries=%d attempt-ends(%v) server-conn-ends(%v) repeated=%d confirmed=%d dials-local-errors=%d rejected-for-memory=%d paused=%d client-conn-ends(%v) repeated-ids=%d longest-unread=%v unanswered-ends(%v)",
		c.Requests, c.Served, c.Rejected, c.Failed, c.Abandoned, c.Attempts, c.OK, c.Misses,
		c.NotExecuted, c.MaybeExecuted, c.Canceled, c.ClientConnections, c.Dials, c.FailedDials, c.EvictedConnections,
		c.AbortedConnections, c.ServerLists, c.FailedDiscoveryCalls, c.Batches, c.UnsentAttempts,
		c.Served, c.Rejected, c.Attempts, c.Retries, c.AttemptEnds, c.ServerConnectionEnds,
		c.RepeatedAnswers, c.ConfirmedAnswers, c.LocalDialErrors, c.RejectedForMemory, c.PausedClients, c.ClientConnectionEnds, c.RepeatedIDs, c.LongestUnread, c.UnansweredEnds)
}
