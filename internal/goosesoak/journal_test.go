package goosesoak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// kind is the kind of a request: what it does and which guarantees its route gives.
type kind string

// Kinds of requests. Their values are the first path segments of their routes.
const (
	kindLookup          kind = "look"
	kindOrder           kind = "order"
	kindStream          kind = "stream"
	kindResumableStream kind = "resume"
	kindGiantPrompt     kind = "huge"
	kindProbe           kind = "probe"
)

// resumable reports whether a response may be joined from the streams of several runs.
func (k kind) resumable() bool { return k == kindResumableStream || k == kindGiantPrompt }

// streamed reports whether the response is an event stream.
func (k kind) streamed() bool { return k == kindStream || k.resumable() }

// events returns the number of events in the request's stream.
func (r *request) events() int {
	if r.work == 0 {
		return streamEvents
	}
	return max(1, int(r.work/eventInterval))
}

// run is one run of a request at a replica.
type run struct {
	replica, service, stamp string
	status                  int
	ended                   bool
	// complete is true once the replica has written its whole response.
	complete bool
	// leaving is true if the response says that the replica leaves.
	leaving bool
}

// request is one request of a caller with its runs and its response.
type request struct {
	id, method, path, body string
	// parts is the header that lists the parts of the prompt.
	parts     string
	kind      kind
	workspace string
	timeout   time.Duration
	// work is the time that a replica takes for the request; zero is the default of the kind.
	work time.Duration
	// process is the instance's process when the request was sent.
	process *process
	sentAt  time.Time

	runs []*run
	// status is zero if there was no response. complete is true if the response was read to
	// its end without an error.
	status       int
	complete     bool
	stamp        string
	responseBody string
	respondedAt  time.Time
	// cancelled is true if the caller did not wait for the response.
	cancelled bool
}

// journal records all requests and the violated rules.
type journal struct {
	mu         sync.Mutex
	requests   map[string]*request
	violations []string
	// running counts the requests in flight at replicas.
	running int
	// resumeShutdownStreams is closed once the streams of shutdownStreamPath may continue
	// after their first event.
	resumeShutdownStreams chan struct{}
}

// shutdownStreamPath is the path of the streams that run while the instances stop.
const shutdownStreamPath = "/stream/last"

func newJournal() *journal {
	return &journal{requests: map[string]*request{}, resumeShutdownStreams: make(chan struct{})}
}

// violate records a violated rule. The rules are:
//   - asked: a replica gets only requests that a caller has sent, unchanged.
//   - deadline: the deadline sent to a replica is at most deadlineSlack after the caller's.
//   - ended: a process does not exit by itself, nor with an error after SIGTERM.
//   - leave: a process sends a replica nothing more after it has passed on that it leaves.
//   - line: each refused or failed request has a log line.
//   - once: an order runs at most once.
//   - order: a stream has every event once and in order.
//   - own: a caller gets the response of a run of its own request.
//   - poison: a request that crashes replicas is soon refused by all instances.
//   - race: a process has no data race.
//   - refused: a request whose status says that it has not run has not run.
//   - rollback: an instance does not deny a routing version that it has served.
//   - route: a request runs at the service of its route.
//   - stop: a graceful shutdown ends in time and cuts no stream.
//   - whole: a complete response has the whole body of its run.
func (j *journal) violate(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violateLocked(rule, format, args...)
}

func (j *journal) violateLocked(rule, format string, args ...any) {
	j.violations = append(j.violations, rule+": "+fmt.Sprintf(format, args...))
}

// maxReportedPerRule is the number of violations of one rule that a test prints.
const maxReportedPerRule = 5

// report fails the test for each violated rule.
func (j *journal) report(t testing.TB) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	count := map[string]int{}
	for _, v := range j.violations {
		rule, _, _ := strings.Cut(v, ":")
		if count[rule]++; count[rule] <= maxReportedPerRule {
			t.Error(v)
		}
	}
	if len(j.violations) > 0 {
		t.Errorf("violations of each rule: %v", count)
	}
}

func (j *journal) add(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.id] = r
}

// withLock calls f while the journal is locked.
func (j *journal) withLock(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

func (j *journal) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running == 0
}

// notExecuted holds the statuses that promise that the request has not run and never will.
var notExecuted = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check checks every request for violated rules after the last one has ended.
func (j *journal) check() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.kind == kindOrder && len(r.runs) > 1 {
			j.violateLocked("once", "order %s ran %d times", r.id, len(r.runs))
		}
		if notExecuted[r.status] && len(r.runs) > 0 && (r.status != 503 || r.stamp == "") {
			j.violateLocked("refused", "%s %s got status %d although it has run", r.kind, r.id, r.status)
		}
		j.checkResponse(r)
	}
	j.checkLeaving()
}

// leaveSlack is the time after a response that says that its replica leaves in which a request
// may still be sent to the replica.
const leaveSlack = time.Second

// checkLeaving checks that no process has sent a request to a replica that a caller sent after
// the process had passed on a response which says that the replica leaves.
func (j *journal) checkLeaving() {
	type link struct {
		process *process
		replica string
	}
	told := map[link]time.Time{}
	for _, r := range j.requests {
		for _, n := range r.runs {
			l := link{r.process, n.replica}
			if at, known := told[l]; n.leaving && r.complete && r.stamp == n.stamp && (!known || r.respondedAt.Before(at)) {
				told[l] = r.respondedAt
			}
		}
	}
	for _, r := range j.requests {
		for _, n := range r.runs {
			if at, known := told[link{r.process, n.replica}]; known && r.sentAt.After(at.Add(leaveSlack)) {
				j.violateLocked("leave", "%s %s ran at replica %s, which had said %s before that it leaves", r.kind, r.id, n.replica, r.sentAt.Sub(at))
			}
		}
	}
}

func (j *journal) checkResponse(r *request) {
	if r.stamp == "" {
		if r.status >= 200 && r.status < 300 {
			j.violateLocked("whole", "%s %s got a successful response without a replica's stamp", r.kind, r.id)
		}
		return
	}
	var source *run
	for _, candidate := range r.runs {
		if candidate.stamp == r.stamp {
			source = candidate
		}
	}
	switch {
	case source == nil:
		j.violateLocked("own", "%s %s got the stamp %s, which none of its runs has", r.kind, r.id, r.stamp)
	case source.status != r.status:
		j.violateLocked("own", "%s %s got status %d, but its replica sent %d", r.kind, r.id, r.status, source.status)
	case r.complete && r.kind.streamed() && r.status == 200:
		j.checkStream(r)
	case r.complete && r.status == 200 && r.responseBody != plainResponse(r.id, r.stamp):
		j.violateLocked("whole", "%s %s got the wrong body %.80q", r.kind, r.id, r.responseBody)
	}
}

// checkStream checks that the stream has every event once and in order, and that all
// events come from one run unless the request is resumable.
func (j *journal) checkStream(r *request) {
	want := ""
	if !r.kind.resumable() {
		for i := 1; i <= r.events(); i++ {
			want += streamEvent(r.id, r.stamp, i)
		}
		if r.responseBody != want {
			j.violateLocked("order", "stream %s has ended without an error with the wrong events %.300q", r.id, r.responseBody)
		}
		return
	}
	rest := r.responseBody
	for i := 1; i <= r.events(); i++ {
		found := false
		for _, candidate := range r.runs {
			if e := streamEvent(r.id, candidate.stamp, i); len(rest) >= len(e) && rest[:len(e)] == e {
				rest, found = rest[len(e):], true
				break
			}
		}
		if !found {
			j.violateLocked("order", "resumed stream %s lacks event %d: %.300q", r.id, i, r.responseBody)
			return
		}
	}
	if rest != "" {
		j.violateLocked("order", "resumed stream %s has data after its last event: %.100q", r.id, rest)
	}
}
