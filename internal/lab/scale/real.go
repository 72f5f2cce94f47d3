package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/lab/event"
	labfleet "spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/process"
	"spurtrestle/internal/lab/registry"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/scale/result"
)

const (
	realReady   = 10 * time.Second // timeout for a started process to answer at its admin endpoint
	realPoll    = 20 * time.Millisecond
	realTimeout = 2 * time.Second // of one HTTP request
)

// realRouters are processes of the router program. Half of them are members of the fleet in place of hollow routers; the others
// run with their fleet switched off, so that the difference is the cost of membership for a process.
type realRouters struct {
	network  labfleet.Network
	registry *registry.Registry
	settings scenario.Scenario
	client   http.Client
	dir      string // of configurations and logs
	members  []realRouter
	alone    []realRouter
}

// realRouter is one process of the router program.
type realRouter struct {
	index   int // of the router in the fleet that it replaces, or stands beside
	admin   string
	process *process.Process
	log     string
}

// realSample is the usage and traffic of one process so far.
type realSample struct {
	traffic fleet.TrafficCounts // zero if its fleet is switched off
	cpu     time.Duration
	memory  int64
}

// realIndexes returns the indexes of real routers, spread evenly over the fleet.
func realIndexes(real, routers int) (all []int) {
	for i := range real {
		all = append(all, (2*i+1)*routers/(2*real))
	}
	return all
}

// startReal starts two processes for each spec, one as a member and one with its fleet switched off, and waits until all answer.
func startReal(ctx context.Context, program string, routers int, specs []routerSpec) (r *realRouters, err error) {
	r = &realRouters{settings: scenario.Default(), client: http.Client{Timeout: realTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer func() {
		if err != nil {
			r.end()
			r = nil
		}
	}()
	if r.network, err = labfleet.NewNetwork(2 * len(specs)); err != nil {
		return r, err
	}
	if r.dir, err = os.MkdirTemp("", "scale-real"); err != nil {
		return r, err
	}
	r.settings.Routers.Count = routers
	r.settings.Methods = []scenario.Method{{Name: "read", Share: 1, Effect: "retryable", LatencyBudget: 200e3, Deadline: 700e3, Criticality: 1}}
	if r.registry, err = registry.Start(event.NewLog(), r.settings.Discovery, r.network.Discovery()); err != nil {
		return r, err
	}
	// A server that gets no requests: a router accepts no clients unless discovery lists a server.
	r.registry.Update(registry.Entry{UID: "s0", Zone: r.settings.Sites[0], Kind: "cache", State: "active",
		Addr: func(i event.Router) string { return r.network.Server(0)[i] }}, true)
	for i, spec := range specs {
		member, err := r.start(program, 2*i, spec, fleetSection(spec))
		if err != nil {
			return r, err
		}
		r.members = append(r.members, member)
		alone, err := r.start(program, 2*i+1, spec, "")
		if err != nil {
			return r, err
		}
		r.alone = append(r.alone, alone)
	}
	return r, r.waitReady(ctx)
}

// fleetSection returns the section of the operator's file that corresponds to the spec of a hollow router.
func fleetSection(spec routerSpec) string {
	at := address(spec.Network, spec.Index)
	var text strings.Builder
	fmt.Fprintf(&text, "[fleet]\nname = %q\nrouter = %q\nsite = %q\nlisten = %q\nadvertise = %q\nprobe = %q\njoin = %s\n",
		fleetName, routerName(spec), siteName(spec), at, at, spec.Probe, tomlStrings(addresses(spec.Network, spec.Join)))
	if spec.Topology == result.Tiered {
		fmt.Fprintf(&text, "tiered = true\nregion = %q\nremote = %s\n", regionName(spec), tomlStrings(addresses(spec.Network, spec.Remote)))
	}
	return text.String()
}

// tomlStrings formats a list of strings; for plain strings the JSON form is valid TOML.
func tomlStrings(all []string) string {
	if all == nil {
		all = []string{}
	}
	text, _ := json.Marshal(all) // encoding strings cannot fail
	return string(text)
}

// start writes the files of one process and starts it. slot is its index in the network of the real processes.
func (r *realRouters) start(program string, slot int, spec routerSpec, operator string) (realRouter, error) {
	name := func(what string) string { return filepath.Join(r.dir, fmt.Sprintf("p%d.%s", slot, what)) }
	started := realRouter{index: spec.Index, admin: r.network.AdminEndpoints()[slot], log: name("log")}
	settings := r.settings
	settings.Sites = []string{siteName(spec)}
	config, err := labfleet.Config(settings, spec.Index, routerName(spec), r.network.Routers()[slot], r.network.Discovery()[slot],
		fmt.Sprintf("%x", slot+1), r.registry.FullList(event.Router(slot)))
	if err != nil {
		return started, err
	}
	err = errors.Join(os.WriteFile(name("json"), config, 0o644), os.WriteFile(name("toml"), []byte(operator), 0o644), os.Mkdir(name("tmp"), 0o700))
	if err != nil {
		return started, err
	}
	started.process, err = process.Start(program, []string{"--file", name("toml")},
		[]string{"EDGE_CONFIG=" + name("json"), "EDGE_ADMIN=" + started.admin, "TMPDIR=" + name("tmp"), "GOMAXPROCS=1"}, started.log)
	return started, err
}

func (r *realRouters) all() []realRouter { return slices.Concat(r.members, r.alone) }

// waitReady waits until all processes answer at their admin endpoints.
func (r *realRouters) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(realReady)
	for _, router := range r.all() {
		for {
			_, err := r.stats(router)
			if err == nil {
				break
			}
			select {
			case <-router.process.Done():
				return router.failed(fmt.Errorf("ended at its start: %v", router.process.Err()))
			default:
			}
			if time.Now().After(deadline) {
				return router.failed(fmt.Errorf("did not answer within %v: %w", realReady, err))
			}
			if err := sleep(ctx, realPoll); err != nil {
				return err
			}
		}
	}
	return nil
}

// failed returns an error that includes the end of the log of the process, since the log file is removed.
func (router realRouter) failed(what error) error {
	const most = 500
	log, _ := os.ReadFile(router.log) // if it cannot be read, the error lacks it
	return fmt.Errorf("the real router %d %w; its log ends with %q", router.index, what, log[max(0, len(log)-most):])
}

// stats returns the statistics that a process shows at its admin endpoint.
func (r *realRouters) stats(router realRouter) (string, error) {
	answer, err := r.client.Get("http://" + router.admin + "/ops/stats")
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", answer.Status, text)
	}
	return string(text), err
}

// sample returns the usage and traffic of processes so far.
func (r *realRouters) sample(routers []realRouter) (all []realSample, err error) {
	for _, router := range routers {
		var s realSample
		text, err := r.stats(router)
		if err != nil {
			return nil, router.failed(err)
		}
		if s.traffic, err = fleet.ParseStatsd(text); err != nil {
			return nil, router.failed(err)
		}
		var running bool
		if s.cpu, s.memory, running = router.process.Usage(); !running {
			return nil, router.failed(errors.New("has ended"))
		}
		all = append(all, s)
	}
	return all, nil
}

// end kills all processes and removes their files.
func (r *realRouters) end() {
	for _, router := range r.all() {
		if router.process != nil {
			router.process.End()
		}
	}
	if r.registry != nil {
		r.registry.Close()
	}
	if r.network != (labfleet.Network{}) {
		r.network.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir) // it is in the temporary directory
	}
}

// samplesUsed returns the CPU time that processes used between two samples of each.
func samplesUsed(before, after []realSample) (used time.Duration) {
	for i := range after {
		used += after[i].cpu - before[i].cpu
	}
	return used
}

// realMean returns the mean usage of processes between two samples of each.
func realMean(before, after []realSample, span time.Duration) result.Usage {
	var sum routerRate
	var used result.Usage
	each := float64(len(after))
	used.CPU = samplesUsed(before, after).Seconds() / span.Seconds() / each
	for i := range after {
		sum = sum.plus(rateSince(before[i].traffic, after[i].traffic, span))
		used.Memory += float64(after[i].memory) / each
	}
	return sum.usage(each, used)
}
