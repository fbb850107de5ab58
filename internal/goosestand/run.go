package goosestand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Exit codes of the command line.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: goosestand engine|plain|store|list|weights|balancer|relay [flags]

Each simulator listens on 127.0.0.1. GET /fault, POST /fault and DELETE /fault
show, set and clear its faults; GET /counters shows its counters. With
--control-port these are also served on a separate port, even while the
simulator is down.
`

// Run runs the command line until ctx is done and returns the exit code.
func Run(ctx context.Context, args []string, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	commands := map[string]func(context.Context, *options) error{
		"engine": runEngine, "plain": runPlain, "store": runStore, "list": runList, "weights": runWeights, "balancer": runBalancer,
		"relay": runUDPProxies,
	}
	run, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(stderr, "unknown simulator %q\n%s", args[0], usage)
		return exitUsage
	}
	o := &options{kind: args[0]}
	if err := o.parseFlags(args[1:], stderr); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	o.log = slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: o.level})).With("simulator", args[0])
	if err := run(ctx, o); err != nil {
		o.log.Error("failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// options are the flags of all simulators.
type options struct {
	kind        string
	port        int
	controlPort int
	count       int
	level       slog.Level
	log         *slog.Logger

	engine        EngineConfig
	fencing       string
	plain         PlainConfig
	lag           time.Duration
	endpointNames string
	balancer      BalancerConfig
	weights       WeightStoreConfig
	targets       string
	udpProxy      UDPProxyConfig
	sources       string
}

func (o *options) parseFlags(args []string, stderr io.Writer) error {
	f := flag.NewFlagSet("goosestand "+o.kind, flag.ContinueOnError)
	f.SetOutput(stderr)
	f.IntVar(&o.port, "port", 0, "first port on 127.0.0.1; 0 selects a free one")
	f.IntVar(&o.controlPort, "control-port", 0, "first control port; 0 means none")
	f.IntVar(&o.count, "count", 1, "number of simulators (engine, plain, relay) or endpoints (store, list) on consecutive ports")
	f.TextVar(&o.level, "log-level", slog.LevelInfo, "debug, info, warn or error")
	o.addFlags(f)
	if err := f.Parse(args); err != nil {
		return err
	}
	if f.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", f.Arg(0))
	}
	return o.validate()
}

func (o *options) addFlags(f *flag.FlagSet) {
	switch o.kind {
	case "engine":
		o.addEngineFlags(f)
	case "plain":
		o.plain = PlainConfig{RestartDelay: 300 * time.Millisecond}
		f.StringVar(&o.plain.Name, "name", "plain", "name of the service in responses")
		f.DurationVar(&o.plain.Latency, "latency", 20*time.Millisecond, "mean time between the arrival of a call and its effect")
		f.IntVar(&o.plain.Concurrency, "concurrency", 64, "concurrent calls when warm")
		f.IntVar(&o.plain.ColdConcurrency, "cold-concurrency", 2, "concurrent calls when cold; one more crashes the service")
		f.IntVar(&o.plain.WarmAfter, "warm-after", 2, "calls after which a cold service reports that it is warm")
		f.BoolVar(&o.plain.Cold, "cold", true, "start cold")
		f.DurationVar(&o.plain.RestartDelay, "restart", o.plain.RestartDelay, "time until a crashed service listens again (needs --control-port)")
		f.StringVar(&o.plain.Journal, "journal", "", "file that preserves the executions across restarts (with --count 1)")
	case "list":
		f.DurationVar(&o.lag, "lag", 2*time.Second, "time until a change appears in the list")
		f.StringVar(&o.endpointNames, "endpoints", "", "comma-separated names of the endpoints, as used in \"addresses\" of an instance")
	case "weights":
		f.IntVar(&o.weights.MaxLoads, "loads", 2, "loads that may start within a period; further loads are rejected")
		f.DurationVar(&o.weights.Period, "period", 10*time.Second, "period of the rate limit")
		f.DurationVar(&o.weights.LoadTime, "load-time", 2*time.Second, "duration of one load")
	case "relay":
		f.StringVar(&o.targets, "targets", "", "comma-separated UDP addresses, one for each UDP proxy")
		f.StringVar(&o.sources, "sources", "", "comma-separated name=address pairs of senders, as used in \"cut-to\" and \"cut-from\"")
		f.Uint64Var(&o.udpProxy.Seed, "seed", 1, "seed of the random packet losses")
	case "balancer":
		f.StringVar(&o.targets, "targets", "", "comma-separated caller-address/operator-address pairs")
		f.DurationVar(&o.balancer.CheckInterval, "check-every", 500*time.Millisecond, "pause between health checks on /readyz")
		f.DurationVar(&o.balancer.CheckTimeout, "check-timeout", time.Second, "time limit of a health check")
	}
}

func (o *options) addEngineFlags(f *flag.FlagSet) {
	e := &o.engine
	*e = DefaultEngineConfig()
	f.StringVar(&e.Model, "model", e.Model, "model name")
	f.IntVar(&e.MemoryTokens, "memory-tokens", e.MemoryTokens, "KV cache memory in tokens")
	f.IntVar(&e.Concurrency, "concurrency", e.Concurrency, "maximum batch size when warm")
	f.IntVar(&e.ColdConcurrency, "cold-concurrency", e.ColdConcurrency, "concurrent requests when cold; one more crashes the engine")
	f.IntVar(&e.ColdTokens, "cold-tokens", e.ColdTokens, "prompt and output tokens of the concurrent requests when cold")
	f.IntVar(&e.WarmAfter, "warm-after", e.WarmAfter, "complete responses after which a cold engine reports that it is warm")
	f.IntVar(&e.PrefixCacheTokens, "cache-tokens", e.PrefixCacheTokens, "prefix cache size in tokens")
	f.Float64Var(&e.PrefillRate, "prefill-rate", e.PrefillRate, "prompt tokens per second")
	f.IntVar(&e.PrefillChunk, "prefill-chunk", e.PrefillChunk, "prompt tokens per step")
	f.StringVar((*string)(&e.PrefillOrder), "prefill-order", string(e.PrefillOrder), "which running prompts a step computes first: priority or arrival")
	f.IntVar(&e.AttentionTokens, "attention-tokens", e.AttentionTokens, "context length at which prefill takes twice as long")
	f.DurationVar(&e.StepBase, "step-base", e.StepBase, "duration of an empty step")
	f.DurationVar(&e.StepPerStream, "step-per-stream", e.StepPerStream, "additional step time for each decoding stream")
	f.Float64Var(&e.TimeScale, "scale", e.TimeScale, "simulated seconds per real second")
	f.StringVar(&o.fencing, "fencing", "checked", "checked or ignored")
	f.DurationVar(&e.ReportLag, "lag", e.ReportLag, "lag of load reports and cache events")
	f.DurationVar(&e.EarlyOverloadWindow, "notice", e.EarlyOverloadWindow, "time after a cold-silent fault during which overloads count as early")
	f.DurationVar(&e.RestartDelay, "restart", e.RestartDelay, "time until a crashed engine listens again (needs --control-port)")
	f.BoolVar(&e.Cold, "cold", e.Cold, "start cold")
	f.StringVar(&e.WeightStoreAddress, "weights", "", "address of the weight store; if empty, loads complete immediately")
}

func (o *options) validate() error {
	switch {
	case o.count < 1:
		return errors.Errorf("--count %d: must be at least 1", o.count)
	case o.port < 0 || o.port+o.count > 65536 || o.controlPort < 0 || o.controlPort+o.count > 65536:
		return errors.Errorf("--port %d, --control-port %d: out of range", o.port, o.controlPort)
	case o.kind == "engine" && o.fencing != "checked" && o.fencing != "ignored":
		return errors.Errorf("--fencing %q: must be checked or ignored", o.fencing)
	case o.kind == "weights" && (o.weights.MaxLoads < 1 || o.weights.Period <= 0 || o.weights.LoadTime < 0):
		return errors.New("--loads and --period must be above zero, --load-time must not be negative")
	case o.kind == "engine":
		o.engine.FencingChecked = o.fencing == "checked"
		return o.engine.validate()
	}
	return nil
}

func (c EngineConfig) validate() error {
	if c.TimeScale <= 0 || c.PrefillRate <= 0 || c.PrefillChunk < 1 || c.AttentionTokens < 1 {
		return errors.New("--scale, --prefill-rate, --prefill-chunk and --attention-tokens must be above zero")
	}
	if c.PrefillOrder != PrefillByPriority && c.PrefillOrder != PrefillByArrival {
		return errors.Errorf("--prefill-order %q: must be priority or arrival", c.PrefillOrder)
	}
	if c.MemoryTokens < 1 || c.Concurrency < 1 || c.ColdConcurrency < 1 || c.ColdTokens < 1 {
		return errors.New("--memory-tokens, --concurrency, --cold-concurrency and --cold-tokens must be at least 1")
	}
	if c.StepBase <= 0 || c.StepPerStream < 0 {
		return errors.New("--step-base must be above zero, --step-per-stream must not be negative")
	}
	return nil
}

// addressPair returns the service address and the control address of simulator
// or endpoint i; control is empty if there is no control port.
func (o *options) addressPair(i int) (address, control string) {
	address = loopback(o.port)
	if o.port > 0 {
		address = loopback(o.port + i)
	}
	if o.controlPort > 0 {
		control = loopback(o.controlPort + i)
	}
	return address, control
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (o *options) addressPairs() (addresses, controls []string) {
	for i := range o.count {
		address, control := o.addressPair(i)
		addresses = append(addresses, address)
		if control != "" {
			controls = append(controls, control)
		}
	}
	return addresses, controls
}

func runEngine(ctx context.Context, o *options) error {
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for i := range o.count {
		address, control := o.addressPair(i)
		e := NewEngine(o.engine, address, control, o.log.With("engine", i))
		p.Go(e.Run)
	}
	return p.Wait()
}

func runPlain(ctx context.Context, o *options) error {
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for i := range o.count {
		address, control := o.addressPair(i)
		p.Go(NewPlainService(o.plain, address, control, o.log.With("replica", i)).Run)
	}
	return p.Wait()
}

func runStore(ctx context.Context, o *options) error {
	addresses, controls := o.addressPairs()
	return NewStore(addresses, controls, o.log).Run(ctx)
}

func runList(ctx context.Context, o *options) error {
	addresses, controls := o.addressPairs()
	var names []string
	if o.endpointNames != "" {
		names = strings.Split(o.endpointNames, ",")
	}
	return NewInstanceList(o.lag, names, addresses, controls, o.log).Run(ctx)
}

func runWeights(ctx context.Context, o *options) error {
	address, control := o.addressPair(0)
	return NewWeightStore(o.weights, address, control, o.log).Run(ctx)
}

func runBalancer(ctx context.Context, o *options) error {
	if o.targets == "" {
		return errors.New("--targets is missing")
	}
	for _, t := range strings.Split(o.targets, ",") {
		caller, operator, ok := strings.Cut(t, "/")
		if !ok {
			return errors.Errorf("--targets: %q is not caller-address/operator-address", t)
		}
		o.balancer.Targets = append(o.balancer.Targets, BalancerTarget{Caller: caller, Operator: operator})
	}
	address, control := o.addressPair(0)
	return NewBalancer(o.balancer, address, control, o.log).Run(ctx)
}

func runUDPProxies(ctx context.Context, o *options) error {
	targets := strings.Split(o.targets, ",")
	if o.targets == "" || len(targets) != o.count {
		return errors.Errorf("--targets: got %q, want one address for each of %d UDP proxies", o.targets, o.count)
	}
	o.udpProxy.Sources = map[string]string{}
	for s := range strings.SplitSeq(o.sources, ",") {
		name, address, ok := strings.Cut(s, "=")
		if !ok && s != "" {
			return errors.Errorf("--sources: %q is not name=address", s)
		}
		o.udpProxy.Sources[address] = name
	}
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for i, target := range targets {
		cfg := o.udpProxy
		cfg.Target = target
		address, control := o.addressPair(i)
		p.Go(NewUDPProxy(cfg, address, control, o.log.With("relay", i)).Run)
	}
	return p.Wait()
}
