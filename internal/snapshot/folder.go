package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is a folder by the single operations that Store needs. Tests fail, tear, reorder and lose each of them. Errors
// are *fs.PathError, with the operation and the file.
type FS interface {
	// Names lists the files.
	Names() ([]string, error)
	// Read returns a file's content, or a little more than limit bytes of a longer one.
	Read(name string, limit int) ([]byte, error)
	// Create opens a file for writing and empties it.
	Create(name string) (File, error)
	// Rename replaces the file at newName.
	Rename(oldName, newName string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// Dir is an FS on a directory of the operating system, given by its path.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Names lists the files of the folder.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Read reads at most limit+1 bytes, so that the caller detects a file that is too long.
func (d Dir) Read(name string, limit int) ([]byte, error) {
	file, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close() // only read: nothing can be lost
	return io.ReadAll(io.LimitReader(file, int64(limit)+1))
}

// Create opens a file that its owner alone may read.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename replaces the file at newName.
func (d Dir) Rename(oldName, newName string) error {
	return os.Rename(d.path(oldName), d.path(newName))
}

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes creations, renames and removals durable.
func (d Dir) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// ErrLocked reports that another process holds the folder's lock.
var ErrLocked = errors.New("another router uses the folder; give each a folder of its own")

// Lock takes the folder for this process until the result is closed. The kernel releases it when the process ends. The
// error is ErrLocked where another process has it.
func (d Dir) Lock() (io.Closer, error) {
	file, err := os.OpenFile(d.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close() // nothing was written to it
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file, nil
}
