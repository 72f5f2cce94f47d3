package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Store is a folder of generations: state.7 and state.8, of which the higher is newer. A generation is written to
// state.new, synced, renamed, and the folder synced; only then goes the one before the last. So at any moment one whole
// generation is there, and a torn one under a final name can come only from a disk that lies about syncing.
type Store struct {
	fs   FS
	last uint64          // the newest generation seen or written
	good map[uint64]bool // those that this process has read or written
}

// NewStore returns a store on a folder. It reads nothing yet.
func NewStore(fs FS) *Store { return &Store{fs: fs, good: map[uint64]bool{}} }

const (
	prefix  = "state."
	pending = "state.new"
	kept    = 2 // generations
)

// generations lists what is there, the newest first.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.fs.Names()
	if err != nil {
		return nil, err
	}
	var all []uint64
	for _, name := range names {
		text, is := strings.CutPrefix(name, prefix)
		n, err := strconv.ParseUint(text, 10, 63)
		if is && err == nil && prefix+strconv.FormatUint(n, 10) == name { // no leading zeros: one name a generation
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(b, a) })
	return all, nil
}

func name(generation uint64) string { return prefix + strconv.FormatUint(generation, 10) }

// ErrNoSnapshot is a folder that holds no state yet.
var ErrNoSnapshot = errors.New("there is no state")

// Load reads the newest generation that can be read. passed tells of newer ones that cannot; they stay where they are.
func (s *Store) Load() (state State, from string, passed []error, err error) {
	all, err := s.generations()
	if err != nil {
		return State{}, "", nil, err
	}
	if len(all) > 0 {
		s.last = max(s.last, all[0])
	}
	for _, g := range all {
		file, err := s.fs.Read(name(g), MaxFileBytes)
		if err == nil {
			state, err = Decode(file)
		}
		if err == nil {
			s.good[g] = true
			return state, name(g), passed, nil
		}
		passed = append(passed, fmt.Errorf("%s: %w", name(g), err))
	}
	if len(passed) > 0 {
		return State{}, "", passed, fmt.Errorf("no generation can be read: %w", errors.Join(passed...))
	}
	return State{}, "", nil, ErrNoSnapshot
}

// Save writes the next generation and lets go of those before the last. On an error what was there is still there.
func (s *Store) Save(file []byte) error {
	all, err := s.generations()
	if err != nil {
		return err
	}
	next := s.last + 1
	if len(all) > 0 {
		next = max(next, all[0]+1)
	}
	if err := s.write(file); err != nil {
		_ = s.fs.Remove(pending) // what is left of it is overwritten the next time
		return err
	}
	if err := s.fs.Rename(pending, name(next)); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.last, s.good[next] = next, true
	// A generation that cannot be read does not count as one of those kept, and one of a newer version is left alone.
	readable := 1
	for _, g := range all {
		var err error
		if !s.good[g] { // they need no reading anew at each save
			var old []byte
			if old, err = s.fs.Read(name(g), MaxFileBytes); err == nil {
				_, err = Decode(old)
			}
		}
		switch {
		case errors.Is(err, ErrNewerVersion):
		case err == nil && readable < kept:
			readable++
		default:
			if err := s.fs.Remove(name(g)); err != nil {
				return err
			}
			delete(s.good, g)
		}
	}
	return nil
}

func (s *Store) write(file []byte) error {
	f, err := s.fs.Create(pending)
	if err != nil {
		return err
	}
	if _, err := f.Write(file); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
