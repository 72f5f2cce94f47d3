package operatorstate

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is what operators have requested of a router. Copies share their slice and map. These are never modified: a change
// replaces them, so that another goroutine may read a copy concurrently.
type State struct {
	Banned     []string         `json:"down"`  // cache servers that get no requests: their names in discovery, sorted
	UnbannedAt map[string]int64 `json:"back"`  // when other servers were recently unbanned, Unix time in microseconds
	Drain      bool             `json:"empty"` // the router should drain
}

const (
	// maxBanned bounds the size of the file.
	maxBanned = 4096
	// unbannedRetention is how long UnbannedAt keeps an entry. It exceeds the longest warm-up, which starts at the unban.
	unbannedRetention = 5 * time.Minute
)

// IsBanned reports whether a cache server is banned.
func (s State) IsBanned(uid string) bool { return slices.Contains(s.Banned, uid) }

// Ban bans a cache server. It does nothing if the server is banned already, and fails if maxBanned servers are.
func (s *State) Ban(uid string) error {
	if s.IsBanned(uid) {
		return nil
	}
	if len(s.Banned) >= maxBanned {
		return fmt.Errorf("%d cache servers are out already", maxBanned)
	}
	s.Banned = append(slices.Clone(s.Banned), uid)
	slices.Sort(s.Banned)
	s.UnbannedAt = maps.Clone(s.UnbannedAt)
	delete(s.UnbannedAt, uid)
	return nil
}

// Unban ends the ban of a cache server and records the time, from which the server warms up. It does nothing to a server that is
// not banned. It also removes expired entries of UnbannedAt.
func (s *State) Unban(uid string, now time.Time) {
	s.UnbannedAt = maps.Clone(s.UnbannedAt)
	maps.DeleteFunc(s.UnbannedAt, func(_ string, at int64) bool {
		return now.Sub(time.UnixMicro(at)) > unbannedRetention
	})
	if !s.IsBanned(uid) {
		return
	}
	s.Banned = slices.DeleteFunc(slices.Clone(s.Banned), func(banned string) bool { return banned == uid })
	if s.UnbannedAt == nil {
		s.UnbannedAt = map[string]int64{}
	}
	s.UnbannedAt[uid] = now.UnixMicro()
}
