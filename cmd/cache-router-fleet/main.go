// Command cache-router-fleet is the router with a view of the other routers of its fleet, which the operator's file
// switches on. What that links in costs a start some 0.3 ms, so that the plain program is without it.
package main

import (
	"spurtrestle/internal/controlplane"
	"spurtrestle/internal/gossip"
	"spurtrestle/internal/program"
)

func main() { program.Main(program.Components{Fleet: gossip.Open, Policy: controlplane.Join}) }
