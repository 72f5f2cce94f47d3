package scenario

import (
	"errors"
	"fmt"
	"os"

	"spurtrestle/internal/tomlfile"
)

// Read reads and checks a scenario file. The error has one line for each problem, with the name of the file.
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

// unwrap returns the errors that a joined error consists of, or the error itself.
func unwrap(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// Parse reads and checks the text of a scenario file. Fields that it leaves out have the values of Default.
func Parse(text []byte) (Scenario, error) {
	s := Default()
	if err := tomlfile.Decode(text, &s, "`cache-routerctl lab init`"); err != nil {
		return s, err
	}
	return s, errors.Join(check(&s, tomlfile.FieldLines(text))...)
}
