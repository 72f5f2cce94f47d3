package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/process"
)

// Spec is what a router is started with.
type Spec struct {
	Name, Listen, Discovery, Config, Log string
	OperatorFile                         string // the operator's own; empty: none
	Cores                                int
	Admin                                string // the admin endpoint
	TempDir                              string // a folder that its processes share
}

// Args are the arguments of a router.
func (s Spec) Args() []string {
	if s.OperatorFile == "" {
		return nil
	}
	return []string{"--file", s.OperatorFile}
}

// Env are the variables of a router.
func (s Spec) Env() []string {
	return []string{"EDGE_ADMIN=" + s.Admin, "TMPDIR=" + s.TempDir, "EDGE_CONFIG=" + s.Config, "EDGE_NAME=" + s.Name, "EDGE_LISTEN=" + s.Listen, "EDGE_DISCOVERY=" + s.Discovery,
		fmt.Sprint("GOMAXPROCS=", s.Cores)}
}

// Instance is a running router, a process or a stand-in for one.
type Instance interface {
	Signal(os.Signal) error
	Done() <-chan struct{}
	Err() error
	End()
	Usage() (cpu time.Duration, rss int64, ok bool)
}

// Starter starts a router.
type Starter func(Spec) (Instance, error)

// Program starts routers as processes of a program.
func ProgramStarter(path string) Starter {
	return func(s Spec) (Instance, error) { return process.Start(path, s.Args(), s.Env(), s.Log) }
}

// router is one of the run's routers over all of its processes.
type router struct {
	run   *run
	index event.Router
	mu    sync.Mutex

	replaceMu sync.Mutex // held during a replacement

	instance           Instance
	starts             int
	replacements       int // of the processes beside others: each has an admin endpoint of its own
	failedReplacements int // processes that were started to die
	moves              int
	ending             bool // it was told to end
	acceptsSignals     bool
	wanted             operatorState
	reloadPending      bool // its file has changed since it was started, and it was not told yet
	stopped            bool // the run is over
}

func (p *router) name() string { return fmt.Sprintf("r%d", p.index) }

func (p *router) admin() string { return p.run.addresses.adminEndpoints(p.replacements)[p.index] }

// firstDudDoor is the number of the first admin endpoint of processes that are not to stay.
const firstFailedAdmin = 200

func (p *router) spec() Spec {
	dir := p.run.options.Dir
	file := ""
	if p.run.scenario.Routers.State || p.run.scenario.Routers.Fleet || p.run.scenario.Clients.UsesGRPC() {
		file = filepath.Join(dir, p.name()+".toml")
	}
	return Spec{Admin: p.admin(), TempDir: filepath.Join(dir, p.name()+"-tmp"), OperatorFile: file, Name: p.name(), Listen: p.run.addresses.routers()[p.index], Discovery: p.run.registry.Addr(p.index),
		Config: filepath.Join(dir, p.name()+".json"), Log: filepath.Join(dir, p.name()+".log"), Cores: p.run.scenario.Routers.Cores}
}

// configure writes its file, whole or not at all.
func (p *router) configure(known json.RawMessage) error {
	spec := p.spec()
	seed := fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", p.run.options.Seed, p.index, p.starts)), p.index)
	text, err := Config(p.run.scenario, int(p.index), spec.Name, spec.Listen, spec.Discovery, seed, known)
	if err != nil {
		return err
	}
	if spec.OperatorFile != "" {
		if err := p.writeOperatorFile(spec.OperatorFile); err != nil {
			return err
		}
	}
	if err := os.WriteFile(spec.Config+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(spec.Config+".new", spec.Config)
}

// own writes the operator's file, and makes the folder that it names.
func (p *router) writeOperatorFile(file string) error {
	text := ""
	if p.run.scenario.Clients.UsesGRPC() {
		text = fmt.Sprintf("[grpc]\nlisten = %q\n", p.run.addresses.grpc()[p.index])
	}
	if p.run.scenario.Routers.Fleet {
		var join []string
		for i, way := range p.run.addresses.gossipAdvertised() {
			if i < 2 {
				join = append(join, fmt.Sprintf("%q", way))
			}
		}
		text += fmt.Sprintf("[fleet]\nname = \"lab\"\nlisten = %q\nadvertise = %q\njoin = [%s]\nprobe = %q\n", p.run.addresses.gossipListeners()[p.index],
			p.run.addresses.gossipAdvertised()[p.index], strings.Join(join, ", "), p.run.scenario.Routers.Probe)
	}
	if cut := p.run.scenario.Routers.Policy; cut != "" {
		text += fmt.Sprintf("[policy]\ncut_off = %q\nkeepers = [\"r0\", \"r1\", \"r2\"]\n", cut)
		if p.index < 3 {
			folder, err := filepath.Abs(filepath.Join(p.run.options.Dir, p.name()+"-keeper"))
			if err != nil {
				return err
			}
			text += fmt.Sprintf("listen = %q\nadvertise = %q\ndir = %q\n", p.run.addresses.raftAddresses("views")[p.index], p.run.addresses.raftAddresses("ways")[p.index], folder)
		}
	}
	if !p.run.scenario.Routers.State {
		return os.WriteFile(file, []byte(text), 0o644)
	}
	folder, err := filepath.Abs(filepath.Join(p.run.options.Dir, p.name()+"-state"))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(file, fmt.Appendf(nil, "%s[state]\ndir = %q\nevery = \"1s\"\n", text, folder), 0o644)
}

// start begins a process, with the list as the router last had it.
func (p *router) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	if err := p.configure(p.run.registry.FullList(p.index)); err != nil {
		return err
	}
	if err := os.MkdirAll(p.spec().TempDir, 0o700); err != nil {
		return err
	}
	p.run.registry.Restarted(p.index)
	instance, err := p.run.options.Start(p.spec())
	if err != nil {
		return err
	}
	p.instance, p.ending, p.acceptsSignals, p.reloadPending = instance, false, false, false
	p.wanted.setDrained(false) // a drain ends with the process, unless another takes over
	p.starts++
	go p.watch(instance)
	return nil
}

// watch notes a process that ends by itself.
func (p *router) watch(instance Instance) {
	<-instance.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance == instance && !p.ending {
		p.run.log.Add(event.Event{Kind: event.Down, Router: p.index, Outcome: event.Failed, Note: fmt.Sprint(instance.Err(), "; see ", p.spec().Log)})
		p.run.balancer.SetAlive(p.index, false)
	}
}

// untilReady waits for the answer to PING.
func (p *router) waitUntilReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		p.mu.Lock()
		instance, stopped := p.instance, p.stopped
		p.mu.Unlock()
		if stopped {
			return nil
		}
		select {
		case <-instance.Done():
			return fmt.Errorf("router %s ended at its start (%v); see %s", p.name(), instance.Err(), p.spec().Log)
		default:
		}
		if p.ping() {
			p.run.log.Add(event.Event{Kind: event.Up, Router: p.index})
			p.run.balancer.SetAlive(p.index, true)
			p.allowSignals(instance)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router %s was not ready within %v; see %s", p.name(), timeout, p.spec().Log)
}

// allowSignals lets a process that is ready have signals from a second later on: the platform sends none before.
func (p *router) allowSignals(instance Instance) {
	time.AfterFunc(time.Second, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.instance != instance {
			return
		}
		if p.acceptsSignals = true; p.reloadPending {
			p.sendReload()
		}
	})
}

func (p *router) ping() bool {
	c, err := net.DialTimeout("tcp", p.spec().Listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond)) // an error shows in Read
	if _, err := c.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	buf := make([]byte, 16)
	n, _ := c.Read(buf)
	return string(buf[:n]) == "+PONG\r\n"
}

// sigkill ends it as a machine's loss of power would.
func (p *router) sigkill() {
	p.mu.Lock()
	instance := p.instance
	p.ending = true
	p.mu.Unlock()
	if instance == nil {
		return
	}
	p.run.log.Add(event.Event{Kind: event.Killed, Router: p.index})
	instance.End()
	p.run.log.Add(event.Event{Kind: event.Down, Router: p.index, Outcome: event.Satisfied})
}

// stop ends it in order: SIGTERM, and SIGKILL once it has had its time. beside sends further signals meanwhile; nil: none.
func (p *router) stop(restarts bool, during func(Instance)) {
	p.mu.Lock()
	instance := p.instance
	p.ending, p.stopped = true, p.stopped || !restarts
	p.mu.Unlock()
	if instance == nil {
		return
	}
	select {
	case <-instance.Done():
		return // it was killed before, or ended by itself, which was noted
	default:
	}
	p.run.log.Add(event.Event{Kind: event.Term, Router: p.index})
	_ = instance.Signal(syscall.SIGTERM) // an error: it has just ended, which Done tells
	if during != nil {
		p.run.actions.Go(func() { during(instance) })
	}
	// Its front learns of it a little later; until then new connections go on coming.
	time.AfterFunc(300*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case p.instance != instance:
		case p.run.scenario.Clients.KeepUsing:
			p.run.balancer.DrainRouter(p.index)
		default:
			p.run.balancer.SetAlive(p.index, false)
		}
	})
	record := event.Event{Kind: event.Down, Router: p.index, Outcome: event.Satisfied}
	select {
	case <-instance.Done():
		if err := instance.Err(); err != nil {
			record.Outcome, record.Note = event.Failed, err.Error()
		} else if err := checkCounters(p.spec().Log); err != nil {
			record.Outcome, record.Note = event.Failed, err.Error()
		}
	case <-time.After(p.run.killAfter()):
		instance.End()
		record.Outcome, record.Note = event.Failed, "it had not ended by its time after SIGTERM"
	}
	p.run.log.Add(record)
}

// killAfter is how long after SIGTERM a router is killed.
func (r *run) killAfter() time.Duration {
	return r.scenario.LongestDeadline() + r.scenario.Routers.KillAfter.Micros().Duration()
}

// stall has the process stand still, or go on.
func (p *router) stall(on bool) {
	p.mu.Lock()
	instance := p.instance
	p.mu.Unlock()
	sig, limit := syscall.SIGSTOP, event.Micros(0)
	if !on {
		sig, limit = syscall.SIGCONT, 1
	}
	if instance != nil && instance.Signal(sig) == nil { // an error: it has just ended
		p.run.log.Add(event.Event{Kind: event.Stalled, Router: p.index, Limit: limit})
	}
}

// kill ends it at the end of a run, with nothing noted.
func (p *router) kill() {
	p.mu.Lock()
	p.ending, p.stopped = true, true
	instance := p.instance
	p.mu.Unlock()
	if instance != nil {
		instance.End()
	}
}

// reload has it read its file again, as soon as it may be told to.
func (p *router) reload() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.configure(p.run.registry.FullList(p.index)); err != nil {
		return err
	}
	if p.reloadPending = true; p.acceptsSignals {
		p.sendReload()
	}
	return nil
}

func (p *router) sendReload() {
	p.reloadPending = false
	if !p.ending {
		_ = p.instance.Signal(syscall.SIGHUP) // an error: it has just ended
	}
}

func (p *router) sample() {
	p.mu.Lock()
	instance := p.instance
	p.mu.Unlock()
	if instance == nil {
		return
	}
	if cpu, rss, ok := instance.Usage(); ok {
		p.run.log.Add(event.Event{Kind: event.Sample, Router: p.index, Limit: event.Micros(cpu / time.Microsecond), Size: rss})
	}
}
