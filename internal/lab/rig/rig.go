// Package rig plays the routers of a fleet without load: many processes of the program, a network between them that can
// be cut, slowed and made to lose (package links), and a record of what each showed of the others and of what was done.
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

// Options are what a rig is.
type Options struct {
	Program string // of the router, with a fleet in it
	Dir     string // for files and logs; it must be there
	Routers int
	Sites   []string // router i is at the i-th, over and over
	Seed    uint64
	Probe   time.Duration
	Forget  time.Duration
	Poll    time.Duration // between two looks at each view; 0: none are taken
	Join    []int         // whom all join, from the beginning of Routers; nil: the first two
	Keep    bool          // each has a folder for the peers known
	Policy  string        // cut_off; empty: there is none. The keepers are the first routers
	Keepers int
	Servers int                     // cache servers of each site that discovery lists; 0: one in all
	Fleet   func(router int) string // the fleet's name; nil: one for all
	Method  func(router int) string // the service's; nil: one for all
}

// Rig is a running one. Close ends all that it started.
type Rig struct {
	Links *links.Rig
	o     Options
	net   fleet.Network
	reg   *registry.Registry
	start time.Time
	http  *http.Client
	set   scenario.Scenario

	mu        sync.Mutex
	at        []*process.Process // nil: not running
	names     []string
	deadlines map[int]time.Duration // of those whose settings are others
	files     map[int]int           // the most blocks of a file, of those that have a bound
	homes     []int                 // whose addresses a router uses; its own, but in trials
	truth     []viewref.Truth
	samples   []viewref.Sample
	stopped   []bool
	doors     []string

	paused atomic.Bool
	stop   context.CancelFunc
	polls  sync.WaitGroup
	closed bool
}

// New prepares a rig, with no router running.
func New(o Options) (*Rig, error) {
	r := &Rig{o: o, start: time.Now(), at: make([]*process.Process, o.Routers), stopped: make([]bool, o.Routers), deadlines: map[int]time.Duration{}, files: map[int]int{},
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if r.net, err = fleet.NewNetwork(o.Routers); err != nil {
		return nil, err
	}
	var at, front []netip.AddrPort
	for i := range o.Routers {
		at = append(at, netip.MustParseAddrPort(r.net.GossipListeners()[i]))
		front = append(front, netip.MustParseAddrPort(r.net.GossipAdvertised()[i]))
		r.names = append(r.names, fmt.Sprintf("r%d", i))
		r.homes = append(r.homes, i)
		r.doors = append(r.doors, r.net.AdminEndpoints()[i])
	}
	both := 1
	if o.Policy != "" {
		both = 2 // the keepers' log as well
	}
	if r.Links, err = links.New(at, front, o.Seed, both); err != nil {
		r.net.Close()
		return nil, err
	}
	r.set = scenario.Default()
	r.set.Sites, r.set.Routers.Count = o.Sites, o.Routers
	r.set.Methods = []scenario.Method{{Name: "read", Share: 1, Effect: "retryable", LatencyBudget: 200e3, Deadline: 700e3, Criticality: 1}}
	if r.reg, err = registry.Start(event.NewLog(), r.set.Discovery, r.net.Discovery()); err != nil {
		r.Links.Close()
		r.net.Close()
		return nil, err
	}
	for _, site := range o.Sites {
		r.List(site, o.Servers)
	}
	// A server that nobody asks: with none a router takes no clients.
	r.reg.Update(registry.Entry{UID: "s0", Zone: o.Sites[0], Kind: "cache", State: "active", Addr: func(i event.Router) string { return r.net.Server(0)[i] }}, true)
	if o.Poll > 0 {
		var ctx context.Context
		ctx, r.stop = context.WithCancel(context.Background())
		for i := range o.Routers {
			r.polls.Go(func() { r.poll(ctx, i) })
		}
	}
	return r, nil
}

// List has discovery list so many of a site's cache servers, and no others of it. Nobody asks them for anything, and none is
// there.
func (r *Rig) List(site string, n int) {
	for i := range r.o.Servers {
		state := "active"
		if i >= n {
			state = "left"
		}
		place := 1 + i + r.o.Servers*slices.Index(r.o.Sites, site)
		r.reg.Update(registry.Entry{UID: event.Server(fmt.Sprintf("%s-%d", site, i)), Zone: site, Kind: "cache", State: state,
			Addr: func(i event.Router) string { return r.net.Server(place)[i] }}, false)
	}
}

// Close ends every router and the network.
func (r *Rig) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.stop != nil {
		r.stop()
	}
	r.polls.Wait()
	for _, p := range r.at {
		if p != nil {
			p.End()
		}
	}
	r.Links.Close()
	r.reg.Close()
	r.net.Close()
}

// Now is the time since the rig's start.
func (r *Rig) Now() time.Duration { return time.Since(r.start) }

func (r *Rig) did(note string, kind viewref.Kind, who, to int) {
	r.mu.Lock()
	r.truth = append(r.truth, viewref.Truth{At: r.Now(), Kind: kind, Who: who, To: to, Note: note})
	r.mu.Unlock()
}

// Did notes something done to a router's word, such as a drain.
func (r *Rig) Did(who int, note string) { r.did(note, viewref.Word, who, 0) }

// Log is where a router's log goes.
func (r *Rig) Log(i int) string { return filepath.Join(r.o.Dir, fmt.Sprintf("p%d.log", i)) }

// Start starts a router and waits until its admin endpoint answers.
func (r *Rig) Start(note string, who ...int) error {
	for _, i := range who {
		if err := r.begin(i); err != nil {
			return err
		}
		r.did(note, viewref.Up, i, 0) // others may see it before it answers
	}
	for _, i := range who {
		if err := r.ready(i, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// begin starts a process.
func (r *Rig) begin(i int) error {
	if err := r.Configure(i); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := r.process(i, r.doors[i])
	r.at[i], r.stopped[i] = p, false
	return err
}

func (r *Rig) process(i int, door string) (*process.Process, error) {
	program, args := r.o.Program, []string{"--file", r.file(i, "toml"), "--log-format", "json"}
	if n := r.files[i]; n > 0 {
		program, args = "/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -f %d; exec "$0" "$@"`, n), program}, args...)
	}
	return process.Start(program, args, []string{"EDGE_CONFIG=" + r.file(i, "json"), "TMPDIR=" + r.file(i, "tmp"), "GOMAXPROCS=1", "EDGE_ADMIN=" + door}, r.Log(i))
}

// Replace starts a second process beside the one that serves, waits for its yes and ends the first in order. The admin endpoint is
// another then.
func (r *Rig) Replace(i int) error {
	r.mu.Lock()
	old := r.at[i]
	door := netip.MustParseAddrPort(r.doors[i])
	r.doors[i] = netip.AddrPortFrom(door.Addr(), door.Port()+1).String()
	p, err := r.process(i, r.doors[i])
	if err == nil {
		r.at[i] = p
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	defer old.End()
	for until := time.Now().Add(6 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err = r.Call(i, "GET", "/ops/readiness"); err == nil {
			break
		}
		if time.Now().After(until) {
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

// Configure writes a router's files.
func (r *Rig) Configure(i int) error {
	set := r.set
	if d := r.deadlines[i]; d > 0 {
		set.Methods = slices.Clone(set.Methods)
		set.Methods[0].Deadline = scenario.Span(d / time.Microsecond)
	}
	if r.o.Method != nil {
		set.Methods = slices.Clone(set.Methods)
		set.Methods[0].Name = r.o.Method(i)
	}
	text, err := fleet.Config(set, i, r.names[i], r.net.Routers()[i], r.net.Discovery()[i], fmt.Sprintf("%x", i+1), r.reg.FullList(event.Router(i)))
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
	var whom []string
	for _, j := range join {
		if j < r.o.Routers {
			whom = append(whom, r.net.GossipAdvertised()[j])
		}
	}
	list, err := json.Marshal(whom)
	if err != nil {
		return err
	}
	name := "rig"
	if r.o.Fleet != nil {
		name = r.o.Fleet(i)
	}
	own := fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\nadvertise = %q\njoin = %s\nprobe = %q\n", name, r.net.GossipListeners()[r.homes[i]],
		r.net.GossipAdvertised()[r.homes[i]], list, r.o.Probe)
	if r.o.Forget > 0 {
		own += fmt.Sprintf("forget = %q\n", r.o.Forget)
	}
	if r.o.Keep {
		own += fmt.Sprintf("dir = %q\n", r.file(i, "peers"))
	}
	if r.o.Policy != "" {
		var keepers []string
		for k := range r.o.Keepers {
			keepers = append(keepers, fmt.Sprintf("%q", r.names[k]))
		}
		own += fmt.Sprintf("[policy]\ncut_off = %q\nkeepers = [%s]\n", r.o.Policy, strings.Join(keepers, ", "))
		if i < r.o.Keepers {
			own += fmt.Sprintf("listen = %q\nadvertise = %q\ndir = %q\n", port(r.net.GossipListeners()[i]), port(r.net.GossipAdvertised()[i]), r.file(i, "keeper"))
		}
	}
	return os.WriteFile(r.file(i, "toml"), []byte(own), 0o644)
}

func (r *Rig) ready(i int, most time.Duration) error {
	for until := time.Now().Add(most); ; time.Sleep(10 * time.Millisecond) {
		if _, err := r.View(i); err == nil {
			return nil
		}
		r.mu.Lock()
		p := r.at[i]
		r.mu.Unlock()
		select {
		case <-p.Done():
			return fmt.Errorf("router %d ended at its start: %v; see %s", i, p.Err(), r.Log(i))
		default:
		}
		if time.Now().After(until) {
			return fmt.Errorf("router %d did not answer within %v; see %s", i, most, r.Log(i))
		}
	}
}

// port is the address of the keepers' log beside that of a view.
func port(view string) string {
	at := netip.MustParseAddrPort(view)
	return netip.AddrPortFrom(at.Addr(), at.Port()+1).String()
}

// Home has a router use the addresses of another for its view, from its next start on.
func (r *Rig) Home(i, of int) { r.homes[i] = of }

// Deadline gives a router's settings another deadline of the method, from its next start on.
func (r *Rig) Deadline(i int, d time.Duration) { r.deadlines[i] = d }

// Full gives a router files of so many blocks at most, from its next start on: what is written beyond fails as on a full disk.
func (r *Rig) Full(i, blocks int) { r.files[i] = blocks }

// Name gives a router another name, from its next start on.
func (r *Rig) Name(i int, name string) { r.names[i] = name }

// Kill ends routers as a loss of power would.
func (r *Rig) Kill(note string, who ...int) {
	for _, i := range who {
		if p := r.running(i); p != nil {
			p.End()
			r.down(note, i)
		}
	}
}

// Stop ends routers in order.
func (r *Rig) Stop(note string, who ...int) error {
	var wg sync.WaitGroup
	errs := make([]error, len(who))
	for n, i := range who {
		p := r.running(i)
		if p == nil {
			continue
		}
		r.did(note, viewref.Leave, i, 0)
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
			r.down(note, i)
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

func (r *Rig) down(note string, i int) {
	r.mu.Lock()
	r.at[i] = nil
	r.mu.Unlock()
	r.did(note, viewref.Down, i, 0)
}

func (r *Rig) running(i int) *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[i]
}

// Running tells whether a router's process is there and not stalled.
func (r *Rig) Running(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[i] != nil && !r.stopped[i]
}

// Stall stops processes, or has them go on.
func (r *Rig) Stall(note string, on bool, who ...int) error {
	kind, sig := viewref.Wake, syscall.SIGCONT
	if on {
		kind, sig = viewref.Stall, syscall.SIGSTOP
	}
	for _, i := range who {
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
		r.did(note, kind, i, 0)
	}
	return nil
}

// Cut cuts the ways from one group to another, or heals them; both directions where both is set.
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
				r.Links.Set(way[0], way[1], rule)
				r.did(note, kind, way[0], way[1])
			}
		}
	}
}

// View asks a router's door.
func (r *Rig) View(i int) (w membership.Snapshot, err error) {
	a, err := r.http.Get("http://" + r.Door(i) + "/ops/fleet")
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

// Call makes a call at a router's door.
func (r *Rig) Call(i int, method, path string) (string, error) {
	q, err := http.NewRequest(method, "http://"+r.Door(i)+path, nil)
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

// Door is the address of a router's door.
func (r *Rig) Door(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doors[i]
}

// Usage is what a router has used.
func (r *Rig) Usage(i int) (cpu time.Duration, rss int64, ok bool) {
	if p := r.running(i); p != nil {
		return p.Usage()
	}
	return 0, 0, false
}

func (r *Rig) poll(ctx context.Context, i int) {
	for t := time.NewTicker(r.o.Poll); ; {
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
			// As of when it was asked: what is done while the answer is on its way is not in it.
			r.samples = append(r.samples, viewref.Sample{At: asked, By: i, View: w})
			r.mu.Unlock()
		}
	}
}

// Pause takes no more looks, or does again.
func (r *Rig) Pause(on bool) { r.paused.Store(on) }

// Record is the run until now.
func (r *Rig) Record() viewref.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := viewref.Record{End: r.Now(), Truth: append([]viewref.Truth(nil), r.truth...),
		Samples: append([]viewref.Sample(nil), r.samples...)}
	for _, n := range r.names {
		rec.Names = append(rec.Names, membership.Name(n))
	}
	rec.Sort()
	return rec
}

// Settle waits until all that run show one settled view, for so long.
func (r *Rig) Settle(most time.Duration) error {
	for until := time.Now().Add(most); ; time.Sleep(50 * time.Millisecond) {
		digests, why := map[string]bool{}, ""
		running := 0
		for i := range r.o.Routers {
			if !r.Running(i) {
				continue
			}
			running++
			w, err := r.View(i)
			if err != nil || !w.Settled {
				why = fmt.Sprintf("router %d: %v, at odds with %v", i, err, w.Disagreeing)
			}
			digests[w.Digest] = true
		}
		if why == "" && len(digests) == 1 {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d routers show %d views after %v; %s", running, len(digests), most, why)
		}
	}
}
