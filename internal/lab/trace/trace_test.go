package trace

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/event"
)

var names = Names{"a day", []string{"north", "south"}, []string{"get", "put"}, []string{"t1"}}

func sample(n int) []arrivals.Arrival {
	var all []arrivals.Arrival
	for i := range n {
		all = append(all, arrivals.Arrival{At: event.Micros(i * i), Site: event.Site(i % 2), Method: event.Method(i % 2),
			Tenant: event.Tenant(i%2 - 1), Key: "k" + string(rune('a'+i%26)), Size: 32 + i, AbandonAfter: event.Micros(i % 3)})
	}
	return all
}

func encode(t testing.TB, all []arrivals.Arrival) []byte {
	var b bytes.Buffer
	if err := Write(&b, names, all); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, arrivalsPerBlock, 2*arrivalsPerBlock + 7} {
		all := sample(n)
		file := encode(t, all)
		gotNames, got, err := Read(bytes.NewReader(file))
		if err != nil || !reflect.DeepEqual(gotNames, names) || !reflect.DeepEqual(got, all) {
			t.Errorf("%d arrivals: %v, %d read", n, err, len(got))
		}
		if !bytes.Equal(file, encode(t, got)) {
			t.Errorf("%d arrivals: encoding them again gives another file", n)
		}
	}
}

// However a file is truncated or changed, the reader returns a prefix of the arrivals and reports the damage.
func TestDamagedFileYieldsAPrefix(t *testing.T) {
	all := sample(2*arrivalsPerBlock + 7)
	file := encode(t, all)
	rapid.Check(t, func(t *rapid.T) {
		broken := bytes.Clone(file)
		at := rapid.IntRange(0, len(file)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			broken = broken[:at]
		} else {
			broken[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		_, got, err := Read(bytes.NewReader(broken))
		if err == nil {
			t.Fatalf("damage at %d was not detected", at)
		}
		if len(got) > 0 && !reflect.DeepEqual(got, all[:len(got)]) {
			t.Fatalf("damage at %d: the arrivals are not a prefix", at)
		}
		var d DamageError
		if errors.As(err, &d) && (d.Offset > int64(at) || d.Arrivals != len(got)) {
			t.Fatalf("damage at %d was reported as %v, with %d arrivals", at, d, len(got))
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(encode(f, sample(3)))
	f.Fuzz(func(_ *testing.T, file []byte) { _, _, _ = Read(bytes.NewReader(file)) })
}
