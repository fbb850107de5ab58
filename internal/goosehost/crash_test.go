package goosehost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
)

const (
	// crashBody is the body of the request that crashes every replica that runs it.
	crashBody = "crash"
	// deadlyPart is the part that crashes every replica that runs a prompt with it.
	deadlyPart = "dead"
	// crashDowntime is how long a crashed replica is down.
	crashDowntime = 300 * time.Millisecond
	// crashPause is the pause between two crashing requests where the instances learn of
	// crashes only through the store.
	crashPause = 400 * time.Millisecond
	// crashWeight is what one crash adds to the weight of a request.
	crashWeight = 2
	// crashSends is how often the crashing request is sent.
	crashSends = 12
	// harmlessDuration is how long a replica runs any other request.
	harmlessDuration = 60 * time.Millisecond
)

// crashFleet is a fleet whose replicas crash on a marked request.
type crashFleet struct {
	*goosehosttest.Fleet
	t       *testing.T
	entries []*goosehosttest.Instance
	logs    []*goosetest.Lines
	// arrivals counts the marked requests that reached replicas.
	arrivals atomic.Int64
}

func newCrashFleet(t *testing.T, replicas, instances int) *crashFleet {
	s := &crashFleet{Fleet: goosehosttest.New(t), t: t}
	s.WriteRouting(1, "c")
	for n := range replicas {
		s.AddCrashingReplica(fmt.Sprintf("i-%d", n), "c", s.serveReplica)
	}
	for n := range instances {
		s.logs = append(s.logs, &goosetest.Lines{})
		s.entries = append(s.entries, s.StartInstance(fmt.Sprintf("edge-%d", n), s.logs[n]))
	}
	s.waitReady()
	return s
}

// waitReady waits until every instance is ready, registered and heard by all others. Without
// the last, a test that makes the store unavailable may do so before an instance has read who
// the others are; such an instance learns of nothing until the store is back.
func (s *crashFleet) waitReady() {
	s.t.Helper()
	for n, e := range s.entries {
		goosehosttest.Eventually(s.t, fmt.Sprintf("instance %d is ready", n), e.IsReady)
	}
	goosehosttest.Eventually(s.t, "all instances are registered", func() bool {
		return len(s.Store.Keys("gooseberryhold/instances/")) == len(s.entries)
	})
	for n, l := range s.logs {
		for peer := range s.entries {
			if peer != n {
				text := fmt.Sprintf(`"event":720,"peer":"edge-%d"`, peer)
				goosehosttest.Eventually(s.t, fmt.Sprintf("instance %d hears instance %d", n, peer), func() bool { return l.Has(text) })
			}
		}
	}
}

func (s *crashFleet) serveReplica(self *gooseplatformtest.Replica) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if string(body) == crashBody || strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) {
			s.arrivals.Add(1)
			self.Crash(crashDowntime)
			return
		}
		select {
		case <-time.After(harmlessDuration):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "done")
	})
}

// restart replaces all instances with new processes.
func (s *crashFleet) restart() {
	s.t.Helper()
	for n, e := range s.entries {
		e.Shutdown()
		s.logs[n] = &goosetest.Lines{}
		s.entries[n] = s.StartInstance(fmt.Sprintf("edge-%d", n), s.logs[n])
	}
	s.waitReady()
}

// waitForCrashes waits until every instance has logged all crashes so far.
func (s *crashFleet) waitForCrashes() {
	s.t.Helper()
	weight := fmt.Sprintf(`"weight":%d`, crashWeight*s.arrivals.Load())
	for n, l := range s.logs {
		goosehosttest.Eventually(s.t, fmt.Sprintf("instance %d has logged %s", n, weight), func() bool { return l.Has(weight) })
	}
}

// Guards against a request that crashes every replica that runs it and reaches further
// replicas with each retry of its caller, at whatever instance.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	// One request may crash two replicas. If the caller retries before the instances could
	// learn of a crash, more are allowed: three crashes, and three more arrivals.
	const promised, allowed = 2, 6
	tests := map[string]struct {
		instances int
		path      string
		want      int64
		// before injects a fault at the start, and between one before each request of the
		// caller.
		before  func(s *crashFleet)
		between func(s *crashFleet, sent int)
	}{
		"one instance":          {instances: 1, path: "/x/1", want: promised},
		"each instance in turn": {instances: 3, path: "/x/1", want: promised},
		"an order":              {instances: 3, path: "/o/1", want: promised},
		"a stream":              {instances: 3, path: "/s/1", want: promised},
		"the store is unavailable": {instances: 3, path: "/x/1", want: promised, before: func(s *crashFleet) {
			s.Store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultUnavailable })
		}},
		"peers are isolated": {instances: 3, path: "/o/1", want: allowed, before: func(s *crashFleet) {
			s.isolate()
		}, between: func(s *crashFleet, _ int) { s.isolate() }},
		"instances restart after the crashes": {instances: 2, path: "/x/1", want: promised, between: func(s *crashFleet, sent int) {
			if sent == 3 {
				s.restart()
			}
		}},
		"instances restart after the first crash": {instances: 2, path: "/o/1", want: allowed, between: func(s *crashFleet, sent int) {
			if sent == 1 {
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
			for sent := range crashSends {
				if tc.between != nil {
					tc.between(s, sent)
				}
				e := s.entries[sent%len(s.entries)]
				if status, body := e.Post(tc.path, fmt.Sprintf("p%d", sent), crashBody); status == http.StatusOK {
					t.Errorf("got status %d, body %q for a request that no replica survives", status, body)
				}
				if tc.want == promised {
					s.waitForCrashes()
				} else {
					time.Sleep(crashPause)
				}
			}
			got := s.arrivals.Load()
			t.Logf("%d replicas crashed", got)
			if got > tc.want {
				t.Errorf("got %d replicas crashed by one request that was sent %d times, want at most %d", got, crashSends, tc.want)
			}
		})
	}
}

// isolate registers addresses without a listener, so that the instances receive no
// messages from each other.
func (s *crashFleet) isolate() {
	for _, key := range s.Store.Keys("gooseberryhold/instances/") {
		s.Store.Put(key, "127.0.0.1:9")
	}
}

// Guards against quarantining harmless requests because they ran alongside the request that
// crashes replicas. A harmless request that was lost repeatedly together with the crashing
// one may be quarantined for a moment, but not for as long as the crashing one.
func TestHarmlessRequestsBesideCrash(t *testing.T) {
	t.Parallel()
	s := newCrashFleet(t, 6, 2)
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			attempt := 0
			goosehosttest.Eventually(t, fmt.Sprintf("harmless request %d is served", n), func() bool {
				attempt++
				status, _ := s.entries[(n+attempt)%2].Post("/x/1", fmt.Sprintf("i%d-%d", n, attempt), fmt.Sprintf("innocent %d", n))
				return status == http.StatusOK
			})
		})
	}
	for sent := range 4 {
		s.entries[sent%2].Post("/x/1", fmt.Sprintf("p%d", sent), crashBody)
	}
	callers.Wait()
}
