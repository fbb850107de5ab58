package goosedispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// versionClient replies to version calls for the other instance of the data centre.
type versionClient struct {
	version int64
	// failures is the number of calls that fail before the first reply.
	failures int
	calls    int
}

func (c *versionClient) Call(_ context.Context, _, _ string, _, reply any) error {
	c.calls++
	if c.calls <= c.failures {
		return errors.New("connection is gone")
	}
	*reply.(*VersionReply) = VersionReply{Version: c.version}
	return nil
}

// Guards against a dispatcher that grants with the configuration from before a pause
// of its process: a change that removed backend servers during the pause is in force
// everywhere else. Version 2 of the configuration arrives at updateAt after the pause.
func TestNoGrantsAfterPauseBeforeConfirmation(t *testing.T) {
	const always, never = time.Duration(0), time.Hour
	tests := map[string]struct {
		pause    time.Duration
		client   versionClient
		updateAt time.Duration
		// grantsFrom is the time after the pause from which the dispatcher grants.
		grantsFrom time.Duration
	}{
		"short pause":             {pauseLimit, versionClient{version: 2}, never, always},
		"nothing changed":         {6 * time.Second, versionClient{version: 1}, never, confirmPollInterval},
		"changed":                 {6 * time.Second, versionClient{version: 2}, time.Second, time.Second + confirmPollInterval},
		"first calls fail":        {6 * time.Second, versionClient{version: 1, failures: 3}, never, 3*confirmRetryDelay + confirmPollInterval},
		"no reply":                {6 * time.Second, versionClient{failures: 1000}, never, confirmTimeout},
		"change does not arrive":  {6 * time.Second, versionClient{version: 2}, never, confirmTimeout},
		"pause longer than lease": {time.Minute, versionClient{version: 1}, never, confirmPollInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{c: &fakeCatalogue{version: 1}}
				m, err := NewManager(Options{
					PeerRouter: noRouter{}, Policy: "affinity", Discipline: "fair", LongPrefillBound: "adaptive",
					Self: "i1", DataCentre: testPool.DataCentre, PeerClient: &tt.client, Configuration: source,
					Membership: fakeMembership{members: []goose.Member{
						{Instance: "i1", DataCentre: testPool.DataCentre, Live: true},
						{Instance: "i2", DataCentre: testPool.DataCentre, Live: true},
					}},
				})
				if err != nil {
					t.Fatal(err)
				}
				r := &runningDispatcher{manager: m, id: testPool}
				grants := func() bool { return r.authority(time.Now()).Owns("r1") }
				m.checkPause(t.Context(), time.Now())
				time.Sleep(tt.pause)
				if got, want := grants(), tt.grantsFrom == always; got != want {
					t.Errorf("before the first step after the pause: got grants %t, want %t", got, want)
				}
				m.checkPause(t.Context(), time.Now())
				defer m.group.Wait()
				resumed := time.Now()
				for ; time.Since(resumed) < confirmTimeout+time.Second; time.Sleep(5 * time.Millisecond) {
					if time.Since(resumed) == tt.updateAt {
						source.change(func(*fakeCatalogue) {})
					}
					m.checkPause(t.Context(), time.Now())
					synctest.Wait()
					since := time.Since(resumed)
					if got, early := grants(), tt.grantsFrom-confirmPollInterval; got && since < early || !got && since > tt.grantsFrom {
						t.Fatalf("%s after the pause: got grants %t, want them from %s", since, got, tt.grantsFrom)
					}
				}
			})
		})
	}
}

// Guards against an instance that confirms the configuration of another one although
// it was paused itself.
func TestResumedInstanceConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Manager{options: Options{Clock: goose.SystemClock{}, Configuration: &fakeSource{c: &fakeCatalogue{version: 3}}}}
		ask := func() error {
			_, err := m.handleVersion(t.Context(), "i2", func(any) error { return nil })
			return err
		}
		m.pauses.step(time.Now())
		if err := ask(); err != nil {
			t.Errorf("while it runs: got %v, want its version", err)
		}
		time.Sleep(pauseLimit + 1)
		if err := ask(); err == nil {
			t.Error("after a pause: got its version, want an error")
		}
		m.pauses.step(time.Now())
		if err := ask(); err == nil {
			t.Error("before its configuration is confirmed: got its version, want an error")
		}
		m.pauses.confirm(time.Now())
		if err := ask(); err != nil {
			t.Errorf("after its configuration is confirmed: got %v, want its version", err)
		}
	})
}

// Guards against a reply from before a second pause that confirms the configuration
// after that pause.
func TestConfirmationOfEarlierPauseIsIgnored(t *testing.T) {
	var p pauseDetector
	first := time.Unix(1000, 0)
	p.step(first)
	p.step(first.Add(6 * time.Second))
	second := first.Add(20 * time.Second)
	p.step(second)
	p.confirm(first.Add(6 * time.Second))
	if !p.unconfirmed(second) {
		t.Error("the reply from before the second pause confirmed the configuration")
	}
	p.confirm(second)
	if p.unconfirmed(second) {
		t.Error("the reply after the second pause did not confirm the configuration")
	}
}
