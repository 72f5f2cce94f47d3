package settings

import (
	"errors"
	"testing"
)

// TestCheckSameService distinguishes services by their methods.
func TestCheckSameService(t *testing.T) {
	for _, c := range []struct {
		theirs, ours []string
		same         bool
	}{
		{[]string{"get", "pay"}, []string{"pay", "get"}, true},
		{[]string{"get"}, []string{"get", "pay"}, true},
		{[]string{"get", "pay"}, []string{"get"}, true},
		{[]string{"get", "pay"}, []string{"get", "put"}, false},
		{[]string{"tile"}, []string{"get"}, false},
		{nil, []string{"get"}, false},
	} {
		err := CheckSameService(c.theirs, c.ours)
		var other *ServiceMismatchError
		if got := err == nil; got != c.same || got == errors.As(err, &other) {
			t.Errorf("theirs %v, ours %v: got %v, want same service %v", c.theirs, c.ours, err, c.same)
		}
	}
}
