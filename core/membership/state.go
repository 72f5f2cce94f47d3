package membership

import "fmt"

// State is the state of a router in a view.
type State uint8

// The states of a router. A router that is Lost or Left becomes Alive again when a process of it joins. The zero State is that
// of a process that has not joined; no router of a snapshot has it.
const (
	Alive   State = iota + 1
	Suspect       // alive according to others, without recent direct contact
	Lost          // declared dead or unreachable by the failure detector
	Left          // shut down gracefully
)

func (s State) String() string {
	return [...]string{"", "alive", "suspect", "lost", "left"}[s]
}

// isPresent reports whether a router in this state counts as a member of the fleet.
func (s State) isPresent() bool { return s <= Suspect }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for state := Alive; state <= Left; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown router state %q: want alive, suspect, lost or left", text)
}
