package operator

import (
	"fmt"
	"path/filepath"
	"strconv"
	"time"
)

// State is the table [state]: learned state that survives a restart (internal/snapshot).
type State struct {
	Dir          string `toml:"dir"`   // the folder, one for each router; empty: nothing is written
	IntervalText string `toml:"every"` // see Interval

	// Parsed by check.
	interval time.Duration
}

// Bounds of the interval. A kill loses half an interval on average, little against half-lives of a minute.
const (
	defaultInterval = 10 * time.Second
	minInterval     = time.Second
	maxInterval     = time.Hour
)

// Interval is the time between two writes; each varies by a quarter of it.
func (s State) Interval() time.Duration { return s.interval }

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

func (s *State) checkInterval(table tomlTable) error {
	if s.interval < minInterval || s.interval > maxInterval {
		return table.fault("every", s.interval.String(), fmt.Sprintf("is not from %v to %v", minInterval, maxInterval), "write such a span")
	}
	return nil
}

// relativePath is the error of a dir that depends on the folder from which the router is started.
func relativePath(table tomlTable, dir string) error {
	return table.fault("dir", strconv.Quote(dir), "is no absolute path", "write the whole path: what the router is started from may change")
}
