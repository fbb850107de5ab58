package goosesoak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// streamEvents is the number of events in a stream.
	streamEvents = 10
	// eventInterval is the time between two events of a stream.
	eventInterval = 40 * time.Millisecond
	// plainDuration is the time that a replica takes for a request without a stream.
	plainDuration = 15 * time.Millisecond
	// deadlineSlack is how far the deadline sent to a replica may exceed the caller's.
	deadlineSlack = 500 * time.Millisecond
	// modelMemory is the KV memory of a model replica in tokens. A giant prompt needs the
	// memory of several replicas.
	modelMemory = 100_000
)

// replicaFault is the fault of a replica's responses.
type replicaFault string

// Replica faults.
const (
	replicaHealthy replicaFault = ""
	// replicaFull refuses requests with status 503 and X-Not-Executed.
	replicaFull replicaFault = "full"
	// replicaFailing runs requests and responds with status 500.
	replicaFailing replicaFault = "failing"
	// replicaTruncating closes the connection in the middle of a response.
	replicaTruncating replicaFault = "breaking"
	// replicaHanging accepts requests and never responds.
	replicaHanging replicaFault = "hanging"
	// replicaWrongID responds with the id of another request.
	replicaWrongID replicaFault = "foreign"
	// replicaTrailingBytes writes extra bytes after a complete response.
	replicaTrailingBytes replicaFault = "writing"
)

// replica is a backend server that records the requests it runs in the journal.
type replica struct {
	id, service, dataCentre string
	journal                 *journal
	server                  *httptest.Server
	startedMS               int64
	// writes counts the entries that the replica has written.
	writes atomic.Int64
	// onCrash is called when a poison request has crashed the replica.
	onCrash func()

	mu           sync.Mutex
	fault        replicaFault
	leaving      bool
	runs         int
	reservations map[string]time.Time
}

func newReplica(t testing.TB, j *journal, id, service, dataCentre string) *replica {
	t.Helper()
	r := &replica{
		id: id, service: service, dataCentre: dataCentre, journal: j, startedMS: time.Now().UnixMilli(), reservations: map[string]time.Time{},
	}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.crash)
	return r
}

// crash closes the replica's listener and its connections.
func (r *replica) crash() {
	r.server.CloseClientConnections()
	r.server.Config.SetKeepAlivesEnabled(false)
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

func (r *replica) address() string { return r.server.Listener.Addr().String() }

func (r *replica) setFault(f replicaFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// leave makes the replica say in its responses that it leaves.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// storeEntry returns the replica's entry in the store; address is the address of its proxy.
func (r *replica) storeEntry(address, state string) string {
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"slots":16,"state":%q,"version":"1","cold-left-ms":0,"seq":%d,"born":%d}`,
		r.service, address, r.dataCentre, state, r.writes.Add(1), r.startedMS)
}

// reserved returns the number of reservations that have not expired.
func (r *replica) reserved(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, until := range r.reservations {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/order" {
		r.serveReservation(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := q.Header.Get("X-Expect-Instance"); want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	fault := r.fault
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	r.runs++
	thisRun := &run{replica: r.id, service: r.service, stamp: fmt.Sprintf("%s.%d", r.id, r.runs), status: http.StatusOK, leaving: r.leaving}
	r.mu.Unlock()
	if fault == replicaFull {
		w.Header().Set("X-Not-Executed", "full")
		w.Header().Set("Retry-After", "0.3")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == replicaFailing {
		thisRun.status = http.StatusInternalServerError
	}
	sent := r.recordRun(q, id, string(body), thisRun)
	if sent == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer func() {
		r.journal.withLock(func() { thisRun.ended = true; r.journal.running-- })
	}()
	if string(body) == poisonBody || strings.Contains(sent.parts, ","+poisonPart) {
		r.crash()
		r.onCrash()
		return
	}
	w.Header().Set("X-Stamp", thisRun.stamp)
	if sent.kind.streamed() {
		r.serveStream(w, q, sent, thisRun, fault)
		return
	}
	r.servePlain(w, q, sent, thisRun, fault)
}

// recordRun records the run and any difference between the received request and the
// caller's. It returns nil if no caller has sent the request.
func (r *replica) recordRun(q *http.Request, id, body string, thisRun *run) *request {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	sent, ok := j.requests[id]
	if !ok {
		j.violateLocked("asked", "replica %s received the request %q, which no caller has sent", r.id, id)
		return nil
	}
	if q.Method != sent.method || q.URL.Path != sent.path || body != sent.body {
		j.violateLocked("asked", "request %s was received as %s %s with %d bytes", id, q.Method, q.URL.Path, len(body))
	}
	if got := q.Header.Get("X-Prompt-Prefix"); got != sent.parts {
		j.violateLocked("asked", "request %s with the parts %q was received with %q", id, sent.parts, got)
	}
	if got := q.Header.Get("X-Tenant"); got != sent.workspace || q.Header.Get("Authorization") != "" {
		j.violateLocked("asked", "request %s of workspace %s was received with workspace %q, API key forwarded %t", id, sent.workspace, got, q.Header.Get("Authorization") != "")
	}
	remaining, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms"))
	if err != nil || time.Duration(remaining)*time.Millisecond > sent.timeout+deadlineSlack {
		j.violateLocked("deadline", "request %s with the timeout %s was received with a deadline of %q ms", id, sent.timeout, q.Header.Get("X-Deadline-Ms"))
	}
	if want := serviceOfKind[sent.kind]; !strings.HasPrefix(r.service, want) {
		j.violateLocked("route", "%s %s ran at service %s", sent.kind, id, r.service)
	}
	sent.runs = append(sent.runs, thisRun)
	j.running++
	return sent
}

func plainResponse(id, stamp string) string { return "answer of " + id + " by " + stamp + "\n" }

func (r *replica) servePlain(w http.ResponseWriter, q *http.Request, sent *request, thisRun *run, fault replicaFault) {
	if fault == replicaHanging {
		<-q.Context().Done()
		return
	}
	time.Sleep(cmp.Or(sent.work, plainDuration))
	if fault == replicaWrongID {
		w.Header().Set("X-Attempt-Id", "other")
	}
	text := plainResponse(sent.id, thisRun.stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(thisRun.status)
	if fault == replicaTruncating {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, err := io.WriteString(w, text)
	r.journal.withLock(func() { thisRun.complete = err == nil })
	if fault == replicaTrailingBytes {
		r.writeExtraResponse(w)
	}
}

// writeExtraResponse sends a second response on the same connection without a request.
func (*replica) writeExtraResponse(w http.ResponseWriter) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: stray\r\nContent-Length: 2\r\n\r\nno")
	_ = conn.Close()
}

func streamEvent(id, stamp string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, stamp)
}

func (r *replica) serveStream(w http.ResponseWriter, q *http.Request, sent *request, thisRun *run, fault replicaFault) {
	if fault == replicaHanging {
		<-q.Context().Done()
		return
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(thisRun.status)
	for i := first + 1; i <= sent.events(); i++ {
		select {
		case <-time.After(eventInterval):
		case <-q.Context().Done():
			return
		}
		e := streamEvent(sent.id, thisRun.stamp, i)
		if fault == replicaTruncating && i == sent.events()/2 {
			_, _ = io.WriteString(w, e[:len(e)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, e); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if sent.path == shutdownStreamPath {
			select {
			case <-r.journal.resumeShutdownStreams:
			case <-q.Context().Done():
				return
			}
		}
	}
	r.journal.withLock(func() { thisRun.complete = true })
}

// serveReservation reserves and releases KV memory.
func (r *replica) serveReservation(w http.ResponseWriter, q *http.Request) {
	var reservation struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int64  `json:"hold-ms"`
	}
	if json.NewDecoder(q.Body).Decode(&reservation) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case reservation.Op == "release":
		delete(r.reservations, reservation.ID)
	case reservation.Op == "reserve" && reservation.Tokens <= modelMemory:
		r.reservations[reservation.ID] = time.Now().Add(time.Duration(reservation.HoldMS) * time.Millisecond)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, `{"free":0}`)
}
