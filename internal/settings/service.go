package settings

import (
	"fmt"
	"slices"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// MethodNames lists the names of all methods.
func MethodNames(service routing.Settings) []string {
	var names []string
	for _, method := range service.Methods {
		names = append(names, method.Name)
	}
	return names
}

// LongestDeadline is the longest deadline of any method.
func LongestDeadline(service routing.Settings) clock.Duration {
	longest := clock.Duration(0)
	for _, method := range service.Methods {
		longest = max(longest, method.Deadline)
	}
	return longest
}

// ServiceMismatchError reports state or a process of another service than this router's.
type ServiceMismatchError struct {
	Theirs, Ours []string // names of methods
}

func (e *ServiceMismatchError) Error() string {
	return fmt.Sprintf("it is of a service with the methods %s, and this router serves one with %s",
		strings.Join(e.Theirs, ", "), strings.Join(e.Ours, ", "))
}

// CheckSameService returns nil where two lists of method names may belong to one service, and an *ServiceMismatchError
// otherwise. A service adds and drops methods, so that one list may contain the other; lists that each have a method which
// the other lacks are of two services.
func CheckSameService(theirs, ours []string) error {
	theirsInOurs := len(theirs) > 0 && containsAll(ours, theirs)
	if theirsInOurs || containsAll(theirs, ours) {
		return nil
	}
	return &ServiceMismatchError{Theirs: theirs, Ours: ours}
}

func containsAll(all, some []string) bool {
	for _, name := range some {
		if !slices.Contains(all, name) {
			return false
		}
	}
	return true
}
