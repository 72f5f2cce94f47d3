package operatorstate

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// ban returns a change for Store.Update that bans a server.
func ban(uid string) func(*State) error {
	return func(s *State) error { return s.Ban(uid) }
}

// unban returns a change for Store.Update that unbans a server at a fixed time.
func unban(uid string) func(*State) error {
	return func(s *State) error {
		s.Unban(uid, time.UnixMicro(7e6))
		return nil
	}
}

// TestStore_TwoProcesses verifies that each of two stores reads what the other wrote. A repeated ban changes nothing, and one
// unban ends it.
func TestStore_TwoProcesses(t *testing.T) {
	dir := t.TempDir()
	one, two := Open(dir, "127.0.0.1:1", nil), Open(dir, "127.0.0.1:1", nil)
	for _, uid := range []string{"b", "a", "b"} {
		if _, err := one.Update(State{}, ban(uid)); err != nil {
			t.Fatal(err)
		}
	}
	if !two.Changed() || one.Changed() {
		t.Errorf("Changed: got %v at the reader, %v at the writer, want true, false", two.Changed(), one.Changed())
	}
	state, err := two.Update(State{Banned: []string{"of no account"}}, unban("b"))
	if got, want := fmt.Sprint(state, err, two.Changed(), one.Changed()), "{[a] map[b:7000000] false} <nil> false true"; got != want {
		t.Errorf("after the unban: got %s, want %s", got, want)
	}
	if state, err = one.Load(); fmt.Sprint(state, err) != "{[a] map[b:7000000] false} <nil>" {
		t.Errorf("read again: got %v, %v, want the state with the unban", state, err)
	}
	if state, err = Open(dir, "127.0.0.1:2", nil).Load(); len(state.Banned) > 0 || err != nil {
		t.Errorf("another router's store: got %v, %v, want none banned", state, err)
	}
}

// TestStore_ConcurrentUpdates verifies that concurrent updates by two stores are not lost.
func TestStore_ConcurrentUpdates(t *testing.T) {
	dir := t.TempDir()
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() {
			s := Open(dir, "r", nil)
			for k := range 50 {
				if _, err := s.Update(State{}, ban(fmt.Sprint(n, "-", k))); err != nil {
					t.Errorf("store %d, update %d: got %v, want no error", n, k, err)
				}
			}
		})
	}
	all.Wait()
	if state, err := Open(dir, "r", nil).Load(); len(state.Banned) != 100 || err != nil {
		t.Errorf("got %d banned, %v, want 100", len(state.Banned), err)
	}
}

// TestStore_UnusableFile verifies that a corrupt file is named in the error and overwritten with the state that the process knows,
// that a rejected change is not written, and that a missing directory yields a PersistError.
func TestStore_UnusableFile(t *testing.T) {
	dir := t.TempDir()
	s := Open(dir, "r", nil)
	file := filepath.Join(dir, "spurtrestle-r.intent")
	if err := os.WriteFile(file, []byte(`{"down":["x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if state, err := s.Load(); err == nil || !strings.HasPrefix(err.Error(), file+": ") || len(state.Banned) > 0 {
		t.Errorf("corrupt file: got %v, %v, want an error with its name", state, err)
	}
	if state, err := s.Update(State{Banned: []string{"y"}}, ban("z")); fmt.Sprint(state.Banned, err) != "[y z] <nil>" {
		t.Errorf("update over a corrupt file: got %v, %v, want [y z]", state, err)
	}
	rejected := errors.New("no")
	if _, err := s.Update(State{}, func(*State) error { return rejected }); err != rejected {
		t.Errorf("rejected change: got %v, want %v", err, rejected)
	}
	if state, _ := s.Load(); fmt.Sprint(state.Banned) != "[y z]" {
		t.Errorf("after the rejected change: got %v, want [y z]", state)
	}
	var persistError *PersistError
	gone := filepath.Join(dir, "gone")
	s = Open(gone, "r", nil)
	state, err := s.Update(State{}, ban("a"))
	if fmt.Sprint(state.Banned) != "[a]" || !errors.As(err, &persistError) || !strings.Contains(err.Error(), "TMPDIR") {
		t.Errorf("no directory: got %v, %v, want [a] and a PersistError", state, err)
	}
	// Once the directory exists, the next update writes the state that was not persisted and replaces an older file.
	if err := os.Mkdir(gone, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(gone, "r", nil).Update(State{}, ban("older")); err != nil {
		t.Fatal(err)
	}
	if !s.Stale() {
		t.Error("Stale: got false, want true: the file lacks a change")
	}
	if state, err := s.Update(state, ban("b")); fmt.Sprint(state.Banned, err, s.Stale()) != "[a b] <nil> false" {
		t.Errorf("update once the directory exists: got %v, %v, stale %v, want [a b]", state, err, s.Stale())
	}
}

// TestState_Bounds removes expired unbans and rejects too many bans.
func TestState_Bounds(t *testing.T) {
	s := State{UnbannedAt: map[string]int64{"old": 0}, Banned: []string{"x"}}
	s.Unban("x", time.UnixMicro(1e9))
	if got, want := fmt.Sprint(s.UnbannedAt), "map[x:1000000000]"; got != want {
		t.Errorf("UnbannedAt: got %s, want %s", got, want)
	}
	for n := range maxBanned {
		_ = s.Ban(fmt.Sprint(n))
	}
	if err := s.Ban("one more"); err == nil {
		t.Errorf("%d bans and one more: got no error", maxBanned)
	}
}

// TestStore_OtherService rejects the file of a router of another service at the same address, with an error that names the methods
// of both. The next update overwrites the file.
func TestStore_OtherService(t *testing.T) {
	dir := t.TempDir()
	theirs, ours := Open(dir, "r", []string{"tile", "put"}), Open(dir, "r", []string{"get", "put"})
	if _, err := theirs.Update(State{}, ban("a")); err != nil {
		t.Fatal(err)
	}
	state, err := ours.Load()
	if len(state.Banned) > 0 || err == nil || !strings.Contains(err.Error(), "r.intent: it is of a service with the methods tile, put, and this router serves one with get, put; ") {
		t.Errorf("got %v, %v, want an error that names both services", state, err)
	}
	if state, err = ours.Update(State{}, ban("b")); err != nil || len(state.Banned) != 1 {
		t.Errorf("update: got %v, %v, want one banned", state, err)
	}
	if state, err = Open(dir, "r", []string{"get"}).Load(); err != nil || !state.IsBanned("b") { // a subset of the methods counts as the same service
		t.Errorf("a store with fewer methods: got %v, %v, want b banned", state, err)
	}
}

// TestStore_ThousandsOfBans writes and reads thousands of bans.
func TestStore_ThousandsOfBans(t *testing.T) {
	const servers = 2000
	state := State{}
	for n := range servers {
		if err := state.Ban(fmt.Sprint("s-", n)); err != nil {
			t.Fatal(err)
		}
	}
	dir := t.TempDir()
	if _, err := Open(dir, "r", nil).Update(state, ban("last")); err != nil {
		t.Fatal(err)
	}
	if again, err := Open(dir, "r", nil).Load(); len(again.Banned) != servers+1 || err != nil {
		t.Errorf("got %d banned, %v, want %d", len(again.Banned), err, servers+1)
	}
}

// TestState_ChangesDoNotModifyCopies guards against a change that modifies the slice or the map of a copy, which another goroutine
// may be reading.
func TestState_ChangesDoNotModifyCopies(t *testing.T) {
	state := State{Banned: []string{"a", "c"}, UnbannedAt: map[string]int64{"old": 0, "b": 7e6}}
	inForce := state
	before := fmt.Sprint(inForce)
	for _, change := range []func(*State) error{ban("b"), unban("a"), unban("b"), ban("a")} {
		if err := change(&state); err != nil {
			t.Fatal(err)
		}
		if after := fmt.Sprint(inForce); after != before {
			t.Fatalf("the copy: got %s, want %s", after, before)
		}
	}
}

// TestStore_UpdateWhileStateIsRead is meant for the race detector. If the directory is missing, a change starts from the state in
// force, which the router's event loop reads concurrently. Without the detector, a concurrent map write crashes the process.
func TestStore_UpdateWhileStateIsRead(t *testing.T) {
	store := Open(filepath.Join(t.TempDir(), "gone"), "r", nil)
	inForce := State{Banned: []string{"a"}, UnbannedAt: map[string]int64{"b": 7e6}}
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				_ = inForce.UnbannedAt["b"] + inForce.UnbannedAt["a"]
			}
		}
	})
	for range 2000 {
		for _, change := range []func(*State) error{unban("a"), ban("b")} {
			if _, err := store.Update(inForce, change); err == nil {
				t.Fatal("update without a directory: got no error")
			}
		}
	}
	close(stop)
	reader.Wait()
}
