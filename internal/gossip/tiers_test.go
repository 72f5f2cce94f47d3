package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"os"
	"sync/atomic"

	"spurtrestle/core/hierarchy"
	"spurtrestle/core/membership"
	"spurtrestle/internal/fleet"
)

// idle is a router that takes clients and has none.
type idle struct{}

func (idle) FleetStatus() (takes, draining, empty bool)         { return true, false, false }
func (idle) SetShare(now float64, _ time.Time, _ float64) error { return nil }
func (idle) SetOutOfService(string)                             {}

// addresses counts those that this process has given out.
var addresses atomic.Uint32

// address is one of this machine that no other test uses: a loopback address of its own. A free port of 127.0.0.1 may be
// taken by a connection before a router listens on it.
func address(t *testing.T) netip.AddrPort {
	t.Helper()
	const port = 7946
	n := addresses.Add(1)
	if n > 250 {
		t.Fatal("no more addresses")
	}
	at := netip.AddrFrom4([4]byte{127, 66, byte(1 + os.Getpid()%250), byte(n)})
	return netip.AddrPortFrom(at, port)
}

// fleet is a fleet of real places on loopback.
type testFleet struct {
	t       *testing.T
	routers []*Node
	configs []fleet.Config
}

const perSite = 3

// siteConfigs are those of one fleet's routers: four sites in two regions.
func siteConfigs(t *testing.T) (all []fleet.Config) {
	for i, site := range []string{"hill", "coast", "valley", "plain"} {
		for r := range perSite {
			at := address(t)
			c := fleet.Config{Fleet: "harvest", Name: fmt.Sprintf("%s-%d", site, r), Site: site, Tiered: true, Region: []string{"north", "south"}[i/2],
				Listen: at, Advertise: at, ProbeInterval: 100 * time.Millisecond, FleetSize: 4 * perSite, Slot: len(all), Build: "test",
				ConfigError: func(field, what, remedy string) error { return fmt.Errorf("%s: %s; %s", field, what, remedy) }}
			for _, mate := range all[i*perSite:] {
				c.Join = append(c.Join, mate.Advertise.String())
			}
			if i > 0 {
				c.Remote = []string{all[0].Advertise.String()}
			}
			all = append(all, c)
		}
	}
	return all
}

func open(t *testing.T, configs []fleet.Config) *testFleet {
	f := &testFleet{t: t}
	for _, c := range configs {
		f.open(c)
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, p := range f.routers {
			wg.Go(func() { p.Close(false) })
		}
		wg.Wait()
	})
	return f
}

func (f *testFleet) open(c fleet.Config) *Node {
	f.t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	p, err := Open(c, idle{}, quiet)
	if err != nil {
		f.t.Fatal(err)
	}
	f.routers = append(f.routers, p.(*Node))
	f.configs = append(f.configs, c)
	return p.(*Node)
}

// until waits for all routers to be as they should.
func (f *testFleet) until(what string, ok func(*Node) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		missing := slices.IndexFunc(f.routers, func(p *Node) bool { return !ok(p) })
		switch {
		case missing < 0:
			return time.Since(began)
		case time.Since(began) > time.Minute:
			text, _ := f.routers[missing].Whole()
			f.t.Fatalf("after a minute not %s at %s: %s", what, f.configs[missing].Name, text)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func status(p *Node) hierarchy.Status {
	s, _ := p.HierarchyStatus()
	return s
}

func alive(groups []hierarchy.GroupStatus, name string) uint32 {
	for _, g := range groups {
		if g.Name == name {
			return g.Alive
		}
	}
	return 0
}

func agree(f *testFleet) func(*Node) bool {
	return func(p *Node) bool {
		_, regions := p.HierarchyDigests()
		_, want := f.routers[0].HierarchyDigests()
		return p.Settled() && regions == want && alive(status(p).Regions, "north") == 2*perSite && alive(status(p).Regions, "south") == 2*perSite
	}
}

// Four sites of two regions find one another by their summaries alone; a change is known everywhere; a representative that
// dies is replaced.
func TestSitesKnowOneAnotherBySummaries(t *testing.T) {
	f := open(t, siteConfigs(t))
	t.Logf("settled after %v", f.until("settled", agree(f)))

	for i, p := range f.routers {
		if n := len(p.Members()); n != perSite {
			t.Errorf("%s has %d members in its pool, want those of its site", f.configs[i].Name, n)
		}
	}

	f.routers[0].SetPolicyRevision(7)
	t.Logf("revision known after %v", f.until("told of revision 7", func(p *Node) bool { return p.NewestRevision() == 7 }))

	last := f.routers[len(f.routers)-1]
	f.routers = f.routers[:len(f.routers)-1]
	last.Close(false)
	t.Logf("a leave known after %v", f.until("told that a router of plain left", func(p *Node) bool {
		return alive(status(p).Regions, "south") == 2*perSite-1
	}))

	var first *Node
	for i, c := range f.configs {
		if c.Name == "hill-0" {
			first = f.routers[i]
			f.routers = slices.Delete(f.routers, i, i+1)
			break
		}
	}
	if !first.HierarchyRole().RepresentsSite {
		t.Error("the first router of hill does not represent it")
	}
	first.Kill()
	t.Logf("a death known after %v", f.until("told that a router of hill died", func(p *Node) bool {
		return alive(status(p).Regions, "north") == 2*perSite-1
	}))
}

// A site that ends and begins again with nothing to begin with but its folders finds the other sites.
func TestSiteFindsTheFleetByItsFolders(t *testing.T) {
	configs := siteConfigs(t)[:2*perSite]
	for i := range configs {
		configs[i].Dir = t.TempDir()
	}
	f := open(t, configs)
	both := func(p *Node) bool { return p.Settled() && alive(status(p).Regions, "north") == 2*perSite }
	f.until("settled", both)
	for _, p := range f.routers[perSite:] {
		p.Close(false)
	}
	f.routers, f.configs = f.routers[:perSite], f.configs[:perSite]
	for _, c := range configs[perSite:] {
		c.Join, c.Remote = nil, nil
		f.open(c)
	}
	t.Logf("found after %v", f.until("one again", both))
}

// A flat router and a tiered one of the same fleet refuse each other, whichever calls.
func TestFlatAndTieredRefuseEachOther(t *testing.T) {
	configs := siteConfigs(t)
	tiered := configs[0]
	flat := configs[1]
	flat.Tiered, flat.Region, flat.Remote = false, "", nil
	flat.Join = []string{tiered.Advertise.String()}
	second := configs[2]
	second.Join = []string{flat.Advertise.String(), tiered.Advertise.String()}
	f := open(t, []fleet.Config{tiered, flat, second})

	refused := func(p *Node) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for why := range p.refused {
			if strings.Contains(why, "fleet.tiered") {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(30 * time.Second); !refused(f.routers[1]) || len(f.routers[0].Members()) != 2 || !f.routers[0].Settled(); {
		if time.Now().After(end) {
			t.Fatalf("refused: %v; members of the tiered one: %v", refused(f.routers[1]), f.routers[0].Members())
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(f.routers[1].Members()); n != 1 {
		t.Errorf("the flat router has %d members, want itself alone", n)
	}
}

// What a flat router says of itself and shows is what it was before there were tiers.
func TestFlatRouterSaysNothingOfTiers(t *testing.T) {
	c := siteConfigs(t)[0]
	c.Tiered, c.Region, c.Remote = false, "", nil
	f := open(t, []fleet.Config{c})
	p := f.routers[0]
	want := fmt.Sprintf(`{"f":"harvest","n":"hill-0","s":"hill","p":%d,"i":0,"t":%d,"b":"test"}`, p.me.Incarnation, p.me.StartedAt)
	if got := string(p.NodeMeta(512)); got != want {
		t.Errorf("meta is %s, want %s", got, want)
	}
	text, err := p.Whole()
	if err != nil {
		t.Fatal(err)
	}
	var shown map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &shown); err != nil || len(shown) != 9 {
		t.Errorf("it shows %s, %v", text, err)
	}
	if _, err := p.HierarchyStatus(); err == nil {
		t.Error("a flat router has tiers")
	}
}

// A tiered fleet needs a region and addresses that can be read.
func TestTieredNeedsItsFields(t *testing.T) {
	for want, change := range map[string]func(*fleet.Config){
		"fleet.region": func(c *fleet.Config) { c.Region = "" },
		"fleet.remote": func(c *fleet.Config) { c.Remote = []string{"there"} },
	} {
		c := siteConfigs(t)[0]
		change(&c)
		if _, err := Open(c, idle{}, logrus.New()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want one of %s", err, want)
		}
	}
}

// A packed heartbeat is read as it was; a part of one is refused.
func TestHeartbeatsPacked(t *testing.T) {
	for _, w := range []membership.Heartbeat{
		{Incarnation: 1, Seq: 1},
		{Incarnation: 1 << 63, Seq: 1 << 40, Accepting: true, Draining: true, HandingOver: true, Yielded: true, Left: true, Duplicate: 7, PolicyRevision: 1 << 50, ViewDigest: 1 << 63},
		{Incarnation: 9, Seq: 3, Leader: true, VoterID: 5, VoterAddr: "10.0.0.1:7947", Voter: true, LastIndex: 77},
	} {
		b := packWord(nil, w)
		got, rest, err := unpackWord(append(b, 'x'))
		if err != nil || got != w || string(rest) != "x" {
			t.Errorf("%+v became %+v, %q, %v", w, got, rest, err)
		}
		for n := range b {
			if _, _, err := unpackWord(b[:n]); err == nil {
				t.Errorf("%d bytes of %d are taken", n, len(b))
			}
		}
	}
}

func FuzzUnpackWords(f *testing.F) {
	f.Add(packWords([]membership.Heartbeat{{Incarnation: 1, Seq: 1}, {Incarnation: 9, Seq: 3, VoterID: 5, VoterAddr: "10.0.0.1:7947", Duplicate: 4}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		words, err := unpackWords(b)
		if err != nil {
			return
		}
		again, err := unpackWords(packWords(words))
		if err != nil || !slices.Equal(words, again) {
			t.Errorf("%+v became %+v, %v", words, again, err)
		}
	})
}
