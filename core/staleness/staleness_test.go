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
	return routing.Knowledge{CapturedAt: at, ObservedFor: 600e6, CacheLatency: routing.LatencySummary{Recent: 5000, Mean: 6000, Fastest: 3000, Samples: 32}, RequestRate: 200, HitRate: 180,
		EndedRate: 190, AnsweredRate: 185, AttemptRate: 400, FailureRate: 1, RetryBudget: 2, KeyReads: 4000, MethodLatencies: []clock.Time{4000, 8000},
		Servers: []routing.ServerKnowledge{
			{Server: 1, ObservedAt: at, Latency: routing.LatencySummary{Recent: 5000, Mean: 6000, Fastest: 3000, Samples: 32}, AnswerRate: 20, ReportedServiceTime: 4000},
			{Server: 2, ObservedAt: at, Latency: routing.LatencySummary{Recent: 90000, Mean: 80000, Fastest: 3000, Samples: 32}, AnswerRate: 1, FailurePoints: 3, Ejected: true, ConnectFailed: true},
			{Server: 3, ObservedAt: at - 3600e6, Latency: routing.LatencySummary{Recent: 5000, Mean: 6000, Fastest: 3000, Samples: 32}},
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
			say("seen %+v, watched for %v, budget %.1f, reads %.0f, methods %v", k.CacheLatency,
				time.Duration(k.ObservedFor)*time.Microsecond, k.RetryBudget, k.KeyReads, k.MethodLatencies)
			for _, s := range k.Servers {
				say("server %d: %+v, rate %.2f, told %d, lost %d, aside %v, unheard %v, evidence %v old", s.Server, s.Latency,
					s.AnswerRate, s.ReportedServiceTime, s.FailurePoints, s.Ejected, s.ConnectFailed, (time.Duration(now-s.ObservedAt) * time.Microsecond).Round(time.Second))
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
		if b.CacheLatency.Samples > a.CacheLatency.Samples || a.CacheLatency.Samples-b.CacheLatency.Samples > 1 || b.ObservedFor > a.ObservedFor || b.KeyReads > a.KeyReads || b.RetryBudget < a.RetryBudget ||
			len(b.Servers) > len(a.Servers) || len(b.Keys) > len(a.Keys) {
			t.Fatalf("%v older by %v:\n%+v\n%+v", age, step, a, b)
		}
		if a.CacheLatency.Samples > 0 && b.CacheLatency.Samples > 0 && (b.CacheLatency.Fastest < a.CacheLatency.Fastest || b.CacheLatency.Fastest > b.CacheLatency.Mean) {
			t.Fatalf("the quickest time: %+v %+v", a.CacheLatency, b.CacheLatency)
		}
		if math.Abs(a.RetryBudget-b.RetryBudget) > 0.5 {
			t.Fatalf("the budget jumps: %v %v", a.RetryBudget, b.RetryBudget)
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
		k.CapturedAt = at // written again by the process that read it
		for _, s := range k.Servers {
			if s.ObservedAt > now {
				t.Fatalf("evidence of %d became younger", s.Server)
			}
			if s.Server == 3 || s.Ejected {
				t.Fatalf("after %v: %+v", time.Duration(at-now)*time.Microsecond, s)
			}
		}
	}
	direct := Fade(known(now), at)
	if len(k.Servers) > len(direct.Servers) {
		t.Errorf("by twenty restarts %d servers are known, by one %d", len(k.Servers), len(direct.Servers))
	}
	if k.RetryBudget < 2 {
		t.Errorf("the budget fell to %v", k.RetryBudget)
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
