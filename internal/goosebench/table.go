package goosebench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// write writes the report as JSON and plots into a directory and as a table to
// out.
func (r *Report) write(dir string, out io.Writer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "output directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(dir, r.Scenario+".json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	if err := r.plot(dir); err != nil {
		return err
	}
	return r.table(out)
}

// table prints the report for people.
func (r *Report) table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "scenario %s, fleet %s, seed %d\n\n", r.Scenario, r.Fleet, r.Load.Seed)
	fmt.Fprintln(w, "phase\trequests\tserved\trefused\tfailed\tcut\twrong\ttries\tseconds")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", p.Name, p.Requests, p.Results[ResultServed], p.Results[ResultRefused],
			p.Results[ResultFailed], p.Results[ResultCut], p.Results[ResultWrong], p.Tries, p.Seconds)
	}
	r.latencies(w)
	r.resources(w)
	r.summaries(w)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "table")
	}
	if len(r.Bars) > 0 {
		fmt.Fprintln(out, r.barLine())
	}
	return nil
}

func latencyCells(l Latency) string {
	return fmt.Sprintf("%d\t%.0f\t%.0f\t%.0f\t%.0f", l.Count, l.P50, l.P95, l.P99, l.Max)
}

func (r *Report) latencies(w io.Writer) {
	fmt.Fprintln(w, "\nfirst answer, ms\tkind\tcount\tp50\tp95\tp99\tmax")
	for _, p := range r.Phases {
		for _, c := range []goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant} {
			if l, ok := p.ByClass[c]; ok {
				fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, c, latencyCells(l))
			}
		}
		for _, k := range []Kind{KindOrder, KindLookup} {
			if l, ok := p.ByKind[k]; ok {
				fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, k, latencyCells(l))
			}
		}
		fmt.Fprintf(w, "%s\tlongest gap\t%s\n", p.Name, latencyCells(p.Gaps))
	}
}

func (r *Report) resources(w io.Writer) {
	fmt.Fprintln(w, "\norders\tplaced\tserved\tnot-run\tunknown\texecuted\tdoubles\tlost\tfalse not-run")
	for _, p := range r.Phases {
		o := p.Orders
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, o.Placed, o.Served, o.NotRun, o.Unknown, o.Executed, o.Doubles, o.Lost, o.FalseNotRun)
	}
	fmt.Fprintln(w, "\nengines\tgenerated\treceived\twasted: cancelled\tcrashed\tforwarding\tcold overloads\tcrashes\tKV left\thandles left\tstreams left")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Waste.Generated, p.Waste.Received, p.Waste.Causes["cancelled"],
			p.Waste.Causes["crashed"], p.Waste.Forwarding, p.Overloads, p.Crashes, p.Left.KVTokens, p.Left.Handles, p.Left.Streams)
	}
	fmt.Fprintln(w, "\nmodel work\tserved requests/s\tserved tokens/s\trefusals\tanswered in ms p50\tp95\tp99")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\n", p.Name, p.Goodput.Requests, p.Goodput.Tokens,
			p.RefusedIn.Count, p.RefusedIn.P50, p.RefusedIn.P95, p.RefusedIn.P99)
	}
	fmt.Fprintln(w, "\nrefusals by code")
	for _, p := range r.Phases {
		if len(p.Refusals) > 0 {
			fmt.Fprintf(w, "%s\t%s\n", p.Name, counts(p.Refusals))
		}
	}
}

// counts lists a map's counts by name.
func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, m[n])
	}
	return strings.Join(names, ", ")
}

func (r *Report) summaries(w io.Writer) {
	if len(r.Slowdown) > 0 {
		fmt.Fprintln(w, "\nslowdown of short requests beside long ones\tp50\tp95\tp99\tpaired median")
		names := make([]string, 0, len(r.Slowdown))
		for n := range r.Slowdown {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			s := r.Slowdown[n]
			fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", n, s.P50, s.P95, s.P99, s.Paired)
		}
	}
	if l := r.Leave; l != nil {
		fmt.Fprintf(w, "\n%s\tlast new work after leave\t%.2f s\tfull use after return\t%.2f s\n", l.DataCentre, l.LastWork, l.FullUse)
		fmt.Fprintln(w, "\nservice\trequests\tserved\trefused\tfailed\tcut\tmodel p50 ms\tp95\tplain p50 ms\tp95")
		for _, p := range l.Periods {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\n", p.Name, p.Requests, p.Results[ResultServed], p.Results[ResultRefused],
				p.Results[ResultFailed], p.Results[ResultCut], p.Model.P50, p.Model.P95, p.Plain.P50, p.Plain.P95)
		}
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "\nno guarantee was seen broken")
	} else {
		fmt.Fprintln(w, "\nbroken guarantees")
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, v)
	}
	fmt.Fprintln(w, "\ndetails")
	for _, p := range r.Phases {
		for _, d := range p.Details {
			fmt.Fprintf(w, "%s: %s\n", p.Name, d)
		}
	}
}
