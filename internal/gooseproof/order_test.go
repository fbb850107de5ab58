package gooseproof

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcomes of a call for an order, as its caller sees them.
const (
	outcomeServed  = "served"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// orderInput is the input of one operation in a history of orders. readsExecutions marks
// the final reading of the number of executions.
type orderInput struct {
	name            string
	readsExecutions bool
}

// orderOutput is the result of an operation: the outcome of a call, or the number of
// executions.
type orderOutput struct {
	outcome  string
	executed int
}

// orderModel returns the sequential specification of one order. Its state is whether the
// order has run. After a served call the order has run. The outcome not-run is allowed only
// while the order has not run. The outcome unknown allows both states.
func orderModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			ran, in, out := state.(bool), input.(orderInput), output.(orderOutput)
			switch {
			case in.readsExecutions && (out.executed > 1 || (out.executed == 1) != ran):
				return nil
			case in.readsExecutions:
				return []any{ran}
			case out.outcome == outcomeServed:
				return []any{true}
			case out.outcome == outcomeNotRun && ran:
				return nil
			case out.outcome == outcomeNotRun:
				return []any{false}
			case ran:
				return []any{true}
			}
			return []any{false, true}
		},
		Partition: partitionByOrder,
	}
	return m.ToModel()
}

func partitionByOrder(history []porcupine.Operation) [][]porcupine.Operation {
	byName := map[string][]porcupine.Operation{}
	for _, op := range history {
		name := op.Input.(orderInput).name
		byName[name] = append(byName[name], op)
	}
	var parts [][]porcupine.Operation
	for _, p := range byName {
		parts = append(parts, p)
	}
	return parts
}

// orderHistory records the calls for orders of concurrent callers.
type orderHistory struct {
	mu       sync.Mutex
	start    time.Time
	ops      []porcupine.Operation
	outcomes map[string]int
}

func (h *orderHistory) elapsed() int64 { return int64(time.Since(h.start)) }

// call sends an order and records the outcome. An order with an unknown outcome may run at
// any later time, so its operation never returns.
func (h *orderHistory) call(f *testFleet, client int, address, name string) string {
	begin := h.elapsed()
	res := f.sendOrder(address, name)
	end := h.elapsed()
	outcome := outcomeUnknown
	switch {
	case res.err == nil && res.status == http.StatusOK && res.code == "":
		outcome = outcomeServed
	case res.run == outcomeNotRun:
		outcome = outcomeNotRun
	default:
		end = math.MaxInt64 - 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[outcome]++
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: orderInput{name: name}, Call: begin, Output: orderOutput{outcome: outcome}, Return: end,
	})
	return outcome
}

// check adds the final number of executions of each order and checks that the history is
// linearizable.
func (h *orderHistory) check(f *testFleet, names []string) {
	f.t.Helper()
	executed := f.executions(names)
	for _, n := range names {
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: 1000, Input: orderInput{name: n, readsExecutions: true}, Call: math.MaxInt64 - 1,
			Output: orderOutput{executed: executed[n]}, Return: math.MaxInt64,
		})
		if executed[n] > 1 {
			f.t.Errorf("order %s was executed %d times, want at most once", n, executed[n])
		}
	}
	if !porcupine.CheckOperations(orderModel(), h.ops) {
		f.t.Errorf("the outcomes that callers got contradict the executions; outcomes %v", h.outcomes)
		for _, part := range partitionByOrder(h.ops) {
			if !porcupine.CheckOperations(orderModel(), part) {
				f.t.Logf("order history: %+v", part)
			}
		}
	}
	f.t.Logf("%d calls for %d orders, outcomes %v", len(h.ops)-len(names), len(names), h.outcomes)
}

// Guards against orders that run twice, whose callers get a wrong outcome, or that are
// lost, while instances die or freeze, the store fails and responses get lost. Three
// callers send every order through different instances, and retry it until it is served or
// the retries are used up.
func TestOrdersRunAtMostOnce(t *testing.T) {
	const (
		names   = 30
		callers = 3
		tries   = 8
	)
	tests := map[string]struct {
		begin, end func(f *testFleet) error
	}{
		"no fault": {},
		"instance killed": {
			func(f *testFleet) error { return f.Kill(f.Instances[1].Name) },
			func(f *testFleet) error { return f.StartInstance(f.ctx, f.Instances[1].Name) },
		},
		"instance frozen past its lease": {
			func(f *testFleet) error { return f.Pause(f.Instances[2].Name) },
			func(f *testFleet) error { return f.Continue(f.Instances[2].Name) },
		},
		"store down": {
			func(f *testFleet) error { return f.SetStoreFault(f.ctx, map[string]any{"down": true}) },
			func(f *testFleet) error { return f.SetStoreFault(f.ctx, map[string]any{"down": false}) },
		},
		"store responses lost after the effect": {
			func(f *testFleet) error {
				return f.SetStoreFault(f.ctx, map[string]any{"lose-answers": "/gooseberryhold/", "lose-count": 12})
			},
			func(f *testFleet) error {
				return f.SetStoreFault(f.ctx, map[string]any{"lose-answers": "", "lose-count": 0})
			},
		},
		"order responses lost after the effect": {
			func(f *testFleet) error {
				return f.BackendsOf(orderService, "")[0].SetFault(f.ctx, map[string]any{"lose-answer": 5})
			}, nil,
		},
		"instance killed while the store is down": {
			func(f *testFleet) error {
				if err := f.SetStoreFault(f.ctx, map[string]any{"down": true}); err != nil {
					return err
				}
				return f.Kill(f.Instances[1].Name)
			},
			func(f *testFleet) error {
				if err := f.SetStoreFault(f.ctx, map[string]any{"down": false}); err != nil {
					return err
				}
				return f.StartInstance(f.ctx, f.Instances[1].Name)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			h := &orderHistory{start: time.Now(), outcomes: map[string]int{}}
			all := make([]string, names)
			var wg sync.WaitGroup
			for i := range all {
				all[i] = fmt.Sprintf("order-%02d", i)
				for c := range callers {
					wg.Add(1)
					go func() {
						defer wg.Done()
						time.Sleep(time.Duration(i) * 100 * time.Millisecond)
						for try := range tries {
							address := f.Instances[(i+c+try)%len(f.Instances)].Caller
							if h.call(f, i*callers+c, address, all[i]) == outcomeServed {
								return
							}
							time.Sleep(500 * time.Millisecond)
						}
					}()
				}
			}
			time.Sleep(time.Second)
			if tt.begin != nil {
				if err := tt.begin(f); err != nil {
					t.Fatal(err)
				}
			}
			// Longer than the lease and the failure timeout.
			time.Sleep(5 * time.Second)
			if tt.end != nil {
				if err := tt.end(f); err != nil {
					t.Fatal(err)
				}
			}
			wg.Wait()
			h.check(f, all)
		})
	}
}
