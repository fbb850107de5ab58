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

// InstanceCost is the resource use of one instance; rates are per second.
type InstanceCost struct {
	Instance string `json:"instance"`
	// IsRelay is set for the lowest-named instance of each data centre.
	IsRelay         bool `json:"relay"`
	DispatchedPools int  `json:"pools"`
	// CPUPercent is in percent of one core.
	CPUPercent float64 `json:"processor-percent"`
	ResidentMB float64 `json:"resident-mb"`
	Goroutines float64 `json:"goroutines"`
	// UDPSentKB and UDPReceivedKB are UDP payload in KB/s; UDPPacketsReceived counts
	// received packets.
	UDPSentKB          float64 `json:"udp-sent-kb"`
	UDPReceivedKB      float64 `json:"udp-received-kb"`
	UDPPacketsReceived float64 `json:"udp-packets-received"`
	// Dials counts connections that the instance began to open.
	Dials float64 `json:"dials"`
	// SentBytes and SentMessages are the bytes and the number of CBOR messages sent,
	// by kind of call.
	SentBytes    map[string]float64 `json:"sent-bytes"`
	SentMessages map[string]float64 `json:"sent-messages"`
}

// ScalePoint is the result of one shape.
type ScalePoint struct {
	Series        string         `json:"series"`
	Value         float64        `json:"value"`
	Shape         shape          `json:"shape"`
	Requests      int            `json:"requests"`
	Served        int            `json:"served"`
	InstanceCosts []InstanceCost `json:"costs"`
	// StoreCalls are the fleet's calls to the store per second, by kind. OpenWatches
	// is the number of open watches.
	StoreCalls  map[string]float64 `json:"store-calls"`
	OpenWatches int                `json:"watches"`
	// ListReads are the fleet's reads of the instance list per second, ListBytes is
	// the length of the list, and ListReceivedKB are the responses in KB/s per
	// instance.
	ListReads      float64 `json:"list-reads"`
	ListBytes      int     `json:"list-bytes"`
	ListReceivedKB float64 `json:"list-received-kb"`
	// InForceSeconds are the times from an operator command until its change was in
	// force at every instance.
	InForceSeconds []float64 `json:"in-force-seconds,omitempty"`
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
	Started       time.Time     `json:"started"`
	WindowSeconds float64       `json:"window-seconds"`
	Points        []*ScalePoint `json:"points"`
	Slopes        []Slope       `json:"slopes"`
	Failures      []string      `json:"failures,omitempty"`
}

// computeRates sets the rates between two readings.
func (p *ScalePoint) computeRates(before, after fleetReading) {
	for name, end := range after.instances {
		start := before.instances[name]
		seconds := end.at.Sub(start.at).Seconds()
		rate := func(metric string) float64 { return (end.metrics[metric] - start.metrics[metric]) / seconds }
		c := InstanceCost{
			Instance: name, IsRelay: after.relays[name], DispatchedPools: end.dispatchedPools, Goroutines: end.goroutines,
			CPUPercent: 100 * (end.cpuSeconds - start.cpuSeconds) / seconds, ResidentMB: end.residentBytes / 1e6,
			UDPSentKB:          rate(`gooseberryhold_peer_udp_bytes_total{direction="sent"}`) / 1e3,
			UDPReceivedKB:      rate(`gooseberryhold_peer_udp_bytes_total{direction="received"}`) / 1e3,
			UDPPacketsReceived: rate(`gooseberryhold_peer_udp_packets_received_total`),
			Dials:              rate(`gooseberryhold_peer_dials_total`),
			SentBytes:          map[string]float64{}, SentMessages: map[string]float64{},
		}
		for metric := range end.metrics {
			if kind, ok := sentCallKind(metric, "bytes"); ok {
				c.SentBytes[kind] = rate(metric)
			}
			if kind, ok := sentCallKind(metric, "messages"); ok {
				c.SentMessages[kind] = rate(metric)
			}
		}
		p.InstanceCosts = append(p.InstanceCosts, c)
	}
	sort.Slice(p.InstanceCosts, func(i, j int) bool { return p.InstanceCosts[i].Instance < p.InstanceCosts[j].Instance })
	window := after.at.Sub(before.at).Seconds()
	p.ListReads = float64(after.listCounters.Reads-before.listCounters.Reads) / window
	p.ListBytes = after.listCounters.LastListBytes
	p.ListReceivedKB = float64(after.listCounters.Bytes-before.listCounters.Bytes) / 1e3 / window / float64(max(1, len(p.InstanceCosts)))
	p.StoreCalls, p.OpenWatches = map[string]float64{}, after.openWatches
	for kind, n := range after.storeCalls {
		p.StoreCalls[kind] = float64(n-before.storeCalls[kind]) / window
	}
}

// sentCallKind returns the kind of call that a metric of sent bytes or messages
// counts. It returns false for other metrics.
func sentCallKind(metric, unit string) (string, bool) {
	kind, ok := strings.CutPrefix(metric, "gooseberryhold_peer_"+unit+`_total{direction="sent",kind="`)
	return strings.TrimSuffix(kind, `"}`), ok
}

// measure is a figure of a point; a line is fitted to it over each series.
type measure struct {
	name  string
	value func(*ScalePoint) float64
}

func measures() []measure {
	mean := func(figure func(InstanceCost) float64) func(*ScalePoint) float64 {
		return func(p *ScalePoint) float64 { return p.mean(figure) }
	}
	return []measure{
		{"processor, % of a core", mean(cpuPercent)},
		{"resident, MB", mean(residentMB)},
		{"UDP sent, KB/s", mean(udpSentKB)},
		{"UDP sent by the relay, KB/s", func(p *ScalePoint) float64 { return p.relayMean(udpSentKB) }},
		{"CBOR sent, KB/s", mean(func(c InstanceCost) float64 { return sumValues(c.SentBytes) / 1e3 })},
		{"messages sent, 1/s", mean(func(c InstanceCost) float64 { return sumValues(c.SentMessages) })},
		{"store reads of the fleet, 1/s", func(p *ScalePoint) float64 { return p.storeReads() }},
		{"store writes of the fleet, 1/s", func(p *ScalePoint) float64 { return p.storeWrites() }},
	}
}

func cpuPercent(c InstanceCost) float64    { return c.CPUPercent }
func residentMB(c InstanceCost) float64    { return c.ResidentMB }
func udpSentKB(c InstanceCost) float64     { return c.UDPSentKB }
func udpReceivedKB(c InstanceCost) float64 { return c.UDPReceivedKB }

func sumValues(m map[string]float64) float64 {
	total := 0.0
	for _, v := range m {
		total += v
	}
	return total
}

func (p *ScalePoint) mean(figure func(InstanceCost) float64) float64 {
	total := 0.0
	for _, c := range p.InstanceCosts {
		total += figure(c)
	}
	return total / float64(max(1, len(p.InstanceCosts)))
}

func (p *ScalePoint) relayMean(figure func(InstanceCost) float64) float64 {
	total, n := 0.0, 0
	for _, c := range p.InstanceCosts {
		if c.IsRelay {
			total, n = total+figure(c), n+1
		}
	}
	return total / float64(max(1, n))
}

func (p *ScalePoint) maximum(figure func(InstanceCost) float64) float64 {
	highest := 0.0
	for _, c := range p.InstanceCosts {
		highest = max(highest, figure(c))
	}
	return highest
}

// storeReads and storeWrites classify calls as the platform's limits do.
func (p *ScalePoint) storeReads() float64 { return p.StoreCalls["kv/range"] + p.StoreCalls["watch"] }

func (p *ScalePoint) storeWrites() float64 { return sumValues(p.StoreCalls) - p.storeReads() }

// fitSlopes fits a line to every measure of every series with at least two points.
func (r *ScaleReport) fitSlopes(measured []series) {
	for _, s := range measured {
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
				x[i], y[i] = p.Value, m.value(p)
			}
			l := Slope{Series: s.name, Quantity: s.quantity, Measure: m.name}
			l.Constant, l.Slope, l.R2 = leastSquares(x, y)
			r.Slopes = append(r.Slopes, l)
		}
	}
}

// leastSquares fits y = constant + slope x. If all x are equal, the slope is zero.
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

// write writes scale.json to a directory and the table to out.
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
	r.writeTable(w)
	return errors.Wrap(w.Flush(), "table")
}

func (r *ScaleReport) writeTable(w io.Writer) {
	fmt.Fprintln(w, "series\tvalue\tserved\tcpu % mean\tmax\tMB mean\tmax\tUDP sent KB/s mean\tmax\trelay\treceived max\tCBOR KB/s\tmessages/s\tdials/s\tstore reads/s\twrites/s\twatches\tlist reads/s\tlist bytes\tlist KB/s\tin force s")
	for _, p := range r.Points {
		fmt.Fprintf(w, "%s\t%g\t%d/%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\t%.1f\t%d\t%.2f\t%.2f\n",
			p.Series, p.Value, p.Served, p.Requests, p.mean(cpuPercent), p.maximum(cpuPercent), p.mean(residentMB), p.maximum(residentMB),
			p.mean(udpSentKB), p.maximum(udpSentKB), p.relayMean(udpSentKB), p.maximum(udpReceivedKB),
			p.mean(func(c InstanceCost) float64 { return sumValues(c.SentBytes) / 1e3 }), p.mean(func(c InstanceCost) float64 { return sumValues(c.SentMessages) }),
			p.mean(func(c InstanceCost) float64 { return c.Dials }), p.storeReads(), p.storeWrites(), p.OpenWatches, p.ListReads, p.ListBytes, p.ListReceivedKB, p.InForceSeconds)
	}
	r.writeCallKinds(w)
	fmt.Fprintln(w, "\nslope\tmeasure\tconstant\tper unit\tR2")
	for _, s := range r.Slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.6f\t%.3f\n", s.Series, s.Measure, s.Constant, s.Slope, s.R2)
	}
	for _, f := range r.Failures {
		fmt.Fprintln(w, "failed:", f)
	}
}

// writeCallKinds prints the mean messages and bytes of each point by kind of call, and
// its store calls.
func (r *ScaleReport) writeCallKinds(w io.Writer) {
	fmt.Fprintln(w, "\nseries\tvalue\tkind\tmessages/s\tbytes/s")
	for _, p := range r.Points {
		names := map[string]bool{}
		for _, c := range p.InstanceCosts {
			for k := range c.SentMessages {
				names[k] = true
			}
		}
		for _, k := range sortedKeys(names) {
			m := p.mean(func(c InstanceCost) float64 { return c.SentMessages[k] })
			if m > 0 {
				fmt.Fprintf(w, "%s\t%g\t%s\t%.2f\t%.0f\n", p.Series, p.Value, k, m, p.mean(func(c InstanceCost) float64 { return c.SentBytes[k] }))
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
