// Package operator reads the file that the operator owns: what a router does beyond serving, each part off unless the
// file switches it on. It is strict TOML; what is wrong is named with line, field and remedy.
package operator

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is all that the file may hold. The zero value is what holds without one.
type File struct {
	State State `toml:"state"`
}

// State is about learned state that survives a restart.
type State struct {
	Dir   string `toml:"dir"`   // folder, one for each router; empty: nothing is kept
	Every string `toml:"every"` // between two files, give or take a quarter
	span  time.Duration
}

// Interval is Every as a span.
func (s State) Interval() time.Duration { return s.span }

const (
	usualEvery = 10 * time.Second // what is lost by a kill is half of that on average, against half-lives of a minute
	leastEvery = time.Second
	mostEvery  = time.Hour
)

// An Error names what is wrong in a file.
type Error struct {
	Line                int
	Field, What, Remedy string
}

func (e Error) Error() string {
	return fmt.Sprintf("line %d: %s: %s; %s", e.Line, e.Field, e.What, e.Remedy)
}

// Load reads a file. An empty name is no file.
func Load(name string) (File, error) {
	if name == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return File{}, err
	}
	f, err := Parse(text)
	if err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// Parse reads the text of a file.
func Parse(text []byte) (File, error) {
	var f File
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			e := strict.Errors[0]
			line, _ := e.Position()
			return f, Error{line, strings.Join(e.Key(), "."), "is no field here", "deploy/spurtrestle.toml has all fields"}
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			line, _ := bad.Position()
			return f, Error{line, "the file", strings.TrimPrefix(bad.Error(), "toml: "), "correct this line"}
		}
		return f, err
	}
	return f, f.check(text)
}

func (f *File) check(text []byte) error {
	s := &f.State
	wrong := func(field, what, remedy string) error {
		return Error{lineOf(text, field), "state." + field, what, remedy}
	}
	if s.Dir != "" && !filepath.IsAbs(s.Dir) {
		return wrong("dir", fmt.Sprintf("%q is no absolute path", s.Dir), "write the whole path: what the router is started from may change")
	}
	s.span = usualEvery
	if s.Every != "" {
		d, err := time.ParseDuration(s.Every)
		if err != nil {
			return wrong("every", fmt.Sprintf("%q is no span", s.Every), `write it as "10s" or "1m"`)
		}
		s.span = d
	}
	if s.span < leastEvery || s.span > mostEvery {
		return wrong("every", fmt.Sprintf("%v is not from %v to %v", s.span, leastEvery, mostEvery), "write such a span")
	}
	return nil
}

// lineOf finds the line that sets a field of [state].
func lineOf(text []byte, field string) int {
	for i, line := range strings.Split(string(text), "\n") {
		if name, _, is := strings.Cut(line, "="); is && strings.TrimSpace(name) == field {
			return i + 1
		}
	}
	return 1
}
