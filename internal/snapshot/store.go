package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Names of files in the directory, and how many readable generations are retained.
const (
	generationPrefix    = "state."
	pendingName         = "state.new"
	retainedGenerations = 2
)

// ErrNoSnapshot reports a directory without any generation.
var ErrNoSnapshot = errors.New("no snapshot found")

// Store is a directory of generations, such as state.7 and state.8, of which the one with the higher number is newer. From the
// first save on, at least one complete generation exists at any moment. A torn file under a generation's name can only occur if
// the disk reports a sync that it has not done.
//
// A Store is not safe for concurrent use. The lock of the directory excludes other processes.
type Store struct {
	fs       FS
	newest   uint64          // the highest generation number loaded or saved
	readable map[uint64]bool // generations that this process has read or written successfully
}

// NewStore returns a store on a directory. It does not read the directory yet.
func NewStore(fs FS) *Store {
	return &Store{fs: fs, readable: map[uint64]bool{}}
}

// LoadResult is the result of Store.Load.
type LoadResult struct {
	State   State
	File    string  // the name of the file that the state was read from
	Skipped []error // an error for each newer generation; these cannot be read and stay in the directory
}

// Load returns the newest generation that can be read. The error is ErrNoSnapshot if there is no generation at all. Skipped is
// set even if there is an error.
func (s *Store) Load() (LoadResult, error) {
	generations, err := s.generations()
	if err != nil {
		return LoadResult{}, err
	}
	if len(generations) == 0 {
		return LoadResult{}, ErrNoSnapshot
	}
	var loaded LoadResult
	s.newest = max(s.newest, generations[0])
	for _, generation := range generations {
		state, err := s.read(generation)
		if err == nil {
			s.readable[generation] = true
			loaded.State = state
			loaded.File = fileName(generation)
			return loaded, nil
		}
		loaded.Skipped = append(loaded.Skipped, fmt.Errorf("%s: %w", fileName(generation), err))
	}
	return loaded, fmt.Errorf("no generation can be read: %w", errors.Join(loaded.Skipped...))
}

// Save writes an encoded state as the next generation and then removes the generations that are no longer needed. If it fails,
// the newest of the previous generations still exists. Errors of FS name the operation and the file.
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
		_ = s.fs.Remove(pendingName) // best effort: the next save overwrites it
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

// writePending writes and syncs a file under a temporary name, which Load ignores.
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

// prune removes obsolete generations among those that existed before a save, given from newest to oldest. Generations of a newer
// format version stay, and corrupt ones are removed. Generations that could not be read because of an I/O error stay as well,
// up to the number of readable ones that are retained: they may be valid, and a later read may succeed.
func (s *Store) prune(generations []uint64) error {
	readable := 1 // the generation just saved
	unread := 0
	for _, generation := range generations {
		isNeeded := false
		err := s.checkReadable(generation)
		switch {
		case errors.Is(err, ErrNewerVersion):
			isNeeded = true
		case errors.Is(err, ErrCorrupt):
		case err == nil:
			readable++
			isNeeded = readable <= retainedGenerations
		default:
			unread++
			isNeeded = unread <= retainedGenerations
		}
		if isNeeded {
			continue
		}
		if err := s.fs.Remove(fileName(generation)); err != nil {
			return err
		}
		delete(s.readable, generation)
	}
	return nil
}

// checkReadable returns nil for a generation that can be read. One that is known to be readable is not read again.
func (s *Store) checkReadable(generation uint64) error {
	if s.readable[generation] {
		return nil
	}
	_, err := s.read(generation)
	return err
}

// read reads and decodes a generation.
func (s *Store) read(generation uint64) (State, error) {
	file, err := s.fs.Read(fileName(generation), MaxFileBytes)
	if err != nil {
		return State{}, err
	}
	return Decode(file)
}

// generations returns the numbers of the generations in the directory, from newest to oldest.
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

// parseFileName is the inverse of fileName. A name with leading zeros in its number is not a generation.
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
