package snapshot

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

var kills = flag.Int("kills", 25, "how often the writing process is killed")

func TestMain(m *testing.M) {
	if dir := os.Getenv("SNAPSHOT_TEST_WRITE"); dir != "" {
		write(dir)
		return
	}
	os.Exit(m.Run())
}

// sample is a state that tells its number in several places.
func sample(n int) State {
	x := float64(n)
	s := State{Version: Version, Router: name(uint64(n)), Methods: []Method{{"read", clock.Time(1000 + n)}},
		Knowledge: routing.Knowledge{CapturedAt: 1e15 + clock.Time(n), ObservedFor: 5e6, CacheLatency: routing.LatencySummary{Recent: 900, Mean: 1000, Fastest: 500, Samples: 32},
			RequestRate: 10 + x, HitRate: 9, EndedRate: 8, AnsweredRate: 7, AttemptRate: 6, FailureRate: 0.5, RetryBudget: 4, KeyReads: x,
			Keys: []routing.KeyKnowledge{{Key: 0xfeedbeef, Count: 3 + x}, {Key: 7, Count: 2}}}}
	for i := range 20 {
		s.Servers = append(s.Servers, Server{UID: fmt.Sprintf("s-%d.%02d", n, i), ServerKnowledge: routing.ServerKnowledge{
			StartedAt: clock.Time(i), ObservedAt: 1e15, Latency: routing.LatencySummary{Recent: 5, Mean: 6, Fastest: 4, Samples: i}, AnswerRate: x, ReportedServiceTime: 77, FailurePoints: i % 3,
			Ejected: i%2 == 0, ConnectFailed: i%5 == 0}})
	}
	return s
}

func sameState(a, b State) bool { return reflect.DeepEqual(a, b) }

func encodeAs(s State, version int) []byte {
	file := Encode(s)
	records, _ := split(file) // of what was just encoded
	var head message
	head.number(1, int64(version))
	head.text(2, s.Router)
	records[0].payload = head
	out := []byte(magic)
	for _, r := range records {
		out = appendRecord(out, r)
	}
	var end message
	end.number(1, int64(crc32.Checksum(out, castagnoli)))
	return appendRecord(out, record{kindEnd, end})
}

func TestRoundTrip(t *testing.T) {
	for n := range 3 {
		got, err := Decode(Encode(sample(n)))
		if err != nil || !sameState(got, sample(n)) {
			t.Errorf("%v\n%+v\n%+v", err, got, sample(n))
		}
	}
	if _, err := Decode(encodeAs(sample(1), Version+1)); !errors.Is(err, ErrNewer) {
		t.Error(err)
	}
	if _, err := Decode(encodeAs(sample(1), 0)); !errors.Is(err, ErrDamaged) {
		t.Error(err)
	}
}

// The samples of all versions that ever were are read as they were meant.
func TestOldVersions(t *testing.T) {
	for v := 1; v <= Version; v++ {
		file, err := os.ReadFile(filepath.Join("testdata", fmt.Sprintf("v%d.state", v)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(file)
		if err != nil || got.Version != v {
			t.Fatal(v, err)
		}
		want := sample(3)
		want.Version = v
		for i := range want.Servers {
			if v == 1 {
				want.Servers[i].ObservedAt = want.Knowledge.CapturedAt
			}
		}
		if !sameState(got, want) {
			t.Errorf("version %d:\n%+v\n%+v", v, got, want)
		}
	}
}

// No damage goes unseen, wherever it is.
func TestDamageIsSeen(t *testing.T) {
	file := Encode(sample(2))
	rapid.Check(t, func(t *rapid.T) {
		broken := bytes.Clone(file)
		at := rapid.IntRange(0, len(file)-1).Draw(t, "at")
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			broken = broken[:at]
		case 1:
			broken[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		case 2:
			broken = append(broken, broken[at:]...)
		}
		if _, err := Decode(broken); !errors.Is(err, ErrDamaged) {
			t.Fatalf("damage at %d gave %v", at, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample(1)))
	f.Add(encodeAs(sample(1), 1))
	f.Fuzz(func(t *testing.T, file []byte) {
		s, err := Decode(file)
		if err == nil && (len(s.Servers) > MostServers || len(s.Knowledge.Keys) > MostKeys) {
			t.Error("over the bounds")
		}
		// What checksums would have caught must not be trusted either: records as they stand.
		if len(file) > 0 {
			_ = s.take(record{file[0], file[1:]})
		}
	})
}

// write is the process that gets killed: it writes one state after the other and tells which are done.
func write(dir string) {
	k, err := Dir(dir).Lock()
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	defer k.Close()
	s := Open(Dir(dir))
	n := 0
	if old, _, passed, err := s.Load(); err == nil && len(passed) == 0 {
		n = int(old.Knowledge.KeyReads)
	} else if !errors.Is(err, ErrNone) {
		fmt.Println("corrupt", err, passed)
		os.Exit(1)
	}
	for {
		n++
		if err := s.Save(Encode(sample(n))); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// Killed at random moments, a process never leaves a state that cannot be read, nor loses one that it said was kept.
func TestKills(t *testing.T) {
	dir := t.TempDir()
	r := rand.New(rand.NewPCG(1, 1))
	told := 0
	for i := range *kills {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "SNAPSHOT_TEST_WRITE="+dir)
		out, err := p.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Duration(r.IntN(30000))*time.Microsecond, func() { _ = p.Process.Kill() }) // it never ends by itself
		text, _ := io.ReadAll(out)                                                                     // it ends with the process
		_ = p.Wait()
		lines := strings.Fields(string(text))
		for _, l := range lines {
			n, err := strconv.Atoi(l)
			if err != nil {
				t.Fatalf("kill %d: the process said %s", i, text)
			}
			told = max(told, n)
		}
		got, _, passed, err := Open(Dir(dir)).Load()
		if errors.Is(err, ErrNone) && told == 0 {
			continue
		}
		if err != nil || len(passed) > 0 || int(got.Knowledge.KeyReads) < told || !sameState(got, sample(int(got.Knowledge.KeyReads))) {
			t.Fatalf("kill %d: %v, %v, %v, after %d was kept", i, got.Router, passed, err, told)
		}
	}
	if told < *kills/4 {
		t.Errorf("in %d lives only %d states were kept", *kills, told)
	}
}

// logged is a log that can be read.
func logged() (*logrus.Logger, func() []string) {
	var b bytes.Buffer
	log := logrus.New()
	log.SetOutput(&b)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	return log, func() (out []string) {
		for s := bufio.NewScanner(&b); s.Scan(); {
			out = append(out, s.Text())
		}
		return out
	}
}

func TestKeeper(t *testing.T) {
	dir := t.TempDir()
	log, lines := logged()
	k, learned := Keep(dir, log)
	if learned != nil {
		t.Error("an empty folder holds a state")
	}
	if _, other := Keep(dir, log); other != nil {
		t.Error("two routers share a folder")
	}
	k.Put(sample(1))
	k.Close(sample(2), time.Second)
	again, learned := Keep(dir, log)
	if learned == nil || learned.Router != name(2) {
		t.Fatal(learned)
	}
	again.Close(sample(3), time.Second)
	if got := strings.Join(lines(), "\n"); !strings.Contains(got, ErrLocked.Error()) || !strings.Contains(got, "state.dir to another folder") {
		t.Error(got)
	}
}

// What is wrong with a folder is logged once, with what to do about it, and never stops the router.
func TestFoldersThatCannotBeUsed(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ dir, says string }{
		{filepath.Join(dir, "absent"), "Make the folder: install -d -m 700"},
		{file, "Name a folder in state.dir, not a file."},
	} {
		log, lines := logged()
		k, learned := Keep(c.dir, log)
		for i := range 5 {
			k.Put(sample(i))
			time.Sleep(5 * time.Millisecond)
		}
		k.Close(sample(9), time.Second)
		if got := lines(); learned != nil || len(got) != 1 || !strings.Contains(got[0], c.says) {
			t.Errorf("%s: %q", c.dir, got)
		}
	}
	for err, says := range map[error]string{syscall.ENOSPC: "Make room", syscall.EROFS: "Mount it writable", syscall.EACCES: "Give it to the router's user"} {
		if got := Remedy("/x", err); !strings.Contains(got, says) {
			t.Errorf("%v: %s", err, got)
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	s := sample(1)
	for i := range 150 {
		s.Servers = append(s.Servers, Server{UID: fmt.Sprint("server-", i), ServerKnowledge: s.Servers[0].ServerKnowledge})
	}
	for i := range 10000 {
		s.Knowledge.Keys = append(s.Knowledge.Keys, routing.KeyKnowledge{Key: routing.KeyHash(i), Count: 3})
	}
	for b.Loop() {
		Encode(s)
	}
}
