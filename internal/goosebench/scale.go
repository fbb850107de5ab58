package goosebench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// shape is the fleet and the traffic of one point of a scale run.
type shape struct {
	DataCentres int `json:"data-centres"`
	// Instances counts the instances of each data centre, Replicas the replicas of
	// each pool in each data centre.
	Instances  int `json:"instances"`
	Pools      int `json:"pools"`
	Replicas   int `json:"replicas"`
	Workspaces int `json:"workspaces"`
	// ModelRate and OrderRate are in requests per second for the whole fleet.
	ModelRate float64 `json:"model-rate"`
	OrderRate float64 `json:"order-rate"`
	// OutputTokens is the length of every model output.
	OutputTokens     int     `json:"output-tokens"`
	ChangesPerMinute float64 `json:"changes"`
	// CrashesBefore is the number of instances that each get a request that crashes
	// its engine before the first reading, so that each of them has called every other
	// instance once.
	CrashesBefore int `json:"crashes,omitempty"`
	// CrashesInWindow is the number of instances that each get such a request between
	// the two readings. It measures the cost of announcing a crash to the other
	// instances.
	CrashesInWindow int `json:"marks,omitempty"`
	// StoreDown makes the store unavailable before the first reading.
	StoreDown bool `json:"store-down,omitempty"`
	// TimeScale is simulated seconds per real second in the engines.
	TimeScale float64 `json:"speed"`
}

// baseShape is the shape from which each series varies one quantity.
var baseShape = shape{DataCentres: 1, Instances: 4, Pools: 4, Replicas: 4, Workspaces: 10, OutputTokens: 480, TimeScale: 4}

// series varies one quantity of baseShape.
type series struct {
	name, quantity string
	values         []float64
	apply          func(s *shape, v float64)
}

// applyDesignTarget replaces the shape by one data centre of the design target, with
// the given share of its load. The design target is 330 nodes, 1,400 replicas, 870
// requests/s and 420,000 tokens/s over 13 data centres.
func applyDesignTarget(s *shape, share float64) {
	*s = shape{
		DataCentres: 1, Instances: 25, Pools: 4, Replicas: 27, Workspaces: 10_000,
		ModelRate: 67 * share, OutputTokens: 483, ChangesPerMinute: 2, TimeScale: 1,
	}
}

func allSeries() []series {
	return []series{
		{"instances", "instances in a data centre", []float64{2, 4, 8, 16, 25}, func(s *shape, v float64) { s.Instances = int(v) }},
		{"data-centres", "data centres of two instances", []float64{1, 6, 13}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Replicas = int(v), 2, 1
		}},
		{"pools", "pools of a data centre", []float64{1, 4, 16}, func(s *shape, v float64) { s.Pools = int(v) }},
		{"replicas", "replicas of each of four pools", []float64{2, 27, 54}, func(s *shape, v float64) { s.Replicas = int(v) }},
		{"workspaces", "workspaces", []float64{10, 1_000, 10_000}, func(s *shape, v float64) { s.Workspaces = int(v) }},
		{"requests", "model requests per second, 480 tokens each", []float64{0, 5, 20}, func(s *shape, v float64) {
			s.Replicas, s.ModelRate = 8, v
		}},
		{"orders", "orders per second", []float64{0, 20, 100}, func(s *shape, v float64) { s.OrderRate = v }},
		{"changes", "configuration changes per minute, 10,000 workspaces", []float64{0, 6, 30}, func(s *shape, v float64) {
			s.Workspaces, s.ChangesPerMinute = 10_000, v
		}},
		{"changes-elsewhere", "configuration changes per minute, 4 data centres of 8 instances", []float64{0, 6}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.ChangesPerMinute = 4, 8, 2, 2, v
		}},
		{"crashes", "instances, of 26, that told all others of a crash before", []float64{0, 26}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.CrashesBefore = 13, 2, 1, 2, int(v)
		}},
		{"marks", "crashes told to 24 instances in 4 data centres in the window", []float64{0, 1}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.CrashesInWindow = 4, 6, 1, 2, int(v)
		}},
		{"outage", "store of a data centre of 25 instances: 0 up, 1 down", []float64{0, 1}, func(s *shape, v float64) {
			s.Instances, s.StoreDown = 25, v > 0
		}},
		{"target", "share of the load of a data centre of the design target", []float64{0, 0.25, 0.5, 1}, applyDesignTarget},
	}
}

// modelService is the service that the load uses; it is that of the first pool.
const modelService = "model-0"

// spec returns the fleet of a shape.
func (sh shape) spec(bin string) goosefleet.Spec {
	spec := goosefleet.Spec{Name: "scale", Instances: sh.Instances * sh.DataCentres, ListLag: time.Second, Bin: bin}
	for i := range sh.DataCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc-%02d", i))
	}
	for i := range sh.Pools {
		spec.Services = append(spec.Services, goosefleet.Service{
			Name: fmt.Sprintf("model-%d", i), Idempotent: true, Deadline: time.Minute, Replicas: sh.Replicas * sh.DataCentres,
			MemoryTokens: 400_000, Concurrency: 32, ColdConcurrency: 8, ColdTokens: 400_000,
			Flags: []string{"--scale", strconv.FormatFloat(sh.TimeScale, 'g', -1, 64), "--cold=false"},
		})
	}
	if sh.OrderRate > 0 {
		spec.Services = append(spec.Services, goosefleet.Service{
			Name: "orders", Plain: true, Deadline: 20 * time.Second, Replicas: 3, Concurrency: 64, ColdConcurrency: 32,
			Flags: []string{"--cold=false"},
		})
	}
	for i := range sh.Workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		spec.Workspaces = append(spec.Workspaces, goosefleet.Workspace{Name: name, Key: "key-of-" + name, Weight: 1})
	}
	return spec
}

// load returns the traffic of a shape. All prompts are of the short class.
func (sh shape) load(duration time.Duration) Load {
	l := DefaultLoad()
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate = duration, sh.ModelRate, sh.OrderRate, 0
	l.MaxPrompt, l.LongPrompt, l.LongShare = 8_000, 8_000, 0
	l.MinOutput, l.MaxOutput = sh.OutputTokens, sh.OutputTokens
	l.Workspaces = sh.Workspaces
	return l
}

// scaleOptions are the flags of goosebench scale.
type scaleOptions struct {
	binDir, outDir, seriesNames, values string
	warmUp, window                      time.Duration
	log                                 *slog.Logger
}

func (o *scaleOptions) parse(args []string, stderr io.Writer) ([]series, error) {
	f := flag.NewFlagSet("goosebench scale", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.binDir, "bin", "bin", "directory of the program binaries")
	f.StringVar(&o.outDir, "out", "out", "directory for the report")
	f.StringVar(&o.seriesNames, "series", "", "comma-separated series to run; empty runs all")
	f.StringVar(&o.values, "values", "", "comma-separated values that replace those of the only series")
	f.DurationVar(&o.warmUp, "warm", 6*time.Second, "time before the first reading of a point")
	f.DurationVar(&o.window, "window", 8*time.Second, "time between the two readings of a point")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", f.Arg(0))
	}
	if o.warmUp < 0 || o.window < time.Second {
		return nil, errors.New("--warm must not be below zero and --window must be at least 1s")
	}
	selected, err := selectSeries(o.seriesNames)
	if err != nil || o.values == "" {
		return selected, err
	}
	if len(selected) != 1 {
		return nil, errors.New("--values: needs exactly one series in --series")
	}
	selected[0].values = nil
	for _, text := range strings.Split(o.values, ",") {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return nil, errors.Errorf("--values: %q is not a number, or below zero", text)
		}
		selected[0].values = append(selected[0].values, v)
	}
	return selected, nil
}

func selectSeries(names string) ([]series, error) {
	if names == "" {
		return allSeries(), nil
	}
	var selected []series
	for _, name := range strings.Split(names, ",") {
		found := false
		for _, s := range allSeries() {
			if s.name == name {
				selected, found = append(selected, s), true
			}
		}
		if !found {
			return nil, errors.Errorf("--series: unknown series %q", name)
		}
	}
	return selected, nil
}

// runScale measures the points of all selected series, one after the other.
func runScale(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := &scaleOptions{log: slog.New(slog.NewTextHandler(stderr, nil))}
	selected, err := o.parse(args, stderr)
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	r := &ScaleReport{Started: time.Now().UTC(), WindowSeconds: o.window.Seconds()}
	for _, s := range selected {
		for _, v := range s.values {
			p, err := o.measurePoint(ctx, s, v)
			if err != nil {
				o.log.Error("point failed", "series", s.name, "value", v, "error", err.Error())
				r.Failures = append(r.Failures, fmt.Sprintf("%s %g: %s", s.name, v, err))
				continue
			}
			r.Points = append(r.Points, p)
		}
	}
	r.fitSlopes(selected)
	if err := r.write(o.outDir, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if len(r.Failures) > 0 {
		return exitFailed
	}
	return exitOK
}

// measurePoint starts a fleet, sends the load and reads the counters at the start and
// the end of the window.
func (o *scaleOptions) measurePoint(ctx context.Context, s series, v float64) (*ScalePoint, error) {
	pointShape := baseShape
	s.apply(&pointShape, v)
	o.log.Info("point started", "series", s.name, "value", v)
	f, err := goosefleet.Start(ctx, pointShape.spec(o.binDir))
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if pointShape.CrashesBefore > 0 {
		crashEngines(ctx, f, pointShape.CrashesBefore)
		if !goose.Sleep(ctx, crashSettleTime) {
			return nil, ctx.Err()
		}
	}
	if err := f.SetStoreFault(ctx, map[string]bool{"down": pointShape.StoreDown}); err != nil {
		return nil, err
	}
	p := &ScalePoint{Series: s.name, Value: v, Shape: pointShape}
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background conc.WaitGroup
	defer background.Wait()
	defer stop()
	var served, planned int
	trafficDone := make(chan struct{})
	background.Go(func() {
		defer close(trafficDone)
		planned, served = o.sendTraffic(backgroundCtx, f, pointShape)
	})
	var changes []publishedChange
	changesDone := make(chan struct{})
	background.Go(func() {
		defer close(changesDone)
		changes = publishChanges(backgroundCtx, f, pointShape.ChangesPerMinute, o.warmUp, o.warmUp+o.window)
	})
	if !goose.Sleep(ctx, o.warmUp) {
		return nil, ctx.Err()
	}
	before, err := readFleet(ctx, f)
	if err != nil {
		return nil, err
	}
	background.Go(func() { crashEngines(backgroundCtx, f, pointShape.CrashesInWindow) })
	if !goose.Sleep(ctx, o.window) {
		return nil, ctx.Err()
	}
	after, err := readFleet(ctx, f)
	if err != nil {
		return nil, err
	}
	<-trafficDone
	<-changesDone
	p.Requests, p.Served = planned, served
	p.computeRates(before, after)
	p.InForceSeconds, err = inForceSeconds(f, changes)
	return p, err
}

// crashSettleTime is the wait for connections that the crashes opened to become
// unused.
const crashSettleTime = 20 * time.Second

// crashEngines sends a request that crashes its engine to each of n instances, one
// after the other.
func crashEngines(ctx context.Context, f *goosefleet.Fleet, n int) {
	for i, instance := range f.Instances[:min(n, len(f.Instances))] {
		t := &Target{Callers: []string{instance.Caller}, Workspaces: f.Workspaces, Model: modelService, ModelDeadline: 10 * time.Second}
		c := newCaller(t, "crash")
		c.do(ctx, Request{Kind: KindModel, PromptTokens: 1_000, OutputTokens: 16, Seed: uint64(i), CrashesEngine: true}, time.Now())
		c.http.CloseIdleConnections()
	}
}

// sendTraffic sends the load of a shape until the end of the window.
func (o *scaleOptions) sendTraffic(ctx context.Context, f *goosefleet.Fleet, pointShape shape) (planned, served int) {
	if pointShape.ModelRate+pointShape.OrderRate <= 0 {
		return 0, 0
	}
	t := &Target{
		Callers: []string{f.Balancer.Address}, Workspaces: f.Workspaces, Model: modelService, Orders: "orders",
		ModelDeadline: time.Minute, PlainDeadline: 20 * time.Second,
	}
	c := newCaller(t, strconv.FormatInt(time.Now().UnixNano(), 36))
	defer c.http.CloseIdleConnections()
	plan := NewPlan(pointShape.load(o.warmUp + o.window))
	outcomes := make([]Outcome, len(plan))
	start := time.Now()
	var requests conc.WaitGroup
	for i, q := range plan {
		if !goose.Sleep(ctx, time.Until(start.Add(q.At))) {
			break
		}
		// Requests alternate between the pools; otherwise only the first pool would
		// carry load.
		poolTarget := *t
		poolTarget.Model = fmt.Sprintf("model-%d", i%pointShape.Pools)
		poolCaller := &caller{target: &poolTarget, runID: c.runID, http: c.http}
		requests.Go(func() { outcomes[i] = poolCaller.do(ctx, q, start) })
	}
	requests.Wait()
	for _, outcome := range outcomes {
		if outcome.Result == ResultServed {
			served++
		}
	}
	return len(plan), served
}
