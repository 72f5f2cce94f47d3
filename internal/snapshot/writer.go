package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
)

// Log lines whose earlier text operators' pages named have it in this field for one release.
const (
	formerly           = "formerly"
	formerSkipped      = "a state cannot be used; the one before it is tried"
	formerNoneUsable   = "no state can be used: beginning anew"
	formerNotPersisted = "state is not kept; serving on without"
	formerNotWritten   = "the last state was not written in time"
)

// Writer writes submitted states to a folder on a goroutine of its own, which ends with Close. A state that waits to be
// written is replaced by a newer one.
//
// Errors of the folder are logged with a remedy, and each write is a new attempt: a router serves without persistence
// rather than not at all.
type Writer struct {
	dir         Dir
	store       *Store
	log         *logrus.Entry
	lock        io.Closer // nil: not taken yet
	submitted   chan State
	final       chan State
	done        chan struct{}
	lastFailure string // the error logged last; repeats of it are not logged
}

// OpenWriter locks a folder, reads its newest state and starts the writing goroutine. The state is nil where there is none
// that can be used. The caller must call Close.
func OpenWriter(dir string, log *logrus.Logger) (*Writer, *State) {
	w := &Writer{
		dir:       Dir(dir),
		store:     NewStore(Dir(dir)),
		log:       log.WithField("dir", dir),
		submitted: make(chan State, 1),
		final:     make(chan State, 1),
		done:      make(chan struct{}),
	}
	learned := w.load()
	go w.run()
	return w, learned
}

// Submit hands over a state without waiting. It is called from one goroutine, the event loop.
func (w *Writer) Submit(state State) {
	select {
	case <-w.submitted: // replaced by the newer state
	default:
	}
	w.submitted <- state // cannot block: the only sender has just emptied the channel
}

// Close writes a final state, releases the folder and ends the goroutine. It is called once. It waits no longer than
// timeout, so that a disk that hangs does not delay the end of the process: the goroutine then goes on writing, and the
// lock is released when the process ends.
func (w *Writer) Close(state State, timeout time.Duration) {
	w.final <- state
	select {
	case <-w.done:
	case <-time.After(timeout):
		w.log.WithField(formerly, formerNotWritten).Warn("snapshot: last state not written in time")
	}
}

func (w *Writer) load() *State {
	if !w.acquireLock() {
		return nil
	}
	loaded, err := w.store.Load()
	for _, skippedErr := range loaded.Skipped {
		w.log.WithError(skippedErr).WithField(formerly, formerSkipped).Warn("snapshot: generation cannot be used, trying the one before")
	}
	if errors.Is(err, ErrNoSnapshot) {
		w.log.Info("snapshot: none yet, starting without learned state")
		return nil
	}
	if err != nil {
		w.log.WithError(err).WithField(formerly, formerNoneUsable).Warn("snapshot: no generation can be used, starting without learned state; run `cache-routerctl state verify`")
		return nil
	}
	w.log.WithFields(logrus.Fields{
		"file":    loaded.File,
		"servers": len(loaded.State.Servers),
		"written": formatTime(loaded.State.Knowledge.CapturedAt),
	}).Info("snapshot: loaded")
	return &loaded.State
}

func formatTime(at clock.Time) string {
	return time.UnixMicro(int64(at)).UTC().Format(time.RFC3339)
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case state := <-w.submitted:
			w.save(state)
		case state := <-w.final:
			w.save(state)
			if w.lock != nil {
				w.lock.Close() // the lock file is empty; closing releases it
			}
			return
		}
	}
}

func (w *Writer) save(state State) {
	if !w.acquireLock() {
		return
	}
	if err := w.store.Save(Encode(state)); err != nil {
		w.logFailure(err)
		return
	}
	if w.lastFailure != "" {
		w.lastFailure = ""
		w.log.Info("snapshot: written again after failures")
	}
}

// acquireLock locks the folder unless it is locked by this writer already, and reports whether it is.
func (w *Writer) acquireLock() bool {
	if w.lock != nil {
		return true
	}
	lock, err := w.dir.Lock()
	if err != nil {
		w.logFailure(err)
		return false
	}
	w.lock = lock
	return true
}

// logFailure logs an error with its remedy, once for a series of the same.
func (w *Writer) logFailure(err error) {
	if err.Error() == w.lastFailure {
		return
	}
	w.lastFailure = err.Error()
	w.log.WithError(err).WithField(formerly, formerNotPersisted).Warn("snapshot: state not persisted, serving without. " + Remedy(string(w.dir), err))
}

// Remedy returns what an operator can do about an error of a folder, as a sentence.
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
