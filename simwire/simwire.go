// Package simwire reads and writes the wire of the simulator, slate-8695. The wire's names end here: a Reader gives the
// events of package routing, a Writer writes its decisions. Its only caller is cmd/sim-adapter, in one goroutine.
package simwire

import (
	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Instance is the number of a router hosted by this process.
type Instance int

// Launch starts an instance.
type Launch struct {
	Seed     uint64
	Settings routing.Settings
}

// Shutdown ends an instance.
type Shutdown struct{}

// Input is one event for one instance: a routing.Event, a Launch or a Shutdown.
type Input struct {
	Instance Instance
	Event    any
}

// Batch is the inputs of one instant.
type Batch struct {
	Now            clock.Time
	SequenceNumber string // the reply repeats it
	Inputs         []Input
}
