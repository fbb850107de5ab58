package goosedispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// defaultLeaseTTL is the TTL of pool leases.
	defaultLeaseTTL = 3 * time.Second
	// fencingMargin covers the difference between the clocks of the former
	// holder and the store.
	fencingMargin = time.Second
	// commandFlight is the time in which a command whose answer was lost, or
	// that a former dispatcher sent, can still arrive: the client of the engine
	// protocol gives up after 2 s.
	commandFlight = 3 * time.Second
	// sendReserve is what a command needs after its waits: the calls of the store
	// and of the backend server.
	sendReserve = 3 * time.Second
	// workInterval is the time between two looks at the requests that a command
	// waits for.
	workInterval = 50 * time.Millisecond
	// recordTimeout bounds the record of a command's outcome.
	recordTimeout = time.Second
)

// load is a command that runs, or is about to run, on a replica. No new request
// is bound to the replica meanwhile.
type load struct {
	command goose.Command
	// sent is set as the last step before the first byte is sent.
	sent bool
	// quiet is when the command can no longer be on its way; a report of the
	// backend server from before does not end the load. Zero while it is being sent.
	quiet time.Time
}

// pendingCommand is one command on its way.
type pendingCommand struct {
	request   goose.CommandRequest
	replica   *replica
	address   string
	fencing   goose.Fencing
	commander goose.Commander
}

// Command sends a command to a replica and puts it back to its cold limits.
// While it waits and while the replica loads, no new request is bound to the
// replica. It waits until running requests have finished (unless forced) and, if
// the replica ignores fencing tokens, until the former dispatcher can no longer
// send one; it is refused if ctx ends too early for that.
func (p *Pool) Command(ctx context.Context, q goose.CommandRequest) goose.CommandResult {
	o, err := p.beginCommand(q)
	if err != nil {
		return goose.RefusedCommand(err.Error())
	}
	result := p.runCommand(ctx, o)
	p.endCommand(o, result)
	gooseevent.ReplicaCommand.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", q.Replica, "command", q.Command.String(),
		"change", q.ID, "author", q.Author, "epoch", int64(p.d.Epoch), "outcome", string(result.Outcome), "reason", result.Reason)
	return result
}

// beginCommand reserves the replica for the command.
func (p *Pool) beginCommand(q goose.CommandRequest) (*pendingCommand, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(p.d.Clock.Now())
	if err := p.commandAuthority(); err != nil {
		return nil, err
	}
	r, ok := p.replicas[q.Replica]
	if !ok || !r.configured {
		return nil, errors.Errorf("backend server %s is not in pool %s", q.Replica, p.d.Pool)
	}
	c, ok := p.d.Protocol(p.service.Protocol).(goose.Commander)
	switch {
	case !ok:
		return nil, errors.Errorf("protocol %s has no commands", p.service.Protocol)
	case p.d.Commands == nil:
		return nil, errors.New("no record of commands")
	case r.load != nil:
		return nil, errors.Errorf("another command is in progress on it: %s", r.load.command)
	}
	r.load = &load{command: q.Command}
	return &pendingCommand{request: q, replica: r, address: r.spec.Address, fencing: r.spec.Fencing, commander: c}, nil
}

// commandAuthority allows commands by lease or consent alone: a degraded
// dispatcher may not be the only one.
func (p *Pool) commandAuthority() error {
	m := p.authority(p.d.Clock.Now()).Mode
	if p.resigned || m != goose.ModeLeased && m != goose.ModeConsented {
		return errors.Errorf("no authority to command backend servers of pool %s in mode %s", p.d.Pool, m)
	}
	return nil
}

func (p *Pool) runCommand(ctx context.Context, o *pendingCommand) goose.CommandResult {
	if err := p.waitForFencing(ctx, o); err != nil {
		return goose.RefusedCommand(err.Error())
	}
	if err := p.waitForWork(ctx, o); err != nil {
		return goose.RefusedCommand(err.Error())
	}
	// A former dispatcher's command may still run; none can be on its way here.
	last, err := o.commander.LastCommand(ctx, o.address)
	if err != nil {
		return goose.RefusedCommand("it does not tell whether a command runs: " + err.Error())
	}
	if last.Running {
		p.mu.Lock()
		o.replica.commandKnown = false
		p.mu.Unlock()
		return goose.RefusedCommand("it still runs an earlier command: " + last.Command.String())
	}
	ticket, err := p.d.Commands.Begin(ctx, o.request)
	if err != nil {
		return goose.RefusedCommand(err.Error())
	}
	c := o.request.Command
	c.Epoch, c.Check = p.d.Epoch, func() error { return p.checkCommand(o, ticket.Until()) }
	result := commandResult(o.commander.Send(ctx, o.address, c))
	// The record must not depend on the time that the operator still waits.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := ticket.End(ctx, result); err != nil {
		gooseevent.CommandNotRecorded.Log(p.d.Log, "replica", o.request.Replica, "change", o.request.ID, "outcome", string(result.Outcome), "error", err)
	}
	return result
}

// commandResult tells what an error of Send says about the command.
func commandResult(err error) goose.CommandResult {
	var status *goose.StatusError
	switch {
	case err == nil:
		return goose.CommandResult{Outcome: goose.CommandAccepted}
	case errors.Is(err, goose.ErrNotSent), errors.As(err, &status):
		return goose.RefusedCommand(err.Error())
	}
	return goose.CommandResult{Outcome: goose.CommandUnknown, Reason: err.Error()}
}

// waitForFencing waits until the former dispatcher can no longer send a command
// to a replica that would not refuse it.
func (p *Pool) waitForFencing(ctx context.Context, o *pendingCommand) error {
	left := p.startedAt.Add(p.d.LeaseTTL + fencingMargin).Sub(p.d.Clock.Now())
	if o.fencing != goose.FencingIgnored || left <= 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) < left+sendReserve {
		return errors.Errorf("it ignores fencing tokens, and the former dispatcher's time lasts another %s", left.Round(time.Second))
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the end of the former dispatcher")
	case <-t.C:
		return nil
	}
}

// waitForWork waits until nothing runs on the replica.
func (p *Pool) waitForWork(ctx context.Context, o *pendingCommand) error {
	for {
		reason := p.atWork(o)
		if reason == "" {
			return nil
		}
		if d, ok := ctx.Deadline(); ok && time.Until(d) < sendReserve {
			return errors.New(reason)
		}
		select {
		case <-ctx.Done():
			return errors.New(reason)
		case <-time.After(workInterval):
		}
	}
}

// atWork tells what keeps the command from being sent; empty if nothing does. A
// new dispatcher knows what runs only after its takeover.
func (p *Pool) atWork(o *pendingCommand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := o.replica
	running := len(r.permits) + len(r.orphans)
	switch {
	case !r.reachable:
		return "it does not answer"
	case o.request.Force:
		return ""
	case running > 0:
		return fmt.Sprintf("%d requests still run on it", running)
	case !r.inspected || !p.takeover.over(p.d.Clock.Now(), p.quarantine()):
		return "the new dispatcher does not know yet what runs on it"
	}
	return ""
}

// checkCommand runs as the last step before the first byte is sent: the process
// may have been paused since the earlier checks. It turns the replica cold.
func (p *Pool) checkCommand(o *pendingCommand, until time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.commandAuthority(); err != nil {
		return err
	}
	if !p.d.Clock.Now().Before(until) {
		return errors.New("the place in the rate of the weight store was not used in time")
	}
	r := o.replica
	if !r.configured || r.spec.Address != o.address {
		return errors.New("its configuration changed meanwhile")
	}
	r.load.sent = true
	p.turnCold(r, "command")
	return nil
}

// endCommand opens the replica again after a refusal. Otherwise the replica's
// own report ends the load.
func (p *Pool) endCommand(o *pendingCommand, result goose.CommandResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.Clock.Now()
	switch result.Outcome {
	case goose.CommandAccepted:
		o.replica.load.quiet = now
	case goose.CommandUnknown:
		o.replica.load.quiet = now.Add(commandFlight)
	default:
		o.replica.load = nil
		p.pumpReplicas(now, o.replica)
	}
}

// pollCommand asks a replica about its last command if that is not known or one
// is in progress.
func (p *Pool) pollCommand(ctx context.Context, t target) {
	p.mu.Lock()
	asked := p.d.Clock.Now()
	due := !t.replica.commandKnown || t.replica.load != nil && t.replica.load.sent
	p.mu.Unlock()
	if !due {
		return
	}
	c, ok := t.protocol.(goose.Commander)
	var last goose.CommandStatus
	if ok {
		var err error
		var status *goose.StatusError
		if last, err = c.LastCommand(ctx, t.address); err != nil && !errors.As(err, &status) {
			return
		}
	}
	p.commandSeen(t, last, asked)
}

// commandSeen applies what a replica said about its last command.
func (p *Pool) commandSeen(t target, last goose.CommandStatus, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, now := t.replica, p.d.Clock.Now()
	if r.spec.Address != t.address {
		return
	}
	r.commandKnown = true
	switch {
	case last.Running && r.load == nil:
		// A former dispatcher sent it.
		r.load = &load{command: last.Command, sent: true, quiet: now}
		p.turnCold(r, "command")
	case last.Running:
	case r.load == nil:
		r.commandEnded = ended(last, now)
	case r.load.sent && !r.load.quiet.IsZero() && !asked.Before(r.load.quiet):
		gooseevent.CommandEnded.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", r.id, "command", r.load.command.String(), "error", last.Error)
		r.load, r.commandEnded = nil, ended(last, now)
		// What finished while the replica loaded is no evidence of warmth.
		p.turnCold(r, "command ended")
	}
}

// ended returns when the last command ended; zero if there was none.
func ended(last goose.CommandStatus, now time.Time) time.Time {
	if last.Command.Kind == "" {
		return time.Time{}
	}
	return now.Add(-last.Age)
}
