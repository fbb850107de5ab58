package goosehost_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// postPart sends a request of its own body whose prompt has a first part that others share,
// and the given part after it.
func (s *crashFleet) postPart(entry int, path string, n int, part string) int {
	id := fmt.Sprintf("%s-%d", part, n)
	status, _ := s.entries[entry%len(s.entries)].PostPrompt(path, id, id, fmt.Sprintf("5c1e:40,%s:165,%x:700", part, n+1))
	return status
}

// Guards against requests that differ but have a part of their prompts in common that crashes
// each replica: they reach further replicas for as long as they come, at whatever instance.
func TestPartThatCrashesReplicasIsQuarantined(t *testing.T) {
	t.Parallel()
	// promised is the number of crashes after which a part is known if each crash is known
	// before the next request, plus that of the last attempt.
	const promised, requests = 4, 14
	tests := map[string]struct {
		instances int
		path      string
		want      int64
		before    func(s *crashFleet)
		between   func(s *crashFleet, sent int)
	}{
		"one instance":           {instances: 1, path: "/x/1", want: promised},
		"each instance in turn":  {instances: 3, path: "/x/1", want: promised},
		"requests that run once": {instances: 3, path: "/o/1", want: promised},
		"streams":                {instances: 3, path: "/s/1", want: promised},
		"the store is silent": {instances: 3, path: "/x/1", want: promised, before: func(s *crashFleet) {
			s.Store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultUnavailable })
		}},
		"instances restart after the crashes": {instances: 2, path: "/x/1", want: promised, between: func(s *crashFleet, sent int) {
			if sent == 5 {
				s.restart()
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashFleet(t, 8, tc.instances)
			if tc.before != nil {
				tc.before(s)
			}
			for sent := range requests {
				if tc.between != nil {
					tc.between(s, sent)
				}
				if status := s.postPart(sent, tc.path, sent, deadlyPart); status == http.StatusOK {
					t.Errorf("got status %d for a request that no replica survives", status)
				}
				time.Sleep(crashPause / 2)
			}
			if got := s.arrivals.Load(); got > tc.want {
				t.Errorf("got %d replicas crashed by %d requests with one part, want at most %d", got, requests, tc.want)
			}
			if status := s.postPart(0, "/x/1", requests, "50fd"); status != http.StatusOK {
				t.Errorf("got status %d for a sound request with the same first part, want 200", status)
			}
		})
	}
}

// Guards against sound requests that are refused because they share a first part, a caller or
// a replica with requests that crash replicas.
func TestSoundRequestsBesideDeadlyPart(t *testing.T) {
	t.Parallel()
	s := newCrashFleet(t, 8, 2)
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			attempt := 0
			goosehosttest.Eventually(t, fmt.Sprintf("sound request %d is served", n), func() bool {
				attempt++
				return s.postPart(n+attempt, "/x/1", n, "50fd") == http.StatusOK
			})
		})
	}
	for sent := range 8 {
		s.postPart(sent, "/x/1", sent, deadlyPart)
	}
	callers.Wait()
	before := s.arrivals.Load()
	for n := range 6 {
		if status := s.postPart(n, "/x/1", 100+n, "50fd"); status != http.StatusOK {
			t.Errorf("got status %d for sound request %d after the crashes, want 200", status, n)
		}
	}
	for n := range 6 {
		s.postPart(n, "/x/1", 100+n, deadlyPart)
	}
	if got := s.arrivals.Load() - before; got > 0 {
		t.Errorf("got %d requests with the part at replicas after the crashes, want none", got)
	}
}
