package operatorstate

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is what operators have requested of a router. Copies share their slice and map, which are never written to: a change
// puts new ones in their place, so that another goroutine may read a copy meanwhile.
type State struct {
	Banned     []string         `json:"down"`  // cache servers to avoid, by their names in discovery, sorted
	UnbannedAt map[string]int64 `json:"back"`  // when others were unbanned lately, Unix time in microseconds
	Drain      bool             `json:"empty"` // the router is to drain
}

const (
	// maxBanned bounds the file.
	maxBanned = 4096
	// unbannedRetention bounds UnbannedAt. It exceeds the longest warm-up, which starts at the unban.
	unbannedRetention = 5 * time.Minute
)

// IsBanned reports whether a cache server is to be avoided.
func (s State) IsBanned(uid string) bool { return slices.Contains(s.Banned, uid) }

// Ban adds a cache server to those to avoid. A banned one stays banned. It fails if
// maxBanned servers are banned.
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

// Unban makes a cache server usable again, and records when: it warms up from then on. One that is not banned stays as it
// is.
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
