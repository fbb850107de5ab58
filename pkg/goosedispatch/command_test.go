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

// commandProtocol takes commands, each of which runs for loadTime, and delivers
// one cache event.
type commandProtocol struct {
	*fakeProtocol
	mu sync.Mutex
	// connect is how long a command is on its way before its last check.
	connect  time.Duration
	loadTime time.Duration
	// answer is the error of the answer, after the effect.
	answer error
	// mute engines do not tell about their last command.
	mute bool
	// silent is until when they do not answer the question.
	silent time.Time
	sent   []goose.Command
	at     time.Time
	until  time.Time
}

func (c *commandProtocol) Send(_ context.Context, _ string, k goose.Command) error {
	time.Sleep(c.connect)
	if err := k.Check(); err != nil {
		return errors.Wrap(goose.ErrNotSent, err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var status *goose.StatusError
	if errors.As(c.answer, &status) {
		return c.answer
	}
	c.sent, c.at, c.until = append(c.sent, k), time.Now(), time.Now().Add(c.loadTime)
	return c.answer
}

func (c *commandProtocol) LastCommand(context.Context, string) (goose.CommandStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mute {
		return goose.CommandStatus{}, &goose.StatusError{Status: 404}
	}
	if time.Now().Before(c.silent) {
		return goose.CommandStatus{}, goose.ErrDisconnected
	}
	if c.until.IsZero() {
		return goose.CommandStatus{}, nil
	}
	s := goose.CommandStatus{Command: goose.Command{Kind: goose.CommandLoadModel, Name: "m"}, Running: time.Now().Before(c.until)}
	if !s.Running {
		s.Age = time.Since(c.until)
	}
	return s, nil
}

// commandLog is a goose.CommandLog that answers as told.
type commandLog struct {
	err    error
	within time.Duration
	begun  int
	ended  []goose.CommandResult
	until  time.Time
}

func (l *commandLog) Begin(context.Context, goose.CommandRequest) (goose.CommandTicket, error) {
	if l.err != nil {
		return nil, l.err
	}
	l.begun++
	l.until = time.Now().Add(l.within)
	return l, nil
}
func (l *commandLog) Until() time.Time { return l.until }

func (l *commandLog) End(_ context.Context, r goose.CommandResult) error {
	l.ended = append(l.ended, r)
	return nil
}

// commandRig is a rig whose engines take commands.
type commandRig struct {
	*rig
	p *commandProtocol
	l *commandLog
}

func newCommandRig(t *testing.T, change func(*commandRig)) *commandRig {
	c := &commandRig{p: &commandProtocol{loadTime: 10 * time.Second}, l: &commandLog{within: 3 * time.Second}}
	c.rig = newRig(t, func(r *rig, d *Dependencies) {
		c.rig = r
		c.p.fakeProtocol, d.Commands = r.protocol, c.l
		d.Protocol = func(string) goose.Protocol { return c.p }
		if change != nil {
			change(c)
		}
	}, "a")
	return c
}

// setMode changes the authority of the dispatcher.
func (c *commandRig) setMode(m goose.DispatchMode) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.mode = m
}

// loads makes the engine run a command until then.
func (c *commandRig) loads(until time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.until = until
}

func (c *commandRig) command(force bool) goose.CommandResult {
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

// Guards against commands without authority or with an old epoch, also when it
// is lost while a command is on its way, commands to replicas without fencing
// while the former dispatcher may still send some or its command still runs,
// commands without a record or a place in the rate, and untrue outcomes.
func TestCommand(t *testing.T) {
	later := func(d time.Duration, f func(c *commandRig)) func(*commandRig) {
		return func(c *commandRig) { time.AfterFunc(d, func() { f(c) }) }
	}
	tests := map[string]struct {
		change func(*commandRig)
		want   goose.CommandOutcome
		reason string
		after  time.Duration
	}{
		"leased":    {nil, goose.CommandAccepted, "", time.Second},
		"consented": {func(c *commandRig) { c.mode = goose.ModeConsented }, goose.CommandAccepted, "", time.Second},
		"degraded":  {func(c *commandRig) { c.mode = goose.ModeDegraded }, goose.CommandRefused, "no authority", 0},
		"stopped":   {func(c *commandRig) { c.mode = goose.ModeStopped }, goose.CommandRefused, "no authority", 0},
		"fencing ignored": {
			func(c *commandRig) { c.source.c.servers[0].Fencing = goose.FencingIgnored }, goose.CommandAccepted, "", 4 * time.Second,
		},
		"authority lost on the way": {func(c *commandRig) {
			c.p.connect = 2 * time.Second
			later(2*time.Second, func(c *commandRig) { c.setMode(goose.ModeStopped) })(c)
		}, goose.CommandRefused, "no authority", 0},
		"resigned on the way": {func(c *commandRig) {
			c.p.connect = 2 * time.Second
			later(2*time.Second, func(c *commandRig) { c.pool.Resign() })(c)
		}, goose.CommandRefused, "no authority", 0},
		"too late for its place": {func(c *commandRig) { c.p.connect = 4 * time.Second }, goose.CommandRefused, "not used in time", 0},
		"no place":               {func(c *commandRig) { c.l.err = errors.New("rate used up") }, goose.CommandRefused, "rate used up", 0},
		"old epoch": {
			func(c *commandRig) { c.p.answer = &goose.StatusError{Status: 412, Body: "old"} }, goose.CommandRefused, "412", 0,
		},
		"answer lost": {func(c *commandRig) { c.p.answer = goose.ErrDisconnected }, goose.CommandUnknown, "lost", time.Second},
		"does not tell": {
			func(c *commandRig) { c.p.mute = true }, goose.CommandRefused, "does not tell", 0,
		},
		"former dispatcher's command runs": {
			func(c *commandRig) { c.p.until = time.Now().Add(time.Minute) }, goose.CommandRefused, "in progress", 0,
		},
		"former dispatcher's command began late": {func(c *commandRig) {
			c.source.c.servers[0].Fencing = goose.FencingIgnored
			later(2*time.Second, func(c *commandRig) { c.loads(time.Now().Add(time.Minute)) })(c)
		}, goose.CommandRefused, "still runs an earlier command", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandRig(t, tt.change)
				start := time.Now()
				c.run()
				c.warm()
				got := c.command(false)
				if got.Outcome != tt.want || !strings.Contains(got.Reason, tt.reason) {
					t.Fatalf("got %s, want %s: %s", got, tt.want, tt.reason)
				}
				if tt.want == goose.CommandRefused {
					if len(c.p.sent) != 0 {
						t.Errorf("commands sent: got %v, want none", c.p.sent)
					}
				} else if len(c.p.sent) != 1 || c.p.sent[0].Epoch != 7 || c.p.at.Sub(start).Round(time.Second) != tt.after {
					t.Errorf("got %v after %v, want one with epoch 7 after %v", c.p.sent, c.p.at.Sub(start), tt.after)
				}
				if c.l.begun > 0 && (len(c.l.ended) != 1 || c.l.ended[0] != got) {
					t.Errorf("recorded outcomes: got %v, want %s", c.l.ended, got)
				}
			})
		})
	}
}

// Guards against requests that are bound to a loading replica, also by a
// dispatcher that did not send the command, and against full load on it
// afterwards.
func TestNoRequestJoinsALoad(t *testing.T) {
	tests := map[string]struct {
		before func(c *commandRig)
		run    func(c *commandRig)
	}{
		"sent here":                   {nil, func(c *commandRig) { c.command(false) }},
		"answer lost":                 {func(c *commandRig) { c.p.answer = goose.ErrDisconnected }, func(c *commandRig) { c.command(false) }},
		"sent by a former dispatcher": {func(c *commandRig) { c.p.until = time.Now().Add(11 * time.Second) }, nil},
		"asked in vain at first": {func(c *commandRig) {
			c.p.until, c.p.silent = time.Now().Add(11*time.Second), time.Now().Add(3*time.Second)
		}, nil},
		"warm by evidence from before": {func(c *commandRig) {
			c.p.until = time.Now().Add(11 * time.Second)
			c.holders.all = []goose.Collected{{Warm: []goose.Warmth{{Replica: "a", Process: "p1", Age: time.Second}}}}
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCommandRig(t, tt.before)
				c.run()
				c.warm()
				if tt.run != nil {
					tt.run(c)
				}
				if got := c.pool.Status().Replicas[0]; got.Load == "" && c.p.silent.IsZero() || tt.run != nil && !got.Cold {
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

// Guards against a replica that a new dispatcher takes for warm because a peer
// saw its process answer at full limits before it loaded other weights.
func TestEvidenceFromBeforeALoad(t *testing.T) {
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
				c := newCommandRig(t, func(c *commandRig) {
					c.p.until = time.Now().Add(-5 * time.Second)
					c.holders.all = []goose.Collected{{Warm: []goose.Warmth{{Replica: "a", Process: "p1", Age: tt.age}}}}
				})
				c.run()
				if got := c.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against a load over running requests that nobody forced, against
// requests that are bound while a command waits for others to end, and against
// a replica that stays closed after a refusal.
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
				c := newCommandRig(t, nil)
				c.run()
				c.warm()
				g := c.acquire(request("r1", 100), goose.PermitGranted).Permit
				c.holders.set(func(f *fakeHolders) { f.confirm = true })
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
						t.Errorf("grants beside the request after the refusal: got %d, want 3", got)
					}
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against two commands of racing operators that both reach a replica.
func TestRacingCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandRig(t, func(c *commandRig) { c.p.connect = time.Second })
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
		if got[goose.CommandAccepted] != 1 || got[goose.CommandRefused] != 4 || len(c.p.sent) != 1 {
			t.Errorf("got %v and %d sent, want 1 accepted and sent, 4 refused", got, len(c.p.sent))
		}
	})
}

// Guards against a successor that gives a loading replica work because the
// command had not arrived yet when it took over.
func TestHandoverDuringCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandRig(t, nil)
		c.run()
		c.warm()
		if got := c.command(false); got.Outcome != goose.CommandAccepted {
			t.Fatalf("got %s, want accepted", got)
		}
		h := c.pool.Resign()
		c.loads(time.Time{}) // not there yet
		next := newRig(t, func(_ *rig, d *Dependencies) {
			d.Handover, d.Commands = &h, c.l
			d.Protocol = func(string) goose.Protocol { return c.p }
		}, "a")
		next.run()
		if got := next.grants(); got != 0 {
			t.Errorf("grants after a second: got %d, want none", got)
		}
		c.loads(time.Now().Add(5 * time.Second))
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

// Guards against a replica that gets no work because it has neither a load
// report nor commands.
func TestReplicaWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommandRig(t, func(c *commandRig) {
			c.p.mute = true
			c.protocol.set("a:1", func(e *fakeEngine) { e.mute = true })
		})
		c.run()
		if got := c.grants(); got != 1 {
			t.Errorf("grants: got %d, want 1, the cold limit", got)
		}
	})
}

// Guards against cache events that do not reach the routing policy.
func TestCacheEventsReachThePolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig, d *Dependencies) {
			p := &commandProtocol{fakeProtocol: r.protocol}
			d.Protocol = func(string) goose.Protocol { return p }
			d.Policy = gooseroute.NewAffinity(goose.SystemClock{})
		}, "a", "b", "c")
		r.run()
		q := request("r1", 100)
		q.Prefix = []uint64{77}
		if got := r.acquire(q, goose.PermitGranted).Permit.Replicas[0].Replica; got != "b" {
			t.Errorf("replica: got %s, want b, which holds the prefix", got)
		}
	})
}
