// Package operatorstate keeps what operators have asked of a router: which cache servers are out, and whether it is to be
// empty. It stands in a file that the processes of one router share, so that it outlives each of them.
package operatorstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/settings"
)

// State is what has been asked, as the file has it.
type State struct {
	Banned     []string         `json:"down"`  // cache servers to leave alone, by their names in discovery
	UnbannedAt map[string]int64 `json:"back"`  // when others were given back, Unix time in microseconds
	Drain      bool             `json:"empty"` // the router is to be drained
}

const most = 4096 // names; no fleet has so many out

// IsBanned tells whether a cache server is to be left alone.
func (s State) IsBanned(uid string) bool { return slices.Contains(s.Banned, uid) }

// Ban and GiveBack say what they change; asked twice they change nothing more.
func (s *State) Ban(uid string) error {
	if s.IsBanned(uid) {
		return nil
	}
	if len(s.Banned) >= most {
		return fmt.Errorf("%d cache servers are out already", most)
	}
	s.Banned = append(slices.Clone(s.Banned), uid)
	slices.Sort(s.Banned)
	delete(s.UnbannedAt, uid)
	return nil
}

// Unban notes when, since the cache server is cold from then on. What is long past is forgotten.
func (s *State) Unban(uid string, now time.Time) error {
	const cold = 5 * time.Minute // longer than any warm-up
	for other, at := range s.UnbannedAt {
		if now.Sub(time.UnixMicro(at)) > cold {
			delete(s.UnbannedAt, other)
		}
	}
	if s.IsBanned(uid) {
		s.Banned = slices.DeleteFunc(slices.Clone(s.Banned), func(x string) bool { return x == uid })
		if s.UnbannedAt == nil {
			s.UnbannedAt = map[string]int64{}
		}
		s.UnbannedAt[uid] = now.UnixMicro()
	}
	return nil
}

// kept is what stands in the file.
type kept struct {
	State
	Service []string `json:"service,omitempty"` // the methods of the service that it was asked for; none: an older build's
}

// Store is the file.
type Store struct {
	path   string
	mine   []string    // methods
	stamp  os.FileInfo // of what was last read or written; nil: there is no file
	unkept bool        // what was asked last could not be written: the file is older than what this process knows
}

// Open returns the file of the router that clients reach at an address and that serves some methods; nothing is read yet.
func Open(dir, listen string, methods []string) *Store {
	return &Store{path: filepath.Join(dir, "spurtrestle-"+listen+".intent"), mine: methods}
}

// Load returns what the file has; nothing where there is none. A file that cannot be read, or that was asked of another
// service's router, is told of by its name, and how to get rid of it.
func (s *Store) Load() (i State, err error) {
	s.stamp, _ = os.Stat(s.path)
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return i, nil
	}
	var k kept
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err == nil && len(k.Service) > 0 {
		err = settings.CheckSameService(k.Service, s.mine)
	}
	if err != nil {
		return State{}, fmt.Errorf("%s: %w; what operators asked before is not known: ask again, which writes it anew", s.path, err)
	}
	return k.State, nil
}

// Stale tells whether the file is missing, or older than what was asked.
func (s *Store) Stale() bool { return s.unkept || s.stamp == nil }

// MarkStale notes that this process knows more than the file, which the next change writes anew.
func (s *Store) MarkStale() { s.unkept = true }

// Changed tells whether another process has written since.
func (s *Store) Changed() bool {
	now, err := os.Stat(s.path)
	return err == nil && (s.stamp == nil || !os.SameFile(now, s.stamp) || !now.ModTime().Equal(s.stamp.ModTime()))
}

// Update reads, changes and writes the file under a lock that ends with the process. What f refuses is not written. A
// file that is spoilt, missing or behind is written anew from otherwise, what this process knows.
func (s *Store) Update(otherwise State, f func(*State) error) (State, error) {
	i, refused := otherwise, error(nil)
	err := s.locked(func() (err error) {
		if was, err := s.Load(); err == nil && !s.Stale() {
			i = was
		}
		if refused = f(&i); refused != nil {
			return nil
		}
		data, err := json.Marshal(kept{i, s.mine})
		if err != nil {
			return err
		}
		next := s.path + ".next"
		if err = os.WriteFile(next, data, 0o600); err == nil {
			err = os.Rename(next, s.path)
		}
		if err != nil {
			_ = os.Remove(next) // may not be there
			return err
		}
		s.stamp, err = os.Stat(s.path)
		s.unkept = err != nil
		return err
	})
	if refused != nil {
		return i, refused
	}
	if err != nil {
		// It could not be kept, and is asked for all the same.
		s.unkept = true
		i = otherwise
		if refused = f(&i); refused != nil {
			return i, refused
		}
		return i, &PersistError{err}
	}
	return i, nil
}

// PersistError reports that what operators asked holds in this process alone.
type PersistError struct{ Err error }

func (e *PersistError) Error() string {
	return fmt.Sprintf("not kept for the next process: %v; see that TMPDIR is a folder with room", e.Err)
}

func (s *Store) locked(f func() error) error {
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	return f()
}
