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

// goPackage holds the fields of `go list -json` that the tests use. They do not include the package's own tests.
type goPackage struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Imports    []string
	Deps       []string
}

// list returns all packages of the module, as listed by `go list`.
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

// within reports whether a package is in one of the directories or below it.
func within(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool {
		return path == module+"/"+folder || strings.HasPrefix(path, module+"/"+folder+"/")
	})
}

// pureImports lists the standard library packages that core may import: they use no clock, sockets, files or goroutines.
var pureImports = []string{"bytes", "cmp", "encoding/binary", "errors", "fmt", "hash/crc32", "hash/crc64", "hash/fnv", "iter", "maps", "math",
	"math/bits", "math/rand/v2", "net/netip", "slices", "strconv", "strings"}

// The packages below core make decisions only: they get the time, randomness and events as arguments, so they must not do I/O or
// start goroutines.
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
		t.Error("no package found below core")
	}
}

// noConcurrency fails the test if a file uses goroutines or channels.
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
			t.Errorf("%v: packages below core must not use goroutines or channels", files.Position(n.Pos()))
		}
		return true
	})
}

// Each rule lists directories whose packages must not import others.
func TestImportsPointDownwards(t *testing.T) {
	rules := []struct {
		reason      string
		directories []string
		except      []string
		forbidden   []string
	}{
		{"decision logic must not depend on the code that executes its decisions", []string{"core"}, nil, []string{"internal", "cmd", "simwire"}},
		{"the router must not depend on the lab or on the tools", []string{"core", "internal", "simwire", "cmd"}, []string{"internal/lab", "cmd/cache-routerctl"},
			[]string{"internal/lab", "internal/scale"}},
		{"scale results and models must be usable without the test harness", []string{"internal/scale"}, nil, []string{"internal/lab"}},
		{"the router must not depend on fleet membership, the replicated policy log or other client protocols", []string{"internal/router"}, nil,
			[]string{"internal/gossip", "internal/controlplane", "internal/grpcfront", "internal/program", "internal/policy"}},
		{"protocol packages must not depend on the router", []string{"internal/wire", "internal/resp", "internal/httpwire"}, nil,
			[]string{"internal/router", "internal/program", "internal/discovery"}},
		{"protocol packages must not depend on each other", []string{"internal/wire/http1"}, nil, []string{"internal/wire/resp2", "internal/resp"}},
		{"protocol packages must not depend on each other", []string{"internal/wire/resp2"}, nil, []string{"internal/wire/http1", "internal/httpwire"}},
	}
	packages := list(t)
	for _, rule := range rules {
		matched := 0
		for _, p := range packages {
			if !within(p.ImportPath, rule.directories...) || within(p.ImportPath, rule.except...) || within(p.ImportPath, "internal/scale") && !slices.Contains(rule.directories, "internal/scale") {
				continue
			}
			matched++
			for _, i := range p.Imports {
				if within(i, rule.forbidden...) {
					t.Errorf("%s imports %s: %s", p.ImportPath, i, rule.reason)
				}
			}
		}
		if matched == 0 {
			t.Errorf("no package found in %v", rule.directories)
		}
	}
}

// The plain router binary must not link fleet membership and its libraries: their initialization would slow down every start.
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
	t.Error("package cmd/cache-router not found")
}
