// Package counters holds what a router counts, printed on request and at exit.
package counters

import "fmt"

// Counters are the loop's own: nothing else may touch them.
type Counters struct {
	Taken    int // requests
	Served   int
	Rejected int
	Failed   int
	Left     int // their clients had gone before the answer

	LeftWaiting int // attempts that were not sent since their clients had gone meanwhile

	Ended [][3]int // by method: satisfied, rejected, failed

	Attempts int
	Forwards int // of them written whole
	OK       int
	Miss     int
	NeverRan int // turned away, or could not connect
	MayHave  int // errors, resets, time-outs
	GivenUp  int // recalled

	ClientConns int // accepted
	Dials       int
	DialsFailed int
	Shed        int // connections closed to make room for others
	Broken      int // connections closed for what came on them
	Lists       int
	ListsFailed int
	Batches     int
	Reloaded    int // by signal
	NotLoaded   int
}

// String is one line of names and values. The names of earlier releases stand at its end, for one release.
func (c Counters) String() string {
	return fmt.Sprintf("taken=%d served=%d rejected=%d failed=%d left=%d attempts=%d ok=%d miss=%d never-ran=%d "+
		"may-have-run=%d given-up=%d client-conns=%d dials=%d dials-failed=%d shed=%d broken=%d lists=%d "+
		"lists-failed=%d batches=%d left-waiting=%d deprecated(satisfied=%d nacked=%d write-outs=%d)", c.Taken, c.Served, c.Rejected, c.Failed, c.Left, c.Attempts, c.OK, c.Miss,
		c.NeverRan, c.MayHave, c.GivenUp, c.ClientConns, c.Dials, c.DialsFailed, c.Shed, c.Broken, c.Lists,
		c.ListsFailed, c.Batches, c.LeftWaiting, c.Served, c.Rejected, c.Attempts)
}
