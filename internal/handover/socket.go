package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// answerTimeout bounds the wait for a process that does not accept.
const answerTimeout = 100 * time.Millisecond

// Dial connects to the process that listens under a name in a folder. An error means that no process answers there.
func Dial(dir, name string, timeout time.Duration) (*Conn, error) {
	path, release := socketPath(dir, name)
	defer release()
	conn, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn.(*net.UnixConn)}, nil
}

// IsListening reports whether a process listens under a name in a folder.
func IsListening(dir, name string) bool {
	conn, err := Dial(dir, name, answerTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// Listen waits under a name in a folder for the process that will replace this one. The name is taken over from the
// process that had it, by a rename, so that there is a listener under the name at every moment.
func Listen(dir, name string) (*net.UnixListener, error) {
	ownName := fmt.Sprintf("%s.%d", name, os.Getpid())
	path, release := socketPath(dir, ownName)
	defer release()
	_ = os.Remove(path) // a process that has ended had the same id
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // the name may be a successor's by then
	// A rename has no limit on the length of a path.
	if err = os.Rename(filepath.Join(dir, ownName), filepath.Join(dir, name)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Accept waits for a connection from a successor.
func Accept(ln *net.UnixListener) (*Conn, error) {
	conn, err := ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn}, nil
}

// maxSocketPath is less than the 108 bytes of a Unix socket's address.
const maxSocketPath = 100

// socketPath returns a path of a file that fits into a socket's address: through an open descriptor of the folder where
// the plain path is too long. The caller calls release once the path is no longer used. Where the folder cannot be opened
// the plain path is returned, whose use then fails.
func socketPath(dir, name string) (path string, release func()) {
	path = filepath.Join(dir, name)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	folder, err := os.Open(dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), name), func() { folder.Close() }
}
