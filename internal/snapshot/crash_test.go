package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"syscall"
	"testing"
)

// crashFS is an FS on a simulated disk that persists only synced data. It can fail at any operation, and enumerates the states in
// which the disk may be found after a power loss at that point: any subset of the name changes since the last SyncDir, and of the
// unsynced bytes none, all, half, or half followed by zeros.
type crashFS struct {
	names       map[string]*inode         // as processes see them
	durable     map[string]*inode         // as of the last SyncDir
	pending     []func(map[string]*inode) // name changes since the last SyncDir
	operations  int
	failAt      int   // number of the operation that fails; 0: none
	poweredOff  bool  // every operation fails
	err         error // of the operation that fails
	ignoresSync bool  // File.Sync does nothing
}

// inode is the content of a file, as written and as last synced.
type inode struct{ now, synced []byte }

var errPowerLoss = errors.New("power loss")

func newCrashFS() *crashFS {
	return &crashFS{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// operation counts an operation and returns its injected error.
func (c *crashFS) operation() error {
	if c.poweredOff {
		return errPowerLoss
	}
	c.operations++
	if c.operations == c.failAt {
		c.poweredOff = errors.Is(c.err, errPowerLoss)
		return c.err
	}
	return nil
}

// change applies a name change that is not durable until the next SyncDir.
func (c *crashFS) change(f func(map[string]*inode)) {
	f(c.names)
	c.pending = append(c.pending, f)
}

func (c *crashFS) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(c.names)), c.operation()
}

func (c *crashFS) Read(name string, _ int) ([]byte, error) {
	if err := c.operation(); err != nil {
		return nil, err
	}
	if f := c.names[name]; f != nil {
		return bytes.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

func (c *crashFS) Create(name string) (File, error) {
	if err := c.operation(); err != nil {
		return nil, err
	}
	f := &inode{}
	if old := c.names[name]; old != nil {
		f = old
		f.now = nil
	} else {
		c.change(func(m map[string]*inode) { m[name] = f })
	}
	return &crashFile{c, f}, nil
}

func (c *crashFS) Rename(from, to string) error {
	if err := c.operation(); err != nil {
		return err
	}
	f := c.names[from]
	c.change(func(m map[string]*inode) {
		if m[from] == f { // otherwise its creation was lost, and the rename with it
			delete(m, from)
			m[to] = f
		}
	})
	return nil
}

func (c *crashFS) Remove(name string) error {
	if err := c.operation(); err != nil {
		return err
	}
	if c.names[name] == nil {
		return fs.ErrNotExist
	}
	c.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

func (c *crashFS) SyncDir() error {
	if err := c.operation(); err != nil {
		return err
	}
	c.durable, c.pending = maps.Clone(c.names), nil
	return nil
}

// crashFile is a file of a crashFS that is open for writing.
type crashFile struct {
	c *crashFS
	f *inode
}

// Write writes in three pieces, so that power can be lost in between.
func (f *crashFile) Write(p []byte) (n int, err error) {
	for _, piece := range [][]byte{p[:len(p)/3], p[len(p)/3 : 2*len(p)/3], p[2*len(p)/3:]} {
		if err := f.c.operation(); err != nil {
			return n, err
		}
		f.f.now = append(f.f.now, piece...)
		n += len(piece)
	}
	return n, nil
}

func (f *crashFile) Sync() error {
	if err := f.c.operation(); err != nil {
		return err
	}
	if !f.c.ignoresSync {
		f.f.synced = bytes.Clone(f.f.now)
	}
	return nil
}

func (f *crashFile) Close() error { return f.c.operation() }

// eachAfterPowerLoss calls visit with every state in which the disk may be found after a power loss.
func (c *crashFS) eachAfterPowerLoss(visit func(*crashFS)) {
	for chosen := range 1 << len(c.pending) {
		names := maps.Clone(c.durable)
		for i, f := range c.pending {
			if chosen>>i&1 == 1 {
				f(names)
			}
		}
		for form := range 4 {
			disk := newCrashFS()
			for name, f := range names {
				disk.names[name] = &inode{now: f.afterPowerLoss(form)}
			}
			visit(disk)
		}
	}
}

// afterPowerLoss returns the content of a file after a power loss: the synced bytes, or of the unsynced content all, half, or half
// followed by zeros.
func (f *inode) afterPowerLoss(form int) []byte {
	half := len(f.now) / 2
	switch {
	case form == 0 || bytes.Equal(f.now, f.synced):
		return f.synced
	case form == 1:
		return f.now
	case form == 2:
		return f.now[:half]
	}
	return append(bytes.Clone(f.now[:half]), make([]byte, len(f.now)-half)...)
}

// TestStore_PowerLossAtEveryOperation verifies that after a power loss during a save, the complete previous or new state is found,
// and that the next process can save.
func TestStore_PowerLossAtEveryOperation(t *testing.T) {
	disks := 0
	for saves := range 4 { // the first save, the second one, and saves that remove older generations
		for at := 1; ; at++ {
			c := newCrashFS()
			s := NewStore(c)
			for i := range saves {
				if err := s.Save(Encode(sample(i))); err != nil {
					t.Fatal(err)
				}
			}
			c.failAt, c.err = c.operations+at, errPowerLoss
			err := s.Save(Encode(sample(saves)))
			c.eachAfterPowerLoss(func(disk *crashFS) {
				disks++
				loaded, err := NewStore(disk).Load()
				switch {
				case saves == 0 && errors.Is(err, ErrNoSnapshot):
				case err != nil:
					t.Fatalf("save %d, power loss at operation %d: got %v, want a state", saves, at, err)
				case loaded.State.Router != generationName(saves) && (saves == 0 || loaded.State.Router != generationName(saves-1)):
					t.Fatalf("save %d, power loss at operation %d: got %s, want the saved state or the previous one", saves, at, loaded.State.Router)
				case !sameState(loaded.State, sample(int(loaded.State.Knowledge.KeyReads))):
					t.Fatalf("save %d, power loss at operation %d: got a mixture of two states", saves, at)
				}
				// The next process can load and save.
				after := NewStore(disk)
				_, _ = after.Load()
				if err := after.Save(Encode(sample(9))); err != nil {
					t.Fatal(err)
				}
				if loaded, err := NewStore(disk).Load(); err != nil || loaded.State.Router != generationName(9) {
					t.Fatalf("save %d, power loss at operation %d, next save: got %v, %v, want sample 9", saves, at, loaded.State.Router, err)
				}
			})
			if err == nil {
				break // the save has no more operations
			}
		}
	}
	if disks < 300 {
		t.Errorf("got %d disks, want at least 300", disks)
	}
}

// TestStore_EveryOperationMayFail verifies that an I/O error at any operation of a save, as on a full or read-only disk, leaves
// the previous or the new state, and that the next save succeeds.
func TestStore_EveryOperationMayFail(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for at := 1; ; at++ {
			c := newCrashFS()
			s := NewStore(c)
			for i := range 2 {
				if err := s.Save(Encode(sample(i))); err != nil {
					t.Fatal(err)
				}
			}
			c.failAt, c.err = c.operations+at, cause
			err := s.Save(Encode(sample(2)))
			c.failAt = 0
			loaded, loadErr := NewStore(c).Load()
			if loadErr != nil || loaded.State.Router != generationName(1) && loaded.State.Router != generationName(2) {
				t.Fatalf("%v at operation %d: got %s, %v, want sample 1 or 2", cause, at, loaded.State.Router, loadErr)
			}
			if err := s.Save(Encode(sample(3))); err != nil {
				t.Fatalf("%v at operation %d, next save: got %v, want no error", cause, at, err)
			}
			if loaded, err := NewStore(c).Load(); err != nil || loaded.State.Router != generationName(3) {
				t.Fatalf("%v at operation %d, next save: got %s, %v, want sample 3", cause, at, loaded.State.Router, err)
			}
			if err == nil {
				break
			}
			if !errors.Is(err, cause) {
				t.Fatalf("operation %d: got error %v, want %v", at, err, cause)
			}
		}
	}
}

// unreadableFS is a crashFS on which some files fail to be read with an I/O error.
type unreadableFS struct {
	*crashFS
	unreadable map[string]bool
}

func (u unreadableFS) Read(name string, limit int) ([]byte, error) {
	if u.unreadable[name] {
		return nil, syscall.EIO
	}
	return u.crashFS.Read(name, limit)
}

// TestStore_KeepsUnreadableGenerations guards against the removal of a valid generation that could not be read because of a
// temporary I/O error. If the error persists, the number of such generations stays bounded.
func TestStore_KeepsUnreadableGenerations(t *testing.T) {
	disk := unreadableFS{newCrashFS(), map[string]bool{}}
	save := func(s *Store, n int) {
		t.Helper()
		if err := s.Save(Encode(sample(n))); err != nil {
			t.Fatal(err)
		}
	}
	first := NewStore(disk)
	save(first, 1)
	save(first, 2)
	disk.unreadable["state.2"] = true
	save(NewStore(disk), 3) // the next process
	if disk.names["state.2"] == nil {
		t.Error("a generation that could not be read was removed")
	}
	disk.unreadable["state.2"] = false
	disk.names["state.3"].now[200] ^= 1
	if loaded, err := NewStore(disk).Load(); err != nil || loaded.File != "state.2" {
		t.Errorf("once it can be read: got %s, %v, want state.2", loaded.File, err)
	}
	for n := range 10 { // processes that cannot read any earlier file
		for name := range disk.names {
			disk.unreadable[name] = true
		}
		save(NewStore(disk), 4+n)
	}
	if files := len(disk.names); files > 1+retainedGenerations {
		t.Errorf("after ten processes that could read nothing: got %d files, want at most %d", files, 1+retainedGenerations)
	}
}

// TestStore_DiskWithoutSync verifies that the generation before a torn one is loaded if the disk ignores syncs.
func TestStore_DiskWithoutSync(t *testing.T) {
	c := newCrashFS()
	s := NewStore(c)
	if err := s.Save(Encode(sample(0))); err != nil {
		t.Fatal(err)
	}
	c.ignoresSync = true
	if err := s.Save(Encode(sample(1))); err != nil {
		t.Fatal(err)
	}
	c.eachAfterPowerLoss(func(disk *crashFS) {
		loaded, err := NewStore(disk).Load()
		if err != nil || loaded.State.Router != generationName(0) && loaded.State.Router != generationName(1) {
			t.Errorf("got %s from %s, skipped %v, error %v, want sample 0 or 1", loaded.State.Router, loaded.File, loaded.Skipped, err)
		}
	})
}

// TestStore_Generations verifies that two generations are retained, that a corrupt one is skipped, and that files of a newer format
// version and unrelated files are not removed.
func TestStore_Generations(t *testing.T) {
	c := newCrashFS()
	s := NewStore(c)
	for i := range 5 {
		if err := s.Save(Encode(sample(i))); err != nil {
			t.Fatal(err)
		}
	}
	show := func() string { return fmt.Sprint(slices.Sorted(maps.Keys(c.names))) }
	if got, want := show(), "[state.4 state.5]"; got != want {
		t.Errorf("after five saves: got %s, want %s", got, want)
	}
	c.names["state.5"].now[200] ^= 1
	loaded, err := NewStore(c).Load()
	if err != nil || loaded.File != "state.4" || loaded.State.Router != generationName(3) || len(loaded.Skipped) != 1 || !errors.Is(loaded.Skipped[0], ErrCorrupt) {
		t.Errorf("newest corrupt: got %s from %s, skipped %v, error %v, want state.4", loaded.State.Router, loaded.File, loaded.Skipped, err)
	}
	// Files of a newer format version and unrelated files stay.
	newer := sample(6)
	c.names["state.7"] = &inode{now: encodeAs(t, newer, Version+1)}
	c.names["state.007"], c.names["notes"] = &inode{}, &inode{}
	s = NewStore(c)
	if loaded, err := s.Load(); err != nil || loaded.File != "state.4" || !errors.Is(loaded.Skipped[0], ErrNewerVersion) {
		t.Errorf("newest of a newer version: got %s, skipped %v, error %v, want state.4", loaded.File, loaded.Skipped, err)
	}
	for i := 7; i < 10; i++ {
		if err := s.Save(Encode(sample(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := show(), "[notes state.007 state.10 state.7 state.9]"; got != want {
		t.Errorf("after three more saves: got %s, want %s", got, want)
	}
}
