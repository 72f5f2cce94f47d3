package machine

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/tracetest"
)

// A script drives one machine: `new` with its settings, then lines with a time in ms and a command. The lines below each
// command are its expected output.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		var m *Machine
		jobs := map[string]*Job{}
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			words := strings.Fields(line)
			if words[0] == "new" {
				var s Settings
				warm := 0
				if _, err := fmt.Sscanf(line, "new cores=%d queue=%d cold=%g over=%d falls=%g within=%d warm=%d", &s.Cores, &s.QueueLimit, &s.ColdCapacityShare,
					&s.WarmupDuration, &s.CollapseMultiple, &s.CollapseWindow, &warm); err != nil {
					t.Fatal(line, err)
				}
				s.WarmupDuration, s.CollapseWindow = s.WarmupDuration*1000, s.CollapseWindow*1000
				m, jobs = New(s, 0, warm == 1), map[string]*Job{}
				return
			}
			var ms int
			var what, name string
			work := 0
			if n, _ := fmt.Sscanf(line, "%d %s %s %d", &ms, &what, &name, &work); n < 2 { // the later words may be absent
				t.Fatal(line)
			}
			now := event.Micros(ms) * 1000
			for _, j := range m.Completed(now) {
				for name, x := range jobs {
					if x == j {
						say("%s ended at %d", name, j.endsAt/1000)
					}
				}
			}
			switch what {
			case "take":
				jobs[name] = &Job{Work: event.Micros(work) * 1000}
				if !m.Submit(now, jobs[name]) {
					say("no room; fallen=%v", m.Collapsed())
				}
			case "flood": // submits the given number of 1 ms jobs
				n := 0
				for range work {
					if m.Submit(now, &Job{Work: 1000}) {
						n++
					}
				}
				say("took %d; fallen=%v", n, m.Collapsed())
			case "cancel":
				say("there: %v", m.Cancel(now, jobs[name]))
			case "freeze", "thaw":
				m.SetFrozen(now, what == "freeze")
			case "slow":
				m.SetSlowdown(float64(work))
			case "look":
				running, waiting := m.Load()
				say("%d run, %d wait, share %.2f", running, waiting, m.CapacityShare(now))
			default:
				t.Fatalf("unknown command %q", what)
			}
		})
	})
}

// Guards against jobs that are lost or completed twice when the machine is slowed, frozen or has jobs canceled.
func TestEveryJobCompletesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Settings{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), QueueLimit: rapid.IntRange(0, 4).Draw(t, "queue"), ColdCapacityShare: 0.2,
			WarmupDuration: 1e6}, 0, rapid.Bool().Draw(t, "warm"))
		pending := map[*Job]bool{}
		now := event.Micros(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += event.Micros(rapid.IntRange(0, 20000).Draw(t, "wait"))
			for _, j := range m.Completed(now) {
				if !pending[j] {
					t.Fatal("a job completed that the machine did not hold")
				}
				delete(pending, j)
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				j := &Job{Work: event.Micros(rapid.IntRange(1, 30000).Draw(t, "work"))}
				if m.Submit(now, j) {
					pending[j] = true
				}
			case 2:
				for j := range pending {
					if !m.Cancel(now, j) {
						t.Fatal("Cancel did not find a job that the machine holds")
					}
					delete(pending, j)
					break
				}
			case 3:
				m.SetFrozen(now, rapid.Bool().Draw(t, "on"))
			case 4:
				m.SetSlowdown(float64(rapid.IntRange(1, 5).Draw(t, "times")))
			}
			if running, waiting := m.Load(); running+waiting != len(pending) {
				t.Fatalf("%d jobs are running and %d waiting, want %d in total", running, waiting, len(pending))
			}
		}
		m.SetFrozen(now, false)
		if n := len(m.Completed(now + 1e9)); n != len(pending) {
			t.Fatalf("%d of %d jobs completed", n, len(pending))
		}
	})
}

func TestLRU_EvictsLeastRecentlyUsed(t *testing.T) {
	l := NewLRU(2)
	l.Put("a")
	l.Put("b")
	l.Contains("a")
	l.Put("c")
	if l.Contains("b") || !l.Contains("a") || !l.Contains("c") || l.Len() != 2 {
		t.Error("b was not evicted, although it is the least recently used key")
	}
	l.Remove("a")
	l.Remove("a")
	if l.Contains("a") || l.Len() != 1 {
		t.Error("a removed key is still present")
	}
}
