// Package operatorstate persists what operators have requested of a router: which cache servers it avoids, and whether it
// drains. The file is shared by the processes of one router, so that the state outlives each of them.
//
// internal/router owns the Store and calls it under a mutex, off its event loop.
package operatorstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"spurtrestle/internal/settings"
)

// Store is the file of one router. It is not safe for concurrent use by one process; several processes may each have one.
type Store struct {
	path         string
	methods      []string    // of the service
	lastSeen     os.FileInfo // of the file as last read or written; nil: there is none
	notPersisted bool        // this process knows of a change that the file does not have
}

// document is the content of the file.
type document struct {
	State
	Methods []string `json:"service,omitempty"` // of the router that wrote it; none: an older build wrote it
}

// Open returns the store of the router with a listen address and the methods of its service. It reads nothing yet.
func Open(dir, listen string, methods []string) *Store {
	return &Store{path: filepath.Join(dir, "spurtrestle-"+listen+".intent"), methods: methods}
}

// Load reads the file. Without a file the state is empty. The error, of a file that cannot be read or that belongs to
// another service's router, names the file and the remedy.
func (s *Store) Load() (State, error) {
	s.lastSeen, _ = os.Stat(s.path) // nil for a missing file, which makes the store stale
	text, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	var d document
	if err == nil {
		d, err = s.parse(text)
	}
	if err != nil {
		return State{}, fmt.Errorf("%s: %w; what operators asked before is not known: ask again, which writes it anew", s.path, err)
	}
	return d.State, nil
}

func (s *Store) parse(text []byte) (document, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return d, err
	}
	if len(d.Methods) == 0 {
		return d, nil
	}
	return d, settings.CheckSameService(d.Methods, s.methods)
}

// Stale reports whether the file was missing when it was last read or written, or lacks a change that this process knows
// of. It does not look at the disk.
func (s *Store) Stale() bool { return s.notPersisted || s.lastSeen == nil }

// MarkStale records that this process knows more than the file. The next Update writes all of it.
func (s *Store) MarkStale() { s.notPersisted = true }

// Changed looks at the disk and reports whether another process has written the file since this one last read or wrote it.
func (s *Store) Changed() bool {
	now, err := os.Stat(s.path)
	if err != nil {
		return false
	}
	return s.lastSeen == nil || !os.SameFile(now, s.lastSeen) || !now.ModTime().Equal(s.lastSeen.ModTime())
}

// Update changes the state and writes it, under a lock that all processes of the router take. change is applied to the
// stored state. If the file is stale or cannot be read, it is applied to known, the state in force in this process.
//
// An error of change is returned as it is, and nothing is written. Where writing fails, change is applied again, to known
// alone, and the result is returned with a *PersistError: it is in force in this process and not in the file. change may
// thus be called twice and must have no other effect.
func (s *Store) Update(known State, change func(*State) error) (State, error) {
	state := known
	var rejected error
	err := s.withLock(func() error {
		if stored, err := s.Load(); err == nil && !s.Stale() {
			state = stored
		}
		if rejected = change(&state); rejected != nil {
			return nil
		}
		return s.write(state)
	})
	if rejected != nil {
		return state, rejected
	}
	if err == nil {
		return state, nil
	}
	s.notPersisted = true
	state = known
	if err := change(&state); err != nil {
		return state, err
	}
	return state, &PersistError{Err: err}
}

// write replaces the file by rename, so that a reader finds the old or the new content, complete.
func (s *Store) write(state State) error {
	text, err := json.Marshal(document{State: state, Methods: s.methods})
	if err != nil {
		return err
	}
	next := s.path + ".next"
	err = os.WriteFile(next, text, 0o600)
	if err == nil {
		err = os.Rename(next, s.path)
	}
	if err != nil {
		_ = os.Remove(next) // it may not be there
		return err
	}
	s.lastSeen, err = os.Stat(s.path)
	s.notPersisted = err != nil
	return err
}

// withLock calls a function under the file's lock. The kernel releases the lock when the process ends.
func (s *Store) withLock(call func() error) error {
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // the file is empty, and is never removed: another process may have it open
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	return call()
}

// PersistError reports a state that is in force in this process and not in the file.
type PersistError struct{ Err error }

func (e *PersistError) Error() string {
	return fmt.Sprintf("not kept for the next process: %v; see that TMPDIR is a folder with room", e.Err)
}

// Unwrap returns the error of writing.
func (e *PersistError) Unwrap() error { return e.Err }
