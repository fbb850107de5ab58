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
	// fencingMargin covers the difference between the clocks of the former lease
	// holder and the store.
	fencingMargin = time.Second
	// commandTransitTime is the time in which a command whose response was lost, or
	// that a former dispatcher sent, can still arrive: the client of the engine
	// protocol gives up after 2 s.
	commandTransitTime = 3 * time.Second
	// sendReserve is the time that a command needs after its waits, for the calls
	// to the store and to the backend server.
	sendReserve = 3 * time.Second
	// workPollInterval is the time between two checks of the requests that a
	// command waits for.
	workPollInterval = 50 * time.Millisecond
	// recordTimeout bounds the write of a command's outcome.
	recordTimeout = time.Second
)

// activeCommand is a command that runs, or is about to run, on a replica. No new
// request is bound to the replica until it ends.
type activeCommand struct {
	command goose.Command
	// sent is set as the last step before the first byte is sent.
	sent bool
	// deliveredBy is the time from which the command can no longer be in transit. A
	// status that was requested earlier does not end the command. It is zero while
	// the command is being sent.
	deliveredBy time.Time
}

// pendingCommand is a command that is being prepared or sent.
type pendingCommand struct {
	request   goose.CommandRequest
	replica   *replica
	address   string
	fencing   goose.Fencing
	commander goose.Commander
}

// Command sends a command to a replica and resets the replica to its cold limits.
// No new request is bound to the replica while the command waits and while the
// replica runs it. The command waits until running requests have finished (unless
// forced) and, if the replica ignores fencing tokens, until the former dispatcher
// can no longer send a command. It is refused if ctx ends too early for that.
func (p *Pool) Command(ctx context.Context, q goose.CommandRequest) goose.CommandResult {
	pending, err := p.beginCommand(q)
	if err != nil {
		return goose.RefusedCommand(err.Error())
	}
	result := p.runCommand(ctx, pending)
	p.endCommand(pending, result)
	gooseevent.BackendServerCommanded.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", q.Replica, "command", q.Command.String(),
		"change", q.ID, "author", q.Author, "epoch", int64(p.deps.Epoch), "outcome", string(result.Outcome), "reason", result.Reason)
	return result
}

// beginCommand reserves the replica for the command.
func (p *Pool) beginCommand(q goose.CommandRequest) (*pendingCommand, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyConfiguration(p.deps.Clock.Now())
	if err := p.checkCommandAuthority(); err != nil {
		return nil, err
	}
	r, ok := p.replicas[q.Replica]
	if !ok || !r.configured {
		return nil, errors.Errorf("backend server %s is not in pool %s", q.Replica, p.deps.Pool)
	}
	c, ok := p.deps.Protocol(p.service.Protocol).(goose.Commander)
	switch {
	case !ok:
		return nil, errors.Errorf("protocol %s has no commands", p.service.Protocol)
	case p.deps.Commands == nil:
		return nil, errors.New("no record of commands")
	case r.activeCommand != nil:
		return nil, errors.Errorf("another command is in progress on it: %s", r.activeCommand.command)
	}
	r.activeCommand = &activeCommand{command: q.Command}
	return &pendingCommand{request: q, replica: r, address: r.spec.Address, fencing: r.spec.Fencing, commander: c}, nil
}

// checkCommandAuthority allows commands only in the modes leased and consented: a
// degraded dispatcher may not be the only one of the pool.
func (p *Pool) checkCommandAuthority() error {
	m := p.authority(p.deps.Clock.Now()).Mode
	if p.resigned || m != goose.ModeLeased && m != goose.ModeConsented {
		return errors.Errorf("no authority to command backend servers of pool %s in mode %s", p.deps.Pool, m)
	}
	return nil
}

func (p *Pool) runCommand(ctx context.Context, pending *pendingCommand) goose.CommandResult {
	if err := p.waitForFencing(ctx, pending); err != nil {
		return goose.RefusedCommand(err.Error())
	}
	if err := p.waitForIdle(ctx, pending); err != nil {
		return goose.RefusedCommand(err.Error())
	}
	// A command of a former dispatcher may still run, but none can be in transit.
	last, err := pending.commander.LastCommand(ctx, pending.address)
	if err != nil {
		return goose.RefusedCommand("it does not tell whether a command runs: " + err.Error())
	}
	if last.Running {
		p.mu.Lock()
		pending.replica.commandKnown = false
		p.mu.Unlock()
		return goose.RefusedCommand("it still runs an earlier command: " + last.Command.String())
	}
	ticket, err := p.deps.Commands.Begin(ctx, pending.request)
	if err != nil {
		return goose.RefusedCommand(err.Error())
	}
	c := pending.request.Command
	c.Epoch, c.BeforeSend = p.deps.Epoch, func() error { return p.checkCommand(pending, ticket.Deadline()) }
	result := commandResult(pending.commander.Send(ctx, pending.address, c))
	// The outcome is recorded even if the operator no longer waits for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := ticket.RecordResult(ctx, result); err != nil {
		gooseevent.CommandOutcomeNotRecorded.Log(p.deps.Log, "replica", pending.request.Replica, "change", pending.request.ID, "outcome", string(result.Outcome), "error", err)
	}
	return result
}

// commandResult returns the outcome that an error of Send implies.
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
// to a replica that ignores fencing tokens.
func (p *Pool) waitForFencing(ctx context.Context, pending *pendingCommand) error {
	left := p.startedAt.Add(p.deps.LeaseTTL + fencingMargin).Sub(p.deps.Clock.Now())
	if pending.fencing != goose.FencingIgnored || left <= 0 {
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

// waitForIdle waits until no request runs on the replica.
func (p *Pool) waitForIdle(ctx context.Context, pending *pendingCommand) error {
	for {
		reason := p.blockingReason(pending)
		if reason == "" {
			return nil
		}
		if d, ok := ctx.Deadline(); ok && time.Until(d) < sendReserve {
			return errors.New(reason)
		}
		select {
		case <-ctx.Done():
			return errors.New(reason)
		case <-time.After(workPollInterval):
		}
	}
}

// blockingReason returns why the command cannot be sent yet; empty if it can. A new
// dispatcher learns what runs on the replica only during its takeover.
func (p *Pool) blockingReason(pending *pendingCommand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := pending.replica
	running := len(r.permits) + len(r.orphans)
	switch {
	case !r.reachable:
		return "it does not answer"
	case pending.request.Force:
		return ""
	case running > 0:
		return fmt.Sprintf("%d requests still run on it", running)
	case !r.inspected || !p.takeover.quarantineOver(p.deps.Clock.Now(), p.quarantine()):
		return "the new dispatcher does not know yet what runs on it"
	}
	return ""
}

// checkCommand runs as the last step before the first byte is sent, because the
// process may have been paused since the earlier checks. It resets the replica to
// its cold limits.
func (p *Pool) checkCommand(pending *pendingCommand, until time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkCommandAuthority(); err != nil {
		return err
	}
	if !p.deps.Clock.Now().Before(until) {
		return errors.New("the place in the rate of the weight store was not used in time")
	}
	r := pending.replica
	if !r.configured || r.spec.Address != pending.address {
		return errors.New("its configuration changed meanwhile")
	}
	r.activeCommand.sent = true
	p.resetToCold(r, "command")
	return nil
}

// endCommand makes the replica usable again after a refusal. Otherwise the
// replica's own status ends the command.
func (p *Pool) endCommand(pending *pendingCommand, result goose.CommandResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	switch result.Outcome {
	case goose.CommandAccepted:
		pending.replica.activeCommand.deliveredBy = now
	case goose.CommandUnknown:
		pending.replica.activeCommand.deliveredBy = now.Add(commandTransitTime)
	default:
		pending.replica.activeCommand = nil
		p.grantWaitingOn(now, pending.replica)
	}
}

// pollCommand asks a replica for the status of its last command if that is not
// known or a command is in progress.
func (p *Pool) pollCommand(ctx context.Context, t pollTarget) {
	p.mu.Lock()
	requestedAt := p.deps.Clock.Now()
	due := !t.replica.commandKnown || t.replica.activeCommand != nil && t.replica.activeCommand.sent
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
	p.applyCommandStatus(t, last, requestedAt)
}

// applyCommandStatus applies the status of a replica's last command.
func (p *Pool) applyCommandStatus(t pollTarget, last goose.CommandStatus, requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, now := t.replica, p.deps.Clock.Now()
	if r.spec.Address != t.address {
		return
	}
	r.commandKnown = true
	switch {
	case last.Running && r.activeCommand == nil:
		// A former dispatcher sent it.
		r.activeCommand = &activeCommand{command: last.Command, sent: true, deliveredBy: now}
		p.resetToCold(r, "command")
	case last.Running:
	case r.activeCommand == nil:
		r.commandEndedAt = commandEndTime(last, now)
	case r.activeCommand.sent && !r.activeCommand.deliveredBy.IsZero() && !requestedAt.Before(r.activeCommand.deliveredBy):
		gooseevent.CommandEnded.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", r.id, "command", r.activeCommand.command.String(), "error", last.Error)
		r.activeCommand, r.commandEndedAt = nil, commandEndTime(last, now)
		// Requests that finished during the command do not count for the ramp.
		p.resetToCold(r, "command ended")
	}
}

// commandEndTime returns when the last command ended; zero if there was none.
func commandEndTime(last goose.CommandStatus, now time.Time) time.Time {
	if last.Command.Kind == "" {
		return time.Time{}
	}
	return now.Add(-last.Age)
}
