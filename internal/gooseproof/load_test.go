package gooseproof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// operators race commands against a fleet and count what they are told.
type operators struct {
	r      *rig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// told counts outcomes; commands that were cut off are unknown.
	told map[string]int
	// reasons are those of refusals.
	reasons map[string]int
}

func newOperators(r *rig) *operators {
	o := &operators{r: r, told: map[string]int{}, reasons: map[string]int{}}
	o.ctx, o.cancel = context.WithCancel(r.ctx)
	return o
}

// interval is the time between two commands of one operator. Each is a process.
const interval = 700 * time.Millisecond

// race sends load commands for the replicas in turn through an instance until
// stop is closed. A command does not wait for the one before: it may hang at a
// frozen dispatcher.
func (o *operators) race(stop <-chan struct{}, instance string, replicas ...string) {
	o.wg.Go(func() {
		for n := 0; ; n++ {
			o.wg.Go(func() {
				out, _ := o.r.OperateAt(o.ctx, instance, "load", "--replica", replicas[n%len(replicas)], "--model", "wording-8", "--author", instance)
				o.count(out)
			})
			select {
			case <-stop:
				return
			case <-o.ctx.Done():
				return
			case <-time.After(interval):
			}
		}
	})
}

func (o *operators) count(out string) {
	first, _, _ := strings.Cut(out, "\n")
	outcome, reason, _ := strings.Cut(first, ": ")
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome != "accepted" && outcome != "refused" {
		outcome = "unknown"
	}
	o.told[outcome]++
	if outcome == "refused" {
		o.reasons[reason]++
	}
}

func (o *operators) of(outcome string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.told[outcome]
}

// refusedFor reports whether a command was refused with the text in its reason.
func (o *operators) refusedFor(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for reason := range o.reasons {
		if strings.Contains(reason, text) {
			return true
		}
	}
	return false
}

// commandTotals adds up what the engines did.
func (r *rig) commandTotals() (total goosestand.EngineCounters) {
	r.t.Helper()
	for _, b := range r.BackendsOf(model, "") {
		var c goosestand.EngineCounters
		if err := b.Counters(r.ctx, &c); err != nil {
			r.t.Fatal(err)
		}
		total.Commands += c.Commands
		total.Overlapping += c.Overlapping
		total.StaleCommands += c.StaleCommands
		total.WhileLoading += c.WhileLoading
		total.Overloads += c.Overloads
	}
	return total
}

// weightTotals returns what the weight store did.
func (r *rig) weightTotals() (w goosestand.WeightsCounters) {
	r.t.Helper()
	if err := r.Weights.Counters(r.ctx, &w); err != nil {
		r.t.Fatal(err)
	}
	return w
}

// Guards against two load commands of different dispatchers that run on one
// replica at the same time, against more loads than the weight store's rate,
// against requests on a loading replica and beyond the cold limit after it, and
// against untrue outcomes, while operators race and the dispatcher is frozen
// past its lease. The engines ignore fencing tokens, and a load lasts longer
// than the takeover with its wait.
func TestLoadsNeitherOverlapNorPassTheRate(t *testing.T) {
	r := newRig(t, func(s *goosefleet.Spec) {
		s.DataCentres, s.Instances = []string{"leith"}, 3
		s.Services = s.Services[:1]
		s.Services[0].FencingIgnored = true
		s.WeightStore = &goosefleet.WeightStore{Loads: 3, Period: 6 * time.Second, LoadTime: 11 * time.Second}
	})
	first := r.dispatcher()
	var others []string
	for _, i := range r.Instances {
		if i.Name != first {
			others = append(others, i.Name)
		}
	}
	stopLoad := r.load(2)
	o := newOperators(r)
	defer o.wg.Wait()
	defer o.cancel()

	stop := make(chan struct{})
	target := model + "-00"
	o.race(stop, others[0], target)
	o.race(stop, others[1], target)
	r.eventually("the first load", time.Minute, func() error { return atLeast(o.of("accepted"), 1) })
	if err := r.Pause(first); err != nil {
		t.Fatal(err)
	}
	// The other instances take over, and the load still runs.
	time.Sleep(9 * time.Second)
	if err := r.Continue(first); err != nil {
		t.Fatal(err)
	}
	r.eventually("a load by the next dispatcher", time.Minute, func() error { return atLeast(o.of("accepted"), 2) })
	close(stop)
	r.eventually("the frozen dispatcher to lose the pool", time.Minute, func() error {
		text, err := r.Log(first)
		if err == nil && !strings.Contains(text, gooseevent.PoolLost.Message) {
			err = fmt.Errorf("%s has not", first)
		}
		return err
	})

	// Now all operators want all other replicas.
	stop = make(chan struct{})
	var rest []string
	for i := 1; i < 6; i++ {
		rest = append(rest, fmt.Sprintf("%s-%02d", model, i))
	}
	o.race(stop, others[0], rest...)
	o.race(stop, others[1], rest...)
	r.eventually("loads up to the rate", time.Minute, func() error {
		if r.weightTotals().OverRate == 0 && !o.refusedFor("the rate of the weight store") {
			return fmt.Errorf("no load was refused for the rate")
		}
		return atLeast(o.of("accepted"), 5)
	})
	close(stop)
	stopLoad()
	o.cancel()
	o.wg.Wait()
	r.checkLoads(o)
}

func atLeast(got, want int) error {
	if got < want {
		return fmt.Errorf("got %d, want %d", got, want)
	}
	return nil
}

func (r *rig) checkLoads(o *operators) {
	r.t.Helper()
	c := r.commandTotals()
	if c.Overlapping != 0 || c.StaleCommands != 0 || c.WhileLoading != 0 || c.Overloads != 0 {
		r.t.Errorf("got %d overlapping and %d stale commands, %d requests on loading engines, %d overloads; want none",
			c.Overlapping, c.StaleCommands, c.WhileLoading, c.Overloads)
	}
	if w := r.weightTotals(); w.OverRate != 0 {
		r.t.Errorf("loads beyond the rate: got %d of %d, want none", w.OverRate, w.Started)
	}
	accepted, unknown := o.of("accepted"), o.of("unknown")
	if c.Commands < accepted || c.Commands > accepted+unknown {
		r.t.Errorf("engines ran %d commands; operators were told of %d accepted and %d unknown", c.Commands, accepted, unknown)
	}
	r.t.Logf("%d commands ran, outcomes %v, refusals %v", c.Commands, o.told, o.reasons)
}
