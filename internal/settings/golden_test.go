package settings

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/internal/goldentest"
)

// Golden files were written by build bfb4b5c, never by a later one.

const completeSettings = `{"balancers":3,"discovery":"on_request","weights":"rough","resolution-s":0.001,"flavors":["std","origin"],
"over-share-worth":0.4,"fees":{"connection":0.1,"handshake":0.2,"waste":0.3,"cross-zone":0.5},"goal":{"worst-class":0.6},
"domain":{"mode":"aside","origin-kind":1,"origin-fall-multiple":1.5,"origin-fall-s":2},
"load-report":{"fields":["avg_ms","cpu","x0","odd"],"how":"pull"},
"policy-limits":{"cancel":true,"probes":true,"retry-after":true,"parallel-tries":true,"send-cap":4,"max-retry-after-s":3,"connect-timeout-s":0.2,"idle-close-s":30},
"rules":{"answer-slack-s":0.01,"ask-every-s":1.1,"cold-s":5,"cold-share":0.25,"fall-s":6,"tip-multiple":2.5,"stop-sending-within-s":7},
"request-classes":[{"name":"get","effect":"free","group":"zone","window-s":8,"slo-s":0.05,"deadline-s":0.5,"worth":1.25,"late-value":0.75,"stream":true},
{"name":"put","effect":"guarded","group":"cell","deadline-s":1},{"name":"pay","effect":"single_shot","deadline-s":2}],
"tenants":[{"name":"red","share":0.5,"quota-per-s":100},{"name":"blue","share":0.25}]}`

// TestGolden_Parse holds what Parse returns to what it returned in build bfb4b5c.
func TestGolden_Parse(t *testing.T) {
	const golden = "testdata/parse.golden"
	var all strings.Builder
	for _, replaced := range [][]string{
		{},
		{`"rough"`, `"silent"`},
		{`"on_request"`, `"pushed"`},
		{`"pull"`, `"push"`},
		{`"retry-after":true`, `"retry-after":false`},
		{`"mode":"aside"`, `"mode":"through"`},
		{`"origin-kind":1`, `"origin-kind":-1`},
		{`"origin-kind":1`, `"origin-kind":2`},
		{`"mode":"aside","origin-kind":1,`, `"mode":"through",`},
		{`"origin-kind":1,`, ``},
		{`"balancers":3`, `"balancers":0`},
		{`"balancers":3,`, ``},
		{`"send-cap":4`, `"send-cap":0`},
		{`"rules"`, `"regeln"`},
		{`"rough"`, `"odd"`},
		{`"request-classes"`, `"classes"`},
		{`"name":"put"`, `"name":""`},
		{`"effect":"guarded"`, `"effect":"odd"`},
		{`"group":"cell"`, `"group":"odd"`},
		{`"deadline-s":2`, `"deadline-s":-2`},
		{`"discovery":"on_request"`, `"discovery":""`},
		{`"mode":"aside"`, `"mode":""`},
		{`"balancers":3`, `"balancers":[]`},
		{`"share":0.5`, `"share":"x"`},
	} {
		s, err := Parse([]byte(strings.NewReplacer(replaced...).Replace(completeSettings)))
		fmt.Fprintf(&all, "%q\n%v\n%v\n", replaced, s, err)
	}
	goldentest.CompareFile(t, golden, []byte(all.String()))
}
