package scale

import (
	"fmt"
	"os"
	"testing"
)

// The test's own program is the worker of the runs that it plays.
const workerArgument = "scale-worker"

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == workerArgument {
		if err := Work(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}
