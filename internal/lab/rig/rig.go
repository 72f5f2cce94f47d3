// Package rig runs the routers of a fleet without client load: many processes of the router program, an emulated network
// between them that can be cut, delayed and made lossy (package links), and a record of what was done and of the views that
// the routers showed. cache-routerctl runs its rounds and measurements; its tests run single scenarios. A Rig may be used from
// any goroutine unless a method says otherwise.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/core/membership"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/links"
	"spurtrestle/internal/lab/process"
	"spurtrestle/internal/lab/registry"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/lab/viewref"
)

// Options configure a rig.
type Options struct {
	Program      string // path of the router program, built with fleet support
	Dir          string // directory for files and logs; it must exist
	Routers      int
	Sites        []string // assigned to the routers in rotation
	Seed         uint64
	Probe        time.Duration
	ForgetAfter  time.Duration
	PollInterval time.Duration // between two samples of each view; 0 for no samples
	Join         []int         // routers that all contact first; nil for the first two
	KeepPeers    bool          // each router has a directory for its known peers
	Policy       string        // value of policy.cut_off; empty for no policy. The first routers are the keepers
	Keepers      int
	Servers      int                     // cache servers of each site that discovery lists; 0 for one in total
	Fleet        func(router int) string // name of the fleet; nil for the same one
	Method       func(router int) string // method of the service; nil for the same one
}

// Rig is a running fleet. Close stops everything that it started.
type Rig struct {
	Links          *links.Network
	o              Options
	network        fleet.Network
	registryServer *registry.Registry
	start          time.Time
	http           *http.Client
	settings       scenario.Scenario

	mu             sync.Mutex
	processes      []*process.Process // nil if not running
	names          []string
	deadlines      map[int]time.Duration // by router, where it differs from the settings
	maxFileBlocks  map[int]int           // maximum size of a file in blocks, by router that has a limit
	addressOf      []int                 // router whose addresses each router uses; its own unless changed
	changes        []viewref.Change
	samples        []viewref.Sample
	stopped        []bool
	adminAddresses []string

	paused atomic.Bool
	stop   context.CancelFunc
	polls  sync.WaitGroup
	closed bool
}

// New prepares a rig with no router running.
func New(o Options) (*Rig, error) {
	r := &Rig{o: o, start: time.Now(), processes: make([]*process.Process, o.Routers), stopped: make([]bool, o.Routers), deadlines: map[int]time.Duration{}, maxFileBlocks: map[int]int{},
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if r.network, err = fleet.NewNetwork(o.Routers); err != nil {
		return nil, err
	}
	var routerAddrs, proxyAddrs []netip.AddrPort
	for i := range o.Routers {
		routerAddrs = append(routerAddrs, netip.MustParseAddrPort(r.network.GossipListeners()[i]))
		proxyAddrs = append(proxyAddrs, netip.MustParseAddrPort(r.network.GossipAdvertised()[i]))
		r.names = append(r.names, fmt.Sprintf("r%d", i))
		r.addressOf = append(r.addressOf, i)
		r.adminAddresses = append(r.adminAddresses, r.network.AdminEndpoints()[i])
	}
	ports := 1
	if o.Policy != "" {
		ports = 2 // the log of the keepers as well
	}
	if r.Links, err = links.New(routerAddrs, proxyAddrs, o.Seed, ports); err != nil {
		r.network.Close()
		return nil, err
	}
	r.settings = scenario.Default()
	r.settings.Sites, r.settings.Routers.Count = o.Sites, o.Routers
	r.settings.Methods = []scenario.Method{{Name: "read", Share: 1, Effect: "retryable", LatencyBudget: 200e3, Deadline: 700e3, Criticality: 1}}
	if r.registryServer, err = registry.Start(event.NewLog(), r.settings.Discovery, r.network.Discovery()); err != nil {
		r.Links.Close()
		r.network.Close()
		return nil, err
	}
	for _, site := range o.Sites {
		r.ListServers(site, o.Servers)
	}
	// A server that gets no requests: a router accepts no clients unless discovery lists a server.
	r.registryServer.Update(registry.Entry{UID: "s0", Zone: o.Sites[0], Kind: "cache", State: "active", Addr: func(i event.Router) string { return r.network.Server(0)[i] }}, true)
	if o.PollInterval > 0 {
		var ctx context.Context
		ctx, r.stop = context.WithCancel(context.Background())
		for i := range o.Routers {
			r.polls.Go(func() { r.poll(ctx, i) })
		}
	}
	return r, nil
}

// ListServers has discovery list the first n cache servers of a site and no others of it. They get no requests and do not
// exist.
func (r *Rig) ListServers(site string, n int) {
	for i := range r.o.Servers {
		state := "active"
		if i >= n {
			state = "left"
		}
		place := 1 + i + r.o.Servers*slices.Index(r.o.Sites, site)
		r.registryServer.Update(registry.Entry{UID: event.Server(fmt.Sprintf("%s-%d", site, i)), Zone: site, Kind: "cache", State: state,
			Addr: func(i event.Router) string { return r.network.Server(place)[i] }}, false)
	}
}

// Close kills every router and stops the network.
func (r *Rig) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.stop != nil {
		r.stop()
	}
	r.polls.Wait()
	for _, p := range r.processes {
		if p != nil {
			p.End()
		}
	}
	r.Links.Close()
	r.registryServer.Close()
	r.network.Close()
}

// Now returns the time since the rig was created.
func (r *Rig) Now() time.Duration { return time.Since(r.start) }

func (r *Rig) recordChange(note string, kind viewref.Kind, router, to int) {
	r.mu.Lock()
	r.changes = append(r.changes, viewref.Change{At: r.Now(), Kind: kind, Router: router, To: to, Note: note})
	r.mu.Unlock()
}

// RecordStatusChange records a change of the status that a router announces, such as a drain.
func (r *Rig) RecordStatusChange(router int, note string) {
	r.recordChange(note, viewref.StatusChange, router, 0)
}

// Log returns the path of a router's log.
func (r *Rig) Log(i int) string { return filepath.Join(r.o.Dir, fmt.Sprintf("p%d.log", i)) }

// Start starts routers and waits until their admin endpoints answer.
func (r *Rig) Start(note string, routers ...int) error {
	for _, i := range routers {
		if err := r.startProcess(i); err != nil {
			return err
		}
		r.recordChange(note, viewref.Up, i, 0) // others may see it before it answers
	}
	for _, i := range routers {
		if err := r.ready(i, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startProcess writes the files of a router and starts its process.
func (r *Rig) startProcess(i int) error {
	if err := r.Configure(i); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := r.process(i, r.adminAddresses[i])
	r.processes[i], r.stopped[i] = p, false
	return err
}

func (r *Rig) process(i int, adminAddress string) (*process.Process, error) {
	program, args := r.o.Program, []string{"--file", r.file(i, "toml"), "--log-format", "json"}
	if n := r.maxFileBlocks[i]; n > 0 {
		program, args = "/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -f %d; exec "$0" "$@"`, n), program}, args...)
	}
	return process.Start(program, args, []string{"EDGE_CONFIG=" + r.file(i, "json"), "TMPDIR=" + r.file(i, "tmp"), "GOMAXPROCS=1", "EDGE_ADMIN=" + adminAddress}, r.Log(i))
}

// Replace starts a second process beside the one that serves, waits until it is ready and stops the first with SIGTERM. The
// address of the admin endpoint changes.
func (r *Rig) Replace(i int) error {
	r.mu.Lock()
	old := r.processes[i]
	adminAddress := netip.MustParseAddrPort(r.adminAddresses[i])
	r.adminAddresses[i] = netip.AddrPortFrom(adminAddress.Addr(), adminAddress.Port()+1).String()
	p, err := r.process(i, r.adminAddresses[i])
	if err == nil {
		r.processes[i] = p
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	defer old.End()
	for deadline := time.Now().Add(6 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err = r.Call(i, "GET", "/ops/readiness"); err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the next process of router %d is not ready: %w; see %s", i, err, r.Log(i))
		}
	}
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old.Done():
		return old.Err()
	case <-time.After(10 * time.Second):
		return fmt.Errorf("the first process of router %d had not ended 10 s after SIGTERM; see %s", i, r.Log(i))
	}
}

func (r *Rig) file(i int, what string) string {
	return filepath.Join(r.o.Dir, fmt.Sprintf("p%d.%s", i, what))
}

// Configure writes the configuration files of a router.
func (r *Rig) Configure(i int) error {
	settings := r.settings
	if d := r.deadlines[i]; d > 0 {
		settings.Methods = slices.Clone(settings.Methods)
		settings.Methods[0].Deadline = scenario.Span(d / time.Microsecond)
	}
	if r.o.Method != nil {
		settings.Methods = slices.Clone(settings.Methods)
		settings.Methods[0].Name = r.o.Method(i)
	}
	text, err := fleet.Config(settings, i, r.names[i], r.network.Routers()[i], r.network.Discovery()[i], fmt.Sprintf("%x", i+1), r.registryServer.FullList(event.Router(i)))
	if err == nil {
		err = os.WriteFile(r.file(i, "json"), text, 0o644)
	}
	if err != nil {
		return err
	}
	for _, dir := range []string{"tmp", "peers"} {
		if err := os.MkdirAll(r.file(i, dir), 0o700); err != nil {
			return err
		}
	}
	join := r.o.Join
	if join == nil {
		join = []int{0, 1}
	}
	var joinAddresses []string
	for _, j := range join {
		if j < r.o.Routers {
			joinAddresses = append(joinAddresses, r.network.GossipAdvertised()[j])
		}
	}
	list, err := json.Marshal(joinAddresses)
	if err != nil {
		return err
	}
	name := "rig"
	if r.o.Fleet != nil {
		name = r.o.Fleet(i)
	}
	own := fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\nadvertise = %q\njoin = %s\nprobe = %q\n", name, r.network.GossipListeners()[r.addressOf[i]],
		r.network.GossipAdvertised()[r.addressOf[i]], list, r.o.Probe)
	if r.o.ForgetAfter > 0 {
		own += fmt.Sprintf("forget = %q\n", r.o.ForgetAfter)
	}
	if r.o.KeepPeers {
		own += fmt.Sprintf("dir = %q\n", r.file(i, "peers"))
	}
	if r.o.Policy != "" {
		var keepers []string
		for k := range r.o.Keepers {
			keepers = append(keepers, fmt.Sprintf("%q", r.names[k]))
		}
		own += fmt.Sprintf("[policy]\ncut_off = %q\nkeepers = [%s]\n", r.o.Policy, strings.Join(keepers, ", "))
		if i < r.o.Keepers {
			own += fmt.Sprintf("listen = %q\nadvertise = %q\ndir = %q\n", port(r.network.GossipListeners()[i]), port(r.network.GossipAdvertised()[i]), r.file(i, "keeper"))
		}
	}
	return os.WriteFile(r.file(i, "toml"), []byte(own), 0o644)
}

func (r *Rig) ready(i int, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := r.View(i); err == nil {
			return nil
		}
		r.mu.Lock()
		p := r.processes[i]
		r.mu.Unlock()
		select {
		case <-p.Done():
			return fmt.Errorf("router %d ended at its start: %v; see %s", i, p.Err(), r.Log(i))
		default:
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("router %d did not answer within %v; see %s", i, timeout, r.Log(i))
		}
	}
}

// port returns the address of a keeper's log, which is on the port after the one of the view.
func port(view string) string {
	at := netip.MustParseAddrPort(view)
	return netip.AddrPortFrom(at.Addr(), at.Port()+1).String()
}

// UseAddressesOf makes a router use the addresses of another for its view, from its next start on.
func (r *Rig) UseAddressesOf(i, of int) { r.addressOf[i] = of }

// SetDeadline changes the deadline of the method in the settings of a router, from its next start on.
func (r *Rig) SetDeadline(i int, d time.Duration) { r.deadlines[i] = d }

// LimitFileSize limits the files of a router to a number of blocks, from its next start on. Writes beyond it fail as on a full
// disk.
func (r *Rig) LimitFileSize(i, blocks int) { r.maxFileBlocks[i] = blocks }

// SetName changes the name of a router, from its next start on.
func (r *Rig) SetName(i int, name string) { r.names[i] = name }

// Kill kills routers without notice, as a loss of power would.
func (r *Rig) Kill(note string, routers ...int) {
	for _, i := range routers {
		if p := r.running(i); p != nil {
			p.End()
			r.recordExit(note, i)
		}
	}
}

// Stop stops routers with SIGTERM and waits until they have exited. It kills a router that has not exited after 10 s.
func (r *Rig) Stop(note string, routers ...int) error {
	var wg sync.WaitGroup
	errs := make([]error, len(routers))
	for n, i := range routers {
		p := r.running(i)
		if p == nil {
			continue
		}
		r.recordChange(note, viewref.Leave, i, 0)
		wg.Go(func() {
			if errs[n] = p.Signal(syscall.SIGTERM); errs[n] != nil {
				return
			}
			select {
			case <-p.Done():
				errs[n] = p.Err()
			case <-time.After(10 * time.Second):
				p.End()
				errs[n] = fmt.Errorf("router %d had not ended 10 s after SIGTERM; see %s", i, r.Log(i))
			}
			r.recordExit(note, i)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) recordExit(note string, i int) {
	r.mu.Lock()
	r.processes[i] = nil
	r.mu.Unlock()
	r.recordChange(note, viewref.Down, i, 0)
}

func (r *Rig) running(i int) *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// Running reports whether a router's process runs and is not stalled.
func (r *Rig) Running(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i] != nil && !r.stopped[i]
}

// Stall suspends processes with SIGSTOP, or resumes them.
func (r *Rig) Stall(note string, on bool, routers ...int) error {
	kind, sig := viewref.Wake, syscall.SIGCONT
	if on {
		kind, sig = viewref.Stall, syscall.SIGSTOP
	}
	for _, i := range routers {
		p := r.running(i)
		if p == nil {
			continue
		}
		if err := p.Signal(sig); err != nil {
			return err
		}
		r.mu.Lock()
		r.stopped[i] = on
		r.mu.Unlock()
		r.recordChange(note, kind, i, 0)
	}
	return nil
}

// Cut cuts the links from one group to another, or heals them; in both directions if both is set.
func (r *Rig) Cut(note string, on bool, from, to []int, both, reset bool) {
	kind := viewref.Heal
	if on {
		kind = viewref.Cut
	}
	for _, f := range from {
		for _, t := range to {
			for _, way := range [][2]int{{f, t}, {t, f}} {
				if f == t || way[0] != f && !both {
					continue
				}
				rule := r.Links.Rule(way[0], way[1])
				if rule.Cut == on {
					continue
				}
				rule.Cut, rule.Reset = on, reset
				r.Links.SetRule(way[0], way[1], rule)
				r.recordChange(note, kind, way[0], way[1])
			}
		}
	}
}

// View returns the view that a router shows at its admin endpoint.
func (r *Rig) View(i int) (w membership.Snapshot, err error) {
	a, err := r.http.Get("http://" + r.AdminAddress(i) + "/ops/fleet")
	if err != nil {
		return w, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", a.Status, text)
	}
	if err == nil {
		err = json.Unmarshal(text, &w)
	}
	return w, err
}

// Call sends a request to the admin endpoint of a router and returns the answer.
func (r *Rig) Call(i int, method, path string) (string, error) {
	q, err := http.NewRequest(method, "http://"+r.AdminAddress(i)+path, nil)
	if err != nil {
		return "", err
	}
	a, err := r.http.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode/100 != 2 {
		err = fmt.Errorf("%s %s: %s: %s", method, path, a.Status, text)
	}
	return string(text), err
}

// AdminAddress returns the address of a router's admin endpoint.
func (r *Rig) AdminAddress(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adminAddresses[i]
}

// Usage returns the CPU time and resident memory of a router. ok is false if it is not running.
func (r *Rig) Usage(i int) (cpu time.Duration, rss int64, ok bool) {
	if p := r.running(i); p != nil {
		return p.Usage()
	}
	return 0, 0, false
}

func (r *Rig) poll(ctx context.Context, i int) {
	for t := time.NewTicker(r.o.PollInterval); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if !r.Running(i) || r.paused.Load() {
			continue
		}
		asked := r.Now()
		if w, err := r.View(i); err == nil {
			r.mu.Lock()
			// The sample is as of the request: changes made while the answer is on its way are not in it.
			r.samples = append(r.samples, viewref.Sample{At: asked, Router: i, View: w})
			r.mu.Unlock()
		}
	}
}

// PausePolling stops the sampling of views, or resumes it.
func (r *Rig) PausePolling(on bool) { r.paused.Store(on) }

// Record returns the record of the run so far.
func (r *Rig) Record() viewref.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := viewref.Record{End: r.Now(), Changes: append([]viewref.Change(nil), r.changes...),
		Samples: append([]viewref.Sample(nil), r.samples...)}
	for _, n := range r.names {
		rec.Names = append(rec.Names, membership.Name(n))
	}
	rec.Sort()
	return rec
}

// Settle waits until all running routers are settled and show the same view. It returns an error after the timeout.
func (r *Rig) Settle(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		digests, problem := map[string]bool{}, ""
		running := 0
		for i := range r.o.Routers {
			if !r.Running(i) {
				continue
			}
			running++
			w, err := r.View(i)
			if err != nil || !w.Settled {
				problem = fmt.Sprintf("router %d: %v, at odds with %v", i, err, w.Disagreeing)
			}
			digests[w.Digest] = true
		}
		if problem == "" && len(digests) == 1 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d routers show %d views after %v; %s", running, len(digests), timeout, problem)
		}
	}
}
