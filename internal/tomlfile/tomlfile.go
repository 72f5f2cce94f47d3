// Package tomlfile decodes TOML files that people write: the operator's file, the policy document and the lab's files. Errors are of
// package configerror, with line, field and remedy. The package is stateless.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"spurtrestle/internal/configerror"
)

// Decode decodes text into the struct that into points to, and rejects unknown fields. The remedy for these refers to reference, the
// name of a document that describes all fields. The errors of several unknown fields are joined.
func Decode(text []byte, into any, reference string) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownFieldsError(unknown, reference)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return malformedError(malformed)
	}
	return err
}

// unknownFieldsError returns one error for each unknown field, joined.
func unknownFieldsError(unknown *toml.StrictMissingError, reference string) error {
	var all []error
	for _, field := range unknown.Errors {
		line, _ := field.Position()
		all = append(all, &configerror.Error{
			Line:    line,
			Field:   strings.Join(field.Key(), "."),
			Problem: "is no field here",
			Remedy:  "see " + reference + " for all fields",
		})
	}
	return errors.Join(all...)
}

// malformedError returns an error for text that is not valid TOML or has a value of the wrong type.
func malformedError(malformed *toml.DecodeError) error {
	line, _ := malformed.Position()
	field := strings.Join(malformed.Key(), ".")
	if field == "" {
		field = "the file"
	}
	return &configerror.Error{
		Line:    line,
		Field:   field,
		Problem: strings.TrimPrefix(malformed.Error(), "toml: "),
		Remedy:  "correct this line",
		Cause:   malformed,
	}
}

// Lines maps each field and table of a text to its line, counted from 1. Keys have the form "state.dir" and "method[1].deadline".
type Lines map[string]int

var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z_.]+)\s*\]\]?`)
	fieldEntry  = regexp.MustCompile(`^\s*([A-Za-z_]+)\s*=`)
)

// FieldLines scans a text line by line for fields and tables. It recognizes names that consist of letters and underscores, and dots
// in names of tables. Other fields are attributed to the table that contains them, and a line within a multi-line string may be
// mistaken for a field.
func FieldLines(text []byte) Lines {
	lines := Lines{}
	elementCount := map[string]int{} // number of elements so far, by array of tables
	prefix := ""
	for i, content := range strings.Split(string(text), "\n") {
		line := i + 1
		if header := tableHeader.FindStringSubmatch(content); header != nil {
			table := header[2]
			if header[1] == "[[" {
				element := elementCount[table]
				elementCount[table]++
				table = fmt.Sprintf("%s[%d]", table, element)
			}
			lines[table] = line
			prefix = table + "."
		} else if entry := fieldEntry.FindStringSubmatch(content); entry != nil {
			lines[prefix+entry[1]] = line
		}
	}
	return lines
}

// Line returns the line of a field. If the text does not contain the field, it returns the line of the innermost table around it
// that the text contains, or 1.
func (l Lines) Line(field string) int {
	for {
		if line := l[field]; line > 0 {
			return line
		}
		end := strings.LastIndexAny(field, ".[")
		if end < 0 {
			return 1
		}
		field = field[:end]
	}
}
