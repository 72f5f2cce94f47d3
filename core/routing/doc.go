// Package routing makes every decision of a router: which server gets a request, how long to wait for it, whether to retry
// or hedge, and what is rejected.
//
// New starts a Router from its settings and a seed. Step handles one event at the current instant and returns the
// decisions to carry out, in order. A Router does no I/O, reads no clock, starts no goroutine and has no globals: the same
// events at the same instants always give the same decisions. It is owned by one goroutine, in service the event loop of
// internal/router, in simulation that of cmd/sim-adapter, and takes no locks.
//
// rules.go lists the rules for one request, in order. The other files, by concern:
//
//	router.go       the Router, its events, its timer
//	request.go      a request from its arrival to its end, the queue of waiting requests
//	attempt.go      sending an attempt, its outcome, whether the request may run again
//	hedge.go        hedged requests
//	selection.go    the group of caches of a key, and the choice among them
//	hotkeys.go      detection of hot keys, and the shares by which their reads are spread
//	admission.go    load shedding, and the bound on requests in flight at a cache
//	origin.go       which requests go to the origin, and the bound on them
//	warmup.go       slow start of caches that have just started
//	health.go       outlier detection and ejection
//	zonepath.go     detection of unreachable zones
//	connections.go  idle connections
//	failover.go     the fleet's orders while a site is lost
//	endpoints.go    the endpoint list, bans, polling
//	server.go       the state of a server, updated by answers and load reports
//	restore.go      state restored from an earlier process
//	config.go       values derived from the settings
//
// The design that comments refer to is docs/design.md, section Followed. Each script in testdata shows one behaviour; the
// scripts are the tests of most files.
//
// The remaining files make no decisions. settings.go, event.go and decision.go have the types of the interface; rate.go,
// latency.go and random.go have estimates and hashes; load.go and knowledge.go have the reports to the fleet and to the next
// process.
package routing
