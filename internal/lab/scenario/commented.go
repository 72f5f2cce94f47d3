package scenario

import _ "embed"

// Commented is a scenario with all fields and what they mean; it can be played as it stands.
//
//go:embed commented.toml
var Example string
