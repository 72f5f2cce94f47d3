package archtest

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	module = "spurtrestle"
	core   = module + "/core"
)

// goPackage is what `go list -json` tells of a package, without its tests.
type goPackage struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Imports    []string
	Deps       []string
}

// list runs `go list` for all packages of the module.
func list(t *testing.T) (all []goPackage) {
	t.Helper()
	command := exec.Command("go", "list", "-json=ImportPath,Dir,GoFiles,Imports,Deps", module+"/...")
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p goPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return all
		} else if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
}

// within tells whether a package is one of these folders or below one.
func within(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool {
		return path == module+"/"+folder || strings.HasPrefix(path, module+"/"+folder+"/")
	})
}

// pureImports are the packages of the standard library that reach neither clock nor sockets, files or goroutines.
var pureImports = []string{"bytes", "cmp", "encoding/binary", "errors", "fmt", "hash/crc32", "hash/crc64", "hash/fnv", "iter", "maps", "math",
	"math/bits", "math/rand/v2", "net/netip", "slices", "strconv", "strings"}

// The packages below core decide. They get time, randomness and what happened as arguments.
func TestCoreIsPure(t *testing.T) {
	found := 0
	for _, p := range list(t) {
		if !within(p.ImportPath, "core") {
			continue
		}
		found++
		for _, i := range p.Imports {
			if !strings.HasPrefix(i, core+"/") && !slices.Contains(pureImports, i) {
				t.Errorf("%s imports %s", p.ImportPath, i)
			}
		}
		for _, file := range p.GoFiles {
			noConcurrency(t, filepath.Join(p.Dir, file))
		}
	}
	if found == 0 {
		t.Error("there is no package below core")
	}
}

// noConcurrency finds goroutines and channels in a file.
func noConcurrency(t *testing.T, file string) {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
			t.Errorf("%v: a deciding package has no goroutines and no channels", files.Position(n.Pos()))
		}
		return true
	})
}

// Each rule says what must not be imported, and by whom.
func TestImportsPointDownwards(t *testing.T) {
	rules := []struct {
		why       string
		by        []string // folders
		but       []string // of these none
		forbidden []string
	}{
		{"decisions know nothing of what carries them out", []string{"core"}, nil, []string{"internal", "cmd", "simwire"}},
		{"the lab and the tools stand above the router", []string{"core", "internal", "simwire", "cmd"}, []string{"internal/lab", "cmd/cache-routerctl"},
			[]string{"internal/lab", "internal/scale"}},
		{"scale's results and slopes are read without the harness", []string{"internal/scale"}, nil, []string{"internal/lab"}},
		{"the router knows no fleet, no policy's log and no front but its own", []string{"internal/router"}, nil,
			[]string{"internal/gossip", "internal/controlplane", "internal/grpcfront", "internal/program", "internal/policy"}},
		{"a protocol knows requests, and no router", []string{"internal/wire", "internal/resp", "internal/httpwire"}, nil,
			[]string{"internal/router", "internal/program", "internal/discovery"}},
		{"protocols know nothing of one another", []string{"internal/wire/http1"}, nil, []string{"internal/wire/resp2", "internal/resp"}},
		{"protocols know nothing of one another", []string{"internal/wire/resp2"}, nil, []string{"internal/wire/http1", "internal/httpwire"}},
	}
	packages := list(t)
	for _, rule := range rules {
		seen := 0
		for _, p := range packages {
			if !within(p.ImportPath, rule.by...) || within(p.ImportPath, rule.but...) || within(p.ImportPath, "internal/scale") && !slices.Contains(rule.by, "internal/scale") {
				continue
			}
			seen++
			for _, i := range p.Imports {
				if within(i, rule.forbidden...) {
					t.Errorf("%s imports %s: %s", p.ImportPath, i, rule.why)
				}
			}
		}
		if seen == 0 {
			t.Errorf("there is no package in %v", rule.by)
		}
	}
}

// The plain program is without the fleet and its libraries: what they link in costs each start some time.
func TestPlainProgramLinksNoFleet(t *testing.T) {
	for _, p := range list(t) {
		if p.ImportPath != module+"/cmd/cache-router" {
			continue
		}
		for _, dep := range p.Deps {
			if within(dep, "internal/gossip", "internal/controlplane", "internal/grpcfront", "internal/lab") ||
				strings.HasPrefix(dep, "github.com/hashicorp/") || strings.HasPrefix(dep, "google.golang.org/grpc") {
				t.Errorf("%s depends on %s", p.ImportPath, dep)
			}
		}
		return
	}
	t.Error("there is no cmd/cache-router")
}
