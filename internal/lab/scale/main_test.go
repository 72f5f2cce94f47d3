package scale

import (
	"fmt"
	"os"
	"testing"
)

// workerArgument makes the test program act as a worker of the runs that it starts.
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
