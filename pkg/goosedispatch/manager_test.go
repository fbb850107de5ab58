package goosedispatch

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

type noRouter struct{}

func (noRouter) Handle(string, goose.PeerHandler) {}

// Guards against delays that are only right for a lease TTL of 3 s: with a longer TTL
// a caretaker would act alongside a lease holder whose lease is still valid, with a shorter
// one a handover would be used after another instance has held the lease.
func TestDelaysDependOnLeaseTTL(t *testing.T) {
	tests := map[string]struct{ ttl, lease, caretaker time.Duration }{
		"default":              {0, 3 * time.Second, 7 * time.Second},
		"short":                {time.Second, time.Second, 5 * time.Second},
		"long":                 {20 * time.Second, 20 * time.Second, 24 * time.Second},
		"rounded by the store": {1500 * time.Millisecond, 2 * time.Second, 6 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, err := NewManager(Options{PeerRouter: noRouter{}, Policy: "affinity", Discipline: "fair", LongPrefillBound: "adaptive", LeaseTTL: tt.ttl})
			if err != nil {
				t.Fatal(err)
			}
			if got := m.options.caretakerDelay(); got != tt.caretaker {
				t.Errorf("caretaker acts after %s, want %s", got, tt.caretaker)
			}
			now := time.Now()
			s := &poolState{handover: &Handover{ReceivedAt: now}}
			if !m.hasFreshHandover(s, now.Add(tt.lease-1)) || m.hasFreshHandover(s, now.Add(tt.lease)) {
				t.Errorf("a handover is not used for exactly %s", tt.lease)
			}
		})
	}
}
