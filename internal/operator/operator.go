// Package operator reads the operator's file, of which deploy/spurtrestle.toml is the reference. It configures features beyond
// routing, each of which is off by default. internal/program loads it once, before the router starts. The package is stateless.
//
// The file is TOML, and unknown fields are errors. Errors are of package configerror, with line, field and remedy.
package operator

import (
	"os"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// reference is the file that documents all fields.
const reference = "deploy/spurtrestle.toml"

// File is the content of the operator's file. The zero value applies if there is none.
type File struct {
	State  State  `toml:"state"`
	GRPC   GRPC   `toml:"grpc"`
	Fleet  Fleet  `toml:"fleet"`
	Policy Policy `toml:"policy"`
	path   string
	lines  tomlfile.Lines
}

// Load reads the file at path, or returns the zero File if path is empty. The File is valid only if there is no error.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, &configerror.Error{Problem: err.Error(), Cause: err}
	}
	f, err := Parse(text)
	if err != nil {
		return f, configerror.InFile(path, err)
	}
	f.path = path
	return f, nil
}

// Parse reads and validates the text of a file. Errors do not name the file.
func Parse(text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(text, &f, reference); err != nil {
		return f, err
	}
	f.lines = tomlfile.FieldLines(text)
	return f, f.check()
}

// FieldError returns an error of a field, named as in "fleet.name", with the file and the line. It is for code that detects a fault
// only when it uses the field.
func (f File) FieldError(field, problem, remedy string) error {
	return &configerror.Error{File: f.path, Line: f.lines.Line(field), Field: field, Problem: problem, Remedy: remedy}
}

// check validates all tables and parses their addresses and durations. The order is fixed, so that a file with several faults
// yields the same error each time. The interval of [state] is checked after [grpc], as in earlier releases.
func (f *File) check() error {
	for _, step := range []func() error{
		func() error { return f.State.check(f.table("state")) },
		func() error { return f.GRPC.check(f.table("grpc")) },
		func() error { return f.State.checkInterval(f.table("state")) },
		func() error { return f.Fleet.check(f.table("fleet")) },
		func() error { return f.Policy.check(f.table("policy"), f.Fleet) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// tomlTable creates errors of the fields of one table.
type tomlTable struct {
	name  string
	lines tomlfile.Lines
}

func (f *File) table(name string) tomlTable { return tomlTable{name: name, lines: f.lines} }

// fault returns an error of a field. value is the value as printed, or empty if problem includes it.
func (t tomlTable) fault(field, value, problem, remedy string) error {
	name := t.name + "." + field
	return &configerror.Error{Line: t.lines.Line(name), Field: name, Value: value, Problem: problem, Remedy: remedy}
}
