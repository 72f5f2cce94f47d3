package scenario

import _ "embed"

// Example is a runnable scenario that documents the fields. `cache-routerctl lab init` prints it.
//
//go:embed commented.toml
var Example string
