// Command sim-adapter hosts router instances that share nothing and speaks the bench's wire.
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
	debug.SetGCPercent(400) // hundreds of small instances: memory is at hand, time is what is counted
	if err := host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}

func host(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	routers := map[simwire.Instance]*routing.Router{}
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, input := range b.Inputs {
			var decided []routing.Decision
			switch ev := input.Event.(type) {
			case simwire.Launch:
				routers[input.Instance], decided = routing.New(b.Now, ev.Settings, ev.Seed)
			case simwire.Shutdown:
				delete(routers, input.Instance)
			default:
				if router := routers[input.Instance]; router != nil {
					decided = router.Step(b.Now, ev)
				}
			}
			for _, d := range decided {
				w.Add(input.Instance, d)
			}
		}
		if err := w.Send(b.SequenceNumber); err != nil {
			return err
		}
	}
}
