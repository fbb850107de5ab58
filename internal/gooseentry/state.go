package gooseentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func newIncarnation() string {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// running counts requests so that a planned stop can wait for them.
type running struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// enter returns false once the instance drains.
func (r *running) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.count++
	return true
}

// add counts follow-up work of a request that is counted itself.
func (r *running) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
}

func (r *running) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.count == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// drain returns the number of requests that still run when ctx ends.
func (r *running) drain(ctx context.Context) int {
	r.mu.Lock()
	r.draining = true
	if r.count == 0 {
		r.mu.Unlock()
		return 0
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// retryBudget allows retries as a share of requests.
type retryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	left  float64
}

func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.burst, b.left+b.share)
}

func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// flights knows the requests of this instance that run on each replica, so
// that all of them become suspects when it crashes.
type flights struct {
	mu  sync.Mutex
	all map[goose.ReplicaID]map[goose.PermitID]flight
	// last is the process that was last seen on each replica.
	last map[goose.ReplicaID]string
}

// flight is a request on a process; the process is empty until it is known.
type flight struct {
	request goose.Fingerprint
	process string
}

func (f *flights) add(id goose.ReplicaID, p goose.PermitID, fl flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = map[goose.ReplicaID]map[goose.PermitID]flight{}
		f.last = map[goose.ReplicaID]string{}
	}
	if fl.process != "" {
		f.last[id] = fl.process
	}
	if f.all[id] == nil {
		f.all[id] = map[goose.PermitID]flight{}
	}
	f.all[id][p] = fl
}

func (f *flights) remove(id goose.ReplicaID, p goose.PermitID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all[id], p)
	if len(f.all[id]) == 0 {
		delete(f.all, id)
	}
}

// crashed returns the process and the requests that its crash broke off. A
// request whose process is not known counts for the one last seen, so that all
// reports of one crash name the same process and count once. Requests on a later
// process of the replica had no part in it.
func (f *flights) crashed(id goose.ReplicaID, process string) (string, []goose.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if process == "" {
		process = f.last[id]
	}
	var out []goose.Fingerprint
	for _, fl := range f.all[id] {
		if fl.process == process || fl.process == "" {
			out = append(out, fl.request)
		}
	}
	return process, out
}

// sendGate settles who comes first: the first byte to a backend server or the
// final answer that says that the request did not run.
type sendGate struct{ state atomic.Int32 }

const (
	gateIdle int32 = iota
	gateSent
	gateClosed
)

// send returns false if the caller was told that the request did not run.
func (g *sendGate) send() bool {
	return g.state.CompareAndSwap(gateIdle, gateSent) || g.state.Load() == gateSent
}

// close returns what the request did; after RunNot nothing is sent any more.
func (g *sendGate) close() goose.RunState {
	if g.state.CompareAndSwap(gateIdle, gateClosed) || g.state.Load() == gateClosed {
		return goose.RunStateNotRun
	}
	return goose.RunStateUnknown
}

// reset takes back a send that reached nobody.
func (g *sendGate) reset() { g.state.CompareAndSwap(gateSent, gateIdle) }
