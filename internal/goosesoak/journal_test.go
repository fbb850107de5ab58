package goosesoak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// kind is what a request does and promises.
type kind string

// Kinds of requests.
const (
	kindLook   kind = "look"
	kindOrder  kind = "order"
	kindStream kind = "stream"
	kindResume kind = "resume"
	kindHuge   kind = "huge"
	kindProbe  kind = "probe"
)

// resumable reports whether pieces of several runs may be joined.
func (k kind) resumable() bool { return k == kindResume || k == kindHuge }

// streamed reports whether the answer is a stream of events.
func (k kind) streamed() bool { return k == kindStream || k.resumable() }

// run is one run of a request at a replica.
type run struct {
	replica, service, stamp string
	status                  int
	ended                   bool
	// whole is true once the replica has written its whole answer.
	whole bool
}

// request is one attempt of a caller and what became of it.
type request struct {
	id, method, path, body string
	kind                   kind
	workspace              string
	limit                  time.Duration
	// at is the process that takes the request.
	at   *lifetime
	sent time.Time

	runs []*run
	// status is zero if there was no answer; whole tells that it looks complete.
	status   int
	whole    bool
	stamp    string
	text     string
	answered time.Time
	// left is true if the caller did not wait for the answer.
	left bool
}

// journal has all requests and the broken rules.
type journal struct {
	mu       sync.Mutex
	requests map[string]*request
	broken   []string
	// working counts the replicas' running requests.
	working int
	// lastMayEnd is closed once streams of lastPath may go on after their first event.
	lastMayEnd chan struct{}
}

// lastPath is that of the streams that run while the instances stop.
const lastPath = "/stream/last"

func newJournal() *journal {
	return &journal{requests: map[string]*request{}, lastMayEnd: make(chan struct{})}
}

// breach notes a broken rule.
func (j *journal) breach(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breachLocked(rule, format, args...)
}

func (j *journal) breachLocked(rule, format string, args ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, args...))
}

// reportedOfRule is the number of breaches of one rule that a test prints.
const reportedOfRule = 5

// report fails the test for each broken rule.
func (j *journal) report(t testing.TB) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	count := map[string]int{}
	for _, b := range j.broken {
		rule, _, _ := strings.Cut(b, ":")
		if count[rule]++; count[rule] <= reportedOfRule {
			t.Error(b)
		}
	}
	if len(j.broken) > 0 {
		t.Errorf("broken rules: %v", count)
	}
}

func (j *journal) add(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.id] = r
}

// with calls f while nobody else uses the requests.
func (j *journal) with(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

func (j *journal) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.working == 0
}

// promises are the statuses that say that the request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check judges all requests after the last one has ended.
func (j *journal) check() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.kind == kindOrder && len(r.runs) > 1 {
			j.breachLocked("once", "order %s ran %d times", r.id, len(r.runs))
		}
		if promises[r.status] && len(r.runs) > 0 && (r.status != 503 || r.stamp == "") {
			j.breachLocked("refused", "%s %s was answered %d and has run", r.kind, r.id, r.status)
		}
		j.checkAnswer(r)
	}
}

func (j *journal) checkAnswer(r *request) {
	if r.stamp == "" {
		if r.status >= 200 && r.status < 300 {
			j.breachLocked("whole", "%s %s has a success without a replica's stamp", r.kind, r.id)
		}
		return
	}
	var by *run
	for _, one := range r.runs {
		if one.stamp == r.stamp {
			by = one
		}
	}
	switch {
	case by == nil:
		j.breachLocked("own", "%s %s has the stamp %s of no run of its own", r.kind, r.id, r.stamp)
	case by.status != r.status:
		j.breachLocked("own", "%s %s was answered %d, its replica %d", r.kind, r.id, r.status, by.status)
	case r.whole && r.kind.streamed() && r.status == 200:
		j.checkStream(r)
	case r.whole && r.status == 200 && r.text != plainAnswer(r.id, r.stamp):
		j.breachLocked("whole", "%s %s has the body %.80q", r.kind, r.id, r.text)
	}
}

// checkStream wants every event once, in order, of one run unless the request may be
// resumed.
func (j *journal) checkStream(r *request) {
	want := ""
	if !r.kind.resumable() {
		for i := 1; i <= streamEvents; i++ {
			want += streamEvent(r.id, r.stamp, i)
		}
		if r.text != want {
			j.breachLocked("order", "stream %s ends complete with %.300q", r.id, r.text)
		}
		return
	}
	rest := r.text
	for i := 1; i <= streamEvents; i++ {
		found := false
		for _, one := range r.runs {
			if e := streamEvent(r.id, one.stamp, i); len(rest) >= len(e) && rest[:len(e)] == e {
				rest, found = rest[len(e):], true
				break
			}
		}
		if !found {
			j.breachLocked("order", "resumed stream %s lacks event %d: %.300q", r.id, i, r.text)
			return
		}
	}
	if rest != "" {
		j.breachLocked("order", "resumed stream %s goes on after its end: %.100q", r.id, rest)
	}
}
