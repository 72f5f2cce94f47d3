package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Names of files in the folder, and the number of generations stored.
const (
	generationPrefix  = "state."
	pendingName       = "state.new"
	generationsStored = 2
)

// ErrNoSnapshot reports a folder without a generation.
var ErrNoSnapshot = errors.New("there is no state")

// Store is a folder of generations: state.7 and state.8, of which the higher number is newer. At any moment one complete
// generation is there. A torn one under a final name can only come from a disk that reports a sync and does not do it.
//
// A Store is not safe for concurrent use; the folder's lock keeps other processes out.
type Store struct {
	fs       FS
	newest   uint64          // the highest number loaded or saved
	readable map[uint64]bool // generations that this process has read or written
}

// NewStore returns a store on a folder. It reads nothing yet.
func NewStore(fs FS) *Store {
	return &Store{fs: fs, readable: map[uint64]bool{}}
}

// Load returns the newest generation that can be read, and its file's name. skipped has an error for each newer one that
// cannot be read; those stay in the folder. The error is ErrNoSnapshot where there is no generation at all.
func (s *Store) Load() (state State, file string, skipped []error, err error) {
	generations, err := s.generations()
	if err != nil {
		return State{}, "", nil, err
	}
	if len(generations) == 0 {
		return State{}, "", nil, ErrNoSnapshot
	}
	s.newest = max(s.newest, generations[0])
	for _, generation := range generations {
		state, err := s.read(generation)
		if err == nil {
			s.readable[generation] = true
			return state, fileName(generation), skipped, nil
		}
		skipped = append(skipped, fmt.Errorf("%s: %w", fileName(generation), err))
	}
	return State{}, "", skipped, fmt.Errorf("no generation can be read: %w", errors.Join(skipped...))
}

// Save writes an encoded state as the next generation, and then removes the generations that are no longer needed. After
// an error the generations from before are still there.
func (s *Store) Save(file []byte) error {
	generations, err := s.generations()
	if err != nil {
		return err
	}
	next := s.newest + 1
	if len(generations) > 0 {
		next = max(next, generations[0]+1)
	}
	if err := s.writePending(file); err != nil {
		_ = s.fs.Remove(pendingName) // the next save overwrites it anyway
		return err
	}
	if err := s.fs.Rename(pendingName, fileName(next)); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	s.newest = next
	s.readable[next] = true
	return s.prune(generations)
}

// writePending writes and syncs a file that has no generation's name yet.
func (s *Store) writePending(content []byte) error {
	file, err := s.fs.Create(pendingName)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

// prune removes generations, given from new to old, that were there before a save. Generations of a newer version stay;
// unreadable ones go and do not count as stored.
func (s *Store) prune(generations []uint64) error {
	stored := 1 // the one just saved
	for _, generation := range generations {
		err := s.checkReadable(generation)
		if errors.Is(err, ErrNewerVersion) {
			continue
		}
		if err == nil && stored < generationsStored {
			stored++
			continue
		}
		if err := s.fs.Remove(fileName(generation)); err != nil {
			return err
		}
		delete(s.readable, generation)
	}
	return nil
}

// checkReadable returns nil for a generation that can be read. Those known from before are not read again.
func (s *Store) checkReadable(generation uint64) error {
	if s.readable[generation] {
		return nil
	}
	_, err := s.read(generation)
	return err
}

func (s *Store) read(generation uint64) (State, error) {
	file, err := s.fs.Read(fileName(generation), MaxFileBytes)
	if err != nil {
		return State{}, err
	}
	return Decode(file)
}

// generations lists the numbers of the generations in the folder, from new to old.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.fs.Names()
	if err != nil {
		return nil, err
	}
	var generations []uint64
	for _, name := range names {
		if generation, ok := parseFileName(name); ok {
			generations = append(generations, generation)
		}
	}
	slices.SortFunc(generations, func(a, b uint64) int { return cmp.Compare(b, a) })
	return generations, nil
}

func fileName(generation uint64) string {
	return generationPrefix + strconv.FormatUint(generation, 10)
}

// parseFileName is the inverse of fileName. Numbers with leading zeros are no generations.
func parseFileName(name string) (generation uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, generationPrefix)
	if !ok {
		return 0, false
	}
	generation, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || fileName(generation) != name {
		return 0, false
	}
	return generation, true
}
