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

func take(uid string) func(*State) error { return func(i *State) error { return i.Ban(uid) } }

func give(uid string) func(*State) error {
	return func(i *State) error { return i.Unban(uid, time.UnixMicro(7e6)) }
}

// What one process is asked the other reads; asked twice nothing changes, and one call back undoes it.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	one, two := Open(dir, "127.0.0.1:1", nil), Open(dir, "127.0.0.1:1", nil)
	for _, uid := range []string{"b", "a", "b"} {
		if _, err := one.Update(State{}, take(uid)); err != nil {
			t.Fatal(err)
		}
	}
	if !two.Changed() || one.Changed() {
		t.Error("who has written, and who has read?")
	}
	i, err := two.Update(State{Banned: []string{"of no account"}}, give("b"))
	if got := fmt.Sprint(i, err, two.Changed(), one.Changed()); got != "{[a] map[b:7000000] false} <nil> false true" {
		t.Error(got)
	}
	if i, err = one.Load(); fmt.Sprint(i, err) != "{[a] map[b:7000000] false} <nil>" {
		t.Error(i, err)
	}
	if i, err = Open(dir, "127.0.0.1:2", nil).Load(); len(i.Banned) > 0 || err != nil {
		t.Error("another router's: ", i, err)
	}
}

// Many at once from two processes: none is lost.
func TestNoneIsLost(t *testing.T) {
	dir := t.TempDir()
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() {
			s := Open(dir, "r", nil)
			for k := range 50 {
				if _, err := s.Update(State{}, take(fmt.Sprint(n, "-", k))); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	if i, err := Open(dir, "r", nil).Load(); len(i.Banned) != 100 || err != nil {
		t.Error(len(i.Banned), err)
	}
}

// A spoilt file is named, and written anew from what the process knows; a folder that is not there keeps nothing, and
// says so; what is refused is not written.
func TestTroubleWithTheFile(t *testing.T) {
	dir := t.TempDir()
	s := Open(dir, "r", nil)
	file := filepath.Join(dir, "spurtrestle-r.intent")
	if err := os.WriteFile(file, []byte(`{"down":["x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if i, err := s.Load(); err == nil || !strings.HasPrefix(err.Error(), file+": ") || len(i.Banned) > 0 {
		t.Error(i, err)
	}
	if i, err := s.Update(State{Banned: []string{"y"}}, take("z")); fmt.Sprint(i.Banned, err) != "[y z] <nil>" {
		t.Error(i, err)
	}
	refused := errors.New("no")
	if _, err := s.Update(State{}, func(*State) error { return refused }); err != refused {
		t.Error(err)
	}
	if i, _ := s.Load(); fmt.Sprint(i.Banned) != "[y z]" {
		t.Error(i)
	}
	var unkept *PersistError
	gone := filepath.Join(dir, "gone")
	s = Open(gone, "r", nil)
	i, err := s.Update(State{}, take("a"))
	if fmt.Sprint(i.Banned) != "[a]" || !errors.As(err, &unkept) || !strings.Contains(err.Error(), "TMPDIR") {
		t.Error(i, err)
	}
	// Once there is room again, what had not been kept is written with the next, whatever an older file says.
	if err := os.Mkdir(gone, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(gone, "r", nil).Update(State{}, take("older")); err != nil {
		t.Fatal(err)
	}
	if !s.Stale() {
		t.Error("it takes the file for what was asked")
	}
	if i, err := s.Update(i, take("b")); fmt.Sprint(i.Banned, err, s.Stale()) != "[a b] <nil> false" {
		t.Error(i, err)
	}
}

// What is long past is forgotten, and a list without end is refused.
func TestBounds(t *testing.T) {
	i := State{UnbannedAt: map[string]int64{"old": 0}, Banned: []string{"x"}}
	if err := i.Unban("x", time.UnixMicro(1e9)); err != nil || fmt.Sprint(i.UnbannedAt) != "map[x:1000000000]" {
		t.Error(i, err)
	}
	for n := range most {
		_ = i.Ban(fmt.Sprint(n))
	}
	if err := i.Ban("one more"); err == nil {
		t.Error("no bound")
	}
}

// What operators asked of another service's router at the same address is not taken, by a line that names both; what is asked
// next writes it anew.
func TestOfAnotherService(t *testing.T) {
	dir := t.TempDir()
	theirs, ours := Open(dir, "r", []string{"tile", "put"}), Open(dir, "r", []string{"get", "put"})
	if _, err := theirs.Update(State{}, take("a")); err != nil {
		t.Fatal(err)
	}
	i, err := ours.Load()
	if len(i.Banned) > 0 || err == nil || !strings.Contains(err.Error(), "r.intent: it is of a service with the methods tile, put, and this router serves one with get, put; ") {
		t.Error(i, err)
	}
	if i, err = ours.Update(State{}, take("b")); err != nil || len(i.Banned) != 1 {
		t.Error(i, err)
	}
	if i, err = Open(dir, "r", []string{"get"}).Load(); err != nil || !i.IsBanned("b") { // a part of the methods is the same service
		t.Error(i, err)
	}
}

// Operators may take thousands of cache servers out, and the next process finds all of them.
func TestThousandsAreOut(t *testing.T) {
	const servers = 2000
	i := State{}
	for n := range servers {
		if err := i.Ban(fmt.Sprint("s-", n)); err != nil {
			t.Fatal(err)
		}
	}
	dir := t.TempDir()
	if _, err := Open(dir, "r", nil).Update(i, take("last")); err != nil {
		t.Fatal(err)
	}
	if again, err := Open(dir, "r", nil).Load(); len(again.Banned) != servers+1 || err != nil {
		t.Error(len(again.Banned), err)
	}
}
