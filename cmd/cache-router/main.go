// Command cache-router is the router on sockets, for RESP2 clients alone: without gRPC it is half as large.
package main

import "spurtrestle/internal/program"

func main() { program.Main(program.Components{}) }
