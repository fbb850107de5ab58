package goosebench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// Exit codes of the command line.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitViolated = 3
	exitMissed   = 4
)

const usage = `usage: goosebench mixed|leave-return|faults|overload|scale [flags]

  mixed         short requests without and with long ones beside
  leave-return  a data centre leaves and returns under load
  faults        one fault after the other under load
  overload      normal load, a multiple of it, normal load
  scale         cost per instance while one quantity of the fleet varies;
                slopes is another name of it

The load goes to a fleet that the run starts (--fleet) or to the addresses in a
JSON file (--target: callers, workspaces, model, orders, lookups, backends).
Only loopback addresses are accepted. Exit codes: 0 done, 1 failed, 2 wrong
usage, 3 a guarantee was seen broken (with --strict), 4 a bar of the scenario
was missed (with --bars).
`

// maxRun ends a run that hangs, unless --limit is given.
const maxRun = 3 * time.Hour

// options are the flags of a run.
type options struct {
	scenario  string
	load      Load
	fleet     string
	target    string
	bin       string
	out       string
	work      string
	engine    string
	scale     float64
	instances int
	factor    float64
	capacity  bool
	bars      bool
	limit     time.Duration
	baselines string
	strict    bool
	log       *slog.Logger
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	scenarios := map[string]func(*bench, context.Context, *Report) error{
		"mixed": (*bench).mixed, "leave-return": (*bench).leaveReturn, "faults": (*bench).faults, "overload": (*bench).overload,
	}
	if len(args) > 0 && (args[0] == "scale" || args[0] == "slopes") {
		return runScale(ctx, args[1:], stdout, stderr)
	}
	if len(args) == 0 || scenarios[args[0]] == nil {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	o := &options{scenario: args[0], log: slog.New(slog.NewTextHandler(stderr, nil))}
	b, err := o.parse(args[1:], stderr)
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	r := &Report{Scenario: o.scenario, Fleet: o.fleet, Load: b.load, Scale: o.scale, Started: time.Now().UTC(), Violations: []string{}}
	runErr := scenarios[o.scenario](b, ctx, r)
	for _, p := range r.Phases {
		r.Violations = append(r.Violations, p.Violations()...)
	}
	if o.bars && runErr == nil {
		r.Bars = r.bars()
	}
	// What was measured before a failure is still worth a report.
	if err := r.write(o.out, stdout); err != nil && runErr == nil {
		runErr = err
	}
	switch {
	case runErr != nil:
		o.log.Error("run failed", "error", runErr.Error())
		return exitFailed
	case o.strict && len(r.Violations) > 0:
		return exitViolated
	case r.missed():
		return exitMissed
	}
	return exitDone
}

func (o *options) parse(args []string, stderr io.Writer) (*bench, error) {
	f := flag.NewFlagSet("goosebench "+o.scenario, flag.ContinueOnError)
	f.SetOutput(stderr)
	o.load = DefaultLoad()
	l := &o.load
	f.Uint64Var(&l.Seed, "seed", l.Seed, "seed of the traffic")
	f.DurationVar(&l.Duration, "duration", l.Duration, "length of each phase")
	f.Float64Var(&l.ModelRate, "model-rate", l.ModelRate, "model requests per second")
	f.Float64Var(&l.OrderRate, "order-rate", l.OrderRate, "orders per second")
	f.Float64Var(&l.LookupRate, "lookup-rate", l.LookupRate, "idempotent plain requests per second")
	f.IntVar(&l.MinPrompt, "min-prompt", l.MinPrompt, "shortest prompt in tokens")
	f.IntVar(&l.LongPrompt, "long-prompt", l.LongPrompt, "length in tokens above which a prompt is long")
	f.IntVar(&l.MaxPrompt, "max-prompt", l.MaxPrompt, "longest prompt in tokens")
	f.Float64Var(&l.LongShare, "long-share", l.LongShare, "share of long prompts")
	f.IntVar(&l.MinOutput, "min-output", l.MinOutput, "shortest output in tokens")
	f.IntVar(&l.MaxOutput, "max-output", l.MaxOutput, "longest output in tokens")
	f.StringVar(&o.fleet, "fleet", "", "start a fleet: drummond or ponnala")
	f.StringVar(&o.target, "target", "", "JSON file with the addresses of a running fleet")
	f.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	f.StringVar(&o.out, "out", "out", "directory for the report")
	f.StringVar(&o.engine, "engine-flags", "", "further flags of the simulated engines of --fleet, such as \"--prefill-order arrival\"")
	f.StringVar(&o.work, "work", "", "directory for the files and logs of --fleet (empty: a temporary one)")
	f.Float64Var(&o.scale, "scale", 1, "simulated seconds per real second in the engines of --fleet")
	f.IntVar(&o.instances, "instances", 0, "entry instances of --fleet (0: as deployed)")
	f.DurationVar(&l.Timeout, "timeout", 0, "time that callers give a request; 0 leaves it to the services' deadlines")
	f.BoolVar(&o.capacity, "at-capacity", false, "overload: replace --model-rate by the rate at which the engines of --fleet are full by their stated speeds")
	f.BoolVar(&o.bars, "bars", false, "compare the result with the scenario's bars and exit with 4 if one is missed")
	f.DurationVar(&o.limit, "limit", maxRun, "longest time of the whole run")
	f.Float64Var(&o.factor, "factor", 4, "overload: multiple of the load")
	f.StringVar(&o.baselines, "baselines", "affinity/fair", "comma-separated routing-policy/queue-discipline[/long-prefill-bound] settings to compare")
	f.BoolVar(&o.strict, "strict", false, "exit with 3 if a guarantee was seen broken")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", f.Arg(0))
	}
	return o.bench()
}

// bench checks the flags and returns the bench that they describe.
func (o *options) bench() (*bench, error) {
	if err := o.load.check(); err != nil {
		return nil, err
	}
	if (o.fleet == "") == (o.target == "") {
		return nil, errors.New("give either --fleet or --target")
	}
	if o.factor <= 0 || o.scale <= 0 || o.instances < 0 {
		return nil, errors.New("--factor and --scale must be above zero, --instances not below")
	}
	if o.limit <= 0 {
		return nil, errors.Errorf("--limit %s: must be above zero", o.limit)
	}
	if o.capacity {
		if err := o.setCapacity(); err != nil {
			return nil, err
		}
	}
	b := &bench{log: o.log, load: o.load, factor: o.factor, capacity: o.capacity, run: strconv.FormatUint(rand.Uint64(), 36), start: o.startFleet}
	for _, pair := range strings.Split(o.baselines, ",") {
		base, ok := parseBaseline(pair)
		if !ok {
			return nil, errors.Errorf("--baselines: %q is not routing-policy/queue-discipline or with /long-prefill-bound", pair)
		}
		b.baselines = append(b.baselines, base)
	}
	if o.target == "" {
		_, err := goosefleet.Preset(o.fleet)
		return b, err
	}
	t, err := readTarget(o.target)
	if err != nil {
		return nil, err
	}
	if len(b.baselines) > 1 {
		return nil, errors.New("--baselines: a running fleet has its own settings; compare baselines with --fleet")
	}
	b.start = func(context.Context, Baseline) (*Target, *goosefleet.Fleet, func(), error) {
		return t, nil, func() {}, nil
	}
	return b, nil
}

func (o *options) startFleet(ctx context.Context, b Baseline) (*Target, *goosefleet.Fleet, func(), error) {
	spec, err := goosefleet.Preset(o.fleet)
	if err != nil {
		return nil, nil, nil, err
	}
	spec.Bin, spec.Dir = o.bin, o.work
	if o.instances > 0 {
		spec.Instances = o.instances
	}
	spec.Settings = b.settings()
	for i := range spec.Services {
		if !spec.Services[i].Plain {
			spec.Services[i].Flags = append(spec.Services[i].Flags, "--scale", strconv.FormatFloat(o.scale, 'g', -1, 64))
			spec.Services[i].Flags = append(spec.Services[i].Flags, strings.Fields(o.engine)...)
		}
	}
	o.log.Info("fleet starts", "fleet", spec.Name, "baseline", b.String())
	f, err := goosefleet.Start(ctx, spec)
	if err != nil {
		return nil, nil, nil, err
	}
	t := targetOf(f)
	return t, f, f.Stop, t.check()
}
