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

// loadOperators send concurrent load commands to a fleet and count their outcomes.
type loadOperators struct {
	fleet  *testFleet
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// outcomes counts the commands by outcome. The outcome of a command whose connection
	// broke is unknown.
	outcomes map[string]int
	// refusals counts the refused commands by reason.
	refusals map[string]int
}

func newLoadOperators(f *testFleet) *loadOperators {
	o := &loadOperators{fleet: f, outcomes: map[string]int{}, refusals: map[string]int{}}
	o.ctx, o.cancel = context.WithCancel(f.ctx)
	return o
}

// commandInterval is the time between two commands of one operator. Each command is a
// process.
const commandInterval = 700 * time.Millisecond

// sendCommands sends load commands for the replicas in turn through an instance until stop
// is closed. A command does not wait for the previous one, which may hang at a frozen
// dispatcher.
func (o *loadOperators) sendCommands(stop <-chan struct{}, instance string, replicas ...string) {
	o.wg.Go(func() {
		for n := 0; ; n++ {
			o.wg.Go(func() {
				out, _ := o.fleet.RunOperatorCommandAt(o.ctx, instance, "load", "--replica", replicas[n%len(replicas)], "--model", "wording-8", "--author", instance)
				o.countOutcome(out)
			})
			select {
			case <-stop:
				return
			case <-o.ctx.Done():
				return
			case <-time.After(commandInterval):
			}
		}
	})
}

func (o *loadOperators) countOutcome(out string) {
	first, _, _ := strings.Cut(out, "\n")
	outcome, reason, _ := strings.Cut(first, ": ")
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome != "accepted" && outcome != "refused" {
		outcome = "unknown"
	}
	o.outcomes[outcome]++
	if outcome == "refused" {
		o.refusals[reason]++
	}
}

func (o *loadOperators) countOf(outcome string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outcomes[outcome]
}

// refusedBecause reports whether a command was refused with the text in its reason.
func (o *loadOperators) refusedBecause(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for reason := range o.refusals {
		if strings.Contains(reason, text) {
			return true
		}
	}
	return false
}

// commandTotals adds up the engines' counters of commands and overloads.
func (f *testFleet) commandTotals() (total goosestand.EngineCounters) {
	f.t.Helper()
	for _, b := range f.BackendsOf(modelService, "") {
		var c goosestand.EngineCounters
		if err := b.Counters(f.ctx, &c); err != nil {
			f.t.Fatal(err)
		}
		total.Commands += c.Commands
		total.OverlappingCommands += c.OverlappingCommands
		total.AcceptedStaleCommands += c.AcceptedStaleCommands
		total.RequestsWhileLoading += c.RequestsWhileLoading
		total.Overloads += c.Overloads
	}
	return total
}

// weightTotals returns the counters of the weight store.
func (f *testFleet) weightTotals() (w goosestand.WeightStoreCounters) {
	f.t.Helper()
	if err := f.WeightStore.Counters(f.ctx, &w); err != nil {
		f.t.Fatal(err)
	}
	return w
}

// Guards against two load commands of different dispatchers that run on one replica at the
// same time, against more loads than the rate limit of the weight store, against requests
// on a loading replica, against requests beyond the cold limit after a load, and against
// wrong outcomes. They could occur when operators send commands concurrently and the
// dispatcher is frozen past its lease. The engines ignore fencing tokens, and a load takes
// longer than the takeover with its waiting time.
func TestLoadsNeitherOverlapNorExceedRate(t *testing.T) {
	f := newTestFleet(t, func(s *goosefleet.Spec) {
		s.DataCentres, s.Instances = []string{"leith"}, 3
		s.Services = s.Services[:1]
		s.Services[0].FencingIgnored = true
		s.WeightStore = &goosefleet.WeightStore{MaxLoads: 3, Period: 6 * time.Second, LoadTime: 11 * time.Second}
	})
	first := f.dispatcher()
	var others []string
	for _, i := range f.Instances {
		if i.Name != first {
			others = append(others, i.Name)
		}
	}
	stopLoad := f.startLoad(2)
	o := newLoadOperators(f)
	defer o.wg.Wait()
	defer o.cancel()

	stop := make(chan struct{})
	target := modelService + "-00"
	o.sendCommands(stop, others[0], target)
	o.sendCommands(stop, others[1], target)
	f.eventually("the first load", time.Minute, func() error { return checkAtLeast(o.countOf("accepted"), 1) })
	if err := f.Pause(first); err != nil {
		t.Fatal(err)
	}
	// The other instances take over, and the load still runs.
	time.Sleep(9 * time.Second)
	if err := f.Continue(first); err != nil {
		t.Fatal(err)
	}
	f.eventually("a load by the next dispatcher", time.Minute, func() error { return checkAtLeast(o.countOf("accepted"), 2) })
	close(stop)
	f.eventually("the frozen dispatcher to lose the pool", time.Minute, func() error {
		text, err := f.ReadLog(first)
		if err == nil && !strings.Contains(text, gooseevent.PoolLost.Message) {
			err = fmt.Errorf("%s has not", first)
		}
		return err
	})

	// Now all operators send commands for all other replicas.
	stop = make(chan struct{})
	var rest []string
	for i := 1; i < 6; i++ {
		rest = append(rest, fmt.Sprintf("%s-%02d", modelService, i))
	}
	o.sendCommands(stop, others[0], rest...)
	o.sendCommands(stop, others[1], rest...)
	f.eventually("loads up to the rate", time.Minute, func() error {
		if f.weightTotals().RefusedOverRate == 0 && !o.refusedBecause("the rate of the weight store") {
			return fmt.Errorf("no load was refused because of the rate limit")
		}
		return checkAtLeast(o.countOf("accepted"), 5)
	})
	close(stop)
	stopLoad()
	o.cancel()
	o.wg.Wait()
	f.checkLoads(o)
}

func checkAtLeast(got, want int) error {
	if got < want {
		return fmt.Errorf("got %d, want %d", got, want)
	}
	return nil
}

func (f *testFleet) checkLoads(o *loadOperators) {
	f.t.Helper()
	c := f.commandTotals()
	if c.OverlappingCommands != 0 || c.AcceptedStaleCommands != 0 || c.RequestsWhileLoading != 0 || c.Overloads != 0 {
		f.t.Errorf("got %d overlapping and %d stale commands, %d requests on loading engines, %d overloads; want none",
			c.OverlappingCommands, c.AcceptedStaleCommands, c.RequestsWhileLoading, c.Overloads)
	}
	if w := f.weightTotals(); w.RefusedOverRate != 0 {
		f.t.Errorf("loads above the rate limit: got %d of %d, want none", w.RefusedOverRate, w.Started)
	}
	accepted, unknown := o.countOf("accepted"), o.countOf("unknown")
	if c.Commands < accepted || c.Commands > accepted+unknown {
		f.t.Errorf("engines ran %d commands; operators got %d accepted and %d unknown outcomes", c.Commands, accepted, unknown)
	}
	f.t.Logf("%d commands ran, outcomes %v, refusals %v", c.Commands, o.outcomes, o.refusals)
}
