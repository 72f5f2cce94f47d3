package tomlfile

import (
	"testing"
)

// TestLines_Line looks up fields in tables and in arrays of tables, with the containing table as fallback.
func TestLines_Line(t *testing.T) {
	const text = "schema = 1\n\n[state]\n  dir = \"/x\"\n[[method]]\nname = \"get\"\n[[method]]\nname = \"put\"\n"
	lines := FieldLines([]byte(text))
	for field, want := range map[string]int{
		"schema": 1, "state": 3, "state.dir": 4, "state.every": 3, "method[0]": 5, "method[0].name": 6, "method[1].name": 8,
		"method[1].deadline": 7, "method[2].name": 1, "fleet.name": 1,
	} {
		if got := lines.Line(field); got != want {
			t.Errorf("Line(%q): got %d, want %d", field, got, want)
		}
	}
}

// TestDecode_Errors checks the line, field and remedy in the errors of unknown fields and malformed lines.
func TestDecode_Errors(t *testing.T) {
	for text, want := range map[string]string{
		"name = \"a\"\n": "",
		"nam = 1\nnome = 2\n": "line 1: nam: is no field here; see the page for all fields\n" +
			"line 2: nome: is no field here; see the page for all fields",
		"name = 7\n": "line 1: name: cannot decode TOML integer into struct field struct { Name string }.Name of type string; correct this line",
		"\n[\n":      "line 2: the file: invalid character at start of key: U+000A; correct this line",
	} {
		got := ""
		if err := Decode([]byte(text), &struct{ Name string }{}, "the page"); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}
