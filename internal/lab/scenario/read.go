package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Read reads a scenario file. The error holds a line for each thing that is wrong.
func Read(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	s, err := Parse(text)
	if err != nil {
		var lines []error
		for _, e := range unwrap(err) {
			lines = append(lines, fmt.Errorf("%s: %w", file, e))
		}
		return s, errors.Join(lines...)
	}
	return s, nil
}

func unwrap(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// Parse reads the text of a scenario file.
func Parse(text []byte) (Scenario, error) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, inWords(err)
	}
	return s, errors.Join(check(&s, placesIn(text))...)
}

// inWords names the line and the field of what the TOML reader refuses.
func inWords(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for _, e := range strict.Errors {
			line, _ := e.Position()
			all = append(all, Error{line, strings.Join(e.Key(), "."), "is no field here",
				"see `spurctl lab init` for all fields"})
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

// places tells the line on which a field stands. Fields are named as in "method[1].deadline".
type places map[string]int

var (
	table = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z_.]+)\s*\]\]?`)
	entry = regexp.MustCompile(`^\s*([A-Za-z_]+)\s*=`)
)

func placesIn(text []byte) places {
	p, counts, under := places{}, map[string]int{}, ""
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

// line is that of the field, or of what it stands in; the first line where nothing of it is there.
func (p places) line(field string) int {
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
