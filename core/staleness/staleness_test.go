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

// knowledgeAt returns the knowledge of a router with two servers that were observed at the given time, one of them ejected, and one
// that was last observed an hour earlier.
func knowledgeAt(at clock.Time) routing.Knowledge {
	normal := routing.LatencySummary{Recent: 5000, Mean: 6000, Fastest: 3000, Samples: 32}
	slow := routing.LatencySummary{Recent: 90000, Mean: 80000, Fastest: 3000, Samples: 32}
	return routing.Knowledge{
		CapturedAt:      at,
		ObservedFor:     10 * clock.Minute,
		CacheLatency:    normal,
		RequestRate:     200,
		HitRate:         180,
		EndedRate:       190,
		AnsweredRate:    185,
		AttemptRate:     400,
		FailureRate:     1,
		RetryBudget:     2,
		KeyReads:        4000,
		MethodLatencies: []clock.Duration{4000, 8000},
		Servers: []routing.ServerKnowledge{
			{Server: 1, ObservedAt: at, Latency: normal, AnswerRate: 20, ReportedServiceTime: 4000},
			{Server: 2, ObservedAt: at, Latency: slow, AnswerRate: 1, FailurePoints: 3, Ejected: true, ConnectFailed: true},
			{Server: 3, ObservedAt: at - clock.Hour, Latency: normal},
		},
		Keys: []routing.KeyKnowledge{{Key: 1, Count: 900}, {Key: 2, Count: 4}},
	}
}

func toDuration(d clock.Duration) time.Duration { return time.Duration(d) * time.Microsecond }

// Each line of a script is an age, followed by the knowledge that remains at that age.
func TestDecay_Traces(t *testing.T) {
	tracetest.Run(t, func(t *testing.T, script string) string {
		return tracetest.Steps(script, func(line string, log func(string, ...any)) {
			age, err := time.ParseDuration(line)
			if err != nil {
				t.Fatal(err)
			}
			knowledge := Decay(knowledgeAt(now-clock.Duration(age/time.Microsecond)), now)
			log("latency %+v, observed for %v, retry budget %.1f, key reads %.0f, methods %v", knowledge.CacheLatency,
				toDuration(knowledge.ObservedFor), knowledge.RetryBudget, knowledge.KeyReads, knowledge.MethodLatencies)
			for _, server := range knowledge.Servers {
				log("server %d: %+v, rate %.2f, reported %d, failure points %d, ejected %v, connect failed %v, evidence %v old",
					server.Server, server.Latency, server.AnswerRate, server.ReportedServiceTime, server.FailurePoints, server.Ejected,
					server.ConnectFailed, toDuration(now-server.ObservedAt).Round(time.Second))
			}
			for _, key := range knowledge.Keys {
				log("key %d: %.0f", key.Key, key.Count)
			}
		})
	})
}

// No measurement gains weight with age, and none changes abruptly.
func TestDecay_IsMonotonicAndSmooth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := clock.Duration(rapid.Int64Range(0, 7200e6).Draw(t, "age"))
		difference := clock.Duration(rapid.Int64Range(0, 1e6).Draw(t, "difference"))
		younger, older := Decay(knowledgeAt(now-age), now), Decay(knowledgeAt(now-age-difference), now)
		gainsSamples := older.CacheLatency.Samples > younger.CacheLatency.Samples
		losesManySamples := younger.CacheLatency.Samples-older.CacheLatency.Samples > 1
		gainsRates := older.ObservedFor > younger.ObservedFor || older.KeyReads > younger.KeyReads
		losesBudget := older.RetryBudget < younger.RetryBudget
		gainsEntries := len(older.Servers) > len(younger.Servers) || len(older.Keys) > len(younger.Keys)
		if gainsSamples || losesManySamples || gainsRates || losesBudget || gainsEntries {
			t.Fatalf("knowledge that is %v older than at age %v:\ngot  %+v\nwant at most %+v", toDuration(difference), toDuration(age), older, younger)
		}
		bothMeasured := younger.CacheLatency.Samples > 0 && older.CacheLatency.Samples > 0
		isBetween := older.CacheLatency.Fastest >= younger.CacheLatency.Fastest && older.CacheLatency.Fastest <= older.CacheLatency.Mean
		if bothMeasured && !isBetween {
			t.Fatalf("fastest latency: got %+v, want it between %+v and the mean", older.CacheLatency, younger.CacheLatency)
		}
		if math.Abs(younger.RetryBudget-older.RetryBudget) > 0.5 {
			t.Fatalf("retry budget: got %v, want within 0.5 of %v", older.RetryBudget, younger.RetryBudget)
		}
	})
}

// A series of restarts, each of which reads the snapshot of the previous process and observes nothing, does not make evidence
// younger.
func TestDecay_RestartLoopRenewsNoEvidence(t *testing.T) {
	knowledge := knowledgeAt(now)
	at := now
	for range 20 {
		at += clock.Minute
		knowledge = Decay(knowledge, at)
		knowledge.CapturedAt = at // the restarted process writes a new snapshot
		for _, server := range knowledge.Servers {
			if server.ObservedAt > now {
				t.Fatalf("evidence of server %d: got time %v, want at most %v", server.Server, server.ObservedAt, now)
			}
			if server.Server == 3 || server.Ejected {
				t.Fatalf("after %v: got %+v, want no server 3 and none ejected", toDuration(at-now), server)
			}
		}
	}
	direct := Decay(knowledgeAt(now), at)
	if len(knowledge.Servers) > len(direct.Servers) {
		t.Errorf("servers after twenty restarts: got %d, want at most %d, as after a single restart", len(knowledge.Servers), len(direct.Servers))
	}
	if knowledge.RetryBudget < 2 {
		t.Errorf("retry budget: got %v, want at least 2", knowledge.RetryBudget)
	}
}

func TestDecay_DoesNotModifyItsArgument(t *testing.T) {
	knowledge := knowledgeAt(now - clock.Minute)
	want := fmt.Sprintf("%+v", knowledge)
	Decay(knowledge, now)
	if got := fmt.Sprintf("%+v", knowledge); got != want {
		t.Errorf("argument after Decay: got %s, want %s", got, want)
	}
}
