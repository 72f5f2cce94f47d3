// Package operatorstate persists what operators have requested of a router: which cache servers are banned, and whether it drains.
// The processes of one router share the file, so that the state outlives each of them.
//
// internal/router owns the Store and calls it under a mutex, outside its event loop.
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

// Store accesses the file of one router. It is not safe for concurrent use within a process; several processes may each have a
// Store of the same file.
type Store struct {
	path         string
	methods      []string    // of the router's service
	lastSeen     os.FileInfo // the file as last read or written; nil: it was missing
	notPersisted bool        // this process knows a change that is not in the file
}

// document is the JSON form of the file.
type document struct {
	State
	Methods []string `json:"service,omitempty"` // of the service of the router that wrote it; empty: written by an older build
}

// Open returns the store of the router with the given listen address, whose service has the given methods. The file is named after
// the address and is not read yet.
func Open(dir, listen string, methods []string) *Store {
	return &Store{path: filepath.Join(dir, "spurtrestle-"+listen+".intent"), methods: methods}
}

// Load reads the file. If it does not exist, the state is empty. A file that cannot be read or that belongs to a router of another
// service is an error, which names the file and the remedy.
func (s *Store) Load() (State, error) {
	s.lastSeen, _ = os.Stat(s.path) // nil if the file is missing, which makes the store stale
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

// parse decodes a file and checks that it belongs to a router of the same service.
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

// Stale reports whether the file was missing when it was last read or written, or lacks a change that this process knows. It does
// not access the disk.
func (s *Store) Stale() bool { return s.notPersisted || s.lastSeen == nil }

// MarkStale records that this process knows a change that is not in the file. The next Update writes the whole state known to the
// process.
func (s *Store) MarkStale() { s.notPersisted = true }

// Changed reports whether another process has written the file since this one last read or wrote it. It accesses the disk.
func (s *Store) Changed() bool {
	now, err := os.Stat(s.path)
	if err != nil {
		return false
	}
	return s.lastSeen == nil || !os.SameFile(now, s.lastSeen) || !now.ModTime().Equal(s.lastSeen.ModTime())
}

// Update changes the state and writes it, under a lock that is shared by all processes of the router. change is applied to the
// stored state or, if the file is stale or cannot be read, to known, the state in force in this process.
//
// If change fails, its error is returned unchanged and nothing is written. If writing fails, change is applied to known, and the
// result is returned with a *PersistError: it is in force in this process but not in the file. change may thus be called twice
// and must have no side effects.
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

// write replaces the file by a rename, so that a reader finds either the old or the new content complete.
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
		_ = os.Remove(next) // it may not exist
		return err
	}
	s.lastSeen, err = os.Stat(s.path)
	s.notPersisted = err != nil
	return err
}

// withLock calls a function while holding the file's lock. The kernel releases the lock if the process ends.
func (s *Store) withLock(call func() error) error {
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // the lock file is empty; it is never removed, since another process may have it open
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	return call()
}

// PersistError reports that a state is in force in this process but not in the file.
type PersistError struct{ Err error }

func (e *PersistError) Error() string {
	return fmt.Sprintf("not kept for the next process: %v; see that TMPDIR is a folder with room", e.Err)
}

// Unwrap returns the error of the write.
func (e *PersistError) Unwrap() error { return e.Err }
