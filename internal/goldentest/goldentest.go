// Package goldentest compares bytes that are sent, stored or shown to operators with golden files in the repository. Tests call it;
// it has no state.
//
// The package never writes the files. They were written by an earlier release and hold the formats with which that release is
// compatible.
package goldentest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Compare fails the test if got differs from the content of the named file in testdata/golden.
func Compare(t *testing.T, name string, got []byte) {
	t.Helper()
	CompareFile(t, filepath.Join("testdata", "golden", name), got)
}

// CompareFile fails the test if got differs from the content of a file. It reports the first line that differs.
func CompareFile(t *testing.T, path string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("%s, line %d: got\n%s\nwant\n%s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Errorf("%s: got %d lines, want %d", path, len(gotLines), len(wantLines))
}

// Messages holds named JSON messages. They are read from a file with one line for each: the name, a tab and the JSON text.
type Messages struct {
	texts    map[string]string
	compared map[string]bool
}

// ReadMessages reads messages from a file.
func ReadMessages(t *testing.T, path string) *Messages {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	m := &Messages{texts: map[string]string{}, compared: map[string]bool{}}
	for line := range strings.Lines(string(content)) {
		name, text, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			t.Fatalf("%s: line without a name: %q", path, line)
		}
		m.texts[name] = text
	}
	return m
}

// Text returns the message with a name, or an empty string if there is none.
func (m *Messages) Text(name string) string { return m.texts[name] }

// Compare fails the test if the JSON encoding of a value differs from the message with a name.
func (m *Messages) Compare(t *testing.T, name string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if want, ok := m.texts[name]; !ok || string(text) != want {
		t.Errorf("%s: got\n%s\nwant\n%s", name, text, want)
	}
	m.compared[name] = true
}

// CheckAllCompared fails the test for each message that was not passed to Compare.
func (m *Messages) CheckAllCompared(t *testing.T) {
	t.Helper()
	for name := range m.texts {
		if !m.compared[name] {
			t.Errorf("message %q was never compared", name)
		}
	}
}
