package goosedispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// pauseLimit is the longest time between two steps of a manager that does not
	// count as a pause of the process. A change of configuration takes as long to
	// reach an instance that runs.
	pauseLimit = 2 * time.Second
	// confirmWait bounds the wait for an answer after a pause. An instance that
	// reaches nobody goes on with the configuration that it has.
	confirmWait = 2 * time.Second
	// confirmPoll is the time between two looks at a configuration that a peer
	// showed to be newer.
	confirmPoll = 20 * time.Millisecond
	// confirmRetry is the time before an instance that did not answer is asked again.
	confirmRetry = 100 * time.Millisecond
	// confirmPeers bounds the instances asked after a pause.
	confirmPeers = 8
)

// errOutdated is answered by an instance that itself has just resumed.
var errOutdated = errors.New("configuration not confirmed after a pause")

// pauses notices that the process did not run for a while: it was stopped, or its
// machine was. Until an instance that ran meanwhile has confirmed the
// configuration, it may be from before a change that is in force everywhere else,
// and the process has not read what waits in its sockets. The zero value is ready.
type pauses struct{ state atomic.Pointer[pauseState] }

// pauseState is immutable.
type pauseState struct {
	// stepped is when the process was last seen to run.
	stepped time.Time
	// resumed is the end of the last pause; zero once the configuration was
	// confirmed.
	resumed time.Time
}

// step notes that the process runs, and returns the length of a pause that ends
// with it, or zero.
func (p *pauses) step(now time.Time) time.Duration {
	for {
		old := p.state.Load()
		next, gap := pauseState{stepped: now}, time.Duration(0)
		if old != nil {
			next.resumed = old.resumed
			if d := now.Sub(old.stepped); d > pauseLimit {
				next.resumed, gap = now, d
			}
		}
		if p.state.CompareAndSwap(old, &next) {
			return gap
		}
	}
}

// outdated reports whether the configuration may be older than that of others
// because of a pause, also one that no step has noticed yet.
func (p *pauses) outdated(now time.Time) bool {
	s := p.state.Load()
	return s != nil && (!s.resumed.IsZero() || now.Sub(s.stepped) > pauseLimit)
}

// confirm ends the doubt about the configuration after the last pause, unless
// another pause has been noticed since asked.
func (p *pauses) confirm(asked time.Time) {
	for {
		old := p.state.Load()
		if old == nil || old.resumed.After(asked) {
			return
		}
		if p.state.CompareAndSwap(old, &pauseState{stepped: old.stepped}) {
			return
		}
	}
}

// notePause looks for a pause that ends with this step and begins to confirm the
// configuration after it.
func (m *Manager) notePause(ctx context.Context, now time.Time) {
	gap := m.pauses.step(now)
	if gap == 0 {
		return
	}
	gooseevent.ProcessResumed.Log(m.o.Log, "pause", gap.String(), "version", m.version())
	m.group.Go(func() { m.confirmConfiguration(ctx, now) })
}

// confirmConfiguration waits until this instance has the configuration of one that
// ran during the pause, or no answer came in time.
func (m *Manager) confirmConfiguration(ctx context.Context, resumed time.Time) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	want, from, confirmed := m.askVersion(ctx)
	for confirmed && m.version() < want {
		confirmed = goose.Sleep(ctx, confirmPoll)
	}
	m.pauses.confirm(resumed)
	gooseevent.ConfigurationConfirmed.Log(m.o.Log, "version", m.version(), "peer", string(from), "peer-version", want,
		"after", m.o.Clock.Now().Sub(resumed).String(), "confirmed", confirmed)
}

// askVersion returns the first answer of an instance of the data centre, or of
// another one if the data centre has no other instance.
func (m *Manager) askVersion(ctx context.Context) (int64, goose.InstanceID, bool) {
	ctx, cancel := context.WithCancel(ctx)
	type answer struct {
		version int64
		from    goose.InstanceID
	}
	answers := make(chan answer, confirmPeers)
	var calls conc.WaitGroup
	// The calls end before askVersion does.
	defer calls.Wait()
	defer cancel()
	members := m.confirmingMembers()
	if len(members) == 0 {
		return 0, "", false
	}
	for _, member := range members {
		calls.Go(func() {
			var reply VersionReply
			// The first call may fail on a connection that the pause has ended.
			for m.o.Caller.Call(ctx, member.Address, KindVersion, VersionRequest{}, &reply) != nil {
				if !goose.Sleep(ctx, confirmRetry) {
					return
				}
			}
			answers <- answer{reply.Version, member.Instance}
		})
	}
	select {
	case a := <-answers:
		return a.version, a.from, true
	case <-ctx.Done():
		return 0, "", false
	}
}

// confirmingMembers are the instances asked after a pause: those of the data
// centre, or of others if there are none.
func (m *Manager) confirmingMembers() []goose.Member {
	var near, far []goose.Member
	for _, member := range m.o.Membership.Members() {
		switch {
		case member.Instance == m.o.Self:
		case member.DataCentre == m.o.DataCentre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(len(near), confirmPeers)]
}

// version returns the configuration version in force here.
func (m *Manager) version() int64 {
	if c := m.o.Configuration.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// handleVersion answers an instance that has resumed.
func (m *Manager) handleVersion(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r VersionRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if m.pauses.outdated(m.o.Clock.Now()) {
		return nil, errOutdated
	}
	return VersionReply{Version: m.version()}, nil
}
