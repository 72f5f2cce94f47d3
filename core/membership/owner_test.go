package membership

import "testing"

func TestView_HasOlderDuplicate(t *testing.T) {
	for _, test := range []struct {
		name   string
		member Member
		want   bool
	}{
		{"older process at another address", Member{Name: "me", Incarnation: 2, StartedAt: 1, Addr: "other"}, true},
		{"older process at the own address", Member{Name: "me", Incarnation: 2, StartedAt: 1, Addr: "own"}, false},
		{"younger process", Member{Name: "me", Incarnation: 2, StartedAt: 9, Addr: "other"}, false},
		{"older process of another name", Member{Name: "a", Incarnation: 2, StartedAt: 1, Addr: "other"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := New(0, testConfig(), Member{Name: "me", Incarnation: 1, StartedAt: 5, Addr: "own"})
			view.MemberJoined(1, test.member)
			if got := view.HasOlderDuplicate(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestMember_OlderThan(t *testing.T) {
	first := Member{StartedAt: 1, Incarnation: 9}
	second := Member{StartedAt: 2, Incarnation: 3}
	sameStart := Member{StartedAt: 2, Incarnation: 4}
	for _, test := range []struct {
		name string
		a, b Member
		want bool
	}{
		{"earlier start", first, second, true},
		{"later start", second, first, false},
		{"same start, lower number", second, sameStart, true},
		{"same start, higher number", sameStart, second, false},
		{"itself", first, first, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.a.olderThan(test.b); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
