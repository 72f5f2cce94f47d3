package membership

import (
	"fmt"
	"slices"
)

// The texts of a router's status in the output of cache-routerctl fleet status, which operators read.
const (
	textMissing   = "not there"
	textAccepting = "takes clients"
	textDraining  = "draining"
	textDuplicate = "two of the name"
)

// Diff compares the snapshots of two routers and returns a line for each router whose status differs. Durations are not
// compared, and a router that is lost or left in one snapshot may be missing in the other.
func Diff(a, b Snapshot) []string {
	inA, inB := a.routersByName(), b.routersByName()
	var names []Name
	for _, router := range slices.Concat(a.Routers, b.Routers) {
		names = append(names, router.Name)
	}
	slices.Sort(names)

	var lines []string
	for _, name := range slices.Compact(names) {
		routerA, isInA := inA[name]
		routerB, isInB := inB[name]
		isDepartedInB := !isInA && !routerB.State.isPresent()
		isDepartedInA := !isInB && !routerA.State.isPresent()
		if isDepartedInA || isDepartedInB {
			continue
		}
		textA, textB := describeRouter(routerA, isInA), describeRouter(routerB, isInB)
		if textA != textB {
			lines = append(lines, fmt.Sprintf("%s: %s by %s; %s by %s", name, textA, a.ReportedBy, textB, b.ReportedBy))
		}
	}
	return lines
}

func (s Snapshot) routersByName() map[Name]RouterStatus {
	byName := map[Name]RouterStatus{}
	for _, router := range s.Routers {
		byName[router.Name] = router
	}
	return byName
}

// describeRouter returns the compared part of a router's status. Suspect counts as Alive, since it is only the reporting
// router's observation.
func describeRouter(router RouterStatus, isKnown bool) string {
	if !isKnown {
		return textMissing
	}
	text := router.State.String()
	if router.State == Suspect {
		text = Alive.String()
	}
	if router.Accepting {
		text += ", " + textAccepting
	}
	if router.Draining {
		text += ", " + textDraining
	}
	if router.NameConflict {
		text += ", " + textDuplicate
	}
	return fmt.Sprintf("%s, process %s, policy %d", text, router.Incarnation, router.PolicyRevision)
}
