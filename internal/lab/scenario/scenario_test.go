package scenario

import (
	"fmt"
	"strings"
	"testing"
)

func TestExampleStatesTheDefaults(t *testing.T) {
	s, err := Parse([]byte(Example))
	if err != nil {
		t.Fatal(err)
	}
	d := Default()
	// The example documents the defaults, so its values have to equal them.
	if s.Service != d.Service || s.Origin != d.Origin || s.Discovery != d.Discovery || s.Clients != d.Clients || s.Routers != d.Routers {
		t.Errorf("the example and the defaults differ:\n%+v\n%+v", s, d)
	}
}

// Every error names the line, the field and a remedy.
func TestErrorsNameLineFieldAndRemedy(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`length = "20s" `, `length = "soon"`, `"soon" is no span; write it as "250ms", "4s" or "2m30s"`},
		{`rate = 300.0`, `rates = 300.0`, "load.rates: is no field here; see `cache-routerctl lab init` for all fields"},
		{`rate = 300.0`, `rate = -1.0`, "load.rate: -1 is not above zero; write a number above zero"},
		{`effect = "deduplicated"`, `effect = "odd"`, `method[1].effect: "odd" is not known; write one of retryable, deduplicated, non-retryable`},
		{`write = true`, `write = false`, "method[1].write: is false, but the effect is deduplicated; set write = true: only writes have an effect"},
		{`deadline = "600ms"`, `deadline = "60ms"`, "method[0].deadline: is shorter than the latency budget; make it at least as long"},
		{`name = "order"`, `name = "status"`, "method[1].name: is used twice; rename one of them"},
		{`count = 6`, `count = 900`, "servers.count: is not from 1 to 200; choose a number in that range"},
		{`cold_share = 0.3 `, `cold_share = 0.0 `, "servers.cold_share: is not above 0 and at most 1; write a number above 0, up to 1"},
		{`reports = ["latency", "queue"]`, `reports = ["latency", "mood"]`, `servers.reports[1]: "mood" is not known; write latency, queue, in_flight, busy, errors or hits`},
		{`part = 0.17`, `answers = ["silence"]`, `fault[0].answers[0]: "silence" is not known; write one of endless, huge, length, nested, noise`},
		{`factor = 1.5`, ``, "fault[1].factor: is missing or out of range; a fault of kind burst requires it"},
		{`part = 0.17`, `pick = [6]`, "fault[0].pick[0]: 6 is not an index into the servers; use indexes from 0 to 5"},
		{`kind = "burst"`, `kind = "earthquake"`, `fault[1].kind: "earthquake" is not known; write one of bad_reports, ban, burst`},
		{`at = "8s"`, `at = "80s"`, "fault[1].at: is past the end of the run; start it before the end of length"},
		{`site = "north", share = 0.6`, `site = "moon", share = 0.6`, `load.site_shares[0].site: "moon" is not one of the sites; write one of north, south`},
		{`rate = 400.0`, `rate = 400000.0`, "load.steps: exceeds five million requests in total; lower it, or the length"},
		{`[routers]`, `[routers`, "the file"},
	} {
		text := strings.Replace(Example, c.from, c.to, 1)
		if text == Example {
			t.Fatalf("%q is not in the example", c.from)
		}
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.to, err)
			continue
		}
		line := strings.Count(text[:strings.LastIndex(text, strings.TrimSpace(c.to))], "\n") + 1
		if c.to != "" && !strings.Contains(err.Error(), fmt.Sprintf("line %d:", line)) {
			t.Errorf("%q is on line %d: %v", c.to, line, err)
		}
	}
}

// All errors of a file are reported together.
func TestAllErrorsAreReported(t *testing.T) {
	text := strings.NewReplacer(`rate = 300.0`, `rate = 0.0`, `zipf = 0.95`, `zipf = 9.0`).Replace(Example)
	_, err := Parse([]byte(text))
	if err == nil || len(strings.Split(err.Error(), "\n")) != 2 {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Parse(text) })
}
