package snapshot

// upgrades maps each older version to the step that upgrades a state to the next version. testdata has a sample of each
// version.
var upgrades = map[int]func(*State){
	1: setObservedAt,
}

// upgrade converts a decoded state to the newest version. State.Version stays that of the file.
func upgrade(state *State) {
	for version := state.Version; version < Version; version++ {
		upgrades[version](state)
	}
}

// setObservedAt upgrades version 1, which had no ObservedAt: the observations of its servers are as old as the file.
func setObservedAt(state *State) {
	for i := range state.Servers {
		state.Servers[i].ObservedAt = state.Knowledge.CapturedAt
	}
}
