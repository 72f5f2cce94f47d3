package discovery

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/core/routing"
)

func entry(uid, more string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","state":"active"%s}`, uid, more)
}

func list(rev int, all bool, entries ...string) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

func ExampleEndpointList_Apply() {
	b := New()
	call := func() {
		path, most := b.NextRequest(20e6)
		fmt.Println("call", path, "for", most)
	}
	take := func(body []byte) {
		l, err := b.Apply(body)
		fmt.Println("list of kind", l.Kind, "with", len(l.Endpoints), "entries:", err)
		for _, e := range l.Endpoints {
			fmt.Printf("  %+v at %q\n", e, b.Address(e.Server))
		}
	}
	call()
	take(list(40, false, entry("s-1", "")))
	take(list(41, true, entry("s-2", `,"boot_ms":1500,"pod_group":3,"capacity_hint":2`), entry("s-1", "")))
	call()
	take(list(42, false, `{"uid":"s-1","state":"left"}`))
	call()
	take([]byte(`{"rev":43,"all":true}`))
	take([]byte(`{"all":true,"targets":[]}`))
	take([]byte(`[`))
	take(list(43, true, `{"uid":"s-1","state":"asleep"}`))
	take(list(43, true, `{"state":"active"}`))
	take(list(43, true, entry("s-1", `,"boot_ms":-5`)))
	call()
	b.Invalidate()
	call()
	// Output:
	// call /registry/instances for 0
	// list of kind 1 with 0 entries: changes came where the whole list was asked for
	// list of kind 0 with 2 entries: <nil>
	//   {Server:412855716 Zone:a Kind:m Cell:0 State:0 Weight:0 StartedAt:0} at "127.0.0.1:1"
	//   {Server:463188573 Zone:a Kind:m Cell:3 State:0 Weight:2 StartedAt:1500000} at "127.0.0.1:1"
	// call /registry/instances?index=41&wait=20000 for 20000000
	// list of kind 1 with 1 entries: <nil>
	//   {Server:412855716 Zone: Kind: Cell:0 State:2 Weight:0 StartedAt:0} at ""
	// call /registry/instances?index=42&wait=20000 for 20000000
	// list of kind 1 with 0 entries: targets is missing
	// list of kind 1 with 0 entries: rev is missing
	// list of kind 1 with 0 entries: unexpected end of JSON input
	// list of kind 0 with 1 entries: <nil>
	//   {Server:412855716 Zone: Kind: Cell:0 State:1 Weight:0 StartedAt:0} at ""
	// list of kind 0 with 0 entries: <nil>
	// list of kind 0 with 1 entries: <nil>
	//   {Server:412855716 Zone:a Kind:m Cell:0 State:0 Weight:0 StartedAt:0} at "127.0.0.1:1"
	// call /registry/instances?index=43&wait=20000 for 20000000
	// call /registry/instances for 0
}

// The numbers are the same at every router, whatever it heard of first; two names with one hash get two numbers.
func TestNumbersOfServers(t *testing.T) {
	const one, other = "costarring", "liquid" // one FNV-1a hash of 32 bits
	ids := func(lists ...[]byte) map[UID]routing.ServerID {
		b := New()
		for _, l := range lists {
			if _, err := b.Apply(l); err != nil {
				t.Fatal(err)
			}
		}
		return b.ids
	}
	first := ids(list(1, true, entry(one, ""), entry("x", ""), entry(other, "")))
	second := ids(list(9, true, entry(other, ""), entry(one, ""), entry("x", "")))
	if first[one] == first[other] {
		t.Error("two servers share the number", first[one])
	}
	for uid, id := range first {
		if second[uid] != id {
			t.Errorf("%s is %d and %d", uid, id, second[uid])
		}
	}
}

// Caches are replaced by new ones under new names all day: who is gone is forgotten.
func TestWhoIsGoneIsForgotten(t *testing.T) {
	b := New()
	for i := range 100 {
		gone := fmt.Sprintf(`{"uid":"s-%d","state":"left"}`, i-1)
		if _, err := b.Apply(list(i, i%10 == 0, entry(fmt.Sprint("s-", i), ""), gone)); err != nil {
			t.Fatal(err)
		}
	}
	if len(b.ids) != 1 || len(b.uids) != 1 || len(b.addrs) != 1 {
		t.Errorf("of one server %d, %d and %d are kept", len(b.ids), len(b.uids), len(b.addrs))
	}
}
