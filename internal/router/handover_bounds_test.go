package router

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/handover"
	"spurtrestle/internal/snapshot"
)

// largestSnapshot returns a state at all bounds of the snapshot format.
func largestSnapshot() snapshot.State {
	const (
		longestName  = 256
		longestTime  = clock.Time(1)<<53 - 1
		largestRate  = 1e12 / 3
		mostFailures = 64
	)
	name := func(n int) string {
		digits := fmt.Sprint(n)
		return strings.Repeat("x", longestName-len(digits)) + digits
	}
	latency := routing.LatencySummary{Recent: clock.Duration(longestTime), Mean: clock.Duration(longestTime), Fastest: clock.Duration(longestTime), Samples: 32}
	state := snapshot.State{Version: snapshot.Version, Router: name(0)}
	for n := range snapshot.MaxMethods {
		state.Methods = append(state.Methods, snapshot.Method{Name: name(n), Latency: clock.Duration(longestTime)})
	}
	for n := range snapshot.MaxServers {
		state.Servers = append(state.Servers, snapshot.Server{UID: name(n), ServerKnowledge: routing.ServerKnowledge{
			StartedAt:           longestTime,
			ObservedAt:          longestTime,
			ReturnedAt:          longestTime,
			Latency:             latency,
			AnswerRate:          largestRate,
			AttemptRate:         largestRate,
			ReportedServiceTime: clock.Duration(longestTime),
			FailurePoints:       mostFailures,
			Ejected:             true,
			ConnectFailed:       true,
		}})
	}
	for n := range snapshot.MaxKeys {
		state.Knowledge.Keys = append(state.Knowledge.Keys, routing.KeyKnowledge{Key: routing.KeyHash(math.MaxUint32 - n), Count: largestRate})
	}
	return state
}

// A successor receives and decodes whatever its predecessor may have learned: the bounds of frames and files
// agree.
func TestHandover_CarriesTheLargestSnapshot(t *testing.T) {
	successor, predecessor := connectHandover(t, t.TempDir())
	defer successor.Close()
	defer predecessor.Close()
	if handover.MaxBodyBytes < snapshot.MaxFileBytes {
		t.Errorf("a frame has at most %d bytes, and a snapshot may have %d", handover.MaxBodyBytes, snapshot.MaxFileBytes)
	}
	file := snapshot.Encode(largestSnapshot())
	sent := make(chan error, 1)
	go func() { sent <- predecessor.Send(handover.Frame{Kind: handover.Snapshot, Body: file}) }()
	frame, err := successor.Receive(10 * time.Second)
	if err != nil {
		t.Fatalf("a snapshot of %d bytes: %v", len(file), err)
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	state, err := snapshot.Decode(frame.Body)
	if err != nil || len(state.Servers) != snapshot.MaxServers || len(state.Knowledge.Keys) != snapshot.MaxKeys {
		t.Errorf("decoded: got %d servers, %d keys, %v", len(state.Servers), len(state.Knowledge.Keys), err)
	}
}

// A frame that the receiver would reject is not sent, so that the frames after it can be read.
func TestHandover_RejectsALongFrameBeforeItIsSent(t *testing.T) {
	successor, predecessor := connectHandover(t, t.TempDir())
	defer successor.Close()
	defer predecessor.Close()
	long := handover.Frame{Kind: handover.Snapshot, Body: make([]byte, handover.MaxBodyBytes+1)}
	if err := predecessor.Send(long); !errors.Is(err, handover.ErrFrameTooLong) {
		t.Errorf("a long frame: got %v, want %v", err, handover.ErrFrameTooLong)
	}
	if err := predecessor.Send(handover.Frame{Kind: handover.Ready}); err != nil {
		t.Fatal(err)
	}
	if frame, err := successor.Receive(10 * time.Second); err != nil || frame.Kind != handover.Ready {
		t.Errorf("behind it: got kind %c, %v, want %c", frame.Kind, err, handover.Ready)
	}
}
