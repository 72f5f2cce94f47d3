package sitefailover

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"spurtrestle/internal/goldentest"
)

// Reports, orders, transitions and statuses of a run with losses, operator commands and a change of leader are byte for byte those
// of the golden file, which an earlier build wrote. The file has some of each in full, and a digest over all in order.
func TestGolden_JSON(t *testing.T) {
	goldentest.CompareFile(t, "testdata/json.golden", goldenRun(t))
}

func goldenRun(t *testing.T) []byte {
	t.Helper()
	s := newSimulation()
	s.plan.OriginReadRate = 180.5
	s.plan.Sites[0].Capacity = 330
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
	s.check = func(orders Orders, transition *Transition, routers []RouterState) {
		full := step%60 == 0
		write(full, "report", routers[len(routers)-1].Report)
		write(full, "orders", orders)
		write(transition != nil, "order", transition)
		write(full, "status", s.coordinator.Status())
	}
	for ; step < 600; step++ {
		switch step {
		case 50:
			s.routersDown["b"], s.responding["b"] = true, 0
		case 120:
			for i := range s.offered {
				s.offered[i].Rate *= 1.5
			}
		case 200:
			s.routersDown["b"], s.responding["b"] = false, 1
		case 260:
			s.coordinator = NewCoordinator(s.now)
		case 300:
			s.responding["c"] = 0.5
		case 400:
			transition, err := Command{Site: "c", Action: ActionLose, Author: "ann", Reason: "by phone"}.Transition(&s.plan, s.decisions)
			if err != nil {
				t.Fatal(err)
			}
			transition.FailoverWeights = s.coordinator.FailoverWeights(&s.plan, "c", s.decisions)
			write(true, "command", transition)
			s.apply(transition)
		case 450:
			s.responding["c"] = 1
			transition, err := Command{Site: "c", Action: ActionRecover, Author: "ann", Reason: "seen"}.Transition(&s.plan, s.decisions)
			if err != nil {
				t.Fatal(err)
			}
			write(true, "command", transition)
			s.apply(transition)
		}
		s.step()
	}
	fmt.Fprintf(&golden, "digest %x\n", all.Sum(nil))
	return golden.Bytes()
}
