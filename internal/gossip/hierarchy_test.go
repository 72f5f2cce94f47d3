package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/hierarchy"
	"spurtrestle/internal/fleet"
)

// idleRouter accepts clients and has none.
type idleRouter struct{}

func (idleRouter) FleetStatus() fleet.RouterStatus { return fleet.RouterStatus{Accepting: true} }
func (idleRouter) SetShare(fleet.Share) error      { return nil }
func (idleRouter) SetOutOfService(string)          {}

// addressesUsed counts the addresses that newAddress has returned.
var addressesUsed atomic.Uint32

// newAddress returns a loopback address that no other test uses. With a free port of 127.0.0.1 instead, an outgoing connection
// could take the port before a router listens on it.
func newAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	const (
		port         = 7946
		maxAddresses = 250
	)
	number := addressesUsed.Add(1)
	if number > maxAddresses {
		t.Fatalf("newAddress: more than %d addresses requested", maxAddresses)
	}
	addr := netip.AddrFrom4([4]byte{127, 66, byte(1 + os.Getpid()%250), byte(number)})
	return netip.AddrPortFrom(addr, port)
}

// testFleet is a fleet of nodes on loopback addresses.
type testFleet struct {
	t       *testing.T
	nodes   []*Node
	configs []fleet.Config
}

const routersPerSite = 3

// tieredConfigs returns the configurations of the routers of a tiered fleet with four sites in two regions.
func tieredConfigs(t *testing.T) []fleet.Config {
	t.Helper()
	var all []fleet.Config
	for i, site := range []string{"hill", "coast", "valley", "plain"} {
		for router := range routersPerSite {
			addr := newAddress(t)
			config := fleet.Config{
				Fleet:         "harvest",
				Name:          fmt.Sprintf("%s-%d", site, router),
				Site:          site,
				Tiered:        true,
				Region:        []string{"north", "south"}[i/2],
				Listen:        addr,
				Advertise:     addr,
				ProbeInterval: 100 * time.Millisecond,
				FleetSize:     4 * routersPerSite,
				Slot:          len(all),
				Build:         "test",
				ConfigError: func(field, problem, remedy string) error {
					return fmt.Errorf("%s: %s; %s", field, problem, remedy)
				},
			}
			for _, neighbor := range all[i*routersPerSite:] {
				config.Join = append(config.Join, neighbor.Advertise.String())
			}
			if i > 0 {
				config.Remote = []string{all[0].Advertise.String()}
			}
			all = append(all, config)
		}
	}
	return all
}

// openFleet opens a node for each configuration, and closes the remaining nodes at the end of the test.
func openFleet(t *testing.T, configs []fleet.Config) *testFleet {
	t.Helper()
	f := &testFleet{t: t}
	for _, config := range configs {
		f.open(config)
	}
	t.Cleanup(func() {
		var closing sync.WaitGroup
		for _, node := range f.nodes {
			closing.Go(func() { node.Close(false) })
		}
		closing.Wait()
	})
	return f
}

func (f *testFleet) open(config fleet.Config) {
	f.t.Helper()
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	node, err := Open(config, idleRouter{}, silent)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, node.(*Node))
	f.configs = append(f.configs, config)
}

// waitFor waits until a condition holds on all nodes, and returns how long that took.
func (f *testFleet) waitFor(what string, condition func(*Node) bool) time.Duration {
	f.t.Helper()
	const timeout = time.Minute
	startedAt := time.Now()
	for {
		missing := slices.IndexFunc(f.nodes, func(node *Node) bool { return !condition(node) })
		switch {
		case missing < 0:
			return time.Since(startedAt)
		case time.Since(startedAt) > timeout:
			text, _ := f.nodes[missing].StatusJSON()
			f.t.Fatalf("not %s after %v: %s has the view %s", what, timeout, f.configs[missing].Name, text)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func statusOf(node *Node) hierarchy.Status {
	status, _ := node.HierarchyStatus()
	return status
}

// aliveIn returns the number of alive routers of a group, or 0 if the group is unknown.
func aliveIn(groups []hierarchy.GroupStatus, name string) uint32 {
	for _, group := range groups {
		if group.Name == name {
			return group.Alive
		}
	}
	return 0
}

// isComplete reports whether a node is settled, agrees with the first node about the regions, and knows all of their routers.
func (f *testFleet) isComplete(node *Node) bool {
	_, regions := node.HierarchyDigests()
	_, want := f.nodes[0].HierarchyDigests()
	status := statusOf(node)
	return node.Settled() && regions == want &&
		aliveIn(status.Regions, "north") == 2*routersPerSite &&
		aliveIn(status.Regions, "south") == 2*routersPerSite
}

// Four sites in two regions learn about each other only by summaries. All routers learn of a new policy revision, of a router
// that leaves, and of the death of a representative, which another router replaces.
func TestNode_SitesLearnSummaries(t *testing.T) {
	f := openFleet(t, tieredConfigs(t))
	t.Logf("settled after %v", f.waitFor("settled", f.isComplete))

	for i, node := range f.nodes {
		if got := len(node.Members()); got != routersPerSite {
			t.Errorf("members in the pool of %s: got %d, want the %d of its site", f.configs[i].Name, got, routersPerSite)
		}
	}

	f.nodes[0].SetPolicyRevision(7)
	knowsRevision := func(node *Node) bool { return node.NewestRevision() == 7 }
	t.Logf("revision known after %v", f.waitFor("informed of revision 7", knowsRevision))

	last := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	last.Close(false)
	t.Logf("graceful shutdown known after %v", f.waitFor("informed that a router of plain has left", func(node *Node) bool {
		return aliveIn(statusOf(node).Regions, "south") == 2*routersPerSite-1
	}))

	var first *Node
	for i, config := range f.configs {
		if config.Name == "hill-0" {
			first = f.nodes[i]
			f.nodes = slices.Delete(f.nodes, i, i+1)
			break
		}
	}
	if !first.HierarchyRole().RepresentsSite {
		t.Error("the first router of hill does not represent it")
	}
	first.Kill()
	t.Logf("death known after %v", f.waitFor("informed that a router of hill died", func(node *Node) bool {
		return aliveIn(statusOf(node).Regions, "north") == 2*routersPerSite-1
	}))
}

// A site whose routers all restart without configured seeds rejoins the other sites by the addresses in the peers files.
func TestNode_SiteRejoinsByPeersFile(t *testing.T) {
	configs := tieredConfigs(t)[:2*routersPerSite]
	for i := range configs {
		configs[i].Dir = t.TempDir()
	}
	f := openFleet(t, configs)
	knowsBothSites := func(node *Node) bool {
		return node.Settled() && aliveIn(statusOf(node).Regions, "north") == 2*routersPerSite
	}
	f.waitFor("settled", knowsBothSites)
	for _, node := range f.nodes[routersPerSite:] {
		node.Close(false)
	}
	f.nodes = f.nodes[:routersPerSite]
	f.configs = f.configs[:routersPerSite]
	for _, config := range configs[routersPerSite:] {
		config.Join = nil
		config.Remote = nil
		f.open(config)
	}
	t.Logf("found after %v", f.waitFor("settled again", knowsBothSites))
}

// hasRejected reports whether a node has rejected a peer for a field of the operator's file.
func hasRejected(node *Node, field string) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	for reason := range node.rejections {
		if strings.Contains(reason, field) {
			return true
		}
	}
	return false
}

// A flat router and a tiered router of the same fleet reject each other, whichever of them contacts the other.
func TestNode_FlatAndTieredRejectEachOther(t *testing.T) {
	configs := tieredConfigs(t)
	tiered := configs[0]
	flat := configs[1]
	flat.Tiered = false
	flat.Region = ""
	flat.Remote = nil
	flat.Join = []string{tiered.Advertise.String()}
	second := configs[2]
	second.Join = []string{flat.Advertise.String(), tiered.Advertise.String()}
	f := openFleet(t, []fleet.Config{tiered, flat, second})

	tieredNode, flatNode := f.nodes[0], f.nodes[1]
	isDone := func() bool {
		return hasRejected(flatNode, "fleet.tiered") && len(tieredNode.Members()) == 2 && tieredNode.Settled()
	}
	for deadline := time.Now().Add(30 * time.Second); !isDone(); {
		if time.Now().After(deadline) {
			t.Fatalf("flat router rejected the tiered one: got %v, want true; members of the tiered router: got %v, want 2",
				hasRejected(flatNode, "fleet.tiered"), tieredNode.Members())
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := len(flatNode.Members()); got != 1 {
		t.Errorf("members of the flat router: got %d, want only itself", got)
	}
}

// The metadata and the view of a flat router contain no fields of the hierarchy.
func TestNode_FlatShowsNoHierarchy(t *testing.T) {
	const flatViewFields = 9
	config := tieredConfigs(t)[0]
	config.Tiered = false
	config.Region = ""
	config.Remote = nil
	node := openFleet(t, []fleet.Config{config}).nodes[0]
	want := fmt.Sprintf(`{"f":"harvest","n":"hill-0","s":"hill","p":%d,"i":0,"t":%d,"b":"test"}`, node.self.Incarnation, node.self.StartedAt)
	if got := string(delegate{node}.NodeMeta(512)); got != want {
		t.Errorf("metadata: got %s, want %s", got, want)
	}
	text, err := node.StatusJSON()
	if err != nil {
		t.Fatal(err)
	}
	var shown map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &shown); err != nil || len(shown) != flatViewFields {
		t.Errorf("fields of the view: got %d, %v, want %d; view %s", len(shown), err, flatViewFields, text)
	}
	if _, err := node.HierarchyStatus(); err == nil {
		t.Error("HierarchyStatus of a flat router: got no error")
	}
}

func TestOpen_RejectsIncompleteTieredConfig(t *testing.T) {
	for field, change := range map[string]func(*fleet.Config){
		"fleet.region": func(config *fleet.Config) { config.Region = "" },
		"fleet.remote": func(config *fleet.Config) { config.Remote = []string{"there"} },
	} {
		t.Run(field, func(t *testing.T) {
			config := tieredConfigs(t)[0]
			change(&config)
			if _, err := Open(config, idleRouter{}, logrus.New()); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("got %v, want an error about %s", err, field)
			}
		})
	}
}
