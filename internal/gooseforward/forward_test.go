package gooseforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseretry"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

// testTimeout ends a test that hangs. It is far above the time that any test needs.
const testTimeout = 30 * time.Second

// harness is a forwarder in front of replicas whose responses the test scripts.
type harness struct {
	t          *testing.T
	url        string
	placer     *gooseplacement.Placer
	quarantine *goosequarantine.Table
	forwarder  *Forwarder
	// directory lists the replicas.
	directory *goosedirectory.Directory
	// stopAt is when the instance stops; nil unless it drains. endWork ends the requests that
	// still run.
	stopAt              atomic.Pointer[time.Time]
	beginDrain, endWork context.CancelFunc
	log                 goosetest.Lines

	mu sync.Mutex
	// seen are the requests that reached each replica.
	seen map[string][]*http.Request
	// bodies are their bodies, in the same order.
	bodies map[string][]string
}

// routes returns the routes of every harness.
func routes() []goose.Route {
	base := goose.Route{
		Host: "desk.example", Timeout: time.Hour, Objective: time.Hour, MaxAttempts: 2,
		Services: []goose.WeightedService{{Service: "desk", Weight: 1}},
	}
	look, order, stream, whole, open, short, brief, swift := base, base, base, base, base, base, base, base
	look.Name, look.Prefix, look.Kind = "look", "/look/", goose.RouteIdempotent
	order.Name, order.Prefix, order.Kind = "order", "/order/", goose.RouteNonIdempotent
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable = "stream", "/stream/", goose.RouteStream, true
	whole.Name, whole.Prefix, whole.Kind = "whole", "/whole/", goose.RouteStream
	open.Name, open.Prefix, open.Kind, open.Public = "open", "/open/", goose.RouteIdempotent, true
	short.Name, short.Prefix, short.Kind, short.Timeout = "short", "/short/", goose.RouteNonIdempotent, 200*time.Millisecond
	brief.Name, brief.Prefix, brief.Kind, brief.Objective = "brief", "/brief/", goose.RouteStream, 80*time.Millisecond
	swift.Name, swift.Prefix, swift.Kind, swift.Objective, swift.Resumable = "swift", "/swift/", goose.RouteStream, 80*time.Millisecond, true
	root := base
	root.Name, root.Host, root.Prefix, root.Kind = "root", "root.example", "/", goose.RouteNonIdempotent
	return []goose.Route{look, order, stream, whole, open, short, brief, swift, root}
}

// newHarness starts a forwarder in front of one replica for each handler. The forwarder
// prefers the replicas in the order of their handlers.
func newHarness(t *testing.T, replicas ...http.HandlerFunc) *harness {
	t.Helper()
	return newServiceHarness(t, goose.RoutedService{Name: "desk"}, replicas...)
}

// newServiceHarness is newHarness for a given service.
func newServiceHarness(t *testing.T, service goose.RoutedService, replicas ...http.HandlerFunc) *harness {
	t.Helper()
	h := &harness{t: t, seen: map[string][]*http.Request{}, bodies: map[string][]string{}}
	d := goosedirectory.New()
	d.Apply(goose.StoreChange{Kind: goose.ChangeRouting, Routing: &goose.Routing{
		Version: 1, KeyRequired: true, Routes: routes(),
		Services:   []goose.RoutedService{service},
		Workspaces: []goose.RoutedWorkspace{{Name: "guild", Keys: []string{"k1"}}},
		Limits:     goose.CallerLimits{BodyBytes: 2 * smallBodyBytes},
	}}, time.Now())
	h.placer = gooseplacement.New(gooseplacement.Options{DataCentre: "leith", Rand: func(int) int { return 0 }})
	h.directory = d
	h.quarantine = goosequarantine.New(slog.New(slog.DiscardHandler))
	for i, handler := range replicas {
		h.addReplica(d, i, handler)
	}
	stopping, endWork := context.WithCancel(context.Background())
	h.endWork = endWork
	t.Cleanup(endWork)
	draining, beginDrain := context.WithCancel(context.Background())
	h.beginDrain = beginDrain
	t.Cleanup(beginDrain)
	f := New(Options{
		Directory: d, Quarantine: h.quarantine, Placer: h.placer, HeaderCodec: gooseplatform.HeaderCodec{},
		Budget: gooseretry.New(gooseretry.Options{
			Window: time.Minute, Burst: 10, UsableShare: 1, Instances: func(time.Time) int { return 1 },
		}),
		StopAt: h.stopTime, Draining: draining, Stopping: stopping, MaxReservationTTL: time.Minute, Metrics: NewMetrics(metrics.NewSet()),
		Log: slog.New(slog.NewJSONHandler(&h.log, nil)), Clock: goose.SystemClock{},
	})
	h.forwarder = f
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

// drain begins a graceful shutdown that ends after the given time.
func (h *harness) drain(after time.Duration) {
	at := time.Now().Add(after)
	h.stopAt.Store(&at)
	h.beginDrain()
}

func (h *harness) stopTime() time.Time {
	if at := h.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (h *harness) addReplica(d *goosedirectory.Directory, i int, handler http.HandlerFunc) {
	id := fmt.Sprintf("i-%d", i)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h.mu.Lock()
		h.seen[id] = append(h.seen[id], r)
		h.bodies[id] = append(h.bodies[id], string(body))
		h.mu.Unlock()
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Stamp", "stamp-"+id)
		handler(w, r)
	}))
	h.t.Cleanup(server.Close)
	// More slots make a replica cheaper, so that the order of the replicas is fixed.
	d.Apply(goose.StoreChange{Kind: goose.ChangeReplica, Replica: goose.Replica{
		ID: goose.ReplicaID(id), Service: "desk", DataCentre: "leith", Address: strings.TrimPrefix(server.URL, "http://"),
		Slots: 1000 >> i, State: goose.StateActive, StartedUnixMS: 1,
	}}, time.Now())
}

// reached returns how many requests reached a replica.
func (h *harness) reached(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen[id])
}

func (h *harness) request(ctx context.Context, path, body string) *http.Request {
	h.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer k1")
	r.Header.Set("X-Attempt-Id", "a1")
	return r
}

// callerResponse is a response as the caller receives it.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// cut is set if the response ended before it was complete.
	cut bool
}

func (h *harness) send(r *http.Request) callerResponse {
	h.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{cut: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), cut: err != nil}
}

func (h *harness) post(path, body string) callerResponse {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.send(h.request(ctx, path, body))
}

// Handlers of replicas.

func succeed(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

func fail(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "broken", http.StatusInternalServerError)
}

func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misdirect(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func disconnect(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func respondForOther(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Attempt-Id", "of-another")
	_, _ = io.WriteString(w, "another answer")
}

// events streams the events from..to. If broken is set, it breaks the connection inside
// the next event.
func events(from, to int, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if broken {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventText returns the events 1..to as a caller receives them.
func eventText(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// Guards against requests that are retried although they must not run twice, requests that
// are not retried although they may be, responses that mix two replicas, and truncated
// responses that look complete.
func TestForward(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path     string
		replicas []http.HandlerFunc
		// want, body and stamp are the expected status, body and X-Stamp header of the
		// response, and reached the expected requests at each replica.
		want    int
		body    string
		stamp   string
		cut     bool
		reached []int
	}{
		"answer": {path: "/look/x", replicas: []http.HandlerFunc{succeed, succeed}, want: 200, body: "done", stamp: "stamp-i-0", reached: []int{1, 0}},

		"failure is retried":                     {path: "/look/x", replicas: []http.HandlerFunc{fail, succeed}, want: 200, body: "done", stamp: "stamp-i-1", reached: []int{1, 1}},
		"disconnect is retried":                  {path: "/look/x", replicas: []http.HandlerFunc{disconnect, succeed}, want: 200, body: "done", reached: []int{1, 1}},
		"truncation is retried":                  {path: "/look/x", replicas: []http.HandlerFunc{truncate, succeed}, want: 200, body: "done", reached: []int{1, 1}},
		"response of another request is retried": {path: "/look/x", replicas: []http.HandlerFunc{respondForOther, succeed}, want: 200, body: "done", reached: []int{1, 1}},
		"attempts are bounded":                   {path: "/look/x", replicas: []http.HandlerFunc{disconnect, disconnect, succeed}, want: 502, reached: []int{1, 1, 0}},
		"replica's failure is forwarded":         {path: "/look/x", replicas: []http.HandlerFunc{fail, fail, succeed}, want: 500, body: "broken\n", stamp: "stamp-i-1", reached: []int{1, 1, 0}},

		"order":                                  {path: "/order/x", replicas: []http.HandlerFunc{succeed}, want: 200, body: "done", reached: []int{1}},
		"order disconnected, not retried":        {path: "/order/x", replicas: []http.HandlerFunc{disconnect, succeed}, want: 502, reached: []int{1, 0}},
		"order truncated, not retried":           {path: "/order/x", replicas: []http.HandlerFunc{truncate, succeed}, want: 502, reached: []int{1, 0}},
		"order failed, failure is forwarded":     {path: "/order/x", replicas: []http.HandlerFunc{fail, succeed}, want: 500, stamp: "stamp-i-0", body: "broken\n", reached: []int{1, 0}},
		"order with response of another request": {path: "/order/x", replicas: []http.HandlerFunc{respondForOther, succeed}, want: 502, reached: []int{1, 0}},
		"order declined, retried":                {path: "/order/x", replicas: []http.HandlerFunc{decline, succeed}, want: 200, body: "done", reached: []int{1, 1}},
		"order misdirected, retried":             {path: "/order/x", replicas: []http.HandlerFunc{misdirect, succeed}, want: 200, body: "done", reached: []int{1, 1}},
		"order declined everywhere":              {path: "/order/x", replicas: []http.HandlerFunc{decline, decline}, want: 503, reached: []int{1, 1}},

		"stream":                               {path: "/stream/x", replicas: []http.HandlerFunc{events(1, 5, false)}, want: 200, body: eventText(5), reached: []int{1}},
		"stream resumed":                       {path: "/stream/x", replicas: []http.HandlerFunc{events(1, 3, true), events(4, 6, false)}, want: 200, body: eventText(6), stamp: "stamp-i-0", reached: []int{1, 1}},
		"stream resumed with an overlap":       {path: "/stream/x", replicas: []http.HandlerFunc{events(1, 3, true), events(2, 6, false)}, want: 200, body: eventText(6), reached: []int{1, 1}},
		"stream disconnected before its start": {path: "/stream/x", replicas: []http.HandlerFunc{disconnect, events(1, 2, false)}, want: 200, body: eventText(2), stamp: "stamp-i-1", reached: []int{1, 1}},
		"stream disconnected twice":            {path: "/stream/x", replicas: []http.HandlerFunc{events(1, 3, true), events(4, 5, true), events(6, 7, false)}, want: 200, cut: true, body: eventText(5), reached: []int{1, 1, 0}},
		"stream that is not resumable":         {path: "/whole/x", replicas: []http.HandlerFunc{events(1, 3, true), events(4, 6, false)}, want: 200, cut: true, body: eventText(3), reached: []int{1, 0}},
		"stream declined":                      {path: "/whole/x", replicas: []http.HandlerFunc{decline, events(1, 2, false)}, want: 200, body: eventText(2), reached: []int{1, 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.replicas...)
			got := h.post(tc.path, "body")
			if got.status != tc.want || got.cut != tc.cut {
				t.Errorf("got status %d, cut %t, want %d, %t", got.status, got.cut, tc.want, tc.cut)
			}
			if tc.body != "" && got.body != tc.body {
				t.Errorf("got body %q, want %q", got.body, tc.body)
			}
			if tc.stamp != "" && got.header.Get("X-Stamp") != tc.stamp {
				t.Errorf("got stamp %q, want %q", got.header.Get("X-Stamp"), tc.stamp)
			}
			for i, want := range tc.reached {
				if got := h.reached(fmt.Sprintf("i-%d", i)); got != want {
					t.Errorf("got %d requests at replica %d, want %d", got, i, want)
				}
			}
			if load := h.placer.Report(time.Now()).Replicas; len(load) != 0 {
				t.Errorf("got load %v after the request, want none", load)
			}
		})
	}
}

// Guards against requests that are changed on their way to a replica.
func TestForwardsUnchanged(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	const uri = "/look/a%2Fb/../c?q=%20&q=2"
	r := h.request(context.Background(), "/look/", "the body")
	r.URL.Opaque = uri
	r.Header.Set("X-Tenant", "forged")
	if got := h.send(r); got.status != http.StatusOK {
		t.Fatalf("got status %d", got.status)
	}
	got := h.seen["i-0"][0]
	if got.RequestURI != uri || got.Method != http.MethodPost || got.Host != "desk.example" || h.bodies["i-0"][0] != "the body" {
		t.Errorf("got %s %s of %s with body %q", got.Method, got.RequestURI, got.Host, h.bodies["i-0"][0])
	}
	for name, want := range map[string]string{"X-Tenant": "guild", "X-Expect-Instance": "i-0", "X-Attempt-Id": "a1", "Authorization": ""} {
		if got := got.Header.Get(name); got != want {
			t.Errorf("got header %s %q, want %q", name, got, want)
		}
	}
}

// Guards against refused requests that reach a replica, and against refusals that the
// caller cannot distinguish.
func TestRefusals(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		change func(r *http.Request)
		path   string
		body   string
		want   int
		code   string
	}{
		"unknown host":  {change: func(r *http.Request) { r.Host = "other.example" }, path: "/look/x", want: 404, code: "not-found"},
		"unknown path":  {path: "/nowhere/x", want: 404, code: "not-found"},
		"no key":        {change: func(r *http.Request) { r.Header.Del("Authorization") }, path: "/look/x", want: 401, code: "unauthorised"},
		"unknown key":   {change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer k2") }, path: "/look/x", want: 401, code: "unauthorised"},
		"public route":  {change: func(r *http.Request) { r.Header.Del("Authorization") }, path: "/open/x", want: 200},
		"bad header":    {change: func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, path: "/look/x", want: 400, code: "bad-request"},
		"body too long": {path: "/look/x", body: strings.Repeat("x", 2*smallBodyBytes+1), want: 413, code: "prompt-too-long"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, succeed)
			r := h.request(context.Background(), tc.path, tc.body)
			if tc.change != nil {
				tc.change(r)
			}
			got := h.send(r)
			if got.status != tc.want || !strings.Contains(got.body, tc.code) {
				t.Errorf("got status %d, body %s, want %d, code %s", got.status, got.body, tc.want, tc.code)
			}
			if tc.want == http.StatusOK {
				return
			}
			if !strings.Contains(got.body, `"run":"not-run"`) || h.reached("i-0") != 0 {
				t.Errorf("got body %s with %d requests at the replica, want not-run and none", got.body, h.reached("i-0"))
			}
			// The log line of the failure has to be searchable by the id that the caller
			// gets.
			if id := got.header.Get("X-Attempt-Id"); id != "a1" || !strings.Contains(h.log.String(), `"request":"a1"`) {
				t.Errorf("got id %q in the response and the log %s, want a1 in both", id, h.log.String())
			}
		})
	}
}

// Guards against a request that waits until its deadline although the service has no
// replica.
func TestNoReplica(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	got := h.post("/order/x", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a Retry-After", got.status, got.header.Get("Retry-After"))
	}
}

// Guards against a non-idempotent request that runs longer than the timeout of its route,
// and against reporting such a request as not run although its outcome is unknown.
func TestDeadline(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	got := h.post("/short/x", "")
	if got.status != http.StatusGatewayTimeout || !strings.Contains(got.body, `"run":"unknown"`) {
		t.Errorf("got status %d, body %s, want 504 and unknown", got.status, got.body)
	}
	<-cancelled
}

// Guards against replicas that keep working for a caller that has disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/look/x", "/order/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			started, cancelled := make(chan struct{}), make(chan struct{})
			h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				close(cancelled)
			}, succeed)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			h.send(h.request(ctx, path, ""))
			select {
			case <-cancelled:
			case <-time.After(testTimeout):
				t.Error("the replica keeps working for a caller that has disconnected")
			}
			if got := h.reached("i-1"); got != 0 {
				t.Errorf("got %d requests at another replica after the caller disconnected", got)
			}
		})
	}
}

// Guards against events that are delayed until later ones arrive.
func TestEventsAreNotDelayed(t *testing.T) {
	t.Parallel()
	next := make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 3; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\n\n", i)
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	resp, err := http.DefaultTransport.RoundTrip(h.request(context.Background(), "/stream/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for i := 1; i <= 3; i++ {
		lines.Scan()
		if got, want := lines.Text(), fmt.Sprintf("id: %d", i); got != want {
			t.Errorf("got line %q, want %q", got, want)
		}
		lines.Scan()
		next <- struct{}{}
	}
}

// Guards against callers that keep a connection to an instance that drains.
func TestDrainingClosesConnections(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	h.drain(2 * time.Hour)
	r := h.request(context.Background(), "/look/x", "")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("got status %d, close %t, want a response that closes the connection", resp.StatusCode, resp.Close)
	}
}

// Guards against streams that are cancelled because their replica pauses under load while
// the other replicas are full. The load pattern is a burst on the remaining replicas.
func TestPauseWhileOthersAreFull(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// full is the number of requests on the other replica.
		full int
		want []int
	}{
		"others are full": {full: 3, want: []int{1, 0}},
		"others are free": {want: []int{1, 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := goose.RoutedService{Name: "desk", Engine: &goose.EngineProfile{
				Slots: 1, MemoryTokens: 1 << 20, StepsPerPass: 1, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6,
			}}
			pausing := func(w http.ResponseWriter, r *http.Request) {
				events(1, 3, false)(w, r)
				var resumes <-chan time.Time
				if tc.full > 0 {
					resumes = time.After(2 * maxStreamSilence(goose.Route{}))
				}
				select {
				case <-r.Context().Done():
				case <-resumes:
					events(4, 6, false)(w, r)
				}
			}
			// The placer keeps i-0 of the two replicas for long prompts.
			s := newServiceHarness(t, service, events(4, 6, false), pausing)
			other := []goosedirectory.Replica{{Replica: goose.Replica{ID: "i-0", Service: "desk", Slots: 1, StartedUnixMS: 1}}}
			for range tc.full {
				s.placer.Choose(gooseplacement.Demand{Service: service, PromptTokens: 10}, other, time.Now())
			}
			r := s.request(context.Background(), "/swift/x", "")
			r.Header.Set("X-Tokens", "10,10")
			got := s.send(r)
			if got.cut || got.body != eventText(6) {
				t.Errorf("got cut %t, body %q, want all events", got.cut, got.body)
			}
			if got := []int{s.reached("i-1"), s.reached("i-0")}; got[0] != tc.want[0] || got[1] != tc.want[1] {
				t.Errorf("got attempts %v, want %v", got, tc.want)
			}
		})
	}
}
