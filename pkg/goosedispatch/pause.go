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
	// count as a pause of the process. A change of configuration takes up to this
	// time to reach a running instance.
	pauseLimit = 2 * time.Second
	// confirmTimeout bounds the wait for a reply after a pause. An instance that
	// reaches no other one continues with its present configuration.
	confirmTimeout = 2 * time.Second
	// confirmPollInterval is the time between two checks whether this instance has
	// got the version that a peer reported.
	confirmPollInterval = 20 * time.Millisecond
	// confirmRetryDelay is the time before an instance that did not reply is asked
	// again.
	confirmRetryDelay = 100 * time.Millisecond
	// maxConfirmPeers bounds the number of instances that are asked after a pause.
	maxConfirmPeers = 8
)

// errUnconfirmed is the reply of an instance that has itself just resumed.
var errUnconfirmed = errors.New("configuration not confirmed after a pause")

// pauseDetector detects that the process did not run for some time, because the
// process or its machine was stopped. After a pause the configuration may be from
// before a change that is in force everywhere else, and the process has not read the
// data in its sockets yet, until an instance that ran during the pause has confirmed
// the configuration. The zero value is ready to use.
type pauseDetector struct{ state atomic.Pointer[pauseState] }

// pauseState is immutable.
type pauseState struct {
	// steppedAt is when the process last recorded a step.
	steppedAt time.Time
	// resumedAt is the end of the last pause; zero once the configuration has been
	// confirmed.
	resumedAt time.Time
}

// step records that the process runs. It returns the length of the pause that ends
// with this step, or zero.
func (p *pauseDetector) step(now time.Time) time.Duration {
	for {
		old := p.state.Load()
		next, gap := pauseState{steppedAt: now}, time.Duration(0)
		if old != nil {
			next.resumedAt = old.resumedAt
			if d := now.Sub(old.steppedAt); d > pauseLimit {
				next.resumedAt, gap = now, d
			}
		}
		if p.state.CompareAndSwap(old, &next) {
			return gap
		}
	}
}

// unconfirmed reports whether the configuration may be older than that of other
// instances because of a pause, including a pause that no step has detected yet.
func (p *pauseDetector) unconfirmed(now time.Time) bool {
	s := p.state.Load()
	return s != nil && (!s.resumedAt.IsZero() || now.Sub(s.steppedAt) > pauseLimit)
}

// confirm marks the configuration as confirmed, unless a pause has ended since
// requestedAt.
func (p *pauseDetector) confirm(requestedAt time.Time) {
	for {
		old := p.state.Load()
		if old == nil || old.resumedAt.After(requestedAt) {
			return
		}
		if p.state.CompareAndSwap(old, &pauseState{steppedAt: old.steppedAt}) {
			return
		}
	}
}

// checkPause detects a pause that ends with this step, and then starts to confirm the
// configuration.
func (m *Manager) checkPause(ctx context.Context, now time.Time) {
	gap := m.pauses.step(now)
	if gap == 0 {
		return
	}
	gooseevent.ProcessResumed.Log(m.options.Log, "pause", gap.String(), "version", m.configurationVersion())
	m.group.Go(func() { m.confirmConfiguration(ctx, now) })
}

// confirmConfiguration waits until this instance has the configuration version of an
// instance that ran during the pause, or until confirmTimeout.
func (m *Manager) confirmConfiguration(ctx context.Context, resumed time.Time) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	want, from, confirmed := m.requestVersion(ctx)
	for confirmed && m.configurationVersion() < want {
		confirmed = goose.Sleep(ctx, confirmPollInterval)
	}
	m.pauses.confirm(resumed)
	gooseevent.ConfigurationConfirmed.Log(m.options.Log, "version", m.configurationVersion(), "peer", string(from), "peer-version", want,
		"after", m.options.Clock.Now().Sub(resumed).String(), "confirmed", confirmed)
}

// requestVersion returns the first reply to the requests for the configuration
// version: of an instance of the data centre, or of another data centre if this one
// has no other instance.
func (m *Manager) requestVersion(ctx context.Context) (int64, goose.InstanceID, bool) {
	ctx, cancel := context.WithCancel(ctx)
	type peerVersion struct {
		version int64
		from    goose.InstanceID
	}
	replies := make(chan peerVersion, maxConfirmPeers)
	var calls conc.WaitGroup
	// The calls end before requestVersion returns.
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
			for m.options.PeerClient.Call(ctx, member.Address, KindVersion, VersionRequest{}, &reply) != nil {
				if !goose.Sleep(ctx, confirmRetryDelay) {
					return
				}
			}
			replies <- peerVersion{reply.Version, member.Instance}
		})
	}
	select {
	case a := <-replies:
		return a.version, a.from, true
	case <-ctx.Done():
		return 0, "", false
	}
}

// confirmingMembers returns the instances that are asked after a pause: those of the
// data centre, or of other data centres if there are none.
func (m *Manager) confirmingMembers() []goose.Member {
	var local, remote []goose.Member
	for _, member := range m.options.Membership.Members() {
		switch {
		case member.Instance == m.options.Self:
		case member.DataCentre == m.options.DataCentre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	return local[:min(len(local), maxConfirmPeers)]
}

// configurationVersion returns the configuration version in force at this instance.
func (m *Manager) configurationVersion() int64 {
	if c := m.options.Configuration.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// handleVersion replies to an instance that has resumed after a pause.
func (m *Manager) handleVersion(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r VersionRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if m.pauses.unconfirmed(m.options.Clock.Now()) {
		return nil, errUnconfirmed
	}
	return VersionReply{Version: m.configurationVersion()}, nil
}
