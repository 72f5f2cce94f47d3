// Package configerror provides the error type of all code that reads configuration: the environment, the configuration file,
// the operator's file, the policy document and the lab's scenarios. An error states the location of a fault and its remedy. The
// package is stateless.
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
// Empty parts are left out.
type Error struct {
	File        string // its path; empty for an environment variable
	Line        int    // counted from 1; 0: unknown
	Section     string // the object that contains Field, if the field's name does not include it
	Field       string // its name in the file, or the name of an environment variable
	Value       string // as printed: strings quoted by strconv.Quote, numbers and addresses as they are
	Problem     string // what is wrong with the value, or with the field
	Remedy      string // what an operator can do
	Environment bool   // Field is an environment variable, so that InFile does not set File
	Cause       error  // the underlying error, for errors.Is and errors.As; not part of the text
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// InFile returns a copy of err with the path of the file that it concerns. An error of an environment variable is returned
// unchanged, and an error of another type is converted to an Error with its text. err itself is not modified.
func InFile(file string, err error) error {
	located := asError(err)
	if located == nil || located.Environment {
		return err
	}
	located.File = file
	return located
}

// InSection returns a copy of err with the section of the file that it concerns, converting other types as InFile does. It is
// not meant for errors of environment variables, which have no section.
func InSection(section string, err error) error {
	located := asError(err)
	if located == nil {
		return nil
	}
	located.Section = section
	return located
}

// asError returns a copy of an Error, or converts an error of another type to an Error with its text. It returns nil for nil.
func asError(err error) *Error {
	if err == nil {
		return nil
	}
	var located *Error
	// A wrapped or joined Error is not extracted, since the text around it would be lost.
	if errors.As(err, &located) && located.Error() == err.Error() {
		copied := *located
		return &copied
	}
	return &Error{Problem: err.Error(), Cause: err}
}

// WithoutGoType removes the name of the Go struct from an error of encoding/json and returns the error, which it modifies.
// Authors of files do not know that name.
func WithoutGoType(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		typeError.Struct = ""
	}
	return err
}
