package snapshot

// upgrades lead from one version to the next, by the version that they start from. Each has a sample in testdata.
var upgrades = map[int]func(*State){
	// Servers had no time of their own: their evidence is as old as the file.
	1: func(s *State) {
		for i := range s.Servers {
			s.Servers[i].ObservedAt = s.Knowledge.CapturedAt
		}
	},
}

// upgrade brings a state that was read to the newest version. Its Version goes on telling what the file was.
func upgrade(s *State) {
	for v := s.Version; v < Version; v++ {
		upgrades[v](s)
	}
}
