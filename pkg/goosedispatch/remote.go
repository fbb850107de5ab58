package goosedispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// replyReserve is the time reserved for the return of a command's reply.
	replyReserve = 500 * time.Millisecond
	// statusTimeout bounds the calls for the status of all pools.
	statusTimeout = 2 * time.Second
)

// CommandCall carries a command to the dispatcher of the pool.
type CommandCall struct {
	Pool    goose.Pool           `cbor:"1,keyasint"`
	Request goose.CommandRequest `cbor:"2,keyasint"`
	// TimeLeft is how long the sender waits for the reply.
	TimeLeft time.Duration `cbor:"3,keyasint"`
}

// StatusCall asks for the status of a pool that the instance dispatches.
type StatusCall struct {
	Pool goose.Pool `cbor:"1,keyasint"`
}

// StatusReply has no status if the instance does not dispatch the pool.
type StatusReply struct {
	Status *Status `cbor:"1,keyasint"`
}

// Command passes a command to the dispatcher of the replica's pool, on this or another
// instance. ctx should have a deadline.
func (m *Manager) Command(ctx context.Context, q goose.CommandRequest) goose.CommandResult {
	b, ok := m.options.Configuration.Current().BackendServer(q.Replica)
	if !ok {
		return goose.RefusedCommand("no such backend server is configured")
	}
	pool := goose.Pool{DataCentre: b.DataCentre, Service: b.Service}
	if p, ok := m.Pool(pool); ok {
		return p.Command(ctx, q)
	}
	d, ok := m.options.Membership.Dispatcher(pool)
	if !ok || d.Instance == m.options.Self {
		return goose.RefusedCommand("no dispatcher of pool " + pool.String() + " is heard")
	}
	call := CommandCall{Pool: pool, Request: q}
	if at, ok := ctx.Deadline(); ok {
		call.TimeLeft = time.Until(at) - replyReserve
	}
	var result goose.CommandResult
	if err := m.options.PeerClient.Call(ctx, d.Address, KindCommand, call, &result); err != nil {
		return goose.CommandResult{Outcome: goose.CommandUnknown, Reason: "the answer of dispatcher " + string(d.Instance) + " was lost: " + err.Error()}
	}
	return result
}

// handleCommand does not forward the command to another dispatcher: a command must not
// be forwarded in a loop.
func (m *Manager) handleCommand(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var c CommandCall
	if err := decode(&c); err != nil {
		return nil, err
	}
	p, ok := m.Pool(c.Pool)
	if !ok {
		return goose.RefusedCommand("instance " + string(m.options.Self) + " no longer dispatches pool " + c.Pool.String()), nil
	}
	if c.TimeLeft > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.TimeLeft)
		defer cancel()
	}
	return p.Command(ctx, c.Request), nil
}

func (m *Manager) handleStatus(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var c StatusCall
	if err := decode(&c); err != nil {
		return nil, err
	}
	p, ok := m.Pool(c.Pool)
	if !ok {
		return StatusReply{}, nil
	}
	s := p.Status()
	return StatusReply{Status: &s}, nil
}

// PoolReport is the status of a pool with its dispatcher.
type PoolReport struct {
	Status
	Dispatcher goose.InstanceID `json:"dispatcher,omitempty"`
	// Missing is the reason why there is no status; empty if there is one.
	Missing string `json:"missing,omitempty"`
}

// PoolReports returns the status of all pools of the fleet from their dispatchers, ordered
// by pool.
func (m *Manager) PoolReports(ctx context.Context) []PoolReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := m.options.Configuration.Current()
	var mu sync.Mutex
	out := []PoolReport{}
	var g conc.WaitGroup
	for _, dc := range c.Configuration().DataCentres {
		for _, pool := range c.Pools(dc.Name) {
			g.Go(func() {
				r := m.poolReport(ctx, pool)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, r)
			})
		}
	}
	g.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Pool.String() < out[j].Pool.String() })
	return out
}

func (m *Manager) poolReport(ctx context.Context, pool goose.Pool) PoolReport {
	missing := func(why string) PoolReport { return PoolReport{Status: Status{Pool: pool}, Missing: why} }
	if p, ok := m.Pool(pool); ok {
		return PoolReport{Status: p.Status(), Dispatcher: m.options.Self}
	}
	d, ok := m.options.Membership.Dispatcher(pool)
	if !ok || d.Instance == m.options.Self {
		return missing("no dispatcher is heard")
	}
	var reply StatusReply
	if err := m.options.PeerClient.Call(ctx, d.Address, KindStatus, StatusCall{Pool: pool}, &reply); err != nil {
		return missing("dispatcher " + string(d.Instance) + " does not answer")
	}
	if reply.Status == nil {
		return missing(string(d.Instance) + " no longer dispatches the pool")
	}
	return PoolReport{Status: *reply.Status, Dispatcher: d.Instance}
}
