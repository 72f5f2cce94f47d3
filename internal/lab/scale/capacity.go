package scale

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/scale/result"
)

// Memory of a hollow router in bytes. In a flat fleet it keeps a row for each other router, and queues and buffers that grow
// with the number of rows while the fleet settles; in a tiered fleet it does not.
const (
	memoryBase     = 3 << 20
	memoryTiered   = 1 << 20
	memoryRow      = 45 << 10
	memoryReal     = 64 << 20 // of a process of the router program
	filesPerRouter = 12       // maximum number of open sockets of a router
	spareFiles     = 200      // for the worker process itself
)

// memoryNeeded returns the most memory that a fleet needs, in bytes.
func memoryNeeded(topology result.Topology, routers int) int64 {
	each := int64(memoryTiered)
	if topology == result.Flat {
		each = memoryBase + memoryRow*int64(routers)
	}
	return each * int64(routers)
}

// Machine describes the resources that a scenario has to fit into.
type Machine struct {
	Memory int64 // in bytes; a run uses at most half of it
	Files  int64 // open files allowed per process
}

// ThisMachine returns the resources of the machine that it runs on.
func ThisMachine() (m Machine, err error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return m, fmt.Errorf("the machine's memory: %w", err)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return m, fmt.Errorf("the limit of open files: %w", err)
	}
	return Machine{int64(info.Totalram) * int64(info.Unit), int64(min(limit.Max, 1<<40))}, nil
}

// Fits returns an error that names the first size of the scenario that is too large for a machine.
func (s Scenario) Fits(m Machine) error {
	for i, n := range s.Sizes {
		if need := memoryNeeded(s.Topology, n) + 2*memoryReal*int64(s.Real); need > m.Memory/2 {
			return fmt.Errorf("sizes[%d]: %d %s routers need some %d MB, and half of this machine's memory is %d MB; write a smaller size",
				i, n, s.Topology, need>>20, m.Memory/2>>20)
		}
		perProcess := int64((n + processes(s, n) - 1) / processes(s, n))
		if need := perProcess*filesPerRouter + spareFiles; need > m.Files {
			return fmt.Errorf("sizes[%d]: %d routers in %d processes need %d open files in each, and the limit is %d; write a smaller size, "+
				"more processes, or raise the limit (ulimit -n)", i, n, processes(s, n), need, m.Files)
		}
	}
	return nil
}

// routersPerProcess keeps small fleets in few processes, so that the overhead of the processes themselves stays small.
const routersPerProcess = 100

func processes(s Scenario, routers int) int {
	return min(s.Processes, max(1, (routers+routersPerProcess-1)/routersPerProcess))
}

// rss returns the resident memory of this process in bytes.
func rss() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, fmt.Errorf("/proc/self/statm: %w", err)
	}
	return resident * int64(os.Getpagesize()), nil
}
