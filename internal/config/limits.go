package config

import (
	"fmt"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/resp"
)

// Limits are the sizes, counts and times that the network code keeps to. They are filled once, at start.
type Limits struct {
	Memory          int64 // soft limit of the whole program, bytes
	Descriptors     int   // connections and dials, those in reserve not counted
	MostDescriptors int   // the same, for clients that come in while no other can be closed
	Reserve         int   // not counted in these: files that are always open
	Upstreams       int   // of these, for connections to servers and their dials
	Clients         int   // of these, for clients: over that one of them goes before a server's idle connection
	Askers          int   // of these, for clients that have asked: over that the one quiet longest goes

	Callers int // at the admin endpoint, kept apart from all of these

	Resp       resp.Bounds
	Origin     httpwire.Bounds
	Discovery  httpwire.Bounds
	Read       int // bytes that the loop reads at once
	Piece      int // bytes of a big value that are on their way through
	ClientIn   int // bytes of one client that wait to be read on
	ClientOut  int // bytes of answers that one client has not taken
	Offers     int // requests of fronts off the loop that wait to be taken
	Pipeline   int // commands of one client that wait for their answers
	HeldBytes  int // bytes of all requests in hand
	Buffered   int // bytes that the connections of all clients hold
	Connect    clock.Time
	Idle       clock.Time // a connection idle for so long is closed before its server would
	Rest       clock.Time // a connection used just now is left alone for so long, where servers have answered twice
	Wary       clock.Time // which counts for so long
	Sweep      clock.Time // between two looks for idle connections
	Quiet      clock.Time // a client from which nothing came for so long may be closed to make room
	Silent     clock.Time // a client with no open request that has sent nothing for so long is closed
	Slow       clock.Time // one that has sent a part of a command and not the rest for so long
	Stuck      clock.Time // a server that gives nothing more of a big value for so long is given up
	Away       clock.Time // until a client to which one passes is looked at again: it may have gone
	Turn       clock.Time // until a big value's turn is looked at again
	Unread     clock.Time // a client that takes nothing more of one
	Join       clock.Time // a process that replaces another waits so long for discovery's list
	Crossing   clock.Time // a client's deadline comes sooner by this: from it to us and back
	Watch      clock.Time // of one call to discovery
	WatchSlack clock.Time // an answer to it is late after so much more; and so is a connection to it
	ListSlack  clock.Time // an answer to a call that does not wait
	AskAgain   clock.Time // after a failed call to discovery
	Linger     clock.Time // a client that takes no more of its answers for so long is closed
	Ending     clock.Time // after SIGTERM all is answered within so long
	LingerOpen clock.Time // after SIGTERM, or an operator's word, new connections are taken for so long
	Tell       clock.Time // figures for operators are this old at most while something happens
	Behind     clock.Time // from so long between two batches on the loop is late: what has come in that time may lie unread
	Stood      clock.Time // from so long between two batches on the process, or its machine, stood still
	Door       clock.Time // the loop has so long for an operator's call
}

const (
	mebibyte = 1 << 20
	kibibyte = 1 << 10
)

func newLimits(memory, sockets int, door bool, s routing.Settings) (Limits, error) {
	const (
		// Standard streams, epoll of gnet and of the Go runtime, their event files, the listener, the loop's first
		// connection, the socket for the next process, the file of the configuration, four connections on their way from the
		// listener to the loop, and a few that are being closed.
		reserve      = 34
		held         = 24 // those of them that may all be open: 12 were seen before the last four kinds came
		leastSockets = 50
		leastMemory  = 16
	)
	if sockets < leastSockets {
		return Limits{}, fmt.Errorf("limits.sockets: %d are fewer than %d; give it as many at least", sockets, leastSockets)
	}
	if memory < leastMemory {
		return Limits{}, fmt.Errorf("limits.memory_mb: %d is less than %d; give it as much at least", memory, leastMemory)
	}
	callers := 0
	if door {
		callers = min(32, sockets/12) // those who stay and say nothing come some at a time
		sockets -= callers + 3        // its listener, and two files of what was asked
	}
	longest := clock.Time(0)
	for _, m := range s.Methods {
		longest = max(longest, m.Deadline)
	}
	l := Limits{
		Memory:          int64(memory) * mebibyte * 7 / 10, // the rest is for what the collector does not see
		Descriptors:     sockets - reserve,
		MostDescriptors: sockets - held,
		Reserve:         held + callers,
		Upstreams:       (sockets - reserve) / 2,
		// Clients hold a third at most for requests; a quarter of that is left free for clients that come in.
		Clients:   sockets / 3,
		Askers:    sockets / 4,
		Resp:      resp.Bounds{Bulk: 64 * kibibyte, Long: 4 * mebibyte, Line: 4 * kibibyte, Args: 16}, // values hold at most 4 MiB
		Origin:    httpwire.Bounds{Head: 16 * kibibyte, Body: 64 * kibibyte, Long: 4 * mebibyte},
		Discovery: httpwire.Bounds{Head: 16 * kibibyte, Body: 4 * mebibyte}, // a whole list of thousands
		Read:      64 * kibibyte,
		Piece:     32 * kibibyte,
		ClientIn:  256 * kibibyte,
		ClientOut: mebibyte,
		Callers:   callers,
		Offers:    4096, // some rounds of more than a loop takes in
		Pipeline:  256,
		HeldBytes: memory * mebibyte / 8,
		Buffered:  memory * mebibyte / 4,
		Connect:   s.ConnectTimeout,
		Idle:      s.ServerIdleTimeout * 9 / 10, // a request may be on its way when the server closes
		Sweep:     250e3,
		Quiet:     50e3,  // many times the way from a client: what it sent with its connection has come
		Silent:    2e6,   // no request is owed to it by then
		Slow:      2.5e6, // a head may take 2 s, and who never ends it is owed an end within 3
		Stuck:     max(3e6, longest),
		Rest:      50e3, // second answers come some milliseconds late
		Wary:      30e6,
		Away:      25e3, // no attempt begins more than 0.1 s after its client has gone
		Turn:      5e3,
		Unread:    10e6, // slow readers make long pauses
		Join:      2e6,  // a third of the time that it has
		Crossing:  3e3,  // some three times the way from a client to its router
		// Where lists are pushed an agent on this machine answers, at once and at no cost. A watch that has fallen silent
		// counts as told 6 s later, and two after its wait at the earliest: by a wait of 20 s and 2 s of patience it was
		// noticed just then, too late where the grace is short. Now it is noticed a second and a half before that.
		Watch:      4e6,
		WatchSlack: 500e3,
		ListSlack:  500e3,
		AskAgain:   100e3, // well within the 200 ms after which a watch begins anew
		Linger:     max(3e6, longest),
		// SIGKILL comes 0.7 s after the longest deadline at the earliest, and after 3.7 s however long that is.
		Ending:     min(3e6, longest) + 500e3,
		LingerOpen: 500e3,
		Tell:       20e3,
		Behind:     80e3,  // two beats; a client may have gone for 0.1 s
		Stood:      250e3, // six beats of the loop, which it has every two of Tell
		Door:       800e3, // an answer is due within a second
	}
	if l.Connect <= 0 {
		l.Connect = 250e3
	}
	if l.Idle <= 0 {
		l.Idle = 15e6
	}
	if s.PollEndpoints {
		// One service answers all routers: calls cost, and wait in turn for up to two seconds. Given up after half a
		// second they only came again, and lists did not come at all. A watch is noticed a second before it counts as told.
		l.Watch, l.WatchSlack, l.ListSlack = 20e6, 1e6, 2e6
	}
	l.Sweep = min(l.Sweep, l.Idle/20) // found in time, however short the server's patience
	return l, nil
}
