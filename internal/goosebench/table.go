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

// write writes the report as JSON and its plots to a directory, and a table to out.
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
	if err := r.writePlots(dir); err != nil {
		return err
	}
	return r.writeTable(out)
}

// writeTable prints the report as text.
func (r *Report) writeTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "scenario %s, fleet %s, seed %d\n\n", r.Scenario, r.Fleet, r.Load.Seed)
	fmt.Fprintln(w, "phase\trequests\tserved\trefused\tfailed\tcut\twrong\ttries\tseconds")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", p.Name, p.Requests, p.Results[ResultServed], p.Results[ResultRefused],
			p.Results[ResultFailed], p.Results[ResultCut], p.Results[ResultWrong], p.Tries, p.Seconds)
	}
	r.writeLatencies(w)
	r.writeCounts(w)
	r.writeSummaries(w)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "table")
	}
	if len(r.Bars) > 0 {
		fmt.Fprintln(out, r.barSummary())
	}
	return nil
}

func latencyCells(l Latency) string {
	return fmt.Sprintf("%d\t%.0f\t%.0f\t%.0f\t%.0f", l.Count, l.P50, l.P95, l.P99, l.Max)
}

func (r *Report) writeLatencies(w io.Writer) {
	fmt.Fprintln(w, "\nfirst answer, ms\tkind\tcount\tp50\tp95\tp99\tmax")
	for _, p := range r.Phases {
		for _, c := range []goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant} {
			if l, ok := p.FirstTokenByClass[c]; ok {
				fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, c, latencyCells(l))
			}
		}
		for _, k := range []Kind{KindOrder, KindLookup} {
			if l, ok := p.LatencyByKind[k]; ok {
				fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, k, latencyCells(l))
			}
		}
		fmt.Fprintf(w, "%s\tlongest gap\t%s\n", p.Name, latencyCells(p.LongestGap))
	}
}

func (r *Report) writeCounts(w io.Writer) {
	fmt.Fprintln(w, "\norders\tplaced\tserved\tnot-run\tunknown\texecuted\tdoubles\tlost\tfalse not-run")
	for _, p := range r.Phases {
		o := p.Orders
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, o.Placed, o.Served, o.NotRun, o.Unknown, o.Executed, o.RanRepeatedly, o.Lost, o.FalseNotRun)
	}
	fmt.Fprintln(w, "\nengines\tgenerated\treceived\twasted: cancelled\tcrashed\tforwarding\tcold overloads\tcrashes\tKV left\thandles left\tstreams left")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Waste.Generated, p.Waste.Received, p.Waste.Undelivered["cancelled"],
			p.Waste.Undelivered["crashed"], p.Waste.LostInForwarding, p.ColdOverloads, p.Crashes, p.StillHeld.KVTokens, p.StillHeld.Handles, p.StillHeld.Streams)
	}
	fmt.Fprintln(w, "\nmodel work\tserved requests/s\tserved tokens/s\trefusals\tanswered in ms p50\tp95\tp99")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\n", p.Name, p.Goodput.Requests, p.Goodput.Tokens,
			p.RefusalLatency.Count, p.RefusalLatency.P50, p.RefusalLatency.P95, p.RefusalLatency.P99)
	}
	fmt.Fprintln(w, "\nrefusals by code")
	for _, p := range r.Phases {
		if len(p.Refusals) > 0 {
			fmt.Fprintf(w, "%s\t%s\n", p.Name, formatCounts(p.Refusals))
		}
	}
}

// formatCounts returns the counts of a map, ordered by name.
func formatCounts(m map[string]int) string {
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

func (r *Report) writeSummaries(w io.Writer) {
	if len(r.Slowdown) > 0 {
		fmt.Fprintln(w, "\nslowdown of short requests beside long ones\tp50\tp95\tp99\tpaired median")
		names := make([]string, 0, len(r.Slowdown))
		for n := range r.Slowdown {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			s := r.Slowdown[n]
			fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", n, s.P50, s.P95, s.P99, s.PairedMedian)
		}
	}
	if l := r.LeaveReturn; l != nil {
		fmt.Fprintf(w, "\n%s\tlast new work after leave\t%.2f s\tfull use after return\t%.2f s\n", l.DataCentre, l.LastNewWorkSeconds, l.FullUseSeconds)
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
