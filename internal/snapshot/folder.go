package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS provides the operations on one directory that Store needs. Tests inject failures into each of them: errors, torn writes, and
// operations that are reordered or lost at a power loss. Errors are *fs.PathError and name the operation and the file.
type FS interface {
	// Names lists the files in the directory.
	Names() ([]string, error)
	// Read returns the content of a file; of a file longer than limit bytes, it returns at least limit+1 bytes.
	Read(name string, limit int) ([]byte, error)
	// Create opens a file for writing, creating or truncating it.
	Create(name string) (File, error)
	// Rename renames a file and replaces an existing file at newName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// File is a file open for writing. Sync makes its content durable.
type File interface {
	io.WriteCloser
	Sync() error
}

// Dir is an FS on a directory of the operating system. Its value is the path.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Names lists the files in the directory.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Read returns at most limit+1 bytes, so that the caller can detect a file that is too long.
func (d Dir) Read(name string, limit int) ([]byte, error) {
	file, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close() // the file is only read, so the error does not matter
	return io.ReadAll(io.LimitReader(file, int64(limit)+1))
}

// Create opens a file for writing, creating or truncating it. Only the owner may read it.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file and replaces an existing file at newName.
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

// ErrLocked reports that another process holds the lock of the directory.
var ErrLocked = errors.New("another router uses the folder; give each a folder of its own")

// Lock locks the directory for this process until the result is closed or the process ends. The error is ErrLocked if another
// process holds the lock.
func (d Dir) Lock() (io.Closer, error) {
	file, err := os.OpenFile(d.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close() // nothing was written
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file, nil
}
