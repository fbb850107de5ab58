package gooseera

import (
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against a response of an older era that is used, and against a wrong report of a peer
// after which no response is used any more.
func TestTracker(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		run  func(t *Tracker) error
		want goose.StoreEra
		old  bool
	}{
		"no header": {run: func(t *Tracker) error { return t.BeginCall()(0) }},
		"restored":  {run: func(t *Tracker) error { return t.BeginCall()(1) }, want: 1},
		"call in flight": {run: func(t *Tracker) error {
			late := t.BeginCall()
			_ = t.BeginCall()(1)
			return late(0)
		}, want: 1, old: true},
		"call in flight at a peer's report": {run: func(t *Tracker) error {
			late := t.BeginCall()
			t.ObservePeer(1)
			return late(0)
		}, want: 1, old: true},
		"peer is confirmed": {run: func(t *Tracker) error {
			t.ObservePeer(1)
			return t.BeginCall()(1)
		}, want: 1},
		"peer is wrong": {run: func(t *Tracker) error {
			t.ObservePeer(7)
			err := t.BeginCall()(1)
			t.ObservePeer(8)
			return err
		}, want: 1},
		"peer is right after a wrong one": {run: func(t *Tracker) error {
			t.ObservePeer(7)
			err := t.BeginCall()(1)
			t.ObservePeer(2)
			return err
		}, want: 2},
		"peer of an older build": {run: func(t *Tracker) error {
			err := t.BeginCall()(2)
			t.ObservePeer(0)
			return err
		}, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := New(slog.New(slog.DiscardHandler))
			changed := tracker.Subscribe()
			err := tc.run(tracker)
			if got := tracker.Current(); got != tc.want || errors.Is(err, ErrOlderEra) != tc.old {
				t.Errorf("got era %d, error %v, want era %d, an older one: %t", got, err, tc.want, tc.old)
			}
			if got := len(changed) > 0; got != (tc.want > 0) {
				t.Errorf("got notified: %t, want %t", got, tc.want > 0)
			}
		})
	}
}
