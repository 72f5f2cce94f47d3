package snapshot

// upgrades has, by version, the step from that version to the next. Each version has a sample in testdata.
var upgrades = map[int]func(*State){
	1: setObservedAt,
}

// upgrade brings a decoded state to the form of the newest version. Its Version stays that of the file.
func upgrade(state *State) {
	for version := state.Version; version < Version; version++ {
		upgrades[version](state)
	}
}

// setObservedAt upgrades version 1, which had no ObservedAt: the servers' evidence is as old as the file.
func setObservedAt(state *State) {
	for i := range state.Servers {
		state.Servers[i].ObservedAt = state.Knowledge.CapturedAt
	}
}
