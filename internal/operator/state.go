package operator

import (
	"fmt"
	"path/filepath"
	"strconv"
	"time"
)

// State is the table [state], which configures the persistence of learned state across restarts (internal/snapshot).
type State struct {
	Dir          string `toml:"dir"`   // directory, a separate one for each router; empty: nothing is persisted
	IntervalText string `toml:"every"` // see Interval

	// Parsed by check.
	interval time.Duration
}

// Default and bounds of the interval. A kill loses the observations of half an interval on average, which is little compared with
// the half-life of a minute that observations have.
const (
	defaultInterval = 10 * time.Second
	minInterval     = time.Second
	maxInterval     = time.Hour
)

// Interval returns the time between two writes. Each actual one varies by a quarter of it.
func (s State) Interval() time.Duration { return s.interval }

// check validates the directory and parses the interval.
func (s *State) check(table tomlTable) error {
	if s.Dir != "" && !filepath.IsAbs(s.Dir) {
		return relativePath(table, s.Dir)
	}
	s.interval = defaultInterval
	if s.IntervalText == "" {
		return nil
	}
	interval, err := time.ParseDuration(s.IntervalText)
	if err != nil {
		return table.fault("every", strconv.Quote(s.IntervalText), "is no span", `write it as "10s" or "1m"`)
	}
	s.interval = interval
	return nil
}

// checkInterval checks the bounds of the interval.
func (s *State) checkInterval(table tomlTable) error {
	if s.interval < minInterval || s.interval > maxInterval {
		return table.fault("every", s.interval.String(), fmt.Sprintf("is not from %v to %v", minInterval, maxInterval), "write such a span")
	}
	return nil
}

// relativePath returns the error for a dir that would depend on the working directory of the router.
func relativePath(table tomlTable, dir string) error {
	return table.fault("dir", strconv.Quote(dir), "is no absolute path", "write the whole path: what the router is started from may change")
}
