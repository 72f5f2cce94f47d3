package scale

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// Fields of the line "cpu" in /proc/stat, in ticks since the machine's start.
const (
	fieldIdle   = 3
	fieldIOWait = 4
	fieldGuest  = 8 // it and what follows stand in earlier fields already
)

// tick is the unit of /proc/stat: USER_HZ, which is 100 on all of Linux's platforms that Go runs on.
const tick = 10 * time.Millisecond

// machineBusy is the processor time that all processes of this machine used since its start, over all cores.
func machineBusy() (time.Duration, error) {
	file, err := os.Open("/proc/stat")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	line, err := bufio.NewReader(file).ReadString('\n')
	if err != nil {
		return 0, fmt.Errorf("/proc/stat: %w", err)
	}
	return busyIn(line)
}

// busyIn sums the processor time of a line such as "cpu  10 0 20 1000 5 0 1 0 0 0", without what was idle.
func busyIn(line string) (time.Duration, error) {
	fields := strings.Fields(line)
	if len(fields) <= fieldIOWait+1 || fields[0] != "cpu" {
		return 0, fmt.Errorf("/proc/stat begins with %q, and not with the times of all cores", line)
	}
	var busy time.Duration
	for i, field := range fields[1:] {
		if i == fieldGuest {
			break
		}
		var ticks int64
		if _, err := fmt.Sscan(field, &ticks); err != nil {
			return 0, fmt.Errorf("/proc/stat: %q is no number of ticks", field)
		}
		if i != fieldIdle && i != fieldIOWait {
			busy += time.Duration(ticks) * tick
		}
	}
	return busy, nil
}

// otherLoad is how many cores others than the workers used in a span. The clock of /proc/stat is coarser than that of the
// workers, so that a little less than nothing counts as nothing.
func otherLoad(machine, workers, span time.Duration) float64 {
	return max(0, (machine-workers).Seconds()/span.Seconds())
}
