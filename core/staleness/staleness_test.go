package staleness

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/tracetest"
)

const now clock.Time = 1_800_000_000e6

// known is what a router knew at a time: two servers seen then, one of them set aside, and one not seen for an hour before.
func known(at clock.Time) routing.Knowledge {
	return routing.Knowledge{At: at, Span: 600e6, Seen: routing.Times{Time: 5000, Long: 6000, Best: 3000, N: 32}, Traffic: 200, Hits: 180,
		Asked: 190, Answered: 185, Used: 400, Noise: 1, Retries: 2, Reads: 4000, Methods: []clock.Time{4000, 8000},
		Servers: []routing.ServerKnowledge{
			{Server: 1, At: at, Times: routing.Times{Time: 5000, Long: 6000, Best: 3000, N: 32}, Rate: 20, Told: 4000},
			{Server: 2, At: at, Times: routing.Times{Time: 90000, Long: 80000, Best: 3000, N: 32}, Rate: 1, Lost: 3, Aside: true, Unheard: true},
			{Server: 3, At: at - 3600e6, Times: routing.Times{Time: 5000, Long: 6000, Best: 3000, N: 32}},
		},
		Keys: []routing.KeyKnowledge{{Key: 1, Count: 900}, {Key: 2, Count: 4}}}
}

// A script names ages; below each stands what is left of what was known.
func TestTraces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		return tracetest.Steps(script, func(line string, say func(string, ...any)) {
			age, err := time.ParseDuration(line)
			if err != nil {
				t.Fatal(err)
			}
			k := Fade(known(now-clock.Time(age/time.Microsecond)), now)
			say("seen %+v, watched for %v, budget %.1f, reads %.0f, methods %v", k.Seen,
				time.Duration(k.Span)*time.Microsecond, k.Retries, k.Reads, k.Methods)
			for _, s := range k.Servers {
				say("server %d: %+v, rate %.2f, told %d, lost %d, aside %v, unheard %v, evidence %v old", s.Server, s.Times,
					s.Rate, s.Told, s.Lost, s.Aside, s.Unheard, (time.Duration(now-s.At) * time.Microsecond).Round(time.Second))
			}
			for _, key := range k.Keys {
				say("key %d: %.0f", key.Key, key.Count)
			}
		})
	})
}

// The older, the less: no figure gains weight by time, and none jumps.
func TestFadesSmoothly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := clock.Time(rapid.Int64Range(0, 7200e6).Draw(t, "age"))
		step := clock.Time(rapid.Int64Range(0, 1e6).Draw(t, "step"))
		a, b := Fade(known(now-age), now), Fade(known(now-age-step), now)
		if b.Seen.N > a.Seen.N || a.Seen.N-b.Seen.N > 1 || b.Span > a.Span || b.Reads > a.Reads || b.Retries < a.Retries ||
			len(b.Servers) > len(a.Servers) || len(b.Keys) > len(a.Keys) {
			t.Fatalf("%v older by %v:\n%+v\n%+v", age, step, a, b)
		}
		if a.Seen.N > 0 && b.Seen.N > 0 && (b.Seen.Best < a.Seen.Best || b.Seen.Best > b.Seen.Long) {
			t.Fatalf("the quickest time: %+v %+v", a.Seen, b.Seen)
		}
		if math.Abs(a.Retries-b.Retries) > 0.5 {
			t.Fatalf("the budget jumps: %v %v", a.Retries, b.Retries)
		}
	})
}

// A row of restarts, each reading what the one before wrote and seeing nothing itself, makes no evidence younger.
func TestRestartLoopRenewsNothing(t *testing.T) {
	k := known(now)
	at := now
	for range 20 {
		at += 60e6
		k = Fade(k, at)
		k.At = at // written again by the process that read it
		for _, s := range k.Servers {
			if s.At > now {
				t.Fatalf("evidence of %d became younger", s.Server)
			}
			if s.Server == 3 || s.Aside {
				t.Fatalf("after %v: %+v", time.Duration(at-now)*time.Microsecond, s)
			}
		}
	}
	direct := Fade(known(now), at)
	if len(k.Servers) > len(direct.Servers) {
		t.Errorf("by twenty restarts %d servers are known, by one %d", len(k.Servers), len(direct.Servers))
	}
	if k.Retries < 2 {
		t.Errorf("the budget fell to %v", k.Retries)
	}
}

func TestGivenIsNotChanged(t *testing.T) {
	k := known(now - 60e6)
	before := fmt.Sprintf("%+v", k)
	Fade(k, now)
	if fmt.Sprintf("%+v", k) != before {
		t.Error("Fade changed what it was given")
	}
}
