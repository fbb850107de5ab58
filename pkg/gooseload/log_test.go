package gooseload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

func newLog(store goose.Store, rate *goose.WeightStore) *Log {
	return New(Options{Store: store, Fleet: "test", LoadRate: func() *goose.WeightStore { return rate }})
}

func loadModel(id string) goose.CommandRequest {
	return goose.CommandRequest{
		ID: id, Author: "ada", Replica: "leith-engine-1", Command: goose.Command{Kind: goose.CommandLoadModel, Name: "wording-8"},
	}
}

// Guards against more model loads within a period than the weight store allows, if several
// dispatchers send each command as late as permitted and responses of the store are lost.
func TestRateOverTheFleet(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
		})
	}
}

func runFleet(t *testing.T, seed uint64) {
	const dispatchers, duration = 5, 5 * time.Minute
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	draw := func(n int64) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(n))
	}
	store := goosestore.NewMemory(goose.SystemClock{})
	losses := []goosestore.Loss{goosestore.LossResponse, goosestore.LossRequest, goosestore.LossResponseLateEffect}
	store.SetFaults(goosestore.Faults{Slow: 200 * time.Millisecond, EffectDelay: time.Second, Loss: func(goosestore.CallKind) goosestore.Loss {
		if i := int(draw(20)); i < len(losses) {
			return losses[i]
		}
		return goosestore.LossNone
	}})
	rate := goose.WeightStore{MaxLoads: 1 + int(seed%3), Period: 10 * time.Second}
	var sent []time.Time
	var wg sync.WaitGroup
	for d := range dispatchers {
		l := newLog(store, &rate)
		wg.Go(func() {
			for i, start := 0, time.Now(); time.Since(start) < duration; i++ {
				ticket, err := l.Begin(context.Background(), loadModel(fmt.Sprintf("%d-%d", d, i)))
				if err != nil {
					time.Sleep(draw(int64(2 * time.Second)))
					continue
				}
				time.Sleep(draw(int64(time.Until(ticket.Deadline()) + time.Second)))
				if now := time.Now(); now.Before(ticket.Deadline()) {
					mu.Lock()
					sent = append(sent, now)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if len(sent) < 3*rate.MaxLoads {
		t.Fatalf("loads sent: got %d, want more", len(sent))
	}
	slices.SortFunc(sent, time.Time.Compare)
	for i := range len(sent) - rate.MaxLoads {
		if got := sent[i+rate.MaxLoads].Sub(sent[i]); got < rate.Period {
			t.Errorf("%d loads within %s, want at most %d within %s", rate.MaxLoads+1, got, rate.MaxLoads, rate.Period)
		}
	}
}

// Guards against a command that is sent without a slot or without a record of it, and
// against a command that is refused because of a lost response.
func TestBegin(t *testing.T) {
	rate := &goose.WeightStore{MaxLoads: 1, Period: time.Minute}
	role := loadModel("r")
	role.Command = goose.Command{Kind: goose.CommandSetRole, Name: "prefill"}
	lose := func(c goosestore.CallKind, l goosestore.Loss) goosestore.Faults {
		return goosestore.Faults{Loss: func(got goosestore.CallKind) goosestore.Loss {
			if got == c {
				return l
			}
			return goosestore.LossNone
		}}
	}
	tests := map[string]struct {
		rate   *goose.WeightStore
		q      goose.CommandRequest
		faults goosestore.Faults
		before int
		want   error
	}{
		"load":                    {rate, loadModel("l"), goosestore.Faults{}, 0, nil},
		"load without a rate":     {nil, loadModel("l"), goosestore.Faults{}, 0, ErrNoRateConfigured},
		"load beyond the rate":    {rate, loadModel("l"), goosestore.Faults{}, 1, ErrRateExceeded},
		"role without a rate":     {nil, role, goosestore.Faults{}, 0, nil},
		"role beyond the rate":    {rate, role, goosestore.Faults{}, 1, nil},
		"store down":              {rate, loadModel("l"), goosestore.Faults{Down: true}, 0, ErrStoreUnavailable},
		"role with store down":    {rate, role, goosestore.Faults{Down: true}, 0, ErrStoreUnavailable},
		"store too slow":          {rate, loadModel("l"), goosestore.Faults{Slow: SendTimeout}, 0, ErrStoreUnavailable},
		"claim response lost":     {rate, loadModel("l"), lose(goosestore.CallTxn, goosestore.LossResponse), 0, nil},
		"claim lost":              {rate, loadModel("l"), lose(goosestore.CallTxn, goosestore.LossRequest), 0, ErrStoreUnavailable},
		"reads lost":              {rate, loadModel("l"), lose(goosestore.CallRange, goosestore.LossRequest), 0, ErrStoreUnavailable},
		"role response lost":      {rate, role, lose(goosestore.CallTxn, goosestore.LossResponse), 0, nil},
		"role record lost":        {rate, role, lose(goosestore.CallTxn, goosestore.LossRequest), 0, ErrStoreUnavailable},
		"retention lease refused": {rate, loadModel("l"), lose(goosestore.CallLease, goosestore.LossRequest), 0, ErrStoreUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := goosestore.NewMemory(goose.SystemClock{})
				// Operators may have lowered the rate since, so that higher slots are taken.
				higher := newLog(store, &goose.WeightStore{MaxLoads: 99, Period: time.Minute})
				for i := range tt.before {
					if _, err := higher.Begin(t.Context(), loadModel(fmt.Sprint("before-", i))); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
				}
				store.SetFaults(tt.faults)
				l := newLog(store, tt.rate)
				ticket, err := l.Begin(t.Context(), tt.q)
				if !errors.Is(err, tt.want) || (err == nil) != (tt.want == nil) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				store.SetFaults(goosestore.Faults{})
				if err != nil {
					return
				}
				if left := time.Until(ticket.Deadline()); left > SendTimeout {
					t.Errorf("may be sent for %s, want at most %s", left, SendTimeout)
				}
				records, err := l.Records(t.Context(), 1)
				if err != nil || len(records) != 1 || records[0].ID != tt.q.ID || records[0].Result.Outcome != goose.CommandUnknown {
					t.Errorf("record before the outcome: got %v, %v; want %s as unknown", records, err, tt.q.ID)
				}
			})
		})
	}
}

// Guards against a log that loses outcomes, lists old commands first, or fails forever
// once its retention lease no longer exists.
func TestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := goosestore.NewMemory(goose.SystemClock{})
		l := newLog(store, &goose.WeightStore{MaxLoads: 9, Period: time.Second})
		for i, r := range []goose.CommandResult{{Outcome: goose.CommandAccepted}, goose.RefusedCommand("old epoch")} {
			time.Sleep(time.Second)
			ticket, err := l.Begin(t.Context(), loadModel(fmt.Sprint(i)))
			if err != nil {
				t.Fatal(err)
			}
			if err := ticket.RecordResult(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		var got []string
		records, err := l.Records(t.Context(), 10)
		for _, x := range records {
			got = append(got, x.ID+" "+x.Author+" "+x.Result.String())
		}
		if want := []string{"1 ada refused: old epoch", "0 ada accepted"}; err != nil || !slices.Equal(got, want) {
			t.Errorf("got %q, %v; want %q", got, err, want)
		}
		if err := store.Revoke(t.Context(), l.retentionLease); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Begin(t.Context(), loadModel("2")); !errors.Is(err, ErrStoreUnavailable) {
			t.Errorf("with the lease gone: got %v, want %v", err, ErrStoreUnavailable)
		}
		if _, err := l.Begin(t.Context(), loadModel("3")); err != nil {
			t.Errorf("with a new lease: got %v, want none", err)
		}
	})
}

// Guards against commands that make more calls to the platform's store than
// docs/CAPACITY.md states.
func TestStoreCallsPerCommand(t *testing.T) {
	role := loadModel("role")
	role.Command.Kind = goose.CommandSetRole
	tests := map[string]struct {
		q    goose.CommandRequest
		want goosestore.Counts
	}{
		"load": {loadModel("load"), goosestore.Counts{goosestore.CallRange: 1, goosestore.CallLease: 1, goosestore.CallTxn: 2}},
		"role": {role, goosestore.Counts{goosestore.CallTxn: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := goosestore.NewMemory(goose.SystemClock{})
				l := newLog(store, &goose.WeightStore{MaxLoads: 9, Period: time.Second})
				run := func(q goose.CommandRequest) {
					ticket, err := l.Begin(t.Context(), q)
					if err != nil {
						t.Fatal(err)
					}
					if err := ticket.RecordResult(t.Context(), goose.CommandResult{Outcome: goose.CommandAccepted}); err != nil {
						t.Fatal(err)
					}
				}
				run(loadModel("first of the day"))
				before := store.Counts()
				time.Sleep(time.Second)
				run(tt.q)
				for call, n := range store.Counts() {
					if got := n - before[call]; got != tt.want[call] {
						t.Errorf("%s calls: got %d, want %d", call, got, tt.want[call])
					}
				}
			})
		})
	}
}
