package goosecommand_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a metric that the operations page does not describe, and
// against a metric that the page describes but no instance exports.
func TestOperationsPageListsMetrics(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	got := sortUnique(regexp.MustCompile(`gooseberryhold_[a-z_]+`).FindAllString(string(page), -1))
	var want []string
	for _, root := range []string{"../../internal", "../../pkg"} {
		want = append(want, definedMetrics(t, root)...)
	}
	if want = sortUnique(want); len(want) == 0 {
		t.Fatal("got no metrics in the code, want some")
	}
	if !slices.Equal(got, want) {
		t.Errorf("metrics on the page: got %v, want %v", got, want)
	}
}

// definedMetrics returns the metrics that the Go files under root define.
func definedMetrics(t *testing.T, root string) []string {
	t.Helper()
	definition := regexp.MustCompile(`(?:(?:metrics|set)\.(?:New|GetOrCreate)\w+|gauge)\([^\n]*?(gooseberryhold_[a-z_]+)`)
	var metrics []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, m := range definition.FindAllStringSubmatch(string(code), -1) {
			metrics = append(metrics, m[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return metrics
}

func sortUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
