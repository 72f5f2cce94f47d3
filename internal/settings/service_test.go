package settings

import "testing"

func TestSameService(t *testing.T) {
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
		if err := CheckSameService(c.theirs, c.ours); (err == nil) != c.same {
			t.Errorf("%v of %v: %v", c.theirs, c.ours, err)
		}
	}
}
