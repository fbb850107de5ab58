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
	// Instances and Replicas are per data centre; Replicas is per pool.
	Instances  int `json:"instances"`
	Pools      int `json:"pools"`
	Replicas   int `json:"replicas"`
	Workspaces int `json:"workspaces"`
	// ModelRate and OrderRate are requests per second of the whole fleet.
	ModelRate float64 `json:"model-rate"`
	OrderRate float64 `json:"order-rate"`
	// OutputTokens is the length of every answer of a model.
	OutputTokens int `json:"output-tokens"`
	// Changes are configuration changes per minute.
	Changes float64 `json:"changes"`
	// Crashes is the number of instances that each get a request that crashes
	// its engine, so that they call every other instance once.
	Crashes int `json:"crashes,omitempty"`
	// Marks is the number of instances that get such a request between the two
	// readings, to measure what telling of a crash costs.
	Marks int `json:"marks,omitempty"`
	// StoreDown takes the store down before the first reading.
	StoreDown bool `json:"store-down,omitempty"`
	// Speed is simulated seconds per real second in the engines.
	Speed float64 `json:"speed"`
}

// base is the shape from which each series varies one quantity.
var base = shape{DataCentres: 1, Instances: 4, Pools: 4, Replicas: 4, Workspaces: 10, OutputTokens: 480, Speed: 4}

// series varies one quantity of the base.
type series struct {
	name, quantity string
	values         []float64
	apply          func(s *shape, v float64)
}

// target is the share of one data centre of the design target: 330 nodes, 1,400
// replicas, 870 requests/s and 420,000 tokens/s over 13 data centres.
func target(s *shape, v float64) {
	*s = shape{
		DataCentres: 1, Instances: 25, Pools: 4, Replicas: 27, Workspaces: 10_000,
		ModelRate: 67 * v, OutputTokens: 483, Changes: 2, Speed: 1,
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
			s.Workspaces, s.Changes = 10_000, v
		}},
		{"changes-elsewhere", "configuration changes per minute, 4 data centres of 8 instances", []float64{0, 6}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.Changes = 4, 8, 2, 2, v
		}},
		{"crashes", "instances, of 26, that told all others of a crash before", []float64{0, 26}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.Crashes = 13, 2, 1, 2, int(v)
		}},
		{"marks", "crashes told to 24 instances in 4 data centres in the window", []float64{0, 1}, func(s *shape, v float64) {
			s.DataCentres, s.Instances, s.Pools, s.Replicas, s.Marks = 4, 6, 1, 2, int(v)
		}},
		{"outage", "store of a data centre of 25 instances: 0 up, 1 down", []float64{0, 1}, func(s *shape, v float64) {
			s.Instances, s.StoreDown = 25, v > 0
		}},
		{"target", "share of the load of a data centre of the design target", []float64{0, 0.25, 0.5, 1}, target},
	}
}

// modelService is the service that the load asks for; it is the first pool.
const modelService = "model-0"

// spec describes the fleet of a shape.
func (s shape) spec(bin string) goosefleet.Spec {
	spec := goosefleet.Spec{Name: "scale", Instances: s.Instances * s.DataCentres, ListLag: time.Second, Bin: bin}
	for i := range s.DataCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc-%02d", i))
	}
	for i := range s.Pools {
		spec.Services = append(spec.Services, goosefleet.Service{
			Name: fmt.Sprintf("model-%d", i), Idempotent: true, Deadline: time.Minute, Replicas: s.Replicas * s.DataCentres,
			MemoryTokens: 400_000, Concurrency: 32, ColdConcurrency: 8, ColdTokens: 400_000,
			Flags: []string{"--scale", strconv.FormatFloat(s.Speed, 'g', -1, 64), "--cold=false"},
		})
	}
	if s.OrderRate > 0 {
		spec.Services = append(spec.Services, goosefleet.Service{
			Name: "orders", Plain: true, Deadline: 20 * time.Second, Replicas: 3, Concurrency: 64, ColdConcurrency: 32,
			Flags: []string{"--cold=false"},
		})
	}
	for i := range s.Workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		spec.Workspaces = append(spec.Workspaces, goosefleet.Workspace{Name: name, Key: "key-of-" + name, Weight: 1})
	}
	return spec
}

// load describes the traffic of a shape; prompts are of the short class.
func (s shape) load(d time.Duration) Load {
	l := DefaultLoad()
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate = d, s.ModelRate, s.OrderRate, 0
	l.MaxPrompt, l.LongPrompt, l.LongShare = 8_000, 8_000, 0
	l.MinOutput, l.MaxOutput = s.OutputTokens, s.OutputTokens
	l.Workspaces = s.Workspaces
	return l
}

// scaleOptions are the flags of goosebench scale.
type scaleOptions struct {
	bin, out, only, values string
	warm, window           time.Duration
	log                    *slog.Logger
}

func (o *scaleOptions) parse(args []string, stderr io.Writer) ([]series, error) {
	f := flag.NewFlagSet("goosebench scale", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	f.StringVar(&o.out, "out", "out", "directory for the report")
	f.StringVar(&o.only, "series", "", "comma-separated series to run; empty runs all")
	f.StringVar(&o.values, "values", "", "comma-separated values instead of those of the one series")
	f.DurationVar(&o.warm, "warm", 6*time.Second, "time before the first reading of a point")
	f.DurationVar(&o.window, "window", 8*time.Second, "time between the two readings of a point")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", f.Arg(0))
	}
	if o.warm < 0 || o.window < time.Second {
		return nil, errors.New("--warm must not be below zero and --window not below 1s")
	}
	picked, err := selectSeries(o.only)
	if err != nil || o.values == "" {
		return picked, err
	}
	if len(picked) != 1 {
		return nil, errors.New("--values: name one series with --series")
	}
	picked[0].values = nil
	for _, text := range strings.Split(o.values, ",") {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return nil, errors.Errorf("--values: %q is not a number of zero or more", text)
		}
		picked[0].values = append(picked[0].values, v)
	}
	return picked, nil
}

func selectSeries(only string) ([]series, error) {
	if only == "" {
		return allSeries(), nil
	}
	var picked []series
	for _, name := range strings.Split(only, ",") {
		found := false
		for _, s := range allSeries() {
			if s.name == name {
				picked, found = append(picked, s), true
			}
		}
		if !found {
			return nil, errors.Errorf("--series: no series %q", name)
		}
	}
	return picked, nil
}

// runScale measures the series one point after the other.
func runScale(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := &scaleOptions{log: slog.New(slog.NewTextHandler(stderr, nil))}
	picked, err := o.parse(args, stderr)
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	r := &ScaleReport{Started: time.Now().UTC(), Window: o.window.Seconds()}
	for _, s := range picked {
		for _, v := range s.values {
			p, err := o.point(ctx, s, v)
			if err != nil {
				o.log.Error("point failed", "series", s.name, "value", v, "error", err.Error())
				r.Failures = append(r.Failures, fmt.Sprintf("%s %g: %s", s.name, v, err))
				continue
			}
			r.Points = append(r.Points, p)
		}
	}
	r.fit(picked)
	if err := r.write(o.out, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if len(r.Failures) > 0 {
		return exitFailed
	}
	return exitDone
}

// point starts a fleet, loads it and reads it at both ends of the window.
func (o *scaleOptions) point(ctx context.Context, s series, v float64) (*ScalePoint, error) {
	sh := base
	s.apply(&sh, v)
	o.log.Info("point begins", "series", s.name, "value", v)
	f, err := goosefleet.Start(ctx, sh.spec(o.bin))
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if sh.Crashes > 0 {
		crash(ctx, f, sh.Crashes)
		if !goose.Sleep(ctx, crashPause) {
			return nil, ctx.Err()
		}
	}
	if err := f.StoreFault(ctx, map[string]bool{"down": sh.StoreDown}); err != nil {
		return nil, err
	}
	p := &ScalePoint{Series: s.name, Value: v, Shape: sh}
	side, stop := context.WithCancel(ctx)
	defer stop()
	var beside conc.WaitGroup
	defer beside.Wait()
	defer stop()
	var served, asked int
	loaded := make(chan struct{})
	beside.Go(func() {
		defer close(loaded)
		asked, served = o.traffic(side, f, sh)
	})
	var changes []change
	changed := make(chan struct{})
	beside.Go(func() {
		defer close(changed)
		changes = publishChanges(side, f, sh.Changes, o.warm, o.warm+o.window)
	})
	if !goose.Sleep(ctx, o.warm) {
		return nil, ctx.Err()
	}
	before, err := readFleet(ctx, f)
	if err != nil {
		return nil, err
	}
	beside.Go(func() { crash(side, f, sh.Marks) })
	if !goose.Sleep(ctx, o.window) {
		return nil, ctx.Err()
	}
	after, err := readFleet(ctx, f)
	if err != nil {
		return nil, err
	}
	<-loaded
	<-changed
	p.Requests, p.Served = asked, served
	p.fill(before, after)
	p.InForce, err = inForce(f, changes)
	return p, err
}

// crashPause lets connections that the crashes opened fall out of use.
const crashPause = 20 * time.Second

// crash sends a request that crashes its engine to each of n instances, one
// after the other.
func crash(ctx context.Context, f *goosefleet.Fleet, n int) {
	for i, in := range f.Instances[:min(n, len(f.Instances))] {
		t := &Target{Callers: []string{in.Caller}, Workspaces: f.Workspaces, Model: modelService, ModelDeadline: 10 * time.Second}
		c := newCaller(t, "crash")
		c.do(ctx, Request{Kind: KindModel, PromptTokens: 1_000, OutputTokens: 16, Seed: uint64(i), Crash: true}, time.Now())
		c.http.CloseIdleConnections()
	}
}

// traffic sends the load of a shape until the second reading.
func (o *scaleOptions) traffic(ctx context.Context, f *goosefleet.Fleet, s shape) (asked, served int) {
	if s.ModelRate+s.OrderRate <= 0 {
		return 0, 0
	}
	t := &Target{
		Callers: []string{f.Balancer.Address}, Workspaces: f.Workspaces, Model: modelService, Orders: "orders",
		ModelDeadline: time.Minute, PlainDeadline: 20 * time.Second,
	}
	c := newCaller(t, strconv.FormatInt(time.Now().UnixNano(), 36))
	defer c.http.CloseIdleConnections()
	plan := NewPlan(s.load(o.warm + o.window))
	outcomes := make([]Outcome, len(plan))
	start := time.Now()
	var requests conc.WaitGroup
	for i, q := range plan {
		if !goose.Sleep(ctx, time.Until(start.Add(q.At))) {
			break
		}
		// Without it only the first pool would carry load.
		to := *t
		to.Model = fmt.Sprintf("model-%d", i%s.Pools)
		one := &caller{target: &to, run: c.run, http: c.http}
		requests.Go(func() { outcomes[i] = one.do(ctx, q, start) })
	}
	requests.Wait()
	for _, out := range outcomes {
		if out.Result == ResultServed {
			served++
		}
	}
	return len(plan), served
}
