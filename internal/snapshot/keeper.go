package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"spurtrestle/core/clock"

	"github.com/sirupsen/logrus"
)

// Keeper writes states in a goroutine of its own, the newest that it was given; who gives them never waits.
type Keeper struct {
	dir    Dir
	store  *Store
	log    *logrus.Entry
	lock   io.Closer
	in     chan State
	end    chan State
	done   chan struct{}
	failed string // what was logged last; a row of the same is logged once
}

// Keep takes a folder and reads what is there. Whatever is wrong is logged with a remedy, and the router serves on
// without: nil where there is nothing to start from.
func Keep(dir string, log *logrus.Logger) (*Keeper, *State) {
	k := &Keeper{dir: Dir(dir), store: Open(Dir(dir)), log: log.WithField("state", dir), in: make(chan State, 1),
		end: make(chan State, 1), done: make(chan struct{})}
	learned := k.load()
	go k.run()
	return k, learned
}

func (k *Keeper) load() *State {
	if !k.locked() {
		return nil
	}
	s, from, passed, err := k.store.Load()
	for _, p := range passed {
		k.log.WithError(p).Warn("a state cannot be used; the one before it is tried")
	}
	switch {
	case errors.Is(err, ErrNone):
		k.log.Info("no state yet: beginning anew")
		return nil
	case err != nil:
		k.log.WithError(err).Warn("no state can be used: beginning anew; `cache-routerctl state verify` tells what is wrong")
		return nil
	}
	k.log.WithFields(logrus.Fields{"file": from, "servers": len(s.Servers), "written": written(s.Knowledge.CapturedAt)}).Info("state read")
	return &s
}

func written(at clock.Time) string { return time.UnixMicro(int64(at)).UTC().Format(time.RFC3339) }

// locked takes the folder's lock, where it is not held yet.
func (k *Keeper) locked() bool {
	if k.lock != nil {
		return true
	}
	lock, err := k.dir.Lock()
	if err != nil {
		k.trouble(err)
		return false
	}
	k.lock = lock
	return true
}

// Put hands over a state; one that waits is replaced by it.
func (k *Keeper) Put(s State) {
	select {
	case <-k.in:
	default:
	}
	select {
	case k.in <- s:
	default: // another one has just taken its place
	}
}

// Close writes a last state and lets go of the folder. It waits so long at most: a disk that hangs must not keep the
// program from ending.
func (k *Keeper) Close(s State, most time.Duration) {
	k.end <- s
	select {
	case <-k.done:
	case <-time.After(most):
		k.log.Warn("the last state was not written in time")
	}
}

func (k *Keeper) run() {
	defer close(k.done)
	for {
		select {
		case s := <-k.in:
			k.save(s)
		case s := <-k.end:
			k.save(s)
			if k.lock != nil {
				k.lock.Close()
			}
			return
		}
	}
}

func (k *Keeper) save(s State) {
	if !k.locked() {
		return
	}
	if err := k.store.Save(Encode(s)); err != nil {
		k.trouble(err)
		return
	}
	if k.failed != "" {
		k.failed = ""
		k.log.Info("state is written again")
	}
}

// trouble logs what is wrong, once for a row of the same, and what to do about it.
func (k *Keeper) trouble(err error) {
	if err.Error() == k.failed {
		return
	}
	k.failed = err.Error()
	k.log.WithError(err).Warn("state is not kept; serving on without. " + Remedy(string(k.dir), err))
}

// Remedy says what to do about an error of a folder.
func Remedy(dir string, err error) string {
	switch {
	case errors.Is(err, ErrLocked):
		return "Set state.dir to another folder for one of the two."
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Sprintf("Make the folder: install -d -m 700 -o %d %s", os.Geteuid(), dir)
	case errors.Is(err, fs.ErrPermission):
		return fmt.Sprintf("Give it to the router's user: chown -R %d %s", os.Geteuid(), dir)
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return "Make room on the disk: two files of some hundred KB are needed."
	case errors.Is(err, syscall.EROFS):
		return "Mount it writable, or leave state.dir out."
	case errors.Is(err, syscall.ENOTDIR):
		return "Name a folder in state.dir, not a file."
	}
	return "`cache-routerctl state verify " + dir + "` tells more."
}
