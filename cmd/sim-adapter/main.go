// Command sim-adapter connects the simulator to the routing core. It hosts the router instances of a simulation in one
// process and one goroutine: it reads batches of events from standard input, gives each event to its instance, and writes the
// decisions of a batch to standard output. The instances share no state. Package simwire defines the format of both streams.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"spurtrestle/core/routing"
	"spurtrestle/simwire"
)

func main() {
	debug.SetGCPercent(400) // trades memory for speed: hundreds of small instances leave memory free, and run time is what counts
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}

// run replies to each batch of its input until the input ends. Malformed input ends it with an error that names the line and
// the field.
func run(stdin io.Reader, stdout io.Writer) error {
	reader, writer := simwire.NewReader(stdin), simwire.NewWriter(stdout)
	routers := map[simwire.Instance]*routing.Router{}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, input := range batch.Inputs {
			var decisions []routing.Decision
			switch event := input.Event.(type) {
			case simwire.Launch:
				routers[input.Instance], decisions = routing.New(batch.Now, event.Settings, event.Seed)
			case simwire.Shutdown:
				delete(routers, input.Instance)
			default:
				if router := routers[input.Instance]; router != nil {
					decisions = router.Step(batch.Now, event)
				}
			}
			for _, decision := range decisions {
				writer.Add(input.Instance, decision)
			}
		}
		if err := writer.Send(batch.SequenceNumber); err != nil {
			return err
		}
	}
}
