package operator

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestShippedFileSwitchesNothingOn(t *testing.T) {
	text, err := os.ReadFile("../../deploy/spurtrestle.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(text)
	if err != nil || f.State.Dir != "" || f.GRPC.Listen != "" || f.State.Interval() != 10*time.Second {
		t.Errorf("%+v, %v", f, err)
	}
	if f, err := Load(""); err != nil || f != (File{}) {
		t.Errorf("without a file: %+v, %v", f, err)
	}
}

func TestWrongFilesAreExplained(t *testing.T) {
	for text, want := range map[string]string{
		"[state]\ndirr = \"/x\"\n":                 "line 2: state.dirr: is no field here; see deploy/spurtrestle.toml for all fields",
		"[state]\ndir = \"x\"\n":                   `line 2: state.dir: "x" is no absolute path; write the whole path`,
		"\n[state]\ndir = \"/x\"\nevery = \"now\"": `line 4: state.every: "now" is no span; write it as "10s" or "1m"`,
		"[state]\nevery = \"1ms\"\n":               "line 2: state.every: 1ms is not from 1s to 1h0m0s; write such a span",
		"[grpc]\nlisten = \"here\"\n":              `line 2: grpc.listen: "here" is no address and port; write it as "127.0.0.1:7443"`,
		"[grpc]\nstreams = -1\n":                   "line 2: grpc.streams: -1 is not from 1 to 10000; write such a number",
		"[state\n":                                 "line 1: the file:",
		"[state]\ndir = 7\n":                       "line 2: state.dir:",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
