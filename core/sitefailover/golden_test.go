package sitefailover

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden file from this build")

// Reports, orders, decisions and statuses of a day with losses, an operator's word and a change of leader, byte for byte as the
// build before the renaming wrote them: some of each in full, and a digest over all in the order in which they were made.
func TestGolden_JSON(t *testing.T) {
	const path = "testdata/json.golden"
	got := goldenDay(t)
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
		t.Errorf("the JSON differs from %s:\ngot  %s\nwant %s", path, got, want)
	}
}

func goldenDay(t *testing.T) []byte {
	t.Helper()
	d := newDay()
	d.plan.OriginReadRate = 180.5
	d.plan.Sites[0].Capacity = 330
	var golden bytes.Buffer
	all := sha256.New()
	write := func(full bool, name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(all, "%s %s\n", name, text)
		if full {
			fmt.Fprintf(&golden, "%s %s\n", name, text)
		}
	}
	step := 0
	d.check = func(orders Orders, order *Transition, rows []RouterState) {
		full := step%60 == 0
		write(full, "report", rows[len(rows)-1].Report)
		write(full, "orders", orders)
		write(order != nil, "order", order)
		write(full, "status", d.chief.Status())
	}
	for ; step < 600; step++ {
		switch step {
		case 50: // a site is lost
			d.down["b"], d.there["b"] = true, 0
		case 120: // overload
			for i := range d.offered {
				d.offered[i].Rate *= 1.5
			}
		case 200: // it comes back
			d.down["b"], d.there["b"] = false, 1
		case 260:
			d.chief = NewCoordinator(d.now)
		case 300: // a partial fault
			d.there["c"] = 0.5
		case 400:
			o, err := Command{Site: "c", Action: ActionLose, Author: "ann", Reason: "by phone"}.Transition(&d.plan, d.rulings)
			if err != nil {
				t.Fatal(err)
			}
			o.FailoverWeights = d.chief.FailoverWeights(&d.plan, "c", d.rulings)
			write(true, "command", o)
			d.take(o)
		case 450:
			d.there["c"] = 1
			o, err := Command{Site: "c", Action: ActionRecover, Author: "ann", Reason: "seen"}.Transition(&d.plan, d.rulings)
			if err != nil {
				t.Fatal(err)
			}
			write(true, "command", o)
			d.take(o)
		}
		d.step()
	}
	fmt.Fprintf(&golden, "digest %x\n", all.Sum(nil))
	return golden.Bytes()
}
