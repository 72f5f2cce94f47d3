// Package tomlfile decodes TOML that people write: the operator's file, the policy document, and the lab's files. Errors
// are of package configerror, with line, field and remedy. It has no state.
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

// Decode reads text into a struct and rejects fields that the struct does not have. reference names the place where all
// fields are described, for the remedy. Errors of several unknown fields are joined.
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

// Lines maps each field and table of a text to its line, from 1. Fields are named as in "state.dir" and
// "method[1].deadline".
type Lines map[string]int

var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z_.]+)\s*\]\]?`)
	fieldEntry  = regexp.MustCompile(`^\s*([A-Za-z_]+)\s*=`)
)

// FieldLines finds the fields and tables of a text by lines, as far as their names are letters, underscores and, of tables,
// dots. Others are attributed to the table around them, and lines within multi-line strings are taken for fields.
func FieldLines(text []byte) Lines {
	lines := Lines{}
	elementCount := map[string]int{} // by array of tables
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

// Line returns the line of a field, or else of the innermost table around it that is there, or else 1.
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
