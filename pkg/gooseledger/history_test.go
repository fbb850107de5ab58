package gooseledger

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

const instances = 3

// step is one caller of a history: it claims the order on an instance and, if the
// claim is granted, runs the order for a while and ends it in the given state.
type step struct {
	instance   int
	start, run time.Duration
	end        goose.OrderState
}

// plan is a randomly drawn history.
type plan struct {
	steps  []step
	losses []goosestore.Loss
	// The store is down from outageStart for outageDuration.
	outageStart, outageDuration time.Duration
	// crashes holds the time at which each instance crashes; 0 means never.
	crashes [instances]time.Duration
}

func drawPlan(t *rapid.T) plan {
	ms := func(limit int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	drawn := plan{outageStart: ms(2000, "down"), outageDuration: ms(8000, "outage")}
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		drawn.steps = append(drawn.steps, step{
			instance: rapid.IntRange(0, instances-1).Draw(t, "instance"), start: ms(3000, "start"), run: ms(1000, "run"),
			end: rapid.SampledFrom([]goose.OrderState{goose.OrderDone, goose.OrderNotRun, goose.OrderUnknown}).Draw(t, "end"),
		})
	}
	drawn.losses = rapid.SliceOfN(rapid.SampledFrom([]goosestore.Loss{
		goosestore.LossNone, goosestore.LossNone, goosestore.LossResponse, goosestore.LossRequest, goosestore.LossResponseLateEffect,
	}), 1, 12).Draw(t, "losses")
	for i := range drawn.crashes {
		if rapid.Bool().Draw(t, "crashes") {
			drawn.crashes[i] = time.Millisecond + ms(4000, "crash")
		}
	}
	return drawn
}

// stoppableStore is the store as one instance sees it. Once dead is set, its
// transactions no longer reach the store.
type stoppableStore struct {
	goose.Store
	dead atomic.Bool
}

func (s *stoppableStore) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	if s.dead.Load() {
		return nil, errors.Wrap(goose.ErrUnavailable, "dead")
	}
	return s.Store.CommitAll(ctx, txns)
}

// input is one operation of a history: a claim, the end of a run, or a crash.
type input struct {
	instance int
	end      goose.OrderState
	crash    bool
}

// modelState is the state of the model: what the record may contain. unconfirmed
// and crashed are bit sets: of the instances whose unconfirmed claims may be in
// the store, and of the crashed instances.
type modelState struct {
	orderState  goose.OrderState
	claimant    int
	unconfirmed int
	crashed     int
	// durable is set once another instance has seen how the order ended. Before
	// that, only the instance that ran the order may know the outcome, and other
	// instances see a running order. If that instance crashes, the outcome is
	// lost.
	durable bool
	// lateWrite is set if the outcome of a crashed instance counts as lost
	// although its last write may still reach the store.
	lateWrite bool
}

// model allows one run of an order: a claim is granted only while the order is
// free, a done order stays done, and an order becomes unknown only through a
// crash or a report of the instance that ran it.
var model = porcupine.Model{
	Init: func() any { return modelState{orderState: goose.OrderNotRun} },
	Step: func(before, in, out any) (bool, any) {
		s, i := before.(modelState), in.(input)
		if i.crash {
			s.crashed |= 1 << i.instance
			return true, s
		}
		if i.end != "" {
			return s.applyEnd(i)
		}
		return s.applyClaim(i.instance, out.(goose.ClaimStatus))
	},
}

func (m modelState) applyEnd(i input) (bool, any) {
	if m.claimant != i.instance || m.orderState != goose.OrderClaimed && m.orderState != goose.OrderUnknown {
		return false, m
	}
	m.orderState = i.end
	return true, m
}

func (m modelState) applyClaim(instance int, out goose.ClaimStatus) (bool, any) {
	free := m.orderState == goose.OrderNotRun
	switch out {
	case goose.ClaimGranted:
		return free, modelState{orderState: goose.OrderClaimed, claimant: instance, crashed: m.crashed}
	case goose.ClaimUnavailable:
		if free {
			m.unconfirmed |= 1 << instance
		}
		return true, m
	case goose.ClaimRunning:
		ended := m.orderState == goose.OrderDone || m.orderState == goose.OrderUnknown
		return m.orderState == goose.OrderClaimed || ended && !m.durable && instance != m.claimant || free && m.unconfirmed != 0, m
	case goose.ClaimDone:
		m.durable = m.durable || instance != m.claimant
		if m.orderState == goose.OrderUnknown && m.lateWrite {
			m.orderState = goose.OrderDone
		}
		return m.orderState == goose.OrderDone, m
	case goose.ClaimUnknown:
		lost := m.orderState == goose.OrderClaimed || m.orderState == goose.OrderDone && !m.durable
		if lost && m.crashed&(1<<m.claimant) != 0 || free && m.unconfirmed&m.crashed != 0 {
			m.lateWrite = m.orderState == goose.OrderDone
			m.orderState = goose.OrderUnknown
		}
		m.durable = m.durable || instance != m.claimant
		return m.orderState == goose.OrderUnknown, m
	}
	return false, m
}

// history runs a plan and records its operations.
type history struct {
	store   *goosestore.Memory
	stores  [instances + 1]*stoppableStore
	ledgers [instances + 1]*Ledger
	dead    sync.Map
	tick    atomic.Int64

	mu  sync.Mutex
	ops []porcupine.Operation
	// openOps holds the indexes of operations that return when their instance has
	// written everything.
	openOps []int
	// finalStatus is the status of a claim after all faults have ended.
	finalStatus goose.ClaimStatus
}

func (h *history) record(op porcupine.Operation, open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.ops)
	if open {
		h.openOps = append(h.openOps, len(h.ops))
	}
	h.ops = append(h.ops, op)
}

func (h *history) run(p plan) {
	h.store = goosestore.NewMemory(goose.SystemClock{})
	for i := range h.ledgers {
		h.stores[i] = &stoppableStore{Store: h.store}
		h.ledgers[i] = New(Options{
			Store: h.stores[i], Fleet: "f", Self: goose.InstanceID(rune('a' + i)), Incarnation: 1, Logger: logger,
			IsDead: func(id goose.InstanceID, _ int64, _ time.Time) bool {
				_, dead := h.dead.Load(id)
				return dead
			},
		})
	}
	go h.injectFaults(p)
	for i, at := range p.crashes {
		if at > 0 {
			go h.crash(i, at)
		}
	}
	var wg sync.WaitGroup
	for _, s := range p.steps {
		wg.Go(func() { h.runStep(s) })
	}
	wg.Wait()
	time.Sleep(10 * time.Minute)
	for _, l := range h.ledgers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_ = l.Close(ctx)
		cancel()
	}
	h.finish()
}

// finish ends the open operations of live instances, and reads the final state
// through a claim on an instance without faults.
func (h *history) finish() {
	now := h.tick.Add(1)
	h.mu.Lock()
	for _, i := range h.openOps {
		if in := h.ops[i].Input.(input); !h.stores[in.instance].dead.Load() {
			h.ops[i].Return = now
		}
	}
	h.mu.Unlock()
	ledger := New(Options{Store: h.store, Fleet: "f", Self: "last", Incarnation: 1, Logger: logger, IsDead: h.ledgers[0].opts.IsDead})
	defer ledger.cancel()
	h.finalStatus = h.claim(ledger, instances).Status
}

func (h *history) injectFaults(p plan) {
	var calls atomic.Int64
	lossy := goosestore.Faults{Slow: 3 * time.Millisecond, EffectDelay: 700 * time.Millisecond, Loss: func(c goosestore.CallKind) goosestore.Loss {
		if c != goosestore.CallTxn {
			return goosestore.LossNone
		}
		return p.losses[int(calls.Add(1)-1)%len(p.losses)]
	}}
	h.store.SetFaults(lossy)
	time.Sleep(p.outageStart)
	h.store.SetFaults(goosestore.Faults{Down: true})
	time.Sleep(p.outageDuration)
	h.store.SetFaults(lossy)
	time.Sleep(time.Minute)
	h.store.SetFaults(goosestore.Faults{})
}

func (h *history) crash(i int, at time.Duration) {
	time.Sleep(at)
	h.record(porcupine.Operation{Input: input{instance: i, crash: true}, Call: h.tick.Add(1), Return: math.MaxInt64}, false)
	h.stores[i].dead.Store(true)
	h.dead.Store(goose.InstanceID(rune('a'+i)), true)
}

func (h *history) claim(l *Ledger, i int) goose.Claim {
	call := h.tick.Add(1)
	c := l.Claim(context.Background(), order, "body", "")
	op := porcupine.Operation{Input: input{instance: i}, Call: call, Output: c.Status, Return: h.tick.Add(1)}
	// An unconfirmed claim may take effect after its return.
	if c.Status == goose.ClaimUnavailable {
		op.Return = math.MaxInt64
	}
	h.record(op, false)
	return c
}

func (h *history) runStep(s step) {
	time.Sleep(s.start)
	if h.stores[s.instance].dead.Load() {
		return
	}
	l := h.ledgers[s.instance]
	c := h.claim(l, s.instance)
	if c.Status != goose.ClaimGranted {
		return
	}
	time.Sleep(s.run)
	if h.stores[s.instance].dead.Load() {
		return
	}
	h.record(porcupine.Operation{Input: input{instance: s.instance, end: s.end}, Call: h.tick.Add(1), Return: math.MaxInt64}, true)
	switch s.end {
	case goose.OrderDone:
		l.MarkDone(c.Order, answer)
	case goose.OrderNotRun:
		l.MarkNotRun(c.Order)
	default:
		l.MarkUnknown(c.Order)
	}
}

// Guards against any interleaving of claims, repeated requests, crashes, outages,
// and lost or late messages in which an order runs twice, its record loses a run,
// or the order stays claimed although no instance runs it.
func TestHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		h := &history{}
		synctest.Test(t, func(*testing.T) { h.run(p) })
		if !porcupine.CheckOperations(model, h.ops) {
			rt.Fatalf("history is not one of an order that runs at most once: %+v", h.ops)
		}
		if h.finalStatus == goose.ClaimRunning {
			rt.Fatalf("got an order that stays claimed for ever: %+v", h.ops)
		}
	})
}
