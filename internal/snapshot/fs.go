package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is one folder, by the operations that a store is made of. They are told apart so that tests can fail, tear, reorder
// and lose each of them, which a library that writes a file in one call leaves no way to do.
type FS interface {
	Names() ([]string, error)
	Read(name string, most int) ([]byte, error)
	Create(name string) (File, error) // empty, whatever was there
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is one that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// Dir is a folder of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Names lists the folder.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Read reads at most so many bytes and one; more is for the caller to refuse.
func (d Dir) Read(name string, most int) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(most)+1))
}

// Create opens a file for its owner alone.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename takes the place of what is there.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove takes a file away.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes names last.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// ErrLocked is a folder that another router uses.
var ErrLocked = errors.New("another router uses the folder; give each a folder of its own")

// Lock takes the folder for this process; the kernel gives it back when the process ends, however it ends.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}
