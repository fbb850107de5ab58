package gooseevent

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const page = "../../docs/events.md"

func render(events []Event) string {
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries its number in the field `event`. Numbers are never reused: 1xx instance, 2xx configuration, 3xx pools, 4xx backend servers, 5xx requests and orders, 6xx members. This page is written by `go test ./internal/gooseevent -update`.\n\n| event | level | message | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning)
	}
	return b.String()
}

// Guards against events that are missing from docs/events.md or differ from it.
func TestCatalogueMatchesPage(t *testing.T) {
	t.Parallel()
	want := render(Catalogue())
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/events.md does not match the catalogue; run 'go test ./internal/gooseevent -update'")
	}
}

// Guards against two events with the same number.
func TestNumbersAreUnique(t *testing.T) {
	t.Parallel()
	defer func() {
		if recover() == nil {
			t.Error("got no panic for a number defined twice")
		}
	}()
	define(catalogue[0].Number, 0, "again", "")
}
