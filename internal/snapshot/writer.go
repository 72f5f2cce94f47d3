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

// Earlier texts of log lines that the operators' documentation quoted. The lines carry them in the field formerly for one more
// release.
const (
	formerly           = "formerly"
	formerSkipped      = "a state cannot be used; the one before it is tried"
	formerNoneUsable   = "no state can be used: beginning anew"
	formerNotPersisted = "state is not kept; serving on without"
	formerNotWritten   = "the last state was not written in time"
)

// Writer writes submitted states to a directory on its own goroutine, which runs until Close. A newer state replaces one that has
// not been written yet.
//
// Errors are logged with a remedy, and each write is a new attempt: a router without persistence still serves.
type Writer struct {
	dir         Dir
	store       *Store
	log         *logrus.Entry
	lock        io.Closer // nil: not acquired yet; owned by the writing goroutine once it runs
	submitted   chan State
	final       chan State
	done        chan struct{}
	lastFailure string // the error logged last, empty after a success; repetitions are not logged
}

// OpenWriter locks a directory, reads its newest state and starts the writing goroutine. The state is nil if there is none that
// can be used. The caller must call Close.
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

// Submit queues a state for writing and does not block. Only one goroutine, the event loop, may call it.
func (w *Writer) Submit(state State) {
	select {
	case <-w.submitted: // replaced by the newer state
	default:
	}
	w.submitted <- state // does not block: this goroutine, the only sender, has just drained the channel
}

// Close writes a final state, unlocks the directory and ends the writing goroutine. It must be called once. It waits for at most
// timeout, so that a hanging disk does not delay the end of the process. After a timeout the goroutine continues to write, and
// the lock is released when the process ends.
func (w *Writer) Close(state State, timeout time.Duration) {
	w.final <- state
	select {
	case <-w.done:
	case <-time.After(timeout):
		w.log.WithField(formerly, formerNotWritten).Warn("snapshot: last state not written in time")
	}
}

// load locks the directory and returns its newest usable state, or nil. It logs what it skips.
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

// run writes states until the final one has been written.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case state := <-w.submitted:
			w.save(state)
		case state := <-w.final:
			w.save(state)
			if w.lock != nil {
				w.lock.Close() // the lock file is empty, so the error does not matter
			}
			return
		}
	}
}

// save writes a state. It logs the first of a series of equal failures, and the first success after failures.
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

// acquireLock locks the directory unless this writer holds the lock already. It reports whether it holds the lock.
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

// logFailure logs an error with its remedy, unless the previous failure was the same.
func (w *Writer) logFailure(err error) {
	if err.Error() == w.lastFailure {
		return
	}
	w.lastFailure = err.Error()
	w.log.WithError(err).WithField(formerly, formerNotPersisted).Warn("snapshot: state not persisted, serving without. " + Remedy(string(w.dir), err))
}

// Remedy returns a sentence that tells the operator how to resolve an error of a snapshot directory.
func Remedy(dir string, err error) string {
	switch {
	case errors.Is(err, ErrLocked):
		return "Set state.dir of one of the two routers to another directory."
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Sprintf("Create the directory: install -d -m 700 -o %d %s", os.Geteuid(), dir)
	case errors.Is(err, fs.ErrPermission):
		return fmt.Sprintf("Make the router's user its owner: chown -R %d %s", os.Geteuid(), dir)
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return "Free space on the disk: two files of a few hundred KB are needed."
	case errors.Is(err, syscall.EROFS):
		return "Mount it writable, or remove state.dir."
	case errors.Is(err, syscall.ENOTDIR):
		return "Set state.dir to a directory, not a file."
	}
	return "`cache-routerctl state verify " + dir + "` prints details."
}
