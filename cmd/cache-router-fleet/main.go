// Command cache-router-fleet is the router for RESP2 clients with fleet membership and shared policies, which the operator's
// file enables. It is a program of its own because the additional packages delay each start by about 0.3 ms.
package main

import (
	"spurtrestle/internal/controlplane"
	"spurtrestle/internal/gossip"
	"spurtrestle/internal/program"
)

func main() { program.Main(program.Components{Fleet: gossip.Open, Policy: controlplane.Join}) }
