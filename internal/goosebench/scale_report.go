package goosebench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Cost is what one instance used; rates are per second.
type Cost struct {
	Instance string `json:"instance"`
	// Relay marks the lowest-named instance of its data centre.
	Relay bool `json:"relay"`
	// Pools is the number of pools that the instance dispatches.
	Pools int `json:"pools"`
	// Processor is in percent of a core, Resident in MB.
	Processor  float64 `json:"processor-percent"`
	Resident   float64 `json:"resident-mb"`
	Goroutines float64 `json:"goroutines"`
	// Sent and Received are UDP payload in KB/s, Packets the received ones.
	Sent     float64 `json:"udp-sent-kb"`
	Received float64 `json:"udp-received-kb"`
	Packets  float64 `json:"udp-packets-received"`
	// Dials are connections begun.
	Dials float64 `json:"dials"`
	// Bytes and Messages are CBOR bytes and messages sent, by kind of call.
	Bytes    map[string]float64 `json:"sent-bytes"`
	Messages map[string]float64 `json:"sent-messages"`
}

// ScalePoint is the result of one shape.
type ScalePoint struct {
	Series   string  `json:"series"`
	Value    float64 `json:"value"`
	Shape    shape   `json:"shape"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Costs    []Cost  `json:"costs"`
	// StoreCalls are the fleet's calls per second by kind; Watches the open ones.
	StoreCalls map[string]float64 `json:"store-calls"`
	Watches    int                `json:"watches"`
	// ListReads are the fleet's reads of the instance list per second, ListBytes
	// the length of the list, ListReceived the answers in KB/s per instance.
	ListReads    float64 `json:"list-reads"`
	ListBytes    int     `json:"list-bytes"`
	ListReceived float64 `json:"list-received-kb"`
	// InForce are the seconds from an operator's command until its change was
	// in force at every instance.
	InForce []float64 `json:"in-force-seconds,omitempty"`
}

// Slope is a least-squares line through the points of a series.
type Slope struct {
	Series   string  `json:"series"`
	Quantity string  `json:"quantity"`
	Measure  string  `json:"measure"`
	Constant float64 `json:"constant"`
	Slope    float64 `json:"slope"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// ScaleReport is the result of goosebench scale.
type ScaleReport struct {
	Started  time.Time     `json:"started"`
	Window   float64       `json:"window-seconds"`
	Points   []*ScalePoint `json:"points"`
	Slopes   []Slope       `json:"slopes"`
	Failures []string      `json:"failures,omitempty"`
}

// fill computes the rates between two readings.
func (p *ScalePoint) fill(before, after fleetReading) {
	for name, a := range after.instances {
		b := before.instances[name]
		s := a.at.Sub(b.at).Seconds()
		rate := func(metric string) float64 { return (a.metrics[metric] - b.metrics[metric]) / s }
		c := Cost{
			Instance: name, Relay: after.relays[name], Pools: a.pools, Goroutines: a.goroutines,
			Processor: 100 * (a.processor - b.processor) / s, Resident: a.resident / 1e6,
			Sent:     rate(`gooseberryhold_peer_udp_bytes_total{direction="sent"}`) / 1e3,
			Received: rate(`gooseberryhold_peer_udp_bytes_total{direction="received"}`) / 1e3,
			Packets:  rate(`gooseberryhold_peer_udp_packets_received_total`),
			Dials:    rate(`gooseberryhold_peer_dials_total`),
			Bytes:    map[string]float64{}, Messages: map[string]float64{},
		}
		for metric := range a.metrics {
			if kind, ok := sentKind(metric, "bytes"); ok {
				c.Bytes[kind] = rate(metric)
			}
			if kind, ok := sentKind(metric, "messages"); ok {
				c.Messages[kind] = rate(metric)
			}
		}
		p.Costs = append(p.Costs, c)
	}
	sort.Slice(p.Costs, func(i, j int) bool { return p.Costs[i].Instance < p.Costs[j].Instance })
	window := after.at.Sub(before.at).Seconds()
	p.ListReads = float64(after.list.Reads-before.list.Reads) / window
	p.ListBytes = after.list.Size
	p.ListReceived = float64(after.list.Bytes-before.list.Bytes) / 1e3 / window / float64(max(1, len(p.Costs)))
	p.StoreCalls, p.Watches = map[string]float64{}, after.watches
	for kind, n := range after.calls {
		p.StoreCalls[kind] = float64(n-before.calls[kind]) / window
	}
}

// sentKind returns the kind of call of a counter of sent bytes or messages.
func sentKind(metric, unit string) (string, bool) {
	rest, ok := strings.CutPrefix(metric, "gooseberryhold_peer_"+unit+`_total{direction="sent",kind="`)
	return strings.TrimSuffix(rest, `"}`), ok
}

// measure is a figure of a point that slopes are fitted to.
type measure struct {
	name string
	of   func(*ScalePoint) float64
}

func measures() []measure {
	mean := func(of func(Cost) float64) func(*ScalePoint) float64 {
		return func(p *ScalePoint) float64 { return p.mean(of) }
	}
	return []measure{
		{"processor, % of a core", mean(processor)},
		{"resident, MB", mean(resident)},
		{"UDP sent, KB/s", mean(sent)},
		{"UDP sent by the relay, KB/s", func(p *ScalePoint) float64 { return p.relayMean(sent) }},
		{"CBOR sent, KB/s", mean(func(c Cost) float64 { return sum(c.Bytes) / 1e3 })},
		{"messages sent, 1/s", mean(func(c Cost) float64 { return sum(c.Messages) })},
		{"store reads of the fleet, 1/s", func(p *ScalePoint) float64 { return p.reads() }},
		{"store writes of the fleet, 1/s", func(p *ScalePoint) float64 { return p.writes() }},
	}
}

func processor(c Cost) float64 { return c.Processor }
func resident(c Cost) float64  { return c.Resident }
func sent(c Cost) float64      { return c.Sent }
func received(c Cost) float64  { return c.Received }

func sum(m map[string]float64) float64 {
	t := 0.0
	for _, v := range m {
		t += v
	}
	return t
}

func (p *ScalePoint) mean(of func(Cost) float64) float64 {
	t := 0.0
	for _, c := range p.Costs {
		t += of(c)
	}
	return t / float64(max(1, len(p.Costs)))
}

func (p *ScalePoint) relayMean(of func(Cost) float64) float64 {
	t, n := 0.0, 0
	for _, c := range p.Costs {
		if c.Relay {
			t, n = t+of(c), n+1
		}
	}
	return t / float64(max(1, n))
}

func (p *ScalePoint) most(of func(Cost) float64) float64 {
	m := 0.0
	for _, c := range p.Costs {
		m = max(m, of(c))
	}
	return m
}

// reads and writes classify calls as the platform's limits do.
func (p *ScalePoint) reads() float64 { return p.StoreCalls["kv/range"] + p.StoreCalls["watch"] }

func (p *ScalePoint) writes() float64 { return sum(p.StoreCalls) - p.reads() }

// fit fits a line to every measure of every series.
func (r *ScaleReport) fit(all []series) {
	for _, s := range all {
		var points []*ScalePoint
		for _, p := range r.Points {
			if p.Series == s.name {
				points = append(points, p)
			}
		}
		if len(points) < 2 {
			continue
		}
		for _, m := range measures() {
			x, y := make([]float64, len(points)), make([]float64, len(points))
			for i, p := range points {
				x[i], y[i] = p.Value, m.of(p)
			}
			l := Slope{Series: s.name, Quantity: s.quantity, Measure: m.name}
			l.Constant, l.Slope, l.R2 = leastSquares(x, y)
			r.Slopes = append(r.Slopes, l)
		}
	}
}

// leastSquares fits y = constant + slope x. Equal x give a slope of zero.
func leastSquares(x, y []float64) (constant, slope, r2 float64) {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-mx, y[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 {
		return my, 0, 0
	}
	slope = xy / xx
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return my - slope*mx, slope, r2
}

// write writes scale.json into a directory and the table to out.
func (r *ScaleReport) write(dir string, out io.Writer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "output directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(dir, "scale.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.table(w)
	return errors.Wrap(w.Flush(), "table")
}

func (r *ScaleReport) table(w io.Writer) {
	fmt.Fprintln(w, "series\tvalue\tserved\tcpu % mean\tmax\tMB mean\tmax\tUDP sent KB/s mean\tmax\trelay\treceived max\tCBOR KB/s\tmessages/s\tdials/s\tstore reads/s\twrites/s\twatches\tlist reads/s\tlist bytes\tlist KB/s\tin force s")
	for _, p := range r.Points {
		fmt.Fprintf(w, "%s\t%g\t%d/%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\t%.1f\t%d\t%.2f\t%.2f\n",
			p.Series, p.Value, p.Served, p.Requests, p.mean(processor), p.most(processor), p.mean(resident), p.most(resident),
			p.mean(sent), p.most(sent), p.relayMean(sent), p.most(received),
			p.mean(func(c Cost) float64 { return sum(c.Bytes) / 1e3 }), p.mean(func(c Cost) float64 { return sum(c.Messages) }),
			p.mean(func(c Cost) float64 { return c.Dials }), p.reads(), p.writes(), p.Watches, p.ListReads, p.ListBytes, p.ListReceived, p.InForce)
	}
	r.kinds(w)
	fmt.Fprintln(w, "\nslope\tmeasure\tconstant\tper unit\tR2")
	for _, s := range r.Slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.6f\t%.3f\n", s.Series, s.Measure, s.Constant, s.Slope, s.R2)
	}
	for _, f := range r.Failures {
		fmt.Fprintln(w, "failed:", f)
	}
}

// kinds prints each point's mean messages and bytes by kind and store calls.
func (r *ScaleReport) kinds(w io.Writer) {
	fmt.Fprintln(w, "\nseries\tvalue\tkind\tmessages/s\tbytes/s")
	for _, p := range r.Points {
		names := map[string]bool{}
		for _, c := range p.Costs {
			for k := range c.Messages {
				names[k] = true
			}
		}
		for _, k := range sortedKeys(names) {
			m := p.mean(func(c Cost) float64 { return c.Messages[k] })
			if m > 0 {
				fmt.Fprintf(w, "%s\t%g\t%s\t%.2f\t%.0f\n", p.Series, p.Value, k, m, p.mean(func(c Cost) float64 { return c.Bytes[k] }))
			}
		}
		for _, k := range sortedKeys(p.StoreCalls) {
			fmt.Fprintf(w, "%s\t%g\tstore %s, fleet\t%.2f\t\n", p.Series, p.Value, k, p.StoreCalls[k])
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}
