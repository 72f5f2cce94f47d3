// Package routing makes every decision of a router: which server gets a request, how long to wait for it, whether to retry
// or hedge, and what is rejected.
//
// New starts a Router from its settings and a seed. Step handles one event at the current instant and returns the
// decisions to carry out, in order. A Router does no I/O, reads no clock, starts no goroutine and has no globals: the same
// events at the same instants always give the same decisions. It is owned by one goroutine: in service by the event loop of
// internal/router, in simulation by cmd/sim-adapter. Nothing in it is locked.
//
// The rules for one request stand in order in rules.go. The other files, by concern:
//
//	router.go       the Router, its events, its timer
//	request.go      a request from its arrival to its end, the queue of those that wait
//	attempt.go      sending an attempt, its outcome, what may run again
//	hedge.go        hedged requests
//	selection.go    the group of caches of a key, and which of them gets a request
//	hotkeys.go      hot keys and the shares by which their reads are spread
//	admission.go    what is rejected, and how much may be in flight at a cache
//	origin.go       what goes to the origin, and how much of it
//	warmup.go       the slow start of caches that have just started
//	health.go       outliers and their ejection
//	zonepath.go     zones that cannot be reached
//	connections.go  idle connections
//	failover.go     orders of the fleet while a site is lost
//	endpoints.go    the endpoint list, bans, polling
//	server.go       the state of a server, what answers and load reports change in it
//	restore.go      what is taken over from an earlier process
//	config.go       what follows from the settings
//
// The design that comments refer to is docs/design.md, section Followed. The scripts in testdata show one behaviour each and are
// the tests of most files.
//
// The files that decide nothing: settings.go, event.go and decision.go have the types of the interface, rate.go, latency.go
// and random.go measuring and hashing, load.go and knowledge.go what the fleet and the next process get to know.
package routing
