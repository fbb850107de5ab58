package goosecommand

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

var outputFormats = []string{"table", "json", "yaml"}

// outputFlag adds the flag --output and returns its value.
func outputFlag(f *flag.FlagSet) *string {
	out := "table"
	f.Func("output", "`format` of results: table, json or yaml (default table)", func(s string) error {
		if !slices.Contains(outputFormats, s) {
			return errors.Errorf("must be one of %s", strings.Join(outputFormats, ", "))
		}
		out = s
		return nil
	})
	return &out
}

// print writes v in the given format. The function table writes the format "table".
func (a *App) print(format string, v any, table func(w io.Writer)) error {
	if format == "table" {
		t := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
		table(t)
		return errors.Wrap(t.Flush(), "write result")
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write result")
	}
	data = append(data, '\n')
	if format == "yaml" {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	_, err = a.Stdout.Write(data)
	return errors.Wrap(err, "write result")
}

// writeRow writes one line of a table; empty cells are written as a hyphen.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		if s := fmt.Sprint(c); s != "" {
			fmt.Fprint(w, s)
		} else {
			fmt.Fprint(w, "-")
		}
	}
	fmt.Fprintln(w)
}
