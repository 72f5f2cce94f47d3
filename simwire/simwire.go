// Package simwire implements the line protocol of the simulator, slate-8695. It translates the names of the protocol: a Reader
// returns the events of package routing, a Writer writes its decisions. Its only caller is cmd/sim-adapter, and one goroutine
// owns a Reader or a Writer.
package simwire

import (
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Instance is the number of a router instance in this process.
type Instance int

// Launch starts an instance with a seed and its settings.
type Launch struct {
	Seed     uint64
	Settings routing.Settings
}

// Shutdown ends an instance.
type Shutdown struct{}

// Input is one event for one instance. Event is a routing.Event, a Launch or a Shutdown.
type Input struct {
	Instance Instance
	Event    any
}

// Batch holds the inputs of one instant.
type Batch struct {
	Now            clock.Time
	SequenceNumber string // the reply repeats it
	Inputs         []Input
}
