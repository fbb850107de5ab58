package goosestand

import (
	"bufio"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseetcd"
)

// StoreFaults are the fault switches of one endpoint of the store. Compact acts
// once.
type StoreFaults struct {
	Down bool `json:"down"`
	// Hang accepts calls and never answers them.
	Hang bool `json:"hang"`
	// Slow delays every call.
	Slow Duration `json:"slow"`
	// LoseAnswers breaks the connection after the effect of writes to keys with
	// this prefix; LoseCount bounds how often (0: always).
	LoseAnswers   string `json:"lose-answers"`
	LoseCount     int    `json:"lose-count"`
	RejectWatches bool   `json:"reject-watches"`
	// Compact forgets the history and breaks running watches.
	Compact bool `json:"compact"`
}

// StoreCounters are the calls through one endpoint of the store.
type StoreCounters struct {
	Calls   map[string]int `json:"calls"`
	Lost    int            `json:"answers-lost"`
	Watches int            `json:"watches-running"`
	// Reads and Writes count calls for comparison with the platform's limits.
	Reads    int   `json:"reads"`
	Writes   int   `json:"writes"`
	Revision int64 `json:"revision"`
}

// Store simulates the platform's key-value service. All endpoints share one state;
// each endpoint has its own port, faults and counters, so that a data centre can
// be cut off.
type Store struct {
	endpoints []*storeEndpoint
	state     *memory
}

type storeEndpoint struct {
	log    *slog.Logger
	srv    *server
	state  keyValueState
	faults *faults[StoreFaults]

	mu    sync.Mutex
	count StoreCounters
	// cut is closed when running watches must end.
	cut  chan struct{}
	stop chan struct{}
}

// NewStore returns a store with one endpoint per address pair. controls may be
// shorter than addresses; missing ones mean no control port.
func NewStore(addresses, controls []string, log *slog.Logger) *Store {
	s := &Store{state: newMemory()}
	for i, a := range addresses {
		control := ""
		if i < len(controls) {
			control = controls[i]
		}
		s.endpoints = append(s.endpoints, newStoreEndpoint(s.state, a, control, log))
	}
	return s
}

func newStoreEndpoint(state keyValueState, address, control string, log *slog.Logger) *storeEndpoint {
	e := &storeEndpoint{log: log, state: state, cut: make(chan struct{}), stop: make(chan struct{})}
	e.count.Calls = map[string]int{}
	e.srv = newServer(address, control, log)
	e.faults = newFaults(e.applyFaults)
	addControls(e.srv, e.faults, func() any { return e.counters() })
	app := e.srv.app
	app.Use("/v3", e.delay)
	app.Post("/v3/kv/range", e.rangeCall)
	app.Post("/v3/kv/put", e.putCall)
	app.Post("/v3/kv/deleterange", e.deleteCall)
	app.Post("/v3/kv/txn", e.txnCall)
	app.Post("/v3/kv/compaction", e.compactCall)
	app.Post("/v3/lease/grant", e.grantCall)
	app.Post("/v3/lease/keepalive", e.keepAliveCall)
	for _, path := range []string{"/v3/lease/revoke", "/v3/kv/lease/revoke"} {
		app.Post(path, e.revokeCall)
	}
	app.Post("/v3/watch", e.watchCall)
	return e
}

// Run serves all endpoints until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for _, e := range s.endpoints {
		if err := e.srv.start(); err != nil {
			return err
		}
		e.log.Info("store listening", "address", e.srv.addr(), "control", e.srv.controlAddr())
	}
	go s.state.expire(ctx.Done())
	<-ctx.Done()
	for _, e := range s.endpoints {
		close(e.stop)
		e.srv.stop()
	}
	return nil
}

func (e *storeEndpoint) applyFaults(f StoreFaults) StoreFaults {
	e.srv.setDown(f.Down)
	if f.Compact {
		e.state.compact(0)
	}
	if f.Compact || f.Hang || f.Down || f.RejectWatches {
		e.mu.Lock()
		close(e.cut)
		e.cut = make(chan struct{})
		e.mu.Unlock()
	}
	f.Compact = false
	return f
}

func (e *storeEndpoint) counters() StoreCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.count
	c.Calls = map[string]int{}
	for k, v := range e.count.Calls {
		c.Calls[k] = v
	}
	c.Revision = e.state.revision()
	return c
}

// delay counts a call and applies the faults that come before its effect.
func (e *storeEndpoint) delay(c fiber.Ctx) error {
	kind := string([]byte(c.Path()[len("/v3/"):]))
	e.mu.Lock()
	e.count.Calls[kind]++
	switch kind {
	case "kv/range", "watch":
		e.count.Reads++
	default:
		e.count.Writes++
	}
	e.mu.Unlock()
	f := e.faults.get()
	time.Sleep(time.Duration(f.Slow))
	for e.faults.get().Hang {
		select {
		case <-e.stop:
			return breakOff(c)
		case <-time.After(20 * time.Millisecond):
		}
		if !e.faults.get().Hang {
			return breakOff(c)
		}
	}
	return c.Next()
}

// storeError answers as the gateway does.
func storeError(c fiber.Ctx, err error) error {
	status, code := fiber.StatusBadRequest, 3
	switch {
	case errors.Is(err, errLeaseNotFound):
		status, code = fiber.StatusNotFound, 5
	case errors.Is(err, errCompacted):
		code = 11
	}
	return c.Status(status).JSON(fiber.Map{"error": err.Error(), "message": err.Error(), "code": code})
}

func (e *storeEndpoint) rangeCall(c fiber.Ctx) error {
	var r gooseetcd.RangeRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	a, err := e.state.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Range: &r}}})
	if err != nil {
		return storeError(c, err)
	}
	return c.JSON(a.Responses[0].Range)
}

// write runs a transaction and answers with part of its result, unless the
// answer is to be lost.
func (e *storeEndpoint) write(c fiber.Ctx, t *gooseetcd.TxnRequest, part func(*gooseetcd.TxnAnswer) any) error {
	a, err := e.state.txn(t)
	if err != nil {
		return storeError(c, err)
	}
	if e.loses(t) {
		return breakOff(c)
	}
	return c.JSON(part(a))
}

func (e *storeEndpoint) loses(t *gooseetcd.TxnRequest) bool {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	f := e.faults.get()
	if f.LoseAnswers == "" || !touches(t, f.LoseAnswers) {
		return false
	}
	if f.LoseCount > 0 {
		f.LoseCount--
		if f.LoseCount == 0 {
			f.LoseAnswers = ""
		}
		e.faults.value.Store(&f)
	}
	e.mu.Lock()
	e.count.Lost++
	e.mu.Unlock()
	return true
}

func (e *storeEndpoint) putCall(c fiber.Ctx) error {
	var r gooseetcd.PutRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	return e.write(c, &gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Put: &r}}}, func(a *gooseetcd.TxnAnswer) any { return a.Responses[0].Put })
}

func (e *storeEndpoint) deleteCall(c fiber.Ctx) error {
	var r gooseetcd.DeleteRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	return e.write(c, &gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Delete: &r}}}, func(a *gooseetcd.TxnAnswer) any { return a.Responses[0].Delete })
}

func (e *storeEndpoint) txnCall(c fiber.Ctx) error {
	var t gooseetcd.TxnRequest
	if err := gooseetcd.Decode(c.Body(), &t); err != nil {
		return storeError(c, err)
	}
	return e.write(c, &t, func(a *gooseetcd.TxnAnswer) any { return a })
}

func (e *storeEndpoint) compactCall(c fiber.Ctx) error {
	var r struct {
		Revision gooseetcd.Number `json:"revision"`
	}
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	e.state.compact(int64(r.Revision))
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision())})
}

func (e *storeEndpoint) grantCall(c fiber.Ctx) error {
	var r gooseetcd.LeaseRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	id := e.state.grant(int64(r.TTL))
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision()), "ID": gooseetcd.Number(id), "TTL": max(1, r.TTL)})
}

// keepAliveCall answers one renewal; a lease that is gone has no TTL.
func (e *storeEndpoint) keepAliveCall(c fiber.Ctx) error {
	var r gooseetcd.LeaseRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	result := fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision()), "ID": r.ID}
	if ttl := e.state.keepAlive(int64(r.ID)); ttl > 0 {
		result["TTL"] = gooseetcd.Number(ttl)
	}
	return c.JSON(fiber.Map{"result": result})
}

func (e *storeEndpoint) revokeCall(c fiber.Ctx) error {
	var r gooseetcd.LeaseRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	if err := e.state.revoke(int64(r.ID)); err != nil {
		return storeError(c, err)
	}
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision())})
}

// watchProgress is the pause between empty answers on an idle watch; they let
// the simulator notice a client that is gone.
const watchProgress = 5 * time.Second

func (e *storeEndpoint) watchCall(c fiber.Ctx) error {
	var r gooseetcd.WatchRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return storeError(c, err)
	}
	if e.faults.get().RejectWatches {
		return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": "etcdserver: too many requests", "code": 14})
	}
	from := int64(r.Create.StartRevision)
	if from == 0 {
		from = e.state.revision() + 1
	}
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	c.Set(fiber.HeaderContentType, "application/json")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		e.watching(1)
		defer e.watching(-1)
		e.watch(w, r.Create.Key, r.Create.RangeEnd, from, cut)
	})
}

func (e *storeEndpoint) watching(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count.Watches += n
}

func sendWatch(w *bufio.Writer, a gooseetcd.WatchAnswer) error {
	b, err := json.Marshal(map[string]gooseetcd.WatchAnswer{"result": a})
	if err != nil {
		return err
	}
	_, _ = w.Write(append(b, '\n'))
	return w.Flush()
}

func (e *storeEndpoint) watch(w *bufio.Writer, key, end []byte, from int64, cut <-chan struct{}) {
	if sendWatch(w, gooseetcd.WatchAnswer{Header: gooseetcd.HeaderAt(e.state.revision()), Created: true}) != nil {
		return
	}
	for {
		changes, next, err := e.state.history(key, end, from)
		if err != nil {
			rev := e.state.revision()
			_ = sendWatch(w, gooseetcd.WatchAnswer{Header: gooseetcd.HeaderAt(rev), Canceled: true, CompactRevision: gooseetcd.Number(rev), CancelReason: err.Error()})
			return
		}
		if len(changes) > 0 {
			a := gooseetcd.WatchAnswer{Header: gooseetcd.HeaderAt(changes[len(changes)-1].kv.mod)}
			for _, ch := range changes {
				a.Events = append(a.Events, ch.wire())
			}
			if sendWatch(w, a) != nil {
				return
			}
			from = changes[len(changes)-1].kv.mod + 1
		}
		select {
		case <-next:
		case <-cut:
			return
		case <-e.stop:
			return
		case <-time.After(watchProgress):
			if sendWatch(w, gooseetcd.WatchAnswer{Header: gooseetcd.HeaderAt(e.state.revision())}) != nil {
				return
			}
		}
	}
}
