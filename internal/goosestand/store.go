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
// once and is then cleared.
type StoreFaults struct {
	Down bool `json:"down"`
	// Hang accepts calls and sends no response while it is set.
	Hang bool `json:"hang"`
	// Slow delays every call.
	Slow Duration `json:"slow"`
	// LoseAnswers closes the connection without a response after the effect of
	// writes to keys with this prefix. LoseCount is the number of such calls; 0
	// means all.
	LoseAnswers   string `json:"lose-answers"`
	LoseCount     int    `json:"lose-count"`
	RejectWatches bool   `json:"reject-watches"`
	// Compact removes the history and ends running watches.
	Compact bool `json:"compact"`
}

// StoreCounters are the totals of one endpoint of the store.
type StoreCounters struct {
	Calls          map[string]int `json:"calls"`
	ResponsesLost  int            `json:"answers-lost"`
	RunningWatches int            `json:"watches-running"`
	// Reads and Writes count calls in the way in which the platform limits them.
	Reads    int   `json:"reads"`
	Writes   int   `json:"writes"`
	Revision int64 `json:"revision"`
}

// Store simulates the platform's key-value store. All endpoints share one state;
// each endpoint has its own port, faults and counters, so that the endpoint of
// one data centre can be made unreachable.
type Store struct {
	endpoints []*storeEndpoint
	state     *memoryState
}

type storeEndpoint struct {
	log    *slog.Logger
	srv    *server
	state  keyValueState
	faults *faults[StoreFaults]

	mu     sync.Mutex
	totals StoreCounters
	// cutWatches is closed to end the running watches, and then replaced.
	cutWatches chan struct{}
	stop       chan struct{}
}

// NewStore returns a store with one endpoint per address. controls may be
// shorter than addresses; missing entries mean no control port.
func NewStore(addresses, controls []string, log *slog.Logger) *Store {
	s := &Store{state: newMemoryState()}
	for i, address := range addresses {
		control := ""
		if i < len(controls) {
			control = controls[i]
		}
		s.endpoints = append(s.endpoints, newStoreEndpoint(s.state, address, control, log))
	}
	return s
}

func newStoreEndpoint(state keyValueState, address, control string, log *slog.Logger) *storeEndpoint {
	e := &storeEndpoint{log: log, state: state, cutWatches: make(chan struct{}), stop: make(chan struct{})}
	e.totals.Calls = map[string]int{}
	e.srv = newServer(address, control, log)
	e.faults = newFaults(e.applyFaults)
	addControls(e.srv, e.faults, func() any { return e.counters() })
	app := e.srv.app
	app.Use("/v3", e.countAndDelay)
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

// Run serves all endpoints until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	for _, e := range s.endpoints {
		if err := e.srv.start(); err != nil {
			return err
		}
		e.log.Info("store listening", "address", e.srv.addr(), "control", e.srv.controlAddr())
	}
	go s.state.expireLeases(ctx.Done())
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
		close(e.cutWatches)
		e.cutWatches = make(chan struct{})
		e.mu.Unlock()
	}
	f.Compact = false
	return f
}

func (e *storeEndpoint) counters() StoreCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.totals
	c.Calls = map[string]int{}
	for k, v := range e.totals.Calls {
		c.Calls[k] = v
	}
	c.Revision = e.state.revision()
	return c
}

// countAndDelay counts a call and applies the faults that act before its effect.
func (e *storeEndpoint) countAndDelay(c fiber.Ctx) error {
	kind := string([]byte(c.Path()[len("/v3/"):]))
	e.mu.Lock()
	e.totals.Calls[kind]++
	switch kind {
	case "kv/range", "watch":
		e.totals.Reads++
	default:
		e.totals.Writes++
	}
	e.mu.Unlock()
	f := e.faults.get()
	time.Sleep(time.Duration(f.Slow))
	for e.faults.get().Hang {
		select {
		case <-e.stop:
			return abortConnection(c)
		case <-time.After(20 * time.Millisecond):
		}
		if !e.faults.get().Hang {
			return abortConnection(c)
		}
	}
	return c.Next()
}

// sendStoreError responds with an error as etcd's gateway does.
func sendStoreError(c fiber.Ctx, err error) error {
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
		return sendStoreError(c, err)
	}
	resp, err := e.state.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Range: &r}}})
	if err != nil {
		return sendStoreError(c, err)
	}
	return c.JSON(resp.Responses[0].Range)
}

// runWrite runs a transaction and responds with part of its result, unless a
// fault loses the response.
func (e *storeEndpoint) runWrite(c fiber.Ctx, t *gooseetcd.TxnRequest, part func(*gooseetcd.TxnResponse) any) error {
	resp, err := e.state.txn(t)
	if err != nil {
		return sendStoreError(c, err)
	}
	if e.losesResponse(t) {
		return abortConnection(c)
	}
	return c.JSON(part(resp))
}

func (e *storeEndpoint) losesResponse(t *gooseetcd.TxnRequest) bool {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	f := e.faults.get()
	if f.LoseAnswers == "" || !writesUnder(t, f.LoseAnswers) {
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
	e.totals.ResponsesLost++
	e.mu.Unlock()
	return true
}

func (e *storeEndpoint) putCall(c fiber.Ctx) error {
	var r gooseetcd.PutRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
	}
	return e.runWrite(c, &gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Put: &r}}}, func(resp *gooseetcd.TxnResponse) any { return resp.Responses[0].Put })
}

func (e *storeEndpoint) deleteCall(c fiber.Ctx) error {
	var r gooseetcd.DeleteRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
	}
	return e.runWrite(c, &gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Delete: &r}}}, func(resp *gooseetcd.TxnResponse) any { return resp.Responses[0].Delete })
}

func (e *storeEndpoint) txnCall(c fiber.Ctx) error {
	var t gooseetcd.TxnRequest
	if err := gooseetcd.Decode(c.Body(), &t); err != nil {
		return sendStoreError(c, err)
	}
	return e.runWrite(c, &t, func(resp *gooseetcd.TxnResponse) any { return resp })
}

func (e *storeEndpoint) compactCall(c fiber.Ctx) error {
	var r struct {
		Revision gooseetcd.Number `json:"revision"`
	}
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
	}
	e.state.compact(int64(r.Revision))
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision())})
}

func (e *storeEndpoint) grantCall(c fiber.Ctx) error {
	var r gooseetcd.LeaseRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
	}
	id := e.state.grant(int64(r.TTL))
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision()), "ID": gooseetcd.Number(id), "TTL": max(1, r.TTL)})
}

// keepAliveCall renews a lease once. The response has no TTL if the lease does
// not exist.
func (e *storeEndpoint) keepAliveCall(c fiber.Ctx) error {
	var r gooseetcd.LeaseRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
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
		return sendStoreError(c, err)
	}
	if err := e.state.revoke(int64(r.ID)); err != nil {
		return sendStoreError(c, err)
	}
	return c.JSON(fiber.Map{"header": gooseetcd.HeaderAt(e.state.revision())})
}

// watchProgressInterval is the interval between empty responses on an idle
// watch. Writing them lets the simulator detect that the client has disconnected.
const watchProgressInterval = 5 * time.Second

func (e *storeEndpoint) watchCall(c fiber.Ctx) error {
	var r gooseetcd.WatchRequest
	if err := gooseetcd.Decode(c.Body(), &r); err != nil {
		return sendStoreError(c, err)
	}
	if e.faults.get().RejectWatches {
		return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": "etcdserver: too many requests", "code": 14})
	}
	from := int64(r.Create.StartRevision)
	if from == 0 {
		from = e.state.revision() + 1
	}
	e.mu.Lock()
	cut := e.cutWatches
	e.mu.Unlock()
	c.Set(fiber.HeaderContentType, "application/json")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		e.addWatches(1)
		defer e.addWatches(-1)
		e.watch(w, r.Create.Key, r.Create.RangeEnd, from, cut)
	})
}

func (e *storeEndpoint) addWatches(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.RunningWatches += n
}

func sendWatchResponse(w *bufio.Writer, resp gooseetcd.WatchResponse) error {
	b, err := json.Marshal(map[string]gooseetcd.WatchResponse{"result": resp})
	if err != nil {
		return err
	}
	_, _ = w.Write(append(b, '\n'))
	return w.Flush()
}

func (e *storeEndpoint) watch(w *bufio.Writer, key, end []byte, from int64, cut <-chan struct{}) {
	if sendWatchResponse(w, gooseetcd.WatchResponse{Header: gooseetcd.HeaderAt(e.state.revision()), Created: true}) != nil {
		return
	}
	for {
		changes, next, err := e.state.history(key, end, from)
		if err != nil {
			rev := e.state.revision()
			_ = sendWatchResponse(w, gooseetcd.WatchResponse{Header: gooseetcd.HeaderAt(rev), Canceled: true, CompactRevision: gooseetcd.Number(rev), CancelReason: err.Error()})
			return
		}
		if len(changes) > 0 {
			resp := gooseetcd.WatchResponse{Header: gooseetcd.HeaderAt(changes[len(changes)-1].kv.modRevision)}
			for _, change := range changes {
				resp.Events = append(resp.Events, change.etcdEvent())
			}
			if sendWatchResponse(w, resp) != nil {
				return
			}
			from = changes[len(changes)-1].kv.modRevision + 1
		}
		select {
		case <-next:
		case <-cut:
			return
		case <-e.stop:
			return
		case <-time.After(watchProgressInterval):
			if sendWatchResponse(w, gooseetcd.WatchResponse{Header: gooseetcd.HeaderAt(e.state.revision())}) != nil {
				return
			}
		}
	}
}
