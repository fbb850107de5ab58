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

// Exit codes of goosebench.
const (
	exitOK              = 0
	exitFailed          = 1
	exitUsage           = 2
	exitGuaranteeBroken = 3
	exitBarMissed       = 4
)

const usage = `usage: goosebench mixed|leave-return|faults|overload|scale [flags]

  mixed         short requests alone, then together with long ones
  leave-return  a data centre leaves and returns under load
  faults        one fault after the other under load
  overload      normal load, a multiple of it, normal load
  scale         cost per instance while one quantity of the fleet varies
                (alias: slopes)

The load goes to a fleet that the run starts (--fleet) or to the addresses in a
JSON file (--target: callers, workspaces, model, orders, lookups, backends).
Only loopback addresses are accepted. Exit codes: 0 done, 1 failed, 2 wrong
usage, 3 a guarantee was violated (with --strict), 4 a bar of the scenario was
missed (with --bars).
`

// defaultTimeout ends a run that hangs. The flag --limit replaces it, except in scale
// runs.
const defaultTimeout = 3 * time.Hour

// options are the flags of a run.
type options struct {
	scenario       string
	load           Load
	fleet          string
	target         string
	binDir         string
	outDir         string
	workDir        string
	engineFlags    string
	timeScale      float64
	instances      int
	overloadFactor float64
	atCapacity     bool
	checkBars      bool
	timeout        time.Duration
	baselines      string
	strict         bool
	log            *slog.Logger
}

// Run runs the command with the given arguments and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	scenarios := map[string]func(*runner, context.Context, *Report) error{
		"mixed": (*runner).runMixed, "leave-return": (*runner).runLeaveReturn, "faults": (*runner).runFaults, "overload": (*runner).runOverload,
	}
	if len(args) > 0 && (args[0] == "scale" || args[0] == "slopes") {
		return runScale(ctx, args[1:], stdout, stderr)
	}
	if len(args) == 0 || scenarios[args[0]] == nil {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	o := &options{scenario: args[0], log: slog.New(slog.NewTextHandler(stderr, nil))}
	rn, err := o.parse(args[1:], stderr)
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	r := &Report{Scenario: o.scenario, Fleet: o.fleet, Load: rn.load, TimeScale: o.timeScale, Started: time.Now().UTC(), Violations: []string{}}
	runErr := scenarios[o.scenario](rn, ctx, r)
	for _, p := range r.Phases {
		r.Violations = append(r.Violations, p.Violations()...)
	}
	if o.checkBars && runErr == nil {
		r.Bars = r.evaluateBars()
	}
	// A failed run reports what was measured before the failure.
	if err := r.write(o.outDir, stdout); err != nil && runErr == nil {
		runErr = err
	}
	switch {
	case runErr != nil:
		o.log.Error("run failed", "error", runErr.Error())
		return exitFailed
	case o.strict && len(r.Violations) > 0:
		return exitGuaranteeBroken
	case r.anyBarMissed():
		return exitBarMissed
	}
	return exitOK
}

func (o *options) parse(args []string, stderr io.Writer) (*runner, error) {
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
	f.StringVar(&o.binDir, "bin", "bin", "directory of the program binaries")
	f.StringVar(&o.outDir, "out", "out", "directory for the report")
	f.StringVar(&o.engineFlags, "engine-flags", "", "further flags of the simulated engines of --fleet, such as \"--prefill-order arrival\"")
	f.StringVar(&o.workDir, "work", "", "directory for the files and logs of --fleet (empty: a temporary one)")
	f.Float64Var(&o.timeScale, "scale", 1, "simulated seconds per real second in the engines of --fleet")
	f.IntVar(&o.instances, "instances", 0, "entry instances of --fleet (0: as deployed)")
	f.DurationVar(&l.Timeout, "timeout", 0, "X-Request-Timeout of callers; 0 uses the deadlines of the services")
	f.BoolVar(&o.atCapacity, "at-capacity", false, "overload: replace --model-rate by the rate that fully uses the engines of --fleet at their configured speeds")
	f.BoolVar(&o.checkBars, "bars", false, "compare the result with the scenario's bars and exit with 4 if one is missed")
	f.DurationVar(&o.timeout, "limit", defaultTimeout, "time limit of the whole run")
	f.Float64Var(&o.overloadFactor, "factor", 4, "overload: multiple of the load")
	f.StringVar(&o.baselines, "baselines", "affinity/fair", "comma-separated routing-policy/queue-discipline[/long-prefill-bound] settings to compare")
	f.BoolVar(&o.strict, "strict", false, "exit with 3 if a guarantee was violated")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", f.Arg(0))
	}
	return o.newRunner()
}

// newRunner validates the flags and returns a runner for them.
func (o *options) newRunner() (*runner, error) {
	if err := o.load.validate(); err != nil {
		return nil, err
	}
	if (o.fleet == "") == (o.target == "") {
		return nil, errors.New("give either --fleet or --target")
	}
	if o.overloadFactor <= 0 || o.timeScale <= 0 || o.instances < 0 {
		return nil, errors.New("--factor and --scale must be above zero, --instances must not be below zero")
	}
	if o.timeout <= 0 {
		return nil, errors.Errorf("--limit %s: must be above zero", o.timeout)
	}
	if o.atCapacity {
		if err := o.setCapacityRate(); err != nil {
			return nil, err
		}
	}
	rn := &runner{log: o.log, load: o.load, overloadFactor: o.overloadFactor, atCapacity: o.atCapacity, runID: strconv.FormatUint(rand.Uint64(), 36), startFleet: o.startFleet}
	for _, text := range strings.Split(o.baselines, ",") {
		baseline, ok := parseBaseline(text)
		if !ok {
			return nil, errors.Errorf("--baselines: %q is not of the form routing-policy/queue-discipline[/long-prefill-bound]", text)
		}
		rn.baselines = append(rn.baselines, baseline)
	}
	if o.target == "" {
		_, err := goosefleet.Preset(o.fleet)
		return rn, err
	}
	t, err := readTarget(o.target)
	if err != nil {
		return nil, err
	}
	if len(rn.baselines) > 1 {
		return nil, errors.New("--baselines: the settings of a running fleet cannot be changed; compare baselines with --fleet")
	}
	rn.startFleet = func(context.Context, Baseline) (*Target, *goosefleet.Fleet, func(), error) {
		return t, nil, func() {}, nil
	}
	return rn, nil
}

func (o *options) startFleet(ctx context.Context, baseline Baseline) (*Target, *goosefleet.Fleet, func(), error) {
	spec, err := goosefleet.Preset(o.fleet)
	if err != nil {
		return nil, nil, nil, err
	}
	spec.Bin, spec.Dir = o.binDir, o.workDir
	if o.instances > 0 {
		spec.Instances = o.instances
	}
	spec.Settings = baseline.settings()
	for i := range spec.Services {
		if !spec.Services[i].Plain {
			spec.Services[i].Flags = append(spec.Services[i].Flags, "--scale", strconv.FormatFloat(o.timeScale, 'g', -1, 64))
			spec.Services[i].Flags = append(spec.Services[i].Flags, strings.Fields(o.engineFlags)...)
		}
	}
	o.log.Info("starting fleet", "fleet", spec.Name, "baseline", baseline.String())
	f, err := goosefleet.Start(ctx, spec)
	if err != nil {
		return nil, nil, nil, err
	}
	t := targetOf(f)
	return t, f, f.Stop, t.validate()
}
