package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// probeTimeout bounds the wait of IsListening for a process that does not accept connections.
const probeTimeout = 100 * time.Millisecond

// Dial connects to the process that listens on the socket name in dir. An error means that no process accepts connections there.
func Dial(dir, name string, timeout time.Duration) (*Conn, error) {
	path, release := socketPath(dir, name)
	defer release()
	conn, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn.(*net.UnixConn)}, nil
}

// IsListening reports whether a process listens on the socket name in dir.
func IsListening(dir, name string) bool {
	conn, err := Dial(dir, name, probeTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// Listen opens the socket name in dir, to which this process's successor will connect. If another process listens on the name, it
// is replaced by a rename, so that there is a listener at every moment.
func Listen(dir, name string) (*net.UnixListener, error) {
	ownName := fmt.Sprintf("%s.%d", name, os.Getpid())
	path, release := socketPath(dir, ownName)
	defer release()
	_ = os.Remove(path) // may be left over from an ended process with the same id
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // the name may belong to a successor by then
	// Unlike the address of a socket, the paths of a rename may be long.
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

// maxSocketPath is the longest path that is used as it is. A Unix socket's address holds 108 bytes.
const maxSocketPath = 100

// socketPath returns a path of the socket name in dir that fits into a socket's address. If the plain path is too long, it leads
// through an open descriptor of the directory. The caller must call release when the path is no longer used. If the directory
// cannot be opened, the plain path is returned, and using it fails.
func socketPath(dir, name string) (path string, release func()) {
	path = filepath.Join(dir, name)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	directory, err := os.Open(dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), name), func() { directory.Close() }
}
