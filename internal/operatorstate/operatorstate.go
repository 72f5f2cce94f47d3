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
	Down  []string         `json:"down"`  // cache servers to leave alone, by their names in discovery
	Back  map[string]int64 `json:"back"`  // when others were given back, Unix time in microseconds
	Empty bool             `json:"empty"` // the router is to be drained
}

const most = 4096 // names; no fleet has so many out

// Out tells whether a cache server is to be left alone.
func (s State) Out(uid string) bool { return slices.Contains(s.Down, uid) }

// TakeOut and GiveBack say what they change; asked twice they change nothing more.
func (s *State) TakeOut(uid string) error {
	if s.Out(uid) {
		return nil
	}
	if len(s.Down) >= most {
		return fmt.Errorf("%d cache servers are out already", most)
	}
	s.Down = append(slices.Clone(s.Down), uid)
	slices.Sort(s.Down)
	delete(s.Back, uid)
	return nil
}

// GiveBack notes when, since the cache server is cold from then on. What is long past is forgotten.
func (s *State) GiveBack(uid string, now time.Time) error {
	const cold = 5 * time.Minute // longer than any warm-up
	for other, at := range s.Back {
		if now.Sub(time.UnixMicro(at)) > cold {
			delete(s.Back, other)
		}
	}
	if s.Out(uid) {
		s.Down = slices.DeleteFunc(slices.Clone(s.Down), func(x string) bool { return x == uid })
		if s.Back == nil {
			s.Back = map[string]int64{}
		}
		s.Back[uid] = now.UnixMicro()
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

// Read returns what the file has; nothing where there is none. A file that cannot be read, or that was asked of another
// service's router, is told of by its name, and how to get rid of it.
func (s *Store) Read() (i State, err error) {
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
		err = settings.SameService(k.Service, s.mine)
	}
	if err != nil {
		return State{}, fmt.Errorf("%s: %w; what operators asked before is not known: ask again, which writes it anew", s.path, err)
	}
	return k.State, nil
}

// Behind tells whether the file is missing, or older than what was asked.
func (s *Store) Behind() bool { return s.unkept || s.stamp == nil }

// FallBehind notes that this process knows more than the file, which the next change writes anew.
func (s *Store) FallBehind() { s.unkept = true }

// Changed tells whether another process has written since.
func (s *Store) Changed() bool {
	now, err := os.Stat(s.path)
	return err == nil && (s.stamp == nil || !os.SameFile(now, s.stamp) || !now.ModTime().Equal(s.stamp.ModTime()))
}

// Change reads, changes and writes the file under a lock that ends with the process. What f refuses is not written. A
// file that is spoilt, missing or behind is written anew from otherwise, what this process knows.
func (s *Store) Change(otherwise State, f func(*State) error) (State, error) {
	i, refused := otherwise, error(nil)
	err := s.locked(func() (err error) {
		if was, err := s.Read(); err == nil && !s.Behind() {
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
		return i, &NotKept{err}
	}
	return i, nil
}

// NotKept reports that what operators asked holds in this process alone.
type NotKept struct{ Err error }

func (e *NotKept) Error() string {
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
