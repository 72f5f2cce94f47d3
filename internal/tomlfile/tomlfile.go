// Package tomlfile reads TOML that people write: strictly, and telling what is wrong by line, field and remedy.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// An Error names what is wrong in a file.
type Error struct {
	Line   int
	Field  string
	What   string
	Remedy string
}

func (e Error) Error() string {
	return fmt.Sprintf("line %d: %s: %s; %s", e.Line, e.Field, e.What, e.Remedy)
}

// Decode reads text into a struct and refuses fields that it does not have; where says where all of them are described.
func Decode(text []byte, into any, where string) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for _, e := range strict.Errors {
			line, _ := e.Position()
			all = append(all, Error{line, strings.Join(e.Key(), "."), "is no field here", "see " + where + " for all fields"})
		}
		return errors.Join(all...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		field := strings.Join(bad.Key(), ".")
		if field == "" {
			field = "the file"
		}
		return Error{line, field, strings.TrimPrefix(bad.Error(), "toml: "), "correct this line"}
	}
	return err
}

// Lines tells the line on which a field stands. Fields are named as in "method[1].deadline".
type Lines map[string]int

var (
	table = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z_.]+)\s*\]\]?`)
	entry = regexp.MustCompile(`^\s*([A-Za-z_]+)\s*=`)
)

// FieldLines finds all fields of a text.
func FieldLines(text []byte) Lines {
	p, counts, under := Lines{}, map[string]int{}, ""
	for i, line := range strings.Split(string(text), "\n") {
		if m := table.FindStringSubmatch(line); m != nil {
			under = m[2] + "."
			if m[1] == "[[" {
				under = fmt.Sprintf("%s[%d].", m[2], counts[m[2]])
				counts[m[2]]++
			}
			p[strings.TrimSuffix(under, ".")] = i + 1
		} else if m := entry.FindStringSubmatch(line); m != nil {
			p[under+m[1]] = i + 1
		}
	}
	return p
}

// Line is that of the field, or of what it stands in; the first line where nothing of it is there.
func (p Lines) Line(field string) int {
	for {
		if n := p[field]; n > 0 {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}
