package standin

// Class is a class of requests in a router's settings.
type Class struct {
	Name             string
	Effect           string // free, guarded or single_shot
	Aim, Deadline    float64
	Worth, LateWorth float64
}

// Settings returns the settings of a small deployment whose caches say that they miss, and whose origin is in the list. They are
// those of the site tas-telemetry: changes are pushed, one attempt at a time, five attempts, a grace of 2 s on drains.
func Settings(classes []Class) map[string]any {
	var list []any
	for _, c := range classes {
		class := map[string]any{"name": c.Name, "effect": c.Effect, "slo-s": c.Aim, "deadline-s": c.Deadline, "worth": c.Worth, "late-value": c.LateWorth}
		list = append(list, class)
	}
	return map[string]any{"balancers": 3, "discovery": "pushed", "resolution-s": 0.005, "flavors": []string{"std-3core", "origin"},
		"domain":      map[string]any{"mode": "aside", "origin-kind": 1},
		"load-report": map[string]any{"how": "piggyback", "fields": []string{"avg_ms", "err_rps", "waiting", "x0"}},
		"policy-limits": map[string]any{"cancel": true, "retry-after": true, "max-retry-after-s": 2, "send-cap": 5,
			"connect-timeout-s": 0.1, "idle-close-s": 60},
		"rules":           map[string]any{"cold-s": 8, "cold-share": 0.31, "fall-s": 3, "tip-multiple": 3, "stop-sending-within-s": 2},
		"request-classes": list}
}

// Reads are the classes of the site tas-telemetry.
var Reads = []Class{
	{Name: "machine-status", Effect: "free", Aim: 0.6, Deadline: 1.2, Worth: 5},
	{Name: "alert-check", Effect: "free", Aim: 0.25, Deadline: 0.6, Worth: 2},
	{Name: "field-history", Effect: "free", Aim: 0.6, Deadline: 1.5, Worth: 5},
	{Name: "usage-report", Effect: "free", Aim: 0.5, Deadline: 2, Worth: 1},
}

// Writes are classes of the site kart-tromso: their longest deadline is above the 3 s that SIGKILL waits for at most.
var Writes = []Class{
	{Name: "sheet-record", Effect: "free", Aim: 0.8, Deadline: 2, Worth: 5, LateWorth: 0.3},
	{Name: "overlay", Effect: "free", Aim: 2.5, Deadline: 6, Worth: 5, LateWorth: 0.2},
}
