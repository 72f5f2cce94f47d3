package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/process"
	"spurtrestle/internal/lab/registry"
	"spurtrestle/internal/lab/scenario"
)

// Case is one load on a router between clients and cache servers that answer immediately.
type Case struct {
	ValueBytes int     `json:"value_bytes"`
	Depth      int     `json:"depth"`
	Conns      int     `json:"connections"`
	Rate       float64 `json:"rate,omitempty"` // 0: closed loop
	Servers    int     `json:"servers"`
}

// Measurements are the results of a case.
type Measurements struct {
	Case
	AnswersPerSecond     float64 `json:"answers_per_second"`
	P50                  float64 `json:"p50_ms"`
	P99                  float64 `json:"p99_ms"`
	CPUPerRequest        float64 `json:"cpu_us_per_req"`
	AllocsPerRequest     float64 `json:"allocs_per_req"`
	AllocBytesPerRequest float64 `json:"alloc_bytes_per_req"`
	ConnectionsOpened    int64   `json:"server_connections_opened"`
	Rejected             int64   `json:"nacked"`
	Failed               int64   `json:"failed"`
	LatenessP99          float64 `json:"generator_late_p99_ms"`
}

// benchScenario returns a service with one retryable method whose deadline is long enough that no request times out.
func benchScenario(servers int) scenario.Scenario {
	s := scenario.Default()
	s.Title, s.Routers.Count, s.Servers.Count = "bench", 1, servers
	s.Service.Mode = "through"
	s.Routers.MemoryMB, s.Routers.Descriptors = 1024, 16384 // high enough that the limits do not affect the measurement
	s.Methods = []scenario.Method{{Name: "get", Share: 1, Effect: "retryable", Work: 1000, LatencyBudget: 500e3, Deadline: 2e6, Criticality: 1}}
	return s
}

const props = "c=get,d=2000"

// MeasureRouter measures a case on a router program. The directory is for its configuration and log.
func MeasureRouter(ctx context.Context, program, dir string, c Case, length time.Duration) (Measurements, error) {
	f := Measurements{Case: c}
	s := benchScenario(c.Servers)
	network, err := fleet.NewNetwork(1)
	if err != nil {
		return f, err
	}
	defer network.Close()
	reg, err := registry.Start(event.NewLog(), s.Discovery, network.Discovery())
	if err != nil {
		return f, err
	}
	defer reg.Close()
	var servers []*StubServer
	for i := range c.Servers {
		server, err := NewStubServer(network.Server(i)[0], CacheServerReply(c.ValueBytes))
		if err != nil {
			return f, err
		}
		defer server.Close()
		servers = append(servers, server)
		reg.Update(registry.Entry{UID: event.Server(fmt.Sprint("s", i)), Zone: "a", Kind: "cache", State: "active",
			Addr: func(event.Router) string { return server.Addr() }}, true)
	}
	spec := fleet.Spec{Name: "bench", Listen: network.Routers()[0], Discovery: reg.Addr(0), Config: filepath.Join(dir, "config.json"),
		Log: filepath.Join(dir, "router.log"), Cores: 1}
	text, err := fleet.Config(s, 0, spec.Name, spec.Listen, spec.Discovery, "1", reg.FullList(0))
	if err != nil {
		return f, err
	}
	if err := os.WriteFile(spec.Config, text, 0o644); err != nil {
		return f, err
	}
	p, err := process.Start(program, nil, spec.Env(), spec.Log)
	if err != nil {
		return f, err
	}
	defer p.End()
	load := Load{Addr: spec.Listen, Conns: c.Conns, Depth: c.Depth, Rate: c.Rate, Keys: 10000, Props: props, WarmUp: time.Second, Duration: length}
	if err := waitUntilServing(ctx, load); err != nil {
		return f, fmt.Errorf("%w; see %s", err, spec.Log)
	}
	out, before, after, err := runMeasured(ctx, p, spec.Log, load)
	if err != nil {
		return f, err
	}
	f.set(out, before, after)
	for _, server := range servers {
		f.ConnectionsOpened += server.Accepted.Load()
	}
	return f, nil
}

// runMeasured runs a load and reads the usage of the router at the begin and the end of the measured time.
func runMeasured(ctx context.Context, p *process.Process, log string, load Load) (out Result, before, after routerUsage, err error) {
	usageErr := make(chan error, 1)
	go func() {
		time.Sleep(load.WarmUp)
		err1 := before.read(p, log)
		time.Sleep(load.Duration)
		usageErr <- errors.Join(err1, after.read(p, log))
	}()
	out, err = Run(ctx, load)
	err = errors.Join(err, <-usageErr) // the goroutine has written before and after when this returns
	return out, before, after, err
}

// set sets the measurements from the result of a load and the usage of the router before and after it.
func (f *Measurements) set(out Result, before, after routerUsage) {
	requests := float64(max(1, after.requests-before.requests))
	f.AnswersPerSecond, f.P50, f.P99 = out.Rate(), out.Quantile(50), out.Quantile(99)
	f.CPUPerRequest = float64((after.cpu-before.cpu)/time.Microsecond) / requests
	f.AllocsPerRequest, f.AllocBytesPerRequest = float64(after.allocations-before.allocations)/requests, float64(after.allocatedBytes-before.allocatedBytes)/requests
	f.Rejected, f.Failed, f.LatenessP99 = out.Rejected, out.Failed, out.LatenessP99.Seconds()*1e3
}

// waitUntilServing waits until one request succeeds.
func waitUntilServing(ctx context.Context, l Load) error {
	l.Conns, l.Depth, l.Rate, l.WarmUp, l.Duration, l.FirstID = 1, 1, 0, 0, 20*time.Millisecond, 1<<40
	for range 200 {
		if out, err := Run(ctx, l); err == nil && out.Succeeded > 0 {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		l.FirstID += 1 << 32
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the router answered no request successfully")
}

// routerUsage is the CPU time and the counters of a router at one time.
type routerUsage struct {
	cpu                                   time.Duration
	requests, allocations, allocatedBytes int64
}

var countersPattern = regexp.MustCompile(`taken=(\d+).* allocs=(\d+) alloc-bytes=(\d+)`)

// read requests the counters with SIGUSR1 and reads them from the log.
func (u *routerUsage) read(p *process.Process, log string) error {
	matches := func() [][][]byte {
		text, err := os.ReadFile(log)
		if err != nil {
			return nil
		}
		return countersPattern.FindAllSubmatch(text, -1)
	}
	before := len(matches())
	cpu, _, ok := p.Usage()
	if !ok || p.Signal(syscall.SIGUSR1) != nil {
		return errors.New("the router has ended")
	}
	u.cpu = cpu
	for range 200 {
		if now := matches(); len(now) > before {
			for i, x := range []*int64{&u.requests, &u.allocations, &u.allocatedBytes} {
				*x, _ = strconv.ParseInt(string(now[len(now)-1][i+1]), 10, 64) // the pattern matches only digits
			}
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return errors.New("the router does not log its counters with allocs=; its version is too old")
}
