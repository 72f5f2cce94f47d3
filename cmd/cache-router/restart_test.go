package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	restarted    = 10
	readyWithin  = 10 * time.Second
	mostNotReady = restarted / 10
)

// restart kills ten routers at once and starts them again, each as its file has it by then, and returns how long each took until it
// said yes; those that did not in time are left out.
func restart(t *testing.T, all []*player) []time.Duration {
	for _, p := range all {
		_ = p.program.Process.Kill()
		<-p.ended
	}
	var mu sync.Mutex
	var took []time.Duration
	var each sync.WaitGroup
	for _, p := range all {
		began := time.Now()
		p.run() // it returns as the process has begun
		each.Go(func() {
			for p.ping() != "+PONG" {
				if time.Since(began) > readyWithin {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
		})
	}
	each.Wait()
	t.Log(took)
	return took
}

// Discovery is down: calls to it are not answered. Routers that are killed and start again are ready by the list that each had last,
// while clients come back to them in crowds.
func TestRestartWhileDiscoveryIsDown(t *testing.T) {
	var all []*player
	for range restarted {
		p := newPlayer(t)
		p.noDoor = true
		p.start([]string{"s1", "origin"})
		all = append(all, p)
		defer p.crowd(20)()
	}
	if ready := restart(t, all); len(ready) < restarted-mostNotReady {
		t.Errorf("%d of %d are ready in %v", len(ready), restarted, readyWithin)
	}
}

// Where lists are asked for, and the routers have none of their own, discovery refuses calls for three seconds after the restart and
// answers one after the other then, each in its turn.
func TestRestartAtABusyDiscovery(t *testing.T) {
	const refuses, turn = 3 * time.Second, 150 * time.Millisecond
	first := newPlayer(t)
	discovery, body := first.server("discovery"), first.list(true, 2, []string{"s1", "origin"})
	var mu sync.Mutex
	var answersFrom time.Time
	go func() {
		for m := range discovery.came {
			if !strings.HasSuffix(m.text, "instances") {
				continue
			}
			mu.Lock()
			refused := time.Now().Before(answersFrom)
			mu.Unlock()
			if refused {
				_, _ = io.WriteString(m.on, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			time.Sleep(turn)
			_, _ = fmt.Fprintf(m.on, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}()
	all := []*player{first}
	for len(all) < restarted {
		p := newPlayer(t)
		p.peers["discovery"] = discovery
		all = append(all, p)
	}
	for _, p := range all {
		p.noDoor = true
		p.swaps = append(p.swaps, `"discovery":"pushed"`, `"discovery":"on_request"`)
		p.start(nil)
	}
	mu.Lock()
	answersFrom = time.Now().Add(refuses)
	mu.Unlock()
	if ready := restart(t, all); len(ready) < restarted-mostNotReady {
		t.Errorf("%d of %d are ready in %v", len(ready), restarted, readyWithin)
	}
}
