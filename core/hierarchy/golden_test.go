package hierarchy

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"

	"spurtrestle/core/clock"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden file from this build")

// The datagrams of a small fleet over twelve seconds and the status of each router at the end, byte for byte as the build before
// the renaming wrote them: the first datagrams of each kind in full, and a digest over all in the order in which they were sent.
func TestGolden_DatagramsAndStatus(t *testing.T) {
	const path = "testdata/datagrams.golden"
	got := goldenRun(t)
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the datagrams or the statuses differ from %s:\ngot  %s\nwant %s", path, got, want)
	}
}

type goldenRouter struct {
	hierarchy *Hierarchy
	address   netip.AddrPort
	site      int
}

// goldenRun plays a fleet of two regions with two sites of two routers each over a network that loses every seventh datagram.
func goldenRun(t *testing.T) []byte {
	t.Helper()
	var routers []*goldenRouter
	sites := [][]Member{}
	for site := range 4 {
		sites = append(sites, nil)
		for index := range 2 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(site), byte(index + 1)}), 7946)
			router := &goldenRouter{address: address, site: site}
			router.hierarchy = New(0, DefaultParameters(), Config{Fleet: "harvest", Region: fmt.Sprintf("region%d", site%2), Site: fmt.Sprintf("site%d", site),
				Name: fmt.Sprintf("site%d-%d", site, index), Addr: address, WallClockSeconds: 1_800_000_000, RandomSeed: uint64(10*site + index),
				SeedAddrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7946"), netip.MustParseAddrPort("10.0.1.1:7946")}})
			sites[site] = append(sites[site], Member{Name: fmt.Sprintf("site%d-%d", site, index), Addr: address, StartedAt: int64(index)})
			routers = append(routers, router)
		}
	}
	var golden bytes.Buffer
	all := sha256.New()
	shown, sent := map[byte]int{}, 0
	now := clock.Time(0)
	for step := range 60 {
		now = 200_000 * clock.Time(step+1)
		var flights []Datagram
		for _, router := range routers {
			local := LocalSite{Members: append([]Member(nil), sites[router.site]...), Counts: Counts{Alive: 2, Accepting: 1, Total: 3}, Digest: 77 + uint64(router.site),
				MinRevision: 3, MaxRevision: 3 + uint64(step/20*(router.site%2))}
			flights = append(flights, router.hierarchy.Tick(now, local)...)
		}
		for _, datagram := range flights {
			kind := datagram.Body[0]
			if shown[kind]++; shown[kind] <= 3 {
				fmt.Fprintf(&golden, "step %d to %v kind %d: %x\n", step, datagram.To, kind, datagram.Body)
			}
			fmt.Fprintf(all, "step %d to %v: %x\n", step, datagram.To, datagram.Body)
			if sent++; sent%7 == 0 {
				continue
			}
			for _, router := range routers {
				if router.address == datagram.To {
					router.hierarchy.Receive(now, datagram.Body)
				}
			}
		}
	}
	fmt.Fprintf(&golden, "%d datagrams, by kind %v, digest %x\n", sent, shown, all.Sum(nil))
	for _, router := range routers {
		text, err := json.Marshal(router.hierarchy.Status(now))
		if err != nil {
			t.Fatal(err)
		}
		role := router.hierarchy.Role()
		fmt.Fprintf(&golden, "%s {Rank:%d Site:%v Region:%v} %v\n", text, role.Rank, role.RepresentsSite, role.RepresentsRegion, router.hierarchy.KnownRepresentatives())
	}
	return golden.Bytes()
}
