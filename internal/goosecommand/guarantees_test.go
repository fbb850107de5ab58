package goosecommand_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a page of guarantees that names tests which do not exist, for example after
// a rename.
func TestGuaranteesNameTests(t *testing.T) {
	t.Parallel()
	defined := definedTests(t, "../..")
	if len(defined) == 0 {
		t.Fatal("got no tests in the code, want some")
	}
	pages := []string{"../../docs/guarantees.md"}
	incidents, err := filepath.Glob("../../docs/incidents/*.md")
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile("`(Test[A-Z][A-Za-z0-9_]*)`")
	for _, path := range append(pages, incidents...) {
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range name.FindAllStringSubmatch(string(page), -1) {
			if !defined[m[1]] {
				t.Errorf("%s names %s, which does not exist", filepath.Base(path), m[1])
			}
		}
	}
}

// definedTests returns the names of the tests under root.
func definedTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	definition := regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9_]*)\(`)
	defined := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, m := range definition.FindAllStringSubmatch(string(code), -1) {
			defined[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return defined
}
