package discovery

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// entry returns the JSON of an active server with additional fields.
func entry(uid, more string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","state":"active"%s}`, uid, more)
}

// responseBody returns the JSON of a response.
func responseBody(rev int, all bool, entries ...string) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

func ExampleEndpointList_Apply() {
	list := New()
	request := func() {
		path, wait := list.NextRequest(20 * clock.Second)
		fmt.Println("request", path, "for", wait)
	}
	apply := func(body []byte) {
		update, err := list.Apply(Call{}, body)
		fmt.Println("update of kind", update.Kind, "with", len(update.Endpoints), "entries:", err)
		for _, endpoint := range update.Endpoints {
			fmt.Printf("  %+v at %q\n", endpoint, list.Address(endpoint.Server))
		}
	}
	request()
	apply(responseBody(40, false, entry("s-1", "")))
	apply(responseBody(41, true, entry("s-2", `,"boot_ms":1500,"pod_group":3,"capacity_hint":2`), entry("s-1", "")))
	request()
	apply(responseBody(42, false, `{"uid":"s-1","state":"left"}`))
	request()
	apply([]byte(`{"rev":43,"all":true}`))
	apply([]byte(`{"all":true,"targets":[]}`))
	apply([]byte(`[`))
	apply(responseBody(43, true, `{"uid":"s-1","state":"asleep"}`))
	apply(responseBody(43, true, `{"state":"active"}`))
	apply(responseBody(43, true, entry("s-1", `,"boot_ms":-5`)))
	request()
	list.Invalidate()
	request()
	// Output:
	// request /registry/instances for 0
	// update of kind 1 with 0 entries: response has changes only, but the full list was requested
	// update of kind 0 with 2 entries: <nil>
	//   {Server:412855716 Zone:a Kind:m Cell:0 State:0 Weight:0 StartedAt:0} at "127.0.0.1:1"
	//   {Server:463188573 Zone:a Kind:m Cell:3 State:0 Weight:2 StartedAt:1500000} at "127.0.0.1:1"
	// request /registry/instances?index=41&wait=20000 for 20000000
	// update of kind 1 with 1 entries: <nil>
	//   {Server:412855716 Zone: Kind: Cell:0 State:2 Weight:0 StartedAt:0} at ""
	// request /registry/instances?index=42&wait=20000 for 20000000
	// update of kind 1 with 0 entries: targets is missing
	// update of kind 1 with 0 entries: rev is missing
	// update of kind 1 with 0 entries: unexpected end of JSON input
	// update of kind 0 with 1 entries: <nil>
	//   {Server:412855716 Zone: Kind: Cell:0 State:1 Weight:0 StartedAt:0} at ""
	// update of kind 0 with 0 entries: <nil>
	// update of kind 0 with 1 entries: <nil>
	//   {Server:412855716 Zone:a Kind:m Cell:0 State:0 Weight:0 StartedAt:0} at "127.0.0.1:1"
	// request /registry/instances?index=43&wait=20000 for 20000000
	// request /registry/instances for 0
}

// TestEndpointList_NumbersAreTheSameInEveryRouter guards against numbers that depend on the order of a response. Two of the names
// have the same hash.
func TestEndpointList_NumbersAreTheSameInEveryRouter(t *testing.T) {
	const one, other = "costarring", "liquid" // have the same 32-bit FNV-1a hash
	ids := func(body []byte) map[UID]routing.ServerID {
		list := New()
		if _, err := list.Apply(Call{}, body); err != nil {
			t.Fatal(err)
		}
		return list.ids
	}
	first := ids(responseBody(1, true, entry(one, ""), entry("x", ""), entry(other, "")))
	second := ids(responseBody(9, true, entry(other, ""), entry(one, ""), entry("x", "")))
	if first[one] == first[other] {
		t.Errorf("%s and %s: got the number %d for both", one, other, first[one])
	}
	for uid, id := range first {
		if second[uid] != id {
			t.Errorf("%s: got %d in one router and %d in the other", uid, id, second[uid])
		}
	}
}

// TestEndpointList_PrunesRemovedServers guards against maps that grow while servers are replaced by others with new names.
func TestEndpointList_PrunesRemovedServers(t *testing.T) {
	list := New()
	for i := range 100 {
		gone := fmt.Sprintf(`{"uid":"s-%d","state":"left"}`, i-1)
		if _, err := list.Apply(Call{}, responseBody(i, i%10 == 0, entry(fmt.Sprint("s-", i), ""), gone)); err != nil {
			t.Fatal(err)
		}
	}
	if len(list.ids) != 1 || len(list.uids) != 1 || len(list.entries) != 1 {
		t.Errorf("got %d ids, %d names and %d entries, want one each", len(list.ids), len(list.uids), len(list.entries))
	}
}
