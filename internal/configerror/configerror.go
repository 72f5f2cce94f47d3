// Package configerror has the error of everything that reads configuration: the environment, the configuration file, the
// operator's file, the policy document and the lab's scenarios. It names the place of a fault and its remedy.
package configerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Error is a fault in a configuration. Its text is
//
//	FILE: line LINE: SECTION: FIELD: VALUE PROBLEM; REMEDY
//
// without the parts that are empty.
type Error struct {
	File        string // its path; empty for an environment variable
	Line        int    // from 1
	Section     string // the object that Field stands in, where that is not part of its name
	Field       string // as the file names it, or the name of an environment variable
	Value       string // as the text shows it: strings by strconv.Quote, numbers and addresses plain
	Problem     string // what is wrong with the value, or with the field
	Remedy      string // what an operator can do
	Environment bool   // Field is an environment variable: InFile does not blame the file
	Cause       error  // the error behind it, for errors.Is and errors.As; not part of the text
}

func (e *Error) Error() string {
	var text strings.Builder
	if e.File != "" {
		text.WriteString(e.File + ": ")
	}
	if e.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", e.Line)
	}
	if e.Section != "" {
		text.WriteString(e.Section + ": ")
	}
	if e.Field != "" {
		text.WriteString(e.Field + ": ")
	}
	text.WriteString(e.Value)
	if e.Value != "" && e.Problem != "" {
		text.WriteString(" ")
	}
	text.WriteString(e.Problem)
	if e.Remedy != "" {
		text.WriteString("; " + e.Remedy)
	}
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// InFile returns an error with the file that it is about. An error of an environment variable is returned as it is, and
// an error of another type becomes an Error with its text. The error itself is not modified.
func InFile(file string, err error) error {
	located := asError(err)
	if located == nil || located.Environment {
		return err
	}
	located.File = file
	return located
}

// InSection returns an error with the section of the file that it is about, as InFile does with the file. Environment
// variables have no sections.
func InSection(section string, err error) error {
	located := asError(err)
	if located == nil {
		return nil
	}
	located.Section = section
	return located
}

// asError returns a copy of an Error, or an Error with the text of another error; nil for nil.
func asError(err error) *Error {
	if err == nil {
		return nil
	}
	var located *Error
	// An Error that another one wraps or joins is not taken out of it: the outer text would be lost.
	if errors.As(err, &located) && located.Error() == err.Error() {
		copied := *located
		return &copied
	}
	return &Error{Problem: err.Error(), Cause: err}
}

// WithoutGoType removes the name of the Go struct from an error of encoding/json, and returns it: authors of files do not
// know that name. It modifies the error.
func WithoutGoType(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		typeError.Struct = ""
	}
	return err
}
