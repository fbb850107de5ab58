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

// step is one caller of a history: it claims on an instance and, if granted,
// ends the order in the given way.
type step struct {
	instance   int
	start, run time.Duration
	end        goose.OrderState
}

// plan is a drawn history.
type plan struct {
	steps  []step
	losses []goosestore.Loss
	// down is when an outage of the store begins and how long it lasts.
	down, outage time.Duration
	// crashes is when each instance dies; 0 is never.
	crashes [instances]time.Duration
}

func drawPlan(t *rapid.T) plan {
	ms := func(to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, to).Draw(t, name)) * time.Millisecond
	}
	p := plan{down: ms(2000, "down"), outage: ms(8000, "outage")}
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		p.steps = append(p.steps, step{
			instance: rapid.IntRange(0, instances-1).Draw(t, "instance"), start: ms(3000, "start"), run: ms(1000, "run"),
			end: rapid.SampledFrom([]goose.OrderState{goose.OrderDone, goose.OrderNotRun, goose.OrderUnknown}).Draw(t, "end"),
		})
	}
	p.losses = rapid.SliceOfN(rapid.SampledFrom([]goosestore.Loss{
		goosestore.LossNone, goosestore.LossNone, goosestore.LossAnswer, goosestore.LossRequest, goosestore.LossLate,
	}), 1, 12).Draw(t, "losses")
	for i := range p.crashes {
		if rapid.Bool().Draw(t, "crashes") {
			p.crashes[i] = time.Millisecond + ms(4000, "crash")
		}
	}
	return p
}

// stoppableStore is the store as one instance sees it; after its death no call leaves.
type stoppableStore struct {
	goose.Store
	dead atomic.Bool
}

func (m *stoppableStore) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	if m.dead.Load() {
		return nil, errors.Wrap(goose.ErrUnavailable, "dead")
	}
	return m.Store.CommitAll(ctx, txns)
}

// input is one operation of a history: a claim, or how an order ended.
type input struct {
	instance int
	end      goose.OrderState
	crash    bool
}

// state is what the record may say. ghosts are instances whose unconfirmed
// claims may be in the store.
type state struct {
	state   goose.OrderState
	by      int
	ghosts  int
	crashed int
	// durable is set once another instance saw how the order ended. Before, the
	// instance that ran it may know more than the store, and others see a run
	// to join; if it dies, the outcome dies with it.
	durable bool
	// late is set if a dead instance's outcome counts as lost; its last write
	// may still reach the store.
	late bool
}

// model allows one run of an order: a claim is granted only while the order is
// free, done stays done, and unknown needs a crash or the word of the instance.
var model = porcupine.Model{
	Init: func() any { return state{state: goose.OrderNotRun} },
	Step: func(before, in, out any) (bool, any) {
		s, i := before.(state), in.(input)
		if i.crash {
			s.crashed |= 1 << i.instance
			return true, s
		}
		if i.end != "" {
			return s.ended(i)
		}
		return s.claimed(i.instance, out.(goose.ClaimStatus))
	},
}

func (s state) ended(i input) (bool, any) {
	if s.by != i.instance || s.state != goose.OrderClaimed && s.state != goose.OrderUnknown {
		return false, s
	}
	s.state = i.end
	return true, s
}

func (s state) claimed(by int, out goose.ClaimStatus) (bool, any) {
	free := s.state == goose.OrderNotRun
	switch out {
	case goose.ClaimGranted:
		return free, state{state: goose.OrderClaimed, by: by, crashed: s.crashed}
	case goose.ClaimUnavailable:
		if free {
			s.ghosts |= 1 << by
		}
		return true, s
	case goose.ClaimRunning:
		ended := s.state == goose.OrderDone || s.state == goose.OrderUnknown
		return s.state == goose.OrderClaimed || ended && !s.durable && by != s.by || free && s.ghosts != 0, s
	case goose.ClaimDone:
		s.durable = s.durable || by != s.by
		if s.state == goose.OrderUnknown && s.late {
			s.state = goose.OrderDone
		}
		return s.state == goose.OrderDone, s
	case goose.ClaimUnknown:
		lost := s.state == goose.OrderClaimed || s.state == goose.OrderDone && !s.durable
		if lost && s.crashed&(1<<s.by) != 0 || free && s.ghosts&s.crashed != 0 {
			s.late = s.state == goose.OrderDone
			s.state = goose.OrderUnknown
		}
		s.durable = s.durable || by != s.by
		return s.state == goose.OrderUnknown, s
	}
	return false, s
}

// history runs a plan and records it.
type history struct {
	m       *goosestore.Memory
	stores  [instances + 1]*stoppableStore
	ledgers [instances + 1]*Ledger
	dead    sync.Map
	tick    atomic.Int64

	mu  sync.Mutex
	ops []porcupine.Operation
	// open are operations that end when their instance has written everything.
	open []int
	// last is what a claim gets when all is over.
	last goose.ClaimStatus
}

func (h *history) record(op porcupine.Operation, open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.ops)
	if open {
		h.open = append(h.open, len(h.ops))
	}
	h.ops = append(h.ops, op)
}

func (h *history) play(p plan) {
	h.m = goosestore.NewMemory(goose.SystemClock{})
	for i := range h.ledgers {
		h.stores[i] = &stoppableStore{Store: h.m}
		h.ledgers[i] = New(Options{
			Store: h.stores[i], Fleet: "f", Self: goose.InstanceID(rune('a' + i)), Incarnation: 1, Logger: logger,
			Liveness: func(id goose.InstanceID, _ int64, _ time.Time) bool {
				_, dead := h.dead.Load(id)
				return dead
			},
		})
	}
	go h.faults(p)
	for i, at := range p.crashes {
		if at > 0 {
			go h.crash(i, at)
		}
	}
	var wg sync.WaitGroup
	for _, s := range p.steps {
		wg.Go(func() { h.step(s) })
	}
	wg.Wait()
	time.Sleep(10 * time.Minute)
	for _, l := range h.ledgers {
		ended, cancel := context.WithTimeout(context.Background(), time.Minute)
		_ = l.Close(ended)
		cancel()
	}
	h.finish()
}

// finish ends the open operations of live instances and reads the final state
// by a claim of an instance without faults.
func (h *history) finish() {
	now := h.tick.Add(1)
	h.mu.Lock()
	for _, i := range h.open {
		if in := h.ops[i].Input.(input); !h.stores[in.instance].dead.Load() {
			h.ops[i].Return = now
		}
	}
	h.mu.Unlock()
	last := New(Options{Store: h.m, Fleet: "f", Self: "last", Incarnation: 1, Logger: logger, Liveness: h.ledgers[0].o.Liveness})
	defer last.cancel()
	h.last = h.claim(last, instances).Status
}

func (h *history) faults(p plan) {
	var calls atomic.Int64
	lossy := goosestore.Faults{Slow: 3 * time.Millisecond, Late: 700 * time.Millisecond, Lose: func(c goosestore.Call) goosestore.Loss {
		if c != goosestore.CallTxn {
			return goosestore.LossNone
		}
		return p.losses[int(calls.Add(1)-1)%len(p.losses)]
	}}
	h.m.SetFaults(lossy)
	time.Sleep(p.down)
	h.m.SetFaults(goosestore.Faults{Down: true})
	time.Sleep(p.outage)
	h.m.SetFaults(lossy)
	time.Sleep(time.Minute)
	h.m.SetFaults(goosestore.Faults{})
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

func (h *history) step(s step) {
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
		l.Finish(c.Order, answer)
	case goose.OrderNotRun:
		l.NotRun(c.Order)
	default:
		l.Unknown(c.Order)
	}
}

// Guards against any interleaving of claims, repeats, crashes, outages and lost
// or late messages in which an order runs twice, its record forgets a run, or
// the order stays claimed although nobody runs it.
func TestHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		h := &history{}
		synctest.Test(t, func(*testing.T) { h.play(p) })
		if !porcupine.CheckOperations(model, h.ops) {
			rt.Fatalf("history is not one of an order that runs at most once: %+v", h.ops)
		}
		if h.last == goose.ClaimRunning {
			rt.Fatalf("got an order that stays claimed for ever: %+v", h.ops)
		}
	})
}
