// Package platform has what the cases of the second review share: small stand-ins for clients, cache servers, the origin and
// discovery, and the start and end of router processes. Each stand-in does only what the operators' pages allow it. All
// addresses are loopback addresses.
//
// Files: run.go has the life of a case and its record, process.go the router's process, and the others one stand-in each.
package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is when a case is given up. The limit of a script is 120 s.
const longestRun = 110 * time.Second

// Run is one run of a case.
type Run struct {
	// Trouble is whether the disruption takes place. It is false with TROUBLE=0.
	Trouble bool
	// Temp is an empty folder, which is removed at the end. It is the TMPDIR of the routers.
	Temp string

	start     time.Time
	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes []*Process
	closers   []func()
}

// Main runs a case and exits: with 1 if the case found the rule broken, 0 if it held, and 2 if it could not run. The first
// argument of the program is the folder of the case, where record.txt is written. The working folder is the repository's root.
func Main(play func(*Run) error) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "give the folder of the case")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	done := make(chan error, 1)
	go func() { done <- play(r) }()
	select {
	case err = <-done:
	case <-time.After(longestRun):
		err = fmt.Errorf("the case took over %v", longestRun)
	}
	os.Exit(r.end(err))
}

func newRun(folder string) (*Run, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "spurtrestle-review-")
	if err != nil {
		return nil, err
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", Temp: temp, start: time.Now(), record: record}
	r.Note("run", "trouble=%v", r.Trouble)
	return r, nil
}

// end ends all processes and stand-ins, writes the verdict and returns the exit code.
func (r *Run) end(err error) int {
	for _, p := range r.processes {
		p.Kill()
	}
	for _, closeNow := range r.closers {
		closeNow()
	}
	_ = os.RemoveAll(r.Temp) // it is a temporary folder
	code, verdict := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, verdict = exitNotRun, "could not run: "+err.Error()
	case len(r.broken) > 0:
		code, verdict = exitBroken, fmt.Sprintf("the rule was broken %d times; first: %s", len(r.broken), r.broken[0])
	}
	r.Note("verdict", "%s", verdict)
	fmt.Println(verdict)
	_ = r.record.Close() // everything has been written
	return code
}

// Note adds a line to the record: the time since the start, who, and what.
func (r *Run) Note(who, format string, arguments ...any) {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f %-10s %s\n", at.Seconds(), who, fmt.Sprintf(format, arguments...))
}

// Broken records that the rule was broken.
func (r *Run) Broken(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.Note("BROKEN", "%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// atEnd has a function called when the run ends.
func (r *Run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}
