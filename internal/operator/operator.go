// Package operator reads the file that the router's operator owns, deploy/spurtrestle.toml: functions beyond routing, each
// off unless the file switches it on. internal/program loads it once, before the router starts.
//
// The file is strict TOML. Errors are of package configerror, with line, field and remedy.
package operator

import (
	"os"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// reference is the file that describes all fields.
const reference = "deploy/spurtrestle.toml"

// File is the content of the file. The zero value applies where there is none.
type File struct {
	State  State  `toml:"state"`
	GRPC   GRPC   `toml:"grpc"`
	Fleet  Fleet  `toml:"fleet"`
	Policy Policy `toml:"policy"`
	path   string
	lines  tomlfile.Lines
}

// Load reads a file. An empty path is no file. The error is a *configerror.Error; the file is valid without one only.
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

// Parse reads the text of a file.
func Parse(text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(text, &f, reference); err != nil {
		return f, err
	}
	f.lines = tomlfile.FieldLines(text)
	return f, f.check()
}

// FieldError returns an error of a field, for the parts of the program that put the field to use and find it wrong.
func (f File) FieldError(field, problem, remedy string) error {
	return &configerror.Error{File: f.path, Line: f.lines.Line(field), Field: field, Problem: problem, Remedy: remedy}
}

// check validates all tables and computes the values behind their texts. The first fault in a fixed order is returned, so
// that a file with several gives the same error each time. The interval is checked after [grpc], as in earlier releases.
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

// tomlTable makes the errors of one table's fields.
type tomlTable struct {
	name  string
	lines tomlfile.Lines
}

func (f *File) table(name string) tomlTable { return tomlTable{name: name, lines: f.lines} }

// fault returns an error of a field. value is as the text shows it; empty where the problem includes it.
func (t tomlTable) fault(field, value, problem, remedy string) error {
	name := t.name + "." + field
	return &configerror.Error{Line: t.lines.Line(name), Field: name, Value: value, Problem: problem, Remedy: remedy}
}
