package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	endingSeeds = flag.Int("ending-seeds", 12, "how many seeds TestEndingSoak plays")
	endingFirst = flag.Uint64("ending-first", 1, "first seed of TestEndingSoak")
)

const (
	// killDelay is when SIGKILL follows SIGTERM at the earliest: after the longest deadline and 0.7 s.
	killDelay = 3*time.Second + 700*time.Millisecond
	// frontDelay is how long new connections come after SIGTERM at the most.
	frontDelay = 400 * time.Millisecond
	// crossingTime is how long after its last byte a request may cross the end of its connection: it has not been read then.
	crossingTime  = 200 * time.Millisecond
	parallelSeeds = 2
	soakClients   = 20
	onceSuffix    = "-once"                 // of the ids of requests that must not run twice
	soakBefore    = 1200 * time.Millisecond // from the first client to the end of the process

	// What burdens the process, beside its clients and busy processes on its core.
	soakFlood   = 1
	soakCrowd   = 2
	soakBurdens = 3

	// soakPipelineOneIn is the part of the runs with slow servers and clients that pipeline.
	soakPipelineOneIn = 3
	pipelineStream    = 1 // of the random numbers
)

// TestEndingSoak ends processes in all ways, by a seed, while clients use their open connections until the kill, which comes as
// early as it may; some runs have a crowd, some a flood, some pipelines at slow servers, some little CPU. It guards against requests that an ending process has read and not answered, requests
// that run twice, and limits that are passed meanwhile.
func TestEndingSoak(t *testing.T) {
	slots := make(chan struct{}, parallelSeeds)
	for i := range *endingSeeds {
		seed := *endingFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			s := &endingSoak{random: rand.New(rand.NewPCG(seed, 0)), pipelineRandom: rand.New(rand.NewPCG(seed, pipelineStream))}
			s.run(t)
		})
	}
}

// endingSoak is one run of TestEndingSoak.
type endingSoak struct {
	*crowd
	random *rand.Rand // belongs to run
	// pipelineRandom is a stream of its own, so that a seed plays the same as before beside it
	pipelineRandom *rand.Rand
	pipelines      *pipelineRecord
	stop           atomic.Bool
	killed         atomic.Bool // a process was killed without warning: what it had is excused
	clients        sync.WaitGroup
	answered       atomic.Int64
	crossed        atomic.Int64
	// of the flooders, whose commands count as those of any client
	floodRecord floodRecord
	mu          sync.Mutex
	lost        []string
}

func (s *endingSoak) run(t *testing.T) {
	s.crowd = newCrowd(t, []int{crowdMemoryMB, 192}[s.random.IntN(2)])
	burden := s.random.IntN(soakBurdens)
	busy := []int{0, 0, 2, 8}[s.random.IntN(4)]
	if busy > 0 || s.random.IntN(2) == 0 {
		s.giveOneCore(busy)
	}
	s.busyServers, s.busyTime = s.pipelineRandom.IntN(soakPipelineOneIn) == 0, slowServerTime
	s.serve()
	s.pipelines = &pipelineRecord{crowd: s.crowd}
	memoryMB := crowdMemoryMB
	if strings.Contains(s.config, `"memory_mb":192`) {
		memoryMB = 192
	}
	old := s.program
	var next atomic.Int64
	check := s.watchLimits(memoryMB, func() []int { return []int{old.Process.Pid, int(next.Load())} })
	for i := range soakClients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		s.clients.Go(func() { s.ask(i, random) })
	}
	if s.busyServers {
		s.playPipelines()
	}
	kind := crowdKind{name: "no crowd"}
	switch {
	case burden == soakFlood:
		kind.name = "flood"
		s.playFlood(s.random.IntN(2*busy+40) / (busy + 1))
	case burden == soakCrowd && busy == 0:
		kind = crowdKinds[s.random.IntN(len(crowdKinds))]
		s.playCrowd(kind, 100+s.random.IntN(200), &s.stop, &s.clients)
	}
	ending := s.random.IntN(4) // 0: killed; 1: replaced; 2, 3: ended
	time.Sleep(soakBefore/2 + time.Duration(s.random.Int64N(int64(soakBefore/2))))
	if ending == 1 {
		s.startNextProcess()
		next.Store(int64(s.program.Process.Pid))
		time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	}
	if ending == 0 {
		s.killed.Store(true)
		s.floodRecord.excused.Store(true)
		s.pipelines.excused.Store(true)
		_ = old.Process.Kill()
	} else {
		s.end(old, ending != 1, strings.HasPrefix(kind.name, "slow readers"))
	}
	if ending == 1 {
		time.Sleep(300 * time.Millisecond) // with the new process alone
	}
	s.stop.Store(true)
	s.clients.Wait()
	t.Logf("%s, %d busy processes, ending %d: %d answered, %d crossed an end", kind.name, busy, ending, s.answered.Load(), s.crossed.Load())
	check()
	s.checkRuns()
	s.floodRecord.check(t)
	if s.busyServers {
		s.pipelines.check(t)
	}
	if ending != 0 && burden != soakFlood { // clients that send without end are always owed something
		s.checkNothingOwed(t)
	}
}

// playPipelines has some clients pipeline at the slow servers.
func (s *endingSoak) playPipelines() {
	waits := []time.Duration{longWait, time.Second, shortWait}
	for i := range 20 + s.pipelineRandom.IntN(80) {
		depth := 1 + s.pipelineRandom.IntN(8)
		wait := waits[s.pipelineRandom.IntN(len(waits))]
		s.clients.Go(func() { s.pipelines.play(fmt.Sprint("p", i), depth, wait, &s.stop) })
	}
}

// playFlood has some clients send reads, writes or commands that the router answers itself at full speed.
func (s *endingSoak) playFlood(flooders int) {
	command := []func(n int) []byte{readOfNewKey, ping, func(n int) []byte {
		return writeCommand(floodName(n), floodName(n), "c=pay,d=200", 10)
	}}[s.random.IntN(3)]
	for i := range flooders + 1 {
		s.clients.Go(func() {
			first := i << 32
			s.flood(func(n int) []byte { return command(first + n) }, floodBatchBytes, &s.stop, &s.floodRecord)
		})
	}
}

// end sends a process signals in series, and kills it as early as it may be. The process has to have ended by then, unless
// clients have not read answers that it has begun to pass on.
func (s *endingSoak) end(process *exec.Cmd, isLast, hasSlowReaders bool) {
	signals := []os.Signal{syscall.SIGHUP, syscall.SIGUSR1}
	for range s.random.IntN(4) {
		_ = process.Process.Signal(signals[s.random.IntN(len(signals))])
		time.Sleep(time.Duration(s.random.IntN(3)) * time.Millisecond)
	}
	_ = process.Process.Signal(syscall.SIGTERM)
	kill := time.After(killDelay)
	if isLast {
		time.AfterFunc(frontDelay, func() { s.frontAway.Store(true) })
	}
	for range s.random.IntN(4) {
		_ = process.Process.Signal(append(signals, syscall.SIGTERM)[s.random.IntN(3)])
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
	select {
	case err := <-s.exited:
		if err != nil {
			s.t.Errorf("the process that was told to end: %v", err)
		}
	case <-kill:
		if !hasSlowReaders {
			_ = process.Process.Signal(syscall.SIGUSR1)
			time.Sleep(50 * time.Millisecond)
			s.t.Errorf("the process had not ended %v after SIGTERM", killDelay)
		}
		_ = process.Process.Kill()
	}
}

// ask sends requests on one connection as long as it is open, and otherwise on new ones.
func (s *endingSoak) ask(client int, random *rand.Rand) {
	var conn *crowdConn
	longestRest := []int{0, 10}[random.IntN(2)] // in ms, between two requests
	for n := 0; !s.stop.Load(); n++ {
		id := fmt.Sprint("a", client, "-", n)
		wait := time.Duration(200+random.IntN(800)) * time.Millisecond
		key := []string{"k", "k", "k", "slow"}[random.IntN(4)]
		command := readCommand(fmt.Sprint(key, client), id, fmt.Sprint("c=get,d=", wait.Milliseconds()))
		if random.IntN(3) == 0 {
			id += onceSuffix
			command = writeCommand(fmt.Sprint(key, client), id, fmt.Sprint("c=pay,d=", wait.Milliseconds()), random.IntN(20_000))
		}
		var err error
		for range 2 { // one that crosses the end of its connection is sent once more
			if conn == nil {
				if conn, err = s.dial(); err != nil {
					break
				}
			}
			var crossed bool
			if crossed, err = s.exchange(conn, id, command, wait); err == nil {
				break
			}
			conn.Close()
			conn = nil
			if !crossed {
				break
			}
		}
		if err != nil {
			time.Sleep(20 * time.Millisecond) // the front tries another router
		}
		time.Sleep(time.Duration(random.IntN(longestRest+1)) * time.Millisecond)
	}
	if conn != nil {
		conn.Close()
	}
}

// exchange sends a request and reads its answer. crossed is set if the connection ended while the request was on its way.
func (s *endingSoak) exchange(conn *crowdConn, id string, command []byte, wait time.Duration) (crossed bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(wait + lostAfter))
	if _, err = conn.Write(command); err != nil {
		return true, err
	}
	sent := time.Now()
	if _, err = conn.readAnswer(); err == nil {
		s.answered.Add(1)
		return false, nil
	}
	taken := time.Since(sent)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if !timedOut && taken < crossingTime && s.timesRun(id) == 0 {
		s.crossed.Add(1)
		return true, err
	}
	if !s.killed.Load() {
		s.mu.Lock()
		s.lost = append(s.lost, fmt.Sprintf("%s: ran %d times, %v after its last byte: %v", id, s.timesRun(id), taken, err))
		s.mu.Unlock()
	}
	return false, err
}

// checkRuns fails the test if a request was lost or ran twice.
func (s *endingSoak) checkRuns() {
	if len(s.lost) > 0 {
		s.t.Errorf("%d requests were lost, the first: %s", len(s.lost), s.lost[0])
	}
	if s.answered.Load() == 0 {
		s.t.Error("no request was answered")
	}
	twice := 0
	s.runs.Range(func(id, count any) bool {
		if strings.HasSuffix(id.(string), onceSuffix) && count.(*atomic.Int32).Load() > 1 {
			twice++
		}
		return true
	})
	if twice > 0 {
		s.t.Errorf("%d requests ran twice that must not", twice)
	}
}
