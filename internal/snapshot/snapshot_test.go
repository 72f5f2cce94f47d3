package snapshot

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
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
		writeUntilKilled(dir)
		return
	}
	os.Exit(m.Run())
}

// sample returns the state number n. States of different numbers differ in several fields.
func sample(n int) State {
	x := float64(n)
	s := State{
		Version: Version,
		Router:  generationName(n),
		Methods: []Method{{Name: "read", Latency: clock.Duration(1000 + n)}},
		Knowledge: routing.Knowledge{
			CapturedAt:   1e15 + clock.Time(n),
			ObservedFor:  5 * clock.Second,
			CacheLatency: routing.LatencySummary{Recent: 900, Mean: 1000, Fastest: 500, Samples: 32},
			RequestRate:  10 + x,
			HitRate:      9,
			EndedRate:    8,
			AnsweredRate: 7,
			AttemptRate:  6,
			FailureRate:  0.5,
			RetryBudget:  4,
			KeyReads:     x,
			Keys:         []routing.KeyKnowledge{{Key: 0xfeedbeef, Count: 3 + x}, {Key: 7, Count: 2}},
		},
	}
	for i := range 20 {
		s.Servers = append(s.Servers, Server{
			UID: fmt.Sprintf("s-%d.%02d", n, i),
			ServerKnowledge: routing.ServerKnowledge{
				StartedAt:           clock.Time(i),
				ObservedAt:          1e15,
				Latency:             routing.LatencySummary{Recent: 5, Mean: 6, Fastest: 4, Samples: i},
				AnswerRate:          x,
				ReportedServiceTime: 77,
				FailurePoints:       i % 3,
				Ejected:             i%2 == 0,
				ConnectFailed:       i%5 == 0,
			},
		})
	}
	return s
}

// generationName returns the router's name in sample n, which equals the name of the file that the sample is saved as.
func generationName(n int) string { return fileName(uint64(n)) }

func sameState(a, b State) bool { return reflect.DeepEqual(a, b) }

// encodeAs encodes a state with the given format version in its header.
func encodeAs(t testing.TB, s State, version int) []byte {
	t.Helper()
	records, err := splitRecords(Encode(s))
	if err != nil {
		t.Fatal(err)
	}
	records[0].payload = encodeHeader(version, s.Router)
	file := []byte(magic)
	for _, r := range records {
		file = appendRecord(file, r)
	}
	return appendEnd(file)
}

// TestDecode_RoundTrip decodes what Encode wrote and rejects unknown format versions.
func TestDecode_RoundTrip(t *testing.T) {
	for n := range 3 {
		got, err := Decode(Encode(sample(n)))
		if err != nil || !sameState(got, sample(n)) {
			t.Errorf("sample %d: got %+v, %v, want %+v", n, got, err, sample(n))
		}
	}
	if _, err := Decode(encodeAs(t, sample(1), Version+1)); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("newer version: got %v, want ErrNewerVersion", err)
	}
	if _, err := Decode(encodeAs(t, sample(1), 0)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("version 0: got %v, want ErrCorrupt", err)
	}
}

// TestEncode_LeavesOutWhatDecodeRejects guards against a file that cannot be read back because discovery lists a server with a
// name that is too long, or the service has too many methods.
func TestEncode_LeavesOutWhatDecodeRejects(t *testing.T) {
	state := sample(1)
	servers := len(state.Servers)
	long := strings.Repeat("x", maxNameLength+1)
	state.Servers = append(state.Servers, Server{UID: long})
	state.Methods = append(state.Methods, Method{Name: long})
	for n := range MaxMethods {
		state.Methods = append(state.Methods, Method{Name: fmt.Sprint("method-", n)})
	}
	decoded, err := Decode(Encode(state))
	if err != nil || len(decoded.Servers) != servers || len(decoded.Methods) != MaxMethods {
		t.Errorf("got %d servers, %d methods, %v, want %d, %d and no error", len(decoded.Servers), len(decoded.Methods), err, servers, MaxMethods)
	}
}

// TestDecode_OlderVersions reads a sample file of each format version.
func TestDecode_OlderVersions(t *testing.T) {
	for v := 1; v <= Version; v++ {
		file, err := os.ReadFile(filepath.Join("testdata", fmt.Sprintf("v%d.state", v)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(file)
		if err != nil || got.Version != v {
			t.Fatalf("version %d: got version %d, %v", v, got.Version, err)
		}
		want := sample(3)
		want.Version = v
		if v == 1 {
			for i := range want.Servers {
				want.Servers[i].ObservedAt = want.Knowledge.CapturedAt
			}
		}
		if !sameState(got, want) {
			t.Errorf("version %d: got %+v, want %+v", v, got, want)
		}
	}
}

// TestDecode_RejectsDamage truncates a file, flips bits, or repeats its tail, at a random position.
func TestDecode_RejectsDamage(t *testing.T) {
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
		if _, err := Decode(broken); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("damage at byte %d: got %v, want ErrCorrupt", at, err)
		}
	})
}

// FuzzDecode checks that arbitrary bytes, as a file and as a record with a matching checksum, are decoded without a panic and
// within the bounds.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample(1)))
	f.Add(encodeAs(f, sample(1), 1))
	f.Fuzz(func(t *testing.T, file []byte) {
		s, err := Decode(file)
		if err == nil && (len(s.Servers) > MaxServers || len(s.Knowledge.Keys) > MaxKeys) {
			t.Errorf("got %d servers and %d keys, want at most %d and %d", len(s.Servers), len(s.Knowledge.Keys), MaxServers, MaxKeys)
		}
		if len(file) > 0 {
			_ = s.decodeRecord(record{recordKind(file[0]), file[1:]})
		}
	})
}

// writeUntilKilled runs in the child process of TestStore_SurvivesKills. It saves one sample after the other and prints the
// number of each one that is saved.
func writeUntilKilled(dir string) {
	lock, err := Dir(dir).Lock()
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	defer lock.Close()
	store := NewStore(Dir(dir))
	n := 0
	if loaded, err := store.Load(); err == nil && len(loaded.Skipped) == 0 {
		n = int(loaded.State.Knowledge.KeyReads)
	} else if !errors.Is(err, ErrNoSnapshot) {
		fmt.Println("corrupt", err, loaded.Skipped)
		os.Exit(1)
	}
	for {
		n++
		if err := store.Save(Encode(sample(n))); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// TestStore_SurvivesKills kills a process that saves snapshots, at random moments. Each time the directory must be readable and
// hold the last sample that the process reported as saved, or a newer one.
func TestStore_SurvivesKills(t *testing.T) {
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 1))
	saved := 0
	for i := range *kills {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), "SNAPSHOT_TEST_WRITE="+dir)
		out, err := process.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Duration(random.IntN(30000))*time.Microsecond, func() { _ = process.Process.Kill() }) // the child never exits on its own
		text, _ := io.ReadAll(out)                                                                                // ends when the child ends
		_ = process.Wait()
		for _, line := range strings.Fields(string(text)) {
			n, err := strconv.Atoi(line)
			if err != nil {
				t.Fatalf("kill %d: the process printed %s, want numbers", i, text)
			}
			saved = max(saved, n)
		}
		loaded, err := NewStore(Dir(dir)).Load()
		if errors.Is(err, ErrNoSnapshot) && saved == 0 {
			continue
		}
		got := loaded.State
		number := int(got.Knowledge.KeyReads)
		if err != nil || len(loaded.Skipped) > 0 || number < saved || !sameState(got, sample(number)) {
			t.Fatalf("kill %d: got %s, skipped %v, error %v, want sample %d or newer", i, got.Router, loaded.Skipped, err, saved)
		}
	}
	if saved < *kills/4 {
		t.Errorf("%d kills: got %d saved states, want at least %d", *kills, saved, *kills/4)
	}
}

// bufferedLog returns a logger and a function that returns the lines logged since its last call.
func bufferedLog() (*logrus.Logger, func() []string) {
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

// TestWriter_FinalStateIsReadAgain verifies that a second writer cannot use a locked directory, and that the state passed to Close
// is read by the next writer.
func TestWriter_FinalStateIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	log, lines := bufferedLog()
	first, learned := OpenWriter(dir, log)
	if learned != nil {
		t.Errorf("empty directory: got %+v, want no state", learned)
	}
	if _, other := OpenWriter(dir, log); other != nil {
		t.Errorf("locked directory: got %+v, want no state", other)
	}
	first.Submit(sample(1))
	first.Close(sample(2), time.Second)
	second, learned := OpenWriter(dir, log)
	if learned == nil || learned.Router != generationName(2) {
		t.Fatalf("after Close: got %+v, want sample 2", learned)
	}
	second.Close(sample(3), time.Second)
	got := strings.Join(lines(), "\n")
	if !strings.Contains(got, ErrLocked.Error()) || !strings.Contains(got, "Set state.dir of one of the two routers to another directory") {
		t.Errorf("log: got %s, want ErrLocked with its remedy", got)
	}
}

// TestWriter_LogsUnusableDirectoryOnce submits several states to directories that cannot be used. Each one yields a single log
// line, with a remedy.
func TestWriter_LogsUnusableDirectoryOnce(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ dir, want string }{
		{filepath.Join(dir, "absent"), "Create the directory: install -d -m 700"},
		{file, "Set state.dir to a directory, not a file."},
	} {
		log, lines := bufferedLog()
		writer, learned := OpenWriter(c.dir, log)
		for i := range 5 {
			writer.Submit(sample(i))
			time.Sleep(5 * time.Millisecond)
		}
		writer.Close(sample(9), time.Second)
		if got := lines(); learned != nil || len(got) != 1 || !strings.Contains(got[0], c.want) {
			t.Errorf("%s: got %q, want one line with %q", c.dir, got, c.want)
		}
	}
}

// TestRemedy checks the remedies for errors of a snapshot directory.
func TestRemedy(t *testing.T) {
	for err, want := range map[error]string{
		syscall.ENOSPC: "Free space",
		syscall.EROFS:  "Mount it writable",
		syscall.EACCES: "Make the router's user its owner",
	} {
		if got := Remedy("/x", err); !strings.Contains(got, want) {
			t.Errorf("%v: got %q, want %q in it", err, got, want)
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
