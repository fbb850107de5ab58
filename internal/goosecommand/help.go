package goosecommand

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
)

const exitCodes = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 not found, 5 unavailable.\n"

func (a *App) help(w io.Writer) {
	fmt.Fprint(w, "gooseberryhold serves language models and plain services on many backend servers.\n\n")
	fmt.Fprint(w, "Usage: gooseberryhold <command> [arguments] [flags]\n\nCommands:\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		fmt.Fprintf(t, "  %s\t%s\n", c.name, c.short)
	}
	_ = t.Flush()
	fmt.Fprint(w, "\nSee 'gooseberryhold <command> --help' for one command.\n\n")
	fmt.Fprint(w, "Environment:\n"+
		"  GOOSEBERRYHOLD_OPERATOR        address of the operator API (--operator)\n"+
		"  GOOSEBERRYHOLD_OPERATOR_TOKEN  operator token (--token-file)\n"+
		"  GOOSEBERRYHOLD_SETTINGS        settings file of 'serve' and 'check' (--settings)\n\n"+exitCodes)
}

func (c command) help(w io.Writer, f *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage: gooseberryhold %s %s\n", c.long, c.name, c.usage)
	if len(c.examples) > 0 {
		fmt.Fprint(w, "\nExamples:\n")
	}
	for _, e := range c.examples {
		fmt.Fprintf(w, "  gooseberryhold %s\n", e)
	}
	first := true
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	f.VisitAll(func(x *flag.Flag) {
		if first {
			fmt.Fprint(w, "\nFlags:\n")
			first = false
		}
		value, text := flag.UnquoteUsage(x)
		if value != "" {
			value = " " + value
		}
		if x.DefValue != "" && x.DefValue != "false" && x.DefValue != "0" {
			text += " (default " + x.DefValue + ")"
		}
		fmt.Fprintf(t, "  --%s%s\t%s\n", x.Name, value, text)
	})
	_ = t.Flush()
	fmt.Fprint(w, "\n"+exitCodes)
}
