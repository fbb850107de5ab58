package goosedispatch

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
)

// commandProtocol accepts commands, each of which runs for loadTime, and delivers one
// cache event.
type commandProtocol struct {
	*fakeProtocol
	mu sync.Mutex
	// sendDelay is the time from the call of Send to the last check of the command.
	sendDelay time.Duration
	loadTime  time.Duration
	// responseErr is the error that Send returns after the command has taken effect; a
	// StatusError is returned without effect.
	responseErr error
	// noStatus engines do not report their last command.
	noStatus bool
	// silentUntil is the time until which LastCommand fails.
	silentUntil time.Time
	sent        []goose.Command
	sentAt      time.Time
	runsUntil   time.Time
}

func (c *commandProtocol) Send(_ context.Context, _ string, k goose.Command) error {
	time.Sleep(c.sendDelay)
	if err := k.BeforeSend(); err != nil {
		return errors.Wrap(goose.ErrNotSent, err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var status *goose.StatusError
	if errors.As(c.responseErr, &status) {
		return c.responseErr
	}
	c.sent, c.sentAt, c.runsUntil = append(c.sent, k), time.Now(), time.Now().Add(c.loadTime)
	return c.responseErr
}

func (c *commandProtocol) LastCommand(context.Context, string) (goose.CommandStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noStatus {
		return goose.CommandStatus{}, &goose.StatusError{Status: 404}
	}
	if time.Now().Before(c.silentUntil) {
		return goose.CommandStatus{}, goose.ErrDisconnected
	}
	if c.runsUntil.IsZero() {
		return goose.CommandStatus{}, nil
	}
	s := goose.CommandStatus{Command: goose.Command{Kind: goose.CommandLoadModel, Name: "m"}, Running: time.Now().Before(c.runsUntil)}
	if !s.Running {
		s.Age = time.Since(c.runsUntil)
	}
	return s, nil
}

// commandLog is a fake goose.CommandLog with preset results.
type commandLog struct {
	err    error
	window time.Duration
	begun  int
	ended  []goose.CommandResult
	until  time.Time
}

func (l *commandLog) Begin(context.Context, goose.CommandRequest) (goose.CommandTicket, error) {
	if l.err != nil {
		return nil, l.err
	}
	l.begun++
	l.until = time.Now().Add(l.window)
	return l, nil
}
func (l *commandLog) Deadline() time.Time { return l.until }

func (l *commandLog) RecordResult(_ context.Context, r goose.CommandResult) error {
	l.ended = append(l.ended, r)
	return nil
}

// commandHarness is a harness whose engines accept commands.
type commandHarness struct {
	*harness
	commands *commandProtocol
	log      *commandLog
}

func newCommandHarness(t *testing.T, change func(*commandHarness)) *commandHarness {
	c := &commandHarness{commands: &commandProtocol{loadTime: 10 * time.Second}, log: &commandLog{window: 3 * time.Second}}
	c.harness = newHarness(t, func(h *harness, d *Dependencies) {
		c.harness = h
		c.commands.fakeProtocol, d.Commands = h.protocol, c.log
		d.Protocol = func(string) goose.Protocol { return c.commands }
		if change != nil {
			change(c)
		}
	}, "a")
	return c
}

// setMode changes the authority of the dispatcher.
func (c *commandHarness) setMode(m goose.DispatchMode) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.mode = m
}

// setRunsUntil makes the engine run a command until the given time.
func (c *commandHarness) setRunsUntil(until time.Time) {
	c.commands.mu.Lock()
	defer c.commands.mu.Unlock()
	c.commands.runsUntil = until
}

func (c *commandHarness) command(force bool) goose.CommandResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.pool.Command(ctx, goose.CommandRequest{
		ID: "c1", Replica: "a", Force: force, Command: goose.Command{Kind: goose.CommandLoadModel, Name: "m"},
	})
}

func (c *commandProtocol) CacheEvents(ctx context.Context, address string, f func(goose.CacheEvent)) error {
	if address == "b:1" {
		f(goose.CacheEvent{Sequence: 1, Block: 77, Time: time.Now()})
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against commands without authority, also when it is lost while a command is sent,
// and with an old epoch; commands to replicas without fencing while the former dispatcher
// may still send commands or its command still runs; commands without a record or beyond
// the rate; and wrong outcomes.
func TestCommand(t *testing.T) {
	later := func(d time.Duration, f func(c *commandHarness)) func(*commandHarness) {
		return func(c *commandHarness) { time.AfterFunc(d, func() { f(c) }) }
	}
	tests := map[string]struct {
		change func(*commandHarness)
		want   goose.CommandOutcome
		reason string
		after  time.Duration
	}{
		"leased":    {nil, goose.CommandAccepted, "", time.Second},
		"consented": {func(c *commandHarness) { c.mode = goose.ModeConsented }, goose.CommandAccepted, "", time.Second},
		"degraded":  {func(c *commandHarness) { c.mode = goose.ModeDegraded }, goose.CommandRefused, "no authority", 0},
		"stopped":   {func(c *commandHarness) { c.mode = goose.ModeStopped }, goose.CommandRefused, "no authority", 0},
		"fencing ignored": {
			func(c *commandHarness) { c.source.c.servers[0].Fencing = goose.FencingIgnored }, goose.CommandAccepted, "", 4 * time.Second,
		},
		"authority lost while sent": {func(c *commandHarness) {
			c.commands.sendDelay = 2 * time.Second
			later(2*time.Second, func(c *commandHarness) { c.setMode(goose.ModeStopped) })(c)
		}, goose.CommandRefused, "no authority", 0},
		"resigned while sent": {func(c *commandHarness) {
			c.commands.sendDelay = 2 * time.Second
			later(2*time.Second, func(c *commandHarness) { c.pool.Resign() })(c)
		}, goose.CommandRefused, "no authority", 0},
		"sent after its slot in the rate": {func(c *commandHarness) { c.commands.sendDelay = 4 * time.Second }, goose.CommandRefused, "not used in time", 0},
		"rate used up":                    {func(c *commandHarness) { c.log.err = errors.New("rate used up") }, goose.CommandRefused, "rate used up", 0},
		"old epoch": {
			func(c *commandHarness) { c.commands.responseErr = &goose.StatusError{Status: 412, Body: "old"} }, goose.CommandRefused, "412", 0,
		},
		"response lost": {func(c *commandHarness) { c.commands.responseErr = goose.ErrDisconnected }, goose.CommandUnknown, "lost", time.Second},
		"no command status": {
			func(c *commandHarness) { c.commands.noStatus = true }, goose.CommandRefused, "does not tell", 0,
		},
		"former dispatcher's command runs": {
			func(c *commandHarness) { c.commands.runsUntil = time.Now().Add(time.Minute) }, goose.CommandRefused, "in progress", 0,
		},
		"former dispatcher's command starts during wait": {func(c *commandHarness) {
			c.source.c.servers[0].Fencing = goose.FencingIgnored
			later(2*time.Second, func(c *commandHarness) { c.setRunsUntil(time.Now().Add(time.Minute)) })(c)
		}, goose.CommandRefused, "still runs an earlier command", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandHarness(t, tt.change)
				start := time.Now()
				c.run()
				c.warm()
				got := c.command(false)
				if got.Outcome != tt.want || !strings.Contains(got.Reason, tt.reason) {
					t.Fatalf("got %s, want %s: %s", got, tt.want, tt.reason)
				}
				if tt.want == goose.CommandRefused {
					if len(c.commands.sent) != 0 {
						t.Errorf("commands sent: got %v, want none", c.commands.sent)
					}
				} else if len(c.commands.sent) != 1 || c.commands.sent[0].Epoch != 7 || c.commands.sentAt.Sub(start).Round(time.Second) != tt.after {
					t.Errorf("got %v after %v, want one with epoch 7 after %v", c.commands.sent, c.commands.sentAt.Sub(start), tt.after)
				}
				if c.log.begun > 0 && (len(c.log.ended) != 1 || c.log.ended[0] != got) {
					t.Errorf("recorded outcomes: got %v, want %s", c.log.ended, got)
				}
			})
		})
	}
}

// Guards against requests that are bound to a replica while a command runs, also by a
// dispatcher that did not send the command, and against full limits after the command.
func TestNoGrantsWhileCommandRuns(t *testing.T) {
	tests := map[string]struct {
		before func(c *commandHarness)
		run    func(c *commandHarness)
	}{
		"sent here":                   {nil, func(c *commandHarness) { c.command(false) }},
		"response lost":               {func(c *commandHarness) { c.commands.responseErr = goose.ErrDisconnected }, func(c *commandHarness) { c.command(false) }},
		"sent by a former dispatcher": {func(c *commandHarness) { c.commands.runsUntil = time.Now().Add(11 * time.Second) }, nil},
		"command status unavailable at first": {func(c *commandHarness) {
			c.commands.runsUntil, c.commands.silentUntil = time.Now().Add(11*time.Second), time.Now().Add(3*time.Second)
		}, nil},
		"warm evidence from before the command": {func(c *commandHarness) {
			c.commands.runsUntil = time.Now().Add(11 * time.Second)
			c.holders.collected = []goose.HolderState{{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p1", Age: time.Second}}}}
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandHarness(t, tt.before)
				c.run()
				c.warm()
				if tt.run != nil {
					tt.run(c)
				}
				if got := c.pool.Status().Replicas[0]; got.Load == "" && c.commands.silentUntil.IsZero() || tt.run != nil && !got.Cold {
					t.Errorf("status: got load %q, cold %v; want a load on a cold replica", got.Load, got.Cold)
				}
				for range 9 {
					if got := c.grants(); got != 0 {
						t.Fatalf("grants on the loading replica: got %d, want none", got)
					}
					time.Sleep(time.Second)
				}
				time.Sleep(3 * time.Second)
				if got := c.grants(); got != 1 {
					t.Errorf("grants after the load: got %d, want 1, the cold limit", got)
				}
			})
		})
	}
}

// Guards against a new dispatcher that marks a replica as warm because a peer got a response
// at full limits from its process before the replica loaded other weights.
func TestWarmEvidenceFromBeforeCommand(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		want int
	}{
		"before the load": {10 * time.Second, 1},
		"after the load":  {time.Second, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandHarness(t, func(c *commandHarness) {
					c.commands.runsUntil = time.Now().Add(-5 * time.Second)
					c.holders.collected = []goose.HolderState{{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p1", Age: tt.age}}}}
				})
				c.run()
				if got := c.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against an unforced command that is sent while requests run, against requests that
// are bound while a command waits for others to end, and against a replica that stays
// unusable after a refused command.
func TestCommandWaitsForRequests(t *testing.T) {
	tests := map[string]struct {
		force bool
		ends  time.Duration
		want  goose.CommandOutcome
		at    time.Duration
	}{
		"request ends":    {false, 3 * time.Second, goose.CommandAccepted, 3 * time.Second},
		"request goes on": {false, time.Hour, goose.CommandRefused, 7 * time.Second},
		"forced":          {true, time.Hour, goose.CommandAccepted, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandHarness(t, nil)
				c.run()
				c.warm()
				g := c.acquire(request("r1", 100), goose.PermitGranted).Permit
				c.holders.set(func(f *fakeHolders) { f.confirms = true })
				time.AfterFunc(tt.ends, func() { c.release(g, nil) })
				time.AfterFunc(time.Second, func() {
					if got := c.grants(); got != 0 {
						t.Errorf("grants while the command waits or runs: got %d, want none", got)
					}
				})
				start := time.Now()
				got := c.command(tt.force)
				if after := time.Since(start).Round(time.Second); got.Outcome != tt.want || after != tt.at {
					t.Errorf("got %s after %s, want %s after %s", got, after, tt.want, tt.at)
				}
				if tt.want == goose.CommandRefused {
					if got := c.grants(); got != 3 {
						t.Errorf("grants alongside the request after the refusal: got %d, want 3", got)
					}
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against concurrent commands of several operators of which more than one reaches a
// replica.
func TestRacingCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandHarness(t, func(c *commandHarness) { c.commands.sendDelay = time.Second })
		c.run()
		var mu sync.Mutex
		got := map[goose.CommandOutcome]int{}
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				r := c.command(false)
				mu.Lock()
				defer mu.Unlock()
				got[r.Outcome]++
			})
		}
		all.Wait()
		if got[goose.CommandAccepted] != 1 || got[goose.CommandRefused] != 4 || len(c.commands.sent) != 1 {
			t.Errorf("got %v and %d sent, want 1 accepted and sent, 4 refused", got, len(c.commands.sent))
		}
	})
}

// Guards against a successor that grants on a loading replica because the command had not
// arrived at the replica yet when the successor took over.
func TestHandoverDuringCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandHarness(t, nil)
		c.run()
		c.warm()
		if got := c.command(false); got.Outcome != goose.CommandAccepted {
			t.Fatalf("got %s, want accepted", got)
		}
		h := c.pool.Resign()
		c.setRunsUntil(time.Time{}) // not there yet
		next := newHarness(t, func(_ *harness, d *Dependencies) {
			d.Handover, d.Commands = &h, c.log
			d.Protocol = func(string) goose.Protocol { return c.commands }
		}, "a")
		next.run()
		if got := next.grants(); got != 0 {
			t.Errorf("grants after a second: got %d, want none", got)
		}
		c.setRunsUntil(time.Now().Add(5 * time.Second))
		time.Sleep(4 * time.Second)
		if got := next.grants(); got != 0 {
			t.Errorf("grants while it loads: got %d, want none", got)
		}
		time.Sleep(3 * time.Second)
		if got := next.grants(); got != 1 {
			t.Errorf("grants after the load: got %d, want 1", got)
		}
	})
}

// Guards against a replica that gets no requests because it supports neither load reports
// nor commands.
func TestReplicaWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandHarness(t, func(c *commandHarness) {
			c.commands.noStatus = true
			c.protocol.set("a:1", func(e *fakeEngine) { e.noLoadReport = true })
		})
		c.run()
		if got := c.grants(); got != 1 {
			t.Errorf("grants: got %d, want 1, the cold limit", got)
		}
	})
}

// Guards against cache events that are not passed to the routing policy.
func TestCacheEventsReachThePolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, d *Dependencies) {
			p := &commandProtocol{fakeProtocol: h.protocol}
			d.Protocol = func(string) goose.Protocol { return p }
			d.Policy = gooseroute.NewAffinity(goose.SystemClock{})
		}, "a", "b", "c")
		h.run()
		q := request("r1", 100)
		q.PrefixHashes = []uint64{77}
		if got := h.acquire(q, goose.PermitGranted).Permit.Replicas[0].Replica; got != "b" {
			t.Errorf("replica: got %s, want b, which holds the prefix", got)
		}
	})
}
