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
	// answerReserve is what the answer of a command needs on its way back.
	answerReserve = 500 * time.Millisecond
	// statusTimeout bounds the question for the status of one pool.
	statusTimeout = 2 * time.Second
)

// CommandCall is a command on its way to the dispatcher of the pool.
type CommandCall struct {
	Pool    goose.Pool           `cbor:"1,keyasint"`
	Request goose.CommandRequest `cbor:"2,keyasint"`
	// TimeLeft is how long the sender waits for the answer.
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

// Command passes a command to the dispatcher of the replica's pool, wherever it
// is. ctx should have a deadline.
func (m *Manager) Command(ctx context.Context, q goose.CommandRequest) goose.CommandResult {
	b, ok := m.o.Configuration.Current().BackendServer(q.Replica)
	if !ok {
		return goose.RefusedCommand("no such backend server is configured")
	}
	pool := goose.Pool{DataCentre: b.DataCentre, Service: b.Service}
	if p, ok := m.Pool(pool); ok {
		return p.Command(ctx, q)
	}
	d, ok := m.o.Membership.Dispatcher(pool)
	if !ok || d.Instance == m.o.Self {
		return goose.RefusedCommand("no dispatcher of pool " + pool.String() + " is heard")
	}
	call := CommandCall{Pool: pool, Request: q}
	if at, ok := ctx.Deadline(); ok {
		call.TimeLeft = time.Until(at) - answerReserve
	}
	var result goose.CommandResult
	if err := m.o.Caller.Call(ctx, d.Address, KindCommand, call, &result); err != nil {
		return goose.CommandResult{Outcome: goose.CommandUnknown, Reason: "the answer of dispatcher " + string(d.Instance) + " was lost: " + err.Error()}
	}
	return result
}

// handleCommand does not go on to another dispatcher: a command must not
// travel in circles.
func (m *Manager) handleCommand(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var c CommandCall
	if err := decode(&c); err != nil {
		return nil, err
	}
	p, ok := m.Pool(c.Pool)
	if !ok {
		return goose.RefusedCommand("instance " + string(m.o.Self) + " no longer dispatches pool " + c.Pool.String()), nil
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

// PoolReport is the status of a pool as its dispatcher tells it.
type PoolReport struct {
	Status
	Dispatcher goose.InstanceID `json:"dispatcher,omitempty"`
	// Missing tells why there is no status.
	Missing string `json:"missing,omitempty"`
}

// Reports asks the dispatchers of all pools of the fleet, ordered by pool.
func (m *Manager) Reports(ctx context.Context) []PoolReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := m.o.Configuration.Current()
	var mu sync.Mutex
	out := []PoolReport{}
	var g conc.WaitGroup
	for _, dc := range c.Configuration().DataCentres {
		for _, pool := range c.Pools(dc.Name) {
			g.Go(func() {
				r := m.report(ctx, pool)
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

func (m *Manager) report(ctx context.Context, pool goose.Pool) PoolReport {
	missing := func(why string) PoolReport { return PoolReport{Status: Status{Pool: pool}, Missing: why} }
	if p, ok := m.Pool(pool); ok {
		return PoolReport{Status: p.Status(), Dispatcher: m.o.Self}
	}
	d, ok := m.o.Membership.Dispatcher(pool)
	if !ok || d.Instance == m.o.Self {
		return missing("no dispatcher is heard")
	}
	var reply StatusReply
	if err := m.o.Caller.Call(ctx, d.Address, KindStatus, StatusCall{Pool: pool}, &reply); err != nil {
		return missing("dispatcher " + string(d.Instance) + " does not answer")
	}
	if reply.Status == nil {
		return missing(string(d.Instance) + " no longer dispatches the pool")
	}
	return PoolReport{Status: *reply.Status, Dispatcher: d.Instance}
}
