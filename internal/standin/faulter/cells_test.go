package faulter

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

// Guards against a cell that is empty, that names a test which does not exist,
// or that names a red test which KNOWN-RED.txt does not list.
func TestTable(t *testing.T) {
	known, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	assert.NilError(t, err)
	functions := make(map[string]map[string]bool)
	for _, f := range Faults() {
		for _, s := range Steps() {
			c := Table(f, s)
			set := 0
			for _, is := range []bool{len(c.Tests) > 0, c.Never != "", c.Red != ""} {
				if is {
					set++
				}
			}
			assert.Check(t, set == 1, "%s at %s: %+v", f, s, c)
			for _, test := range c.Tests {
				if functions[test.Package] == nil {
					functions[test.Package] = testsOf(t, test.Package)
				}
				assert.Check(t, functions[test.Package][test.Name], "%s at %s: %s has no %s", f, s, test.Package, test.Name)
			}
			if c.Red != "" {
				assert.Check(t, regexp.MustCompile(`(?m)^`+c.Red+`$`).Match(known), "%s at %s: %s", f, s, c.Red)
			}
		}
	}
}

// testsOf returns the names of the test functions of a package.
func testsOf(t *testing.T, pkg string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	assert.NilError(t, err)
	names := make(map[string]bool)
	for _, file := range files {
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		assert.NilError(t, err)
		for _, d := range tree.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}

// Guards against a page that shows another table than the one in code.
func TestPage(t *testing.T) {
	path := filepath.Join(root, "docs", "faults.md")
	if os.Getenv("WRITE_PAGE") != "" {
		assert.NilError(t, os.WriteFile(path, []byte(Page()), 0o644))
	}
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, string(page) == Page(), "docs/faults.md differs: run WRITE_PAGE=1 go test -run TestPage ./internal/standin/faulter")
}
