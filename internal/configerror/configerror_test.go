package configerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"testing"
)

// TestError_Text verifies that empty parts are left out of the text.
func TestError_Text(t *testing.T) {
	for _, c := range []struct {
		err  Error
		want string
	}{
		{Error{File: "f.toml", Line: 4, Field: "state.dir", Value: `"x"`, Problem: "is no absolute path", Remedy: "write the whole path"},
			`f.toml: line 4: state.dir: "x" is no absolute path; write the whole path`},
		{Error{Section: "settings", Field: "weights", Value: `"odd"`, Remedy: "say silent"}, `settings: weights: "odd"; say silent`},
		{Error{Problem: "EDGE_CONFIG is not set"}, "EDGE_CONFIG is not set"},
	} {
		if got := c.err.Error(); got != c.want {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}

// TestInFile sets the file of an Error, converts other errors, and returns nil and errors of environment variables unchanged.
func TestInFile(t *testing.T) {
	field := &Error{Field: "seed", Problem: "missing"}
	variable := &Error{Field: "EDGE_LISTEN", Problem: "missing", Environment: true}
	wrapped := fmt.Errorf("read: %w", fs.ErrNotExist)
	joined := errors.Join(&Error{Line: 1, Problem: "a"}, &Error{Line: 2, Problem: "b"})
	for _, c := range []struct {
		err  error
		want string
	}{
		{field, "f: seed: missing"},
		{variable, "EDGE_LISTEN: missing"},
		{wrapped, "f: read: file does not exist"},
		{joined, "f: line 1: a\nline 2: b"},
	} {
		got := InFile("f", c.err)
		if got.Error() != c.want {
			t.Errorf("InFile(%v): got %v, want %s", c.err, got, c.want)
		}
	}
	if got := InFile("f", nil); got != nil {
		t.Errorf("InFile(nil): got %v, want nil", got)
	}
	if field.File != "" {
		t.Errorf("InFile modified its argument: got file %q, want none", field.File)
	}
	if !errors.Is(InFile("f", wrapped), fs.ErrNotExist) {
		t.Error("InFile loses the cause: got no fs.ErrNotExist")
	}
}

// TestInSection sets the section of an Error and returns nil for nil.
func TestInSection(t *testing.T) {
	if got, want := InSection("settings", &Error{Field: "me", Value: "7", Problem: "is too large"}).Error(), "settings: me: 7 is too large"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := InSection("settings", nil); got != nil {
		t.Errorf("InSection(nil): got %v, want nil", got)
	}
}

// TestWithoutGoType verifies that the error for a wrong JSON type names the field and not the Go struct.
func TestWithoutGoType(t *testing.T) {
	type document struct {
		Seed string `json:"seed"`
	}
	got := WithoutGoType(json.Unmarshal([]byte(`{"seed":7}`), new(document)))
	if want := "json: cannot unmarshal number into Go struct field .seed of type string"; got == nil || got.Error() != want {
		t.Errorf("got %v, want %s", got, want)
	}
	if got := WithoutGoType(fs.ErrNotExist); got != fs.ErrNotExist {
		t.Errorf("another error: got %v, want it unchanged", got)
	}
}
