package scale

import (
	"testing"
	"time"
)

func TestBusyIn_ExcludesIdleTime(t *testing.T) {
	busy, err := busyIn("cpu  100 10 50 9000 800 3 7 30 60 5\n")
	if err != nil || busy != 2*time.Second {
		t.Errorf("%v, %v", busy, err)
	}
	for _, wrong := range []string{"", "cpu0 1 2 3 4 5 6", "cpu 1 2 3", "cpu 1 x 3 4 5 6 7 8"} {
		if _, err := busyIn(wrong); err == nil {
			t.Errorf("%q was accepted", wrong)
		}
	}
}

// The CPU time of the workers must not count as load of other processes.
func TestOtherLoad_ExcludesWorkers(t *testing.T) {
	if load := otherLoad(9*time.Second, 5*time.Second, 2*time.Second); load != 2 {
		t.Errorf("%v cores", load)
	}
	if load := otherLoad(time.Second, 1010*time.Millisecond, time.Second); load != 0 {
		t.Errorf("%v cores", load)
	}
	if _, err := machineBusy(); err != nil {
		t.Error(err)
	}
}
