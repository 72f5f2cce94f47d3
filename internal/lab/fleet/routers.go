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

// Spec holds the parameters that a router is started with.
type Spec struct {
	Name, Listen, Discovery, Config, Log string
	OperatorFile                         string // configuration file of the operator; empty if there is none
	Cores                                int
	Admin                                string // address of the admin endpoint
	TempDir                              string // TMPDIR, shared by all processes of the router
}

// Args returns the command-line arguments of a router.
func (s Spec) Args() []string {
	if s.OperatorFile == "" {
		return nil
	}
	return []string{"--file", s.OperatorFile}
}

// Env returns the environment variables of a router.
func (s Spec) Env() []string {
	return []string{"EDGE_ADMIN=" + s.Admin, "TMPDIR=" + s.TempDir, "EDGE_CONFIG=" + s.Config, "EDGE_NAME=" + s.Name, "EDGE_LISTEN=" + s.Listen, "EDGE_DISCOVERY=" + s.Discovery,
		fmt.Sprint("GOMAXPROCS=", s.Cores)}
}

// Instance is a running router, either a process or a simulated one.
type Instance interface {
	Signal(os.Signal) error
	Done() <-chan struct{}
	Err() error
	End()
	Usage() (cpu time.Duration, rss int64, ok bool)
}

// Starter starts a router.
type Starter func(Spec) (Instance, error)

// ProgramStarter returns a Starter that starts routers as processes of the program at path.
func ProgramStarter(path string) Starter {
	return func(s Spec) (Instance, error) { return process.Start(path, s.Args(), s.Env(), s.Log) }
}

// router is one router of a run, across all of its processes.
type router struct {
	run   *run
	index event.Router
	mu    sync.Mutex

	replaceMu sync.Mutex // held during a replacement

	instance           Instance
	starts             int
	replacements       int // number of replacing processes; each uses its own admin endpoint
	failedReplacements int // number of replacing processes that were started to fail
	moves              int
	ending             bool // it was told to shut down
	acceptsSignals     bool
	wanted             operatorState
	reloadPending      bool // its file has changed since its start and no SIGHUP was sent yet
	stopped            bool // the run is over
}

func (p *router) name() string { return fmt.Sprintf("r%d", p.index) }

func (p *router) admin() string { return p.run.addresses.adminEndpoints(p.replacements)[p.index] }

// firstFailedAdmin is the index of the first admin endpoint for replacing processes that are started to fail.
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

// configure writes the router's configuration file atomically. The caller holds p.mu.
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

// writeOperatorFile writes the operator's configuration file and creates the state directory that it names.
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

// start starts a process of the router, configured with the current server list.
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
	p.wanted.setDrained(false) // a drain ends with the process, unless another process takes over
	p.starts++
	go p.watch(instance)
	return nil
}

// watch records a process that ends unexpectedly.
func (p *router) watch(instance Instance) {
	<-instance.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance == instance && !p.ending {
		p.run.log.Add(event.Event{Kind: event.RouterExited, Router: p.index, Outcome: event.Failed, Note: fmt.Sprint(instance.Err(), "; see ", p.spec().Log)})
		p.run.balancer.SetAlive(p.index, false)
	}
}

// waitUntilReady waits until the router answers PING, and then lets clients use it.
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
			return fmt.Errorf("router %s ended while starting (%v); see %s", p.name(), instance.Err(), p.spec().Log)
		default:
		}
		if p.ping() {
			p.run.log.Add(event.Event{Kind: event.RouterUp, Router: p.index})
			p.run.balancer.SetAlive(p.index, true)
			p.allowSignals(instance)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router %s was not ready within %v; see %s", p.name(), timeout, p.spec().Log)
}

// allowSignals allows signals to a ready process after one second, because the platform sends none earlier.
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

// sigkill kills the process, as a power loss would.
func (p *router) sigkill() {
	p.mu.Lock()
	instance := p.instance
	p.ending = true
	p.mu.Unlock()
	if instance == nil {
		return
	}
	p.run.log.Add(event.Event{Kind: event.SIGKILLSent, Router: p.index})
	instance.End()
	p.run.log.Add(event.Event{Kind: event.RouterExited, Router: p.index, Outcome: event.Succeeded})
}

// stop shuts the process down with SIGTERM, and with SIGKILL after the time allowed. during, if not nil, sends further
// signals meanwhile. Unless the router restarts, it starts no process afterwards.
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
		return // it was killed, or ended unexpectedly and was recorded
	default:
	}
	p.run.log.Add(event.Event{Kind: event.SIGTERMSent, Router: p.index})
	_ = instance.Signal(syscall.SIGTERM) // fails if it has just ended, which Done reports
	if during != nil {
		p.run.actions.Go(func() { during(instance) })
	}
	// The load balancer detects the shutdown later; until then it opens new connections.
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
	record := event.Event{Kind: event.RouterExited, Router: p.index, Outcome: event.Succeeded}
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

// killAfter returns how long after SIGTERM a router is killed.
func (r *run) killAfter() time.Duration {
	return r.scenario.LongestDeadline() + r.scenario.Routers.KillAfter.Micros().Duration()
}

// stall suspends or resumes the process.
func (p *router) stall(on bool) {
	p.mu.Lock()
	instance := p.instance
	p.mu.Unlock()
	sig, limit := syscall.SIGSTOP, event.Micros(0)
	if !on {
		sig, limit = syscall.SIGCONT, 1
	}
	if instance != nil && instance.Signal(sig) == nil { // fails if it has just ended
		p.run.log.Add(event.Event{Kind: event.RouterStalled, Router: p.index, Limit: limit})
	}
}

// kill ends the process at the end of a run without recording it.
func (p *router) kill() {
	p.mu.Lock()
	p.ending, p.stopped = true, true
	instance := p.instance
	p.mu.Unlock()
	if instance != nil {
		instance.End()
	}
}

// reload rewrites the router's file and sends SIGHUP, or defers it until signals are allowed.
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
		_ = p.instance.Signal(syscall.SIGHUP) // fails if it has just ended
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
		p.run.log.Add(event.Event{Kind: event.ResourceSample, Router: p.index, Limit: event.Micros(cpu / time.Microsecond), Size: rss})
	}
}
