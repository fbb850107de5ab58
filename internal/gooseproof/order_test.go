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

// What a caller is told about an order.
const (
	toldServed  = "served"
	toldNotRun  = "not-run"
	toldUnknown = "unknown"
)

// orderInput is one call in a history of orders; count marks the final reading
// of the executions.
type orderInput struct {
	name  string
	count bool
}

// orderOutput is what the call returned.
type orderOutput struct {
	told     string
	executed int
}

// orderModel is the sequential specification of one order; its state is whether
// the order has run. A call that was served has run the order; not-run may be
// told only while it has not; unknown tells nothing.
func orderModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			ran, in, out := state.(bool), input.(orderInput), output.(orderOutput)
			switch {
			case in.count && (out.executed > 1 || (out.executed == 1) != ran):
				return nil
			case in.count:
				return []any{ran}
			case out.told == toldServed:
				return []any{true}
			case out.told == toldNotRun && ran:
				return nil
			case out.told == toldNotRun:
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

// orderHistory collects the calls of concurrent callers.
type orderHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	told  map[string]int
}

func (h *orderHistory) since() int64 { return int64(time.Since(h.start)) }

// call sends an order and records what the caller was told. An unknown outcome
// may take effect at any later time, so its operation never returns.
func (h *orderHistory) call(r *rig, client int, address, name string) string {
	begin := h.since()
	a := r.order(address, name)
	end := h.since()
	told := toldUnknown
	switch {
	case a.err == nil && a.status == http.StatusOK && a.code == "":
		told = toldServed
	case a.run == toldNotRun:
		told = toldNotRun
	default:
		end = math.MaxInt64 - 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[told]++
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: orderInput{name: name}, Call: begin, Output: orderOutput{told: told}, Return: end,
	})
	return told
}

// check adds the final reading of the executions and checks the history.
func (h *orderHistory) check(r *rig, names []string) {
	r.t.Helper()
	executed := r.executions(names)
	for _, n := range names {
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: 1000, Input: orderInput{name: n, count: true}, Call: math.MaxInt64 - 1,
			Output: orderOutput{executed: executed[n]}, Return: math.MaxInt64,
		})
		if executed[n] > 1 {
			r.t.Errorf("order %s was executed %d times, want at most once", n, executed[n])
		}
	}
	if !porcupine.CheckOperations(orderModel(), h.ops) {
		r.t.Errorf("what callers were told contradicts what ran; told %v", h.told)
		for _, part := range partitionByOrder(h.ops) {
			if !porcupine.CheckOperations(orderModel(), part) {
				r.t.Logf("order history: %+v", part)
			}
		}
	}
	r.t.Logf("%d calls for %d orders, told %v", len(h.ops)-len(names), len(names), h.told)
}

// Guards against orders that run twice, that callers are told wrong things
// about, or that are lost, while instances die or freeze, the store fails and
// answers get lost. Every order is sent by three callers through different
// instances, and again until it was served or its outcome is unknown.
func TestOrdersRunAtMostOnce(t *testing.T) {
	const (
		names   = 30
		callers = 3
		tries   = 8
	)
	tests := map[string]struct {
		begin, end func(r *rig) error
	}{
		"no fault": {},
		"instance killed": {
			func(r *rig) error { return r.Kill(r.Instances[1].Name) },
			func(r *rig) error { return r.StartInstance(r.ctx, r.Instances[1].Name) },
		},
		"instance frozen past its lease": {
			func(r *rig) error { return r.Pause(r.Instances[2].Name) },
			func(r *rig) error { return r.Continue(r.Instances[2].Name) },
		},
		"store down": {
			func(r *rig) error { return r.StoreFault(r.ctx, map[string]any{"down": true}) },
			func(r *rig) error { return r.StoreFault(r.ctx, map[string]any{"down": false}) },
		},
		"store answers lost after the effect": {
			func(r *rig) error {
				return r.StoreFault(r.ctx, map[string]any{"lose-answers": "/gooseberryhold/", "lose-count": 12})
			},
			func(r *rig) error {
				return r.StoreFault(r.ctx, map[string]any{"lose-answers": "", "lose-count": 0})
			},
		},
		"order answers lost after the effect": {
			func(r *rig) error {
				return r.BackendsOf(orders, "")[0].SetFault(r.ctx, map[string]any{"lose-answer": 5})
			}, nil,
		},
		"instance killed while the store is down": {
			func(r *rig) error {
				if err := r.StoreFault(r.ctx, map[string]any{"down": true}); err != nil {
					return err
				}
				return r.Kill(r.Instances[1].Name)
			},
			func(r *rig) error {
				if err := r.StoreFault(r.ctx, map[string]any{"down": false}); err != nil {
					return err
				}
				return r.StartInstance(r.ctx, r.Instances[1].Name)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			h := &orderHistory{start: time.Now(), told: map[string]int{}}
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
							address := r.Instances[(i+c+try)%len(r.Instances)].Caller
							if h.call(r, i*callers+c, address, all[i]) == toldServed {
								return
							}
							time.Sleep(500 * time.Millisecond)
						}
					}()
				}
			}
			time.Sleep(time.Second)
			if tt.begin != nil {
				if err := tt.begin(r); err != nil {
					t.Fatal(err)
				}
			}
			// Longer than the lease and the failure timeout.
			time.Sleep(5 * time.Second)
			if tt.end != nil {
				if err := tt.end(r); err != nil {
					t.Fatal(err)
				}
			}
			wg.Wait()
			h.check(r, all)
		})
	}
}
