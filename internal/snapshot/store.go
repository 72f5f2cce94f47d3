package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Names of files in the folder, and how many generations stay in it.
const (
	generationPrefix    = "state."
	pendingName         = "state.new"
	retainedGenerations = 2
)

// ErrNoSnapshot reports a folder without a generation.
var ErrNoSnapshot = errors.New("there is no state")

// Store is a folder of generations: state.7 and state.8, of which the higher number is newer. At any moment one complete
// generation is there. A torn one under a final name can only come from a disk that reports a sync and does not do it.
//
// A Store is not safe for concurrent use; the folder's lock keeps other processes out.
type Store struct {
	folder   FS
	newest   uint64          // the highest number loaded or saved
	readable map[uint64]bool // generations that this process has read or written
}

// NewStore returns a store on a folder. It reads nothing yet.
func NewStore(folder FS) *Store {
	return &Store{folder: folder, readable: map[uint64]bool{}}
}

// LoadResult is the result of Store.Load.
type LoadResult struct {
	State   State
	File    string  // the name of its generation's file
	Skipped []error // one for each newer generation, which cannot be read and stays in the folder
}

// Load returns the newest generation that can be read. The error is ErrNoSnapshot where there is no generation at all;
// Skipped is set also with an error.
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

// Save writes an encoded state as the next generation, and then removes the generations that are no longer needed. After
// an error the generations from before are still there. The folder's errors name the operation and the file.
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
		_ = s.folder.Remove(pendingName) // the next save overwrites it anyway
		return err
	}
	if err := s.folder.Rename(pendingName, fileName(next)); err != nil {
		return err
	}
	if err := s.folder.SyncDir(); err != nil {
		return err
	}
	s.newest = next
	s.readable[next] = true
	return s.prune(generations)
}

// writePending writes and syncs a file that has no generation's name yet.
func (s *Store) writePending(content []byte) error {
	file, err := s.folder.Create(pendingName)
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

// prune removes generations, given from new to old, that were there before a save. Those of a newer version stay, and corrupt
// ones are removed. Those that the disk did not read stay as well, up to as many as are retained of the readable ones: they may
// be good, and the disk may answer next time.
func (s *Store) prune(generations []uint64) error {
	readable := 1 // the one just saved
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
		if err := s.folder.Remove(fileName(generation)); err != nil {
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
	file, err := s.folder.Read(fileName(generation), MaxFileBytes)
	if err != nil {
		return State{}, err
	}
	return Decode(file)
}

// generations lists the numbers of the generations in the folder, from new to old.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.folder.Names()
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
