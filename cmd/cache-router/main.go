// Command cache-router is the router for RESP2 clients only. Without gRPC the program is half as large.
package main

import "spurtrestle/internal/program"

func main() { program.Main(program.Components{}) }
