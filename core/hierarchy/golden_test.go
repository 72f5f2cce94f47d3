package hierarchy

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/internal/goldentest"
)

// The datagrams of a small fleet over twelve seconds and the final status of each router are byte for byte those of the golden
// file, which an earlier build wrote: routers of different builds exchange datagrams. The file has the first datagrams of each
// kind in full, and a digest over all in the order of sending.
func TestGolden_DatagramsAndStatus(t *testing.T) {
	goldentest.CompareFile(t, "testdata/datagrams.golden", goldenRun(t))
}

type goldenRouter struct {
	hierarchy *Hierarchy
	address   netip.AddrPort
	site      int
}

// goldenFleet is a fleet of two regions with two sites of two routers each.
type goldenFleet struct {
	routers []goldenRouter
	sites   [][]Member
}

func newGoldenFleet() (fleet goldenFleet) {
	const sites, regions, routersPerSite, port = 4, 2, 2, 7946
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7946"), netip.MustParseAddrPort("10.0.1.1:7946")}
	for site := range sites {
		var members []Member
		for index := range routersPerSite {
			ip := netip.AddrFrom4([4]byte{10, 0, byte(site), byte(index + 1)})
			config := Config{
				Fleet:            "harvest",
				Region:           fmt.Sprintf("region%d", site%regions),
				Site:             fmt.Sprintf("site%d", site),
				Name:             fmt.Sprintf("site%d-%d", site, index),
				Addr:             netip.AddrPortFrom(ip, port),
				SeedAddrs:        seeds,
				WallClockSeconds: 1_800_000_000,
				RandomSeed:       uint64(10*site + index),
			}
			members = append(members, Member{Name: config.Name, Addr: config.Addr, StartedAt: int64(index)})
			fleet.routers = append(fleet.routers, goldenRouter{hierarchy: New(0, DefaultParameters(), config), address: config.Addr, site: site})
		}
		fleet.sites = append(fleet.sites, members)
	}
	return fleet
}

// tick returns the datagrams of all routers. The policy revision of every second site rises every twenty ticks.
func (f goldenFleet) tick(now clock.Time, tick int) (datagrams []Datagram) {
	for _, router := range f.routers {
		localSite := LocalSite{
			Members:     slices.Clone(f.sites[router.site]),
			Counts:      Counts{Alive: 2, Accepting: 1, Total: 3},
			Digest:      77 + uint64(router.site),
			MinRevision: 3,
			MaxRevision: 3 + uint64(tick/20*(router.site%2)),
		}
		datagrams = append(datagrams, router.hierarchy.Tick(now, localSite)...)
	}
	return datagrams
}

func (f goldenFleet) deliver(now clock.Time, datagram Datagram) {
	for _, router := range f.routers {
		if router.address == datagram.To {
			router.hierarchy.Receive(now, datagram.Body)
		}
	}
}

// goldenRun runs the fleet over a network that loses every seventh datagram.
func goldenRun(t *testing.T) []byte {
	t.Helper()
	const ticks, shownPerKind, lossInterval = 60, 3, 7
	fleet := newGoldenFleet()
	var golden bytes.Buffer
	digest := sha256.New()
	shown, sent := map[byte]int{}, 0
	now := clock.Time(0)
	for tick := range ticks {
		now += stepInterval
		for _, datagram := range fleet.tick(now, tick) {
			kind := datagram.Body[0]
			shown[kind]++
			if shown[kind] <= shownPerKind {
				fmt.Fprintf(&golden, "step %d to %v kind %d: %x\n", tick, datagram.To, kind, datagram.Body)
			}
			fmt.Fprintf(digest, "step %d to %v: %x\n", tick, datagram.To, datagram.Body)
			sent++
			if sent%lossInterval != 0 {
				fleet.deliver(now, datagram)
			}
		}
	}
	fmt.Fprintf(&golden, "%d datagrams, by kind %v, digest %x\n", sent, shown, digest.Sum(nil))
	for _, router := range fleet.routers {
		status, err := json.Marshal(router.hierarchy.Status(now))
		if err != nil {
			t.Fatal(err)
		}
		role := router.hierarchy.Role()
		fmt.Fprintf(&golden, "%s {Rank:%d Site:%v Region:%v} %v\n", status, role.Rank, role.RepresentsSite, role.RepresentsRegion,
			router.hierarchy.KnownRepresentatives())
	}
	return golden.Bytes()
}
