package settings

import (
	"fmt"
	"slices"
	"strings"

	"spurtrestle/core/routing"
)

// MethodNames are the names of all methods.
func MethodNames(s routing.Settings) []string {
	var names []string
	for _, m := range s.Methods {
		names = append(names, m.Name)
	}
	return names
}

// CheckSameService is nil where what has some methods may belong to the service that has the others: a service adds methods and
// drops some, but what shares only a part of them with it, or none, is another's. The error names both.
func CheckSameService(theirs, ours []string) error {
	within := func(some, all []string) bool {
		return !slices.ContainsFunc(some, func(m string) bool { return !slices.Contains(all, m) })
	}
	if len(theirs) > 0 && within(theirs, ours) || within(ours, theirs) {
		return nil
	}
	return fmt.Errorf("it is of a service with the methods %s, and this router serves one with %s", strings.Join(theirs, ", "), strings.Join(ours, ", "))
}
