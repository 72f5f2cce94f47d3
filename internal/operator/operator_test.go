package operator

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestParse_ShippedFile verifies that every feature is off in the shipped file, and that no file yields the zero File.
func TestParse_ShippedFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/spurtrestle.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(text)
	if err != nil || f.State.Dir != "" || f.GRPC.Listen != "" || f.Fleet.Name != "" || f.State.Interval() != 10*time.Second {
		t.Errorf("shipped file: got %+v, %v, want every feature off", f, err)
	}
	if f, err := Load(""); err != nil || !reflect.DeepEqual(f, File{}) {
		t.Errorf("no file: got %+v, %v, want the zero File", f, err)
	}
}

// TestParse_ErrorsNameLineFieldAndRemedy checks the error of each kind of fault. The error must be the same each time, even if a
// file has several faults.
func TestParse_ErrorsNameLineFieldAndRemedy(t *testing.T) {
	for text, want := range map[string]string{
		"[state]\ndirr = \"/x\"\n":                                                                 "line 2: state.dirr: is no field here; see deploy/spurtrestle.toml for all fields",
		"[state]\ndir = \"x\"\n":                                                                   `line 2: state.dir: "x" is no absolute path; write the whole path`,
		"\n[state]\ndir = \"/x\"\nevery = \"now\"":                                                 `line 4: state.every: "now" is no span; write it as "10s" or "1m"`,
		"[state]\nevery = \"1ms\"\n":                                                               "line 2: state.every: 1ms is not from 1s to 1h0m0s; write such a span",
		"[grpc]\nlisten = \"here\"\n":                                                              `line 2: grpc.listen: "here" is no address and port; write it as "127.0.0.1:7443"`,
		"[grpc]\nstreams = -1\n":                                                                   "line 2: grpc.streams: -1 is not from 1 to 10000; write such a number",
		"[fleet]\nlisten = \"127.0.0.1:1\"\n":                                                      "line 1: fleet.name: is empty, though other fields are set",
		"[fleet]\nname = \"a b\"\n":                                                                `line 2: fleet.name: "a b" is no name; write 1 to 60 letters`,
		"[fleet]\nname = \"a\"\n":                                                                  `line 1: fleet.listen: "" is no address and port`,
		"[fleet]\nname = \"a\"\nlisten = \"8.8.8.8:1\"\n":                                          `line 3: fleet.listen: 8.8.8.8 is no address`,
		"[fleet]\nname = \"a b\"\nrouter = \"c d\"\nsite = \"e f\"\n":                              `line 2: fleet.name: "a b" is no name`,
		"[grpc]\nconnections = -1\nstreams = -1\n":                                                 "line 2: grpc.connections: -1 is not",
		"[fleet]\nname = \"a\"\nlisten = \"0.0.0.0:1\"\n":                                          `line 1: fleet.advertise: others cannot reach 0.0.0.0:1; write the address`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\njoin = [\"b\"]\n":                        `line 4: fleet.join: its entry 1, "b", is no address and port`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nprobe = \"1ms\"":                         `line 4: fleet.probe: "1ms" is no span from 100ms to 10s`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\ntiered = true\n":                         `line 1: fleet.region: is empty, and tiered is true; name the region`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nregion = \"north\"\n":                    `line 1: fleet.tiered: is false, though region or remote is set; set tiered = true`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nremote = [\"127.0.0.1:2\"]\n":            `line 1: fleet.tiered: is false, though region or remote is set; set tiered = true`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\ntiered = true\nregion = \"a b\"\n":       `line 5: fleet.region: "a b" is no name; write 1 to 60 letters`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\ntiered = 1\n":                            "line 4: fleet.tiered:",
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nremote = [\"127.0.0.1:2\", \"there\"]\n": `line 4: fleet.remote: its entry 2, "there", is no address and port`,
		"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\ntiered = true\nregion = \"north\"\n[policy]\ncut_off = \"serve\"\nkeepers = [\"a\"]\n": "line 7: policy.cut_off: is set, and fleet.tiered is true",
		"[state\n":           "line 1: the file:",
		"[state]\ndir = 7\n": "line 2: state.dir:",
	} {
		for range 50 {
			if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got %v, want %s", text, err, want)
				break
			}
		}
	}
}

// TestParse_ManyRoutersToJoin parses a join list with thousands of addresses.
func TestParse_ManyRoutersToJoin(t *testing.T) {
	const routers = 2000
	text := "[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:7946\"\njoin = ["
	for i := range routers {
		text += fmt.Sprintf("\"10.1.%d.%d:7946\", ", i/250, i%250)
	}
	f, err := Parse([]byte(text + "]\n"))
	if err != nil || len(f.Fleet.Join) != routers || f.Fleet.Join[routers-1] != "10.1.7.249:7946" {
		t.Errorf("got %d routers, %v, want %d, the last 10.1.7.249:7946", len(f.Fleet.Join), err, routers)
	}
}
