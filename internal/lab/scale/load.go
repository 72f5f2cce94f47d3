package scale

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// Indexes of fields of the line "cpu" in /proc/stat, which count ticks since boot.
const (
	fieldIdle   = 3
	fieldIOWait = 4
	fieldGuest  = 8 // this field and the later ones are included in earlier fields
)

// tick is the unit of /proc/stat: USER_HZ is 100 on all Linux platforms that Go supports.
const tick = 10 * time.Millisecond

// machineBusy returns the CPU time that all processes of this machine have used since boot, over all cores.
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

// busyIn sums the CPU time of a line such as "cpu  10 0 20 1000 5 0 1 0 0 0", without idle time.
func busyIn(line string) (time.Duration, error) {
	fields := strings.Fields(line)
	if len(fields) <= fieldIOWait+1 || fields[0] != "cpu" {
		return 0, fmt.Errorf("/proc/stat begins with %q instead of the times of all cores", line)
	}
	var busy time.Duration
	for i, field := range fields[1:] {
		if i == fieldGuest {
			break
		}
		var ticks int64
		if _, err := fmt.Sscan(field, &ticks); err != nil {
			return 0, fmt.Errorf("/proc/stat: %q is not a number of ticks", field)
		}
		if i != fieldIdle && i != fieldIOWait {
			busy += time.Duration(ticks) * tick
		}
	}
	return busy, nil
}

// otherLoad returns how many cores were used in a span by processes other than the workers. The clock of /proc/stat is coarser
// than that of the workers, so a small negative difference counts as zero.
func otherLoad(machine, workers, span time.Duration) float64 {
	return max(0, (machine-workers).Seconds()/span.Seconds())
}
