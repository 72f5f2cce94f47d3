package settings

import (
	"fmt"
	"slices"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// MethodNames returns the names of all methods, in the order of the settings.
func MethodNames(service routing.Settings) []string {
	var names []string
	for _, method := range service.Methods {
		names = append(names, method.Name)
	}
	return names
}

// LongestDeadline returns the longest deadline of any method.
func LongestDeadline(service routing.Settings) clock.Duration {
	longest := clock.Duration(0)
	for _, method := range service.Methods {
		longest = max(longest, method.Deadline)
	}
	return longest
}

// ServiceMismatchError reports that persisted state or another process belongs to a different service than this router's.
type ServiceMismatchError struct {
	Theirs, Ours []string // names of methods
}

func (e *ServiceMismatchError) Error() string {
	return fmt.Sprintf("it is of a service with the methods %s, and this router serves one with %s",
		strings.Join(e.Theirs, ", "), strings.Join(e.Ours, ", "))
}

// CheckSameService returns nil if two lists of method names may belong to one service, and a *ServiceMismatchError otherwise.
// Since a service adds and drops methods over time, one list may contain the other. Lists that each have a method missing from
// the other belong to different services.
func CheckSameService(theirs, ours []string) error {
	theirsInOurs := len(theirs) > 0 && containsAll(ours, theirs)
	if theirsInOurs || containsAll(theirs, ours) {
		return nil
	}
	return &ServiceMismatchError{Theirs: theirs, Ours: ours}
}

// containsAll reports whether all contains every name of some.
func containsAll(all, some []string) bool {
	for _, name := range some {
		if !slices.Contains(all, name) {
			return false
		}
	}
	return true
}
