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

// crashFS is a folder on a disk that keeps only what was synced. It can fail at any operation, and tells all states in
// which the disk may be found after a loss of power at that moment: names since the last SyncDir in any selection, and of
// what was not synced nothing, all, a part, or a part with zeros behind it.
type crashFS struct {
	names   map[string]*inode
	durable map[string]*inode
	pending []func(map[string]*inode) // changes of names since the last SyncDir
	ops     int
	failAt  int // operation that fails; 0: none
	dead    bool
	err     error
	lies    bool // Sync does nothing
}

type inode struct{ now, synced []byte }

var errPower = errors.New("the power is gone")

func newCrashFS() *crashFS {
	return &crashFS{names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (c *crashFS) op() error {
	if c.dead {
		return errPower
	}
	c.ops++
	if c.ops == c.failAt {
		c.dead = errors.Is(c.err, errPower)
		return c.err
	}
	return nil
}

func (c *crashFS) change(f func(map[string]*inode)) {
	f(c.names)
	c.pending = append(c.pending, f)
}

func (c *crashFS) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(c.names)), c.op()
}

func (c *crashFS) Read(name string, _ int) ([]byte, error) {
	if err := c.op(); err != nil {
		return nil, err
	}
	if f := c.names[name]; f != nil {
		return bytes.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

func (c *crashFS) Create(name string) (File, error) {
	if err := c.op(); err != nil {
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
	if err := c.op(); err != nil {
		return err
	}
	f := c.names[from]
	c.change(func(m map[string]*inode) {
		if m[from] == f { // else it never got its first name: the rename goes with it
			delete(m, from)
			m[to] = f
		}
	})
	return nil
}

func (c *crashFS) Remove(name string) error {
	if err := c.op(); err != nil {
		return err
	}
	if c.names[name] == nil {
		return fs.ErrNotExist
	}
	c.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

func (c *crashFS) SyncDir() error {
	if err := c.op(); err != nil {
		return err
	}
	c.durable, c.pending = maps.Clone(c.names), nil
	return nil
}

type crashFile struct {
	c *crashFS
	f *inode
}

// Write writes in three pieces, so that the power can go between them.
func (f *crashFile) Write(p []byte) (n int, err error) {
	for _, piece := range [][]byte{p[:len(p)/3], p[len(p)/3 : 2*len(p)/3], p[2*len(p)/3:]} {
		if err := f.c.op(); err != nil {
			return n, err
		}
		f.f.now = append(f.f.now, piece...)
		n += len(piece)
	}
	return n, nil
}

func (f *crashFile) Sync() error {
	if err := f.c.op(); err != nil {
		return err
	}
	if !f.c.lies {
		f.f.synced = bytes.Clone(f.f.now)
	}
	return nil
}

func (f *crashFile) Close() error { return f.c.op() }

// found calls with every state in which the disk may be found.
func (c *crashFS) found(see func(*crashFS)) {
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
				disk.names[name] = &inode{now: f.after(form)}
			}
			see(disk)
		}
	}
}

// after is what is left of a file: its synced bytes, or of the newer ones all, half, or half and zeros.
func (f *inode) after(form int) []byte {
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

// Whenever the power goes, what is found is the state before or the one being written, whole.
func TestPowerLossAtEveryOperation(t *testing.T) {
	seen := 0
	for saves := range 4 { // the first, one that has a generation before it, and ones that let go of older ones
		for at := 1; ; at++ {
			c := newCrashFS()
			s := Open(c)
			for i := range saves {
				if err := s.Save(Encode(sample(i))); err != nil {
					t.Fatal(err)
				}
			}
			c.failAt, c.err = c.ops+at, errPower
			err := s.Save(Encode(sample(saves)))
			c.found(func(disk *crashFS) {
				seen++
				got, _, _, err := Open(disk).Load()
				switch {
				case saves == 0 && errors.Is(err, ErrNone):
				case err != nil:
					t.Fatalf("save %d, operation %d: %v", saves, at, err)
				case got.Router != name(uint64(saves)) && (saves == 0 || got.Router != name(uint64(saves-1))):
					t.Fatalf("save %d, operation %d: found %s", saves, at, got.Router)
				case !sameState(got, sample(int(got.Knowledge.KeyReads))):
					t.Fatalf("save %d, operation %d: a mixture was found", saves, at)
				}
				// And the next start can go on from there.
				after := Open(disk)
				_, _, _, _ = after.Load() // what it finds was just looked at
				if err := after.Save(Encode(sample(9))); err != nil {
					t.Fatal(err)
				}
				if got, _, _, err := Open(disk).Load(); err != nil || got.Router != name(9) {
					t.Fatalf("save %d, operation %d: after it %v, %v", saves, at, got.Router, err)
				}
			})
			if err == nil {
				break // all operations of a save have been cut
			}
		}
	}
	if seen < 300 {
		t.Errorf("only %d disks were looked at", seen)
	}
}

// An operation that fails (a full disk, one that went read-only) leaves what was there, and the next save is good.
func TestEveryOperationMayFail(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for at := 1; ; at++ {
			c := newCrashFS()
			s := Open(c)
			for i := range 2 {
				if err := s.Save(Encode(sample(i))); err != nil {
					t.Fatal(err)
				}
			}
			c.failAt, c.err = c.ops+at, cause
			err := s.Save(Encode(sample(2)))
			c.failAt = 0
			got, _, _, loads := Open(c).Load()
			if loads != nil || got.Router != name(1) && got.Router != name(2) {
				t.Fatalf("%v at operation %d: %s, %v", cause, at, got.Router, loads)
			}
			if err := s.Save(Encode(sample(3))); err != nil {
				t.Fatalf("%v at operation %d, and then: %v", cause, at, err)
			}
			if got, _, _, err := Open(c).Load(); err != nil || got.Router != name(3) {
				t.Fatalf("%v at operation %d, and then: %s, %v", cause, at, got.Router, err)
			}
			if err == nil {
				break
			}
			if !errors.Is(err, cause) {
				t.Fatalf("%v became %v", cause, err)
			}
		}
	}
}

// A disk that says it has synced and has not: the elder generation stands in for the torn one.
func TestDiskThatLies(t *testing.T) {
	c := newCrashFS()
	s := Open(c)
	if err := s.Save(Encode(sample(0))); err != nil {
		t.Fatal(err)
	}
	c.lies = true
	if err := s.Save(Encode(sample(1))); err != nil {
		t.Fatal(err)
	}
	c.found(func(disk *crashFS) {
		got, from, passed, err := Open(disk).Load()
		if err != nil || got.Router != name(0) && got.Router != name(1) {
			t.Errorf("%s from %s: %v, %v", got.Router, from, passed, err)
		}
	})
}

func TestGenerations(t *testing.T) {
	c := newCrashFS()
	s := Open(c)
	for i := range 5 {
		if err := s.Save(Encode(sample(i))); err != nil {
			t.Fatal(err)
		}
	}
	show := func() string { return fmt.Sprint(slices.Sorted(maps.Keys(c.names))) }
	if got := show(); got != "[state.4 state.5]" {
		t.Error(got)
	}
	c.names["state.5"].now[200] ^= 1
	got, from, passed, err := Open(c).Load()
	if err != nil || from != "state.4" || got.Router != name(3) || len(passed) != 1 || !errors.Is(passed[0], ErrDamaged) {
		t.Error(got.Router, from, passed, err)
	}
	// A file of a newer version is left alone, and so is what is no state.
	newer := sample(6)
	c.names["state.7"] = &inode{now: encodeAs(newer, Version+1)}
	c.names["state.007"], c.names["notes"] = &inode{}, &inode{}
	s = Open(c)
	if _, from, passed, err := s.Load(); err != nil || from != "state.4" || !errors.Is(passed[0], ErrNewer) {
		t.Error(from, passed, err)
	}
	for i := 7; i < 10; i++ {
		if err := s.Save(Encode(sample(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got := show(); got != "[notes state.007 state.10 state.7 state.9]" {
		t.Error(got)
	}
}
