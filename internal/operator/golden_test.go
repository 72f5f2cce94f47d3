package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurtrestle/internal/goldentest"
)

// Golden files were written by build bfb4b5c, never by a later one.

// TestGolden_Errors holds the texts of errors in the operator's file to those of build bfb4b5c.
func TestGolden_Errors(t *testing.T) {
	const golden = "testdata/errors.golden"
	const fleet = "[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:1\"\n"
	var all strings.Builder
	for _, text := range []string{
		"",
		fleet,
		"[state]\ndirr = 1\nx = 2\n",
		"[state]\ndir = \"x\"\n",
		"[state]\nevery = \"x\"\n",
		"[state]\nevery = \"2h\"\n",
		"[grpc]\nlisten = \"x\"\n",
		"[grpc]\nconnections = 10001\n",
		"[grpc]\nstreams = -2\n",
		"[fleet]\njoin = [\"x\"]\n",
		"[fleet]\nname = \"!\"\n",
		"[fleet]\nname = \"f\"\nrouter = \"!\"\n",
		"[fleet]\nname = \"f\"\nsite = \"!\"\n",
		"[fleet]\nname = \"f\"\nregion = \"!\"\n",
		"[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:0\"\n",
		fleet + "advertise = \"x\"\n",
		fleet + "advertise = \"0.0.0.0:1\"\n",
		fleet + "advertise = \"8.8.8.8:1\"\n",
		fleet + "advertise = \"8.8.8.8:1\"\nanywhere = true\n",
		fleet + "join = [\"127.0.0.1:1\", \"x\"]\n",
		fleet + "remote = [\"x\"]\n",
		fleet + "region = \"r\"\n",
		fleet + "tiered = true\n",
		fleet + "dir = \"x\"\n",
		fleet + "probe = \"1h\"\n",
		fleet + "forget = \"x\"\n",
		"[policy]\nkeepers = [\"a\"]\n",
		"[policy]\ncut_off = \"x\"\n",
		"[policy]\ncut_off = \"serve\"\n",
		fleet + "tiered = true\nregion = \"r\"\n[policy]\ncut_off = \"serve\"\n",
		fleet + "[policy]\ncut_off = \"serve\"\n",
		fleet + "[policy]\ncut_off = \"serve\"\nkeepers = [\"a\", \"b\", \"a\"]\n",
		fleet + "[policy]\ncut_off = \"serve\"\nkeepers = [\"!\"]\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\ndir = \"/x\"\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\nlisten = \"127.0.0.1:1\"\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\nlisten = \"127.0.0.1:2\"\nadvertise = \"x\"\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\nlisten = \"8.8.8.8:2\"\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\nlisten = \"127.0.0.1:2\"\ndir = \"x\"\n",
		fleet + "[policy]\ncut_off = \"refuse\"\nkeepers = [\"a\"]\nlisten = \"127.0.0.1:2\"\ndir = \"/x\"\n",
		"[",
		"[state]\ndir = 7\n",
	} {
		file := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Load(file)
		if err == nil {
			err = f.FieldError("fleet.name", "is wrong here", "correct it")
		}
		fmt.Fprintf(&all, "%q\n%s\n", text, strings.ReplaceAll(err.Error(), file, "FILE"))
	}
	_, err := Load("/nowhere/operator.toml")
	fmt.Fprintln(&all, err)
	goldentest.CompareFile(t, golden, []byte(all.String()))
}
