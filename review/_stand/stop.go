package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// routingOfStreams has two routes like that of the motto checks of dk-sealworks.
const routingOfStreams = `{"version":7,"routes":[
{"name":"r-motto","host":"desk.example","prefix":"/motto/","type":"stream","timeout-ms":10000,"goal-ms":300,"priority":1,"service":"wording-desk","attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":250},
{"name":"r-letter","host":"desk.example","prefix":"/letter/","type":"stream","timeout-ms":10000,"goal-ms":300,"priority":1,"service":"wording-desk","attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":250}],
"services":[{"name":"wording-desk","health-path":"/healthz","max-conns":294,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":26.0,
"engine":{"slots":16,"kv-capacity":315000,"kv-token-bytes":163840,"link-mbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":0.0,"loads_at_once":8,"usual":{"prompt":4960,"answer":1683},"hop-ms":0.05}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"guild","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

const (
	// tokensPerEvent and eventTime are those of the engine in the routing.
	tokensPerEvent = 51
	eventTime      = 50 * time.Millisecond
)

// engine is a replica that answers with as many events as the request asks for.
type engine struct {
	id  string
	rec *record

	mu   sync.Mutex
	runs map[string]int
}

func newEngine(d *deployment, id, zone string) *engine {
	e := &engine{id: id, rec: d.rec, runs: map[string]int{}}
	server := httptest.NewServer(e)
	d.store.Put("servers/"+id, fmt.Sprintf(`{"service":"wording-desk","addr":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","cold-left-ms":0,"seq":1,"born":%d,"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}]}`,
		strings.TrimPrefix(server.URL, "http://"), zone, time.Now().UnixMilli()))
	return e
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, attempt := w.Header(), r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Instance", e.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.runs[attempt]++
	e.mu.Unlock()
	e.rec.add("run    %s at %s, X-Tokens %s", attempt, e.id, r.Header.Get("X-Tokens"))
	_, output, _ := strings.Cut(r.Header.Get("X-Tokens"), ",")
	tokens, _ := strconv.Atoi(output)
	h.Set("X-Stamp", "stamp-"+e.id)
	h.Set("Content-Type", "text/event-stream")
	begun, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := begun + 1; n <= tokens/tokensPerEvent; n++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			e.rec.add("left   %s at %s after event %d", attempt, e.id, n-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("m", 60))
		w.(http.Flusher).Flush()
	}
}

// ran reports whether one of the engines has run the attempt.
func ran(engines []*engine, attempt string) bool {
	for _, e := range engines {
		e.mu.Lock()
		n := e.runs[attempt]
		e.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// rotation asks a machine once a second whether it is ready. After two misses it gets no new
// channels.
type rotation struct {
	m   *machine
	out atomic.Bool
	// asked gets a value after each question.
	asked chan struct{}
	stop  chan struct{}
}

func newRotation(m *machine) *rotation {
	r := &rotation{m: m, asked: make(chan struct{}), stop: make(chan struct{})}
	go func() {
		client := http.Client{Timeout: time.Second}
		for misses := 0; ; {
			resp, err := client.Get("http://" + m.ready + "/v1/readyz")
			if err == nil {
				_ = resp.Body.Close()
			}
			if misses++; err == nil && resp.StatusCode == http.StatusOK {
				misses = 0
			}
			r.out.Store(misses >= 2)
			select {
			case r.asked <- struct{}{}:
			default:
			}
			select {
			case <-r.stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return r
}

// stream sends a request for a number of events on a new channel, wait after it was opened. It
// returns whether the request was sent, when, and whether the answer is whole.
func stream(rec *record, m *machine, path, attempt string, events int, wait time.Duration) (sentAt time.Time, sent, whole bool) {
	c, err := net.DialTimeout("tcp4", m.front, time.Second)
	if err != nil {
		return time.Time{}, false, false
	}
	defer func() { _ = c.Close() }()
	time.Sleep(wait)
	rec.add("sent   %s to %s, %d events, %s after the channel was opened", attempt, m.name, events, wait)
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	sentAt = time.Now()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Tokens: 4960,%d\r\nX-Deadline-Ms: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nmotto",
		path, host, attempt, events*tokensPerEvent, key)
	if err != nil {
		rec.add("answer %s: %v", attempt, err)
		return sentAt, false, false
	}
	answer, err := io.ReadAll(c)
	status, _, _ := strings.Cut(string(answer), "\r\n")
	switch {
	case strings.HasPrefix(status, "HTTP/1.1 200"):
		whole = strings.HasSuffix(string(answer), "\r\n0\r\n\r\n")
	case len(answer) > 0:
		// A refusal or a failure is a complete answer, too.
		whole = true
	}
	rec.add("answer %s: %q, %d bytes, whole %v, %v", attempt, status, len(answer), whole, err)
	return sentAt, true, whole
}

// plannedStop stops one of two machines by SIGTERM in calm. Channels that were opened before it
// left the rotation bring requests later than 3 s after the signal. It breaks LOST if one of
// them is passed on and its channel ends without a complete answer.
func plannedStop(rec *record) int {
	const (
		// usualEvents and spreadEvents are the events of usual motto checks, longEvents the largest
		// number in the site file, which letters have, too.
		usualEvents, spreadEvents, longEvents = 33, 8, 82
		mottoPause, letterPause               = 120 * time.Millisecond, 400 * time.Millisecond
		longCount                             = 20
		// excusedUntil is the time after SIGTERM until which the rule excuses requests whose
		// replicas are at work at the end of the grace.
		excusedUntil = 3 * time.Second
		// afterProbe is the time of SIGTERM after a question of the platform.
		afterProbe = 100 * time.Millisecond
		// firstOpen and lastOpen bound when the channels are opened, and sentAfter is when their
		// requests are sent, after SIGTERM. A caller may take 3 s (header-timeout-ms).
		firstOpen, lastOpen = 1000 * time.Millisecond, 1700 * time.Millisecond
		sentAfter           = 3800 * time.Millisecond
	)
	d := newDeployment(rec, "musselburgh", "musselburgh")
	defer d.stop()
	d.store.Put("op/config", routingOfStreams)
	var engines []*engine
	for n := range 8 {
		engines = append(engines, newEngine(d, fmt.Sprintf("i-%d", n), []string{"leith", "musselburgh", "dalkeith"}[n%3]))
	}
	d.start()
	m := d.machines[0]
	r := newRotation(m)
	defer close(r.stop)
	end := make(chan struct{})
	var usual sync.WaitGroup
	repeat := func(path string, pause time.Duration, events func() int) {
		defer usual.Done()
		for !r.out.Load() {
			select {
			case <-end:
				return
			case <-time.After(pause):
			}
			usual.Add(1)
			go func() {
				defer usual.Done()
				stream(rec, m, path, nextAttempt(), events(), 0)
			}()
		}
	}
	usual.Add(2)
	go repeat("/motto/1", mottoPause, func() int { return usualEvents - spreadEvents + rand.IntN(2*spreadEvents+1) })
	go repeat("/letter/1", letterPause, func() int { return longEvents })
	time.Sleep(10 * time.Second)
	<-r.asked
	time.Sleep(afterProbe)
	stopAt := time.Now()
	if trouble {
		must(m.cmd.Process.Signal(syscall.SIGTERM))
		rec.say("DISRUPTION: SIGTERM for %s", m.name)
	}
	var late sync.WaitGroup
	var cut, answered, unsent atomic.Int32
	for n := range longCount {
		late.Add(1)
		go func() {
			defer late.Done()
			time.Sleep(time.Until(stopAt.Add(firstOpen + (lastOpen-firstOpen)*time.Duration(n)/longCount)))
			if r.out.Load() {
				unsent.Add(1)
				return
			}
			id := nextAttempt()
			sentAt, sent, whole := stream(rec, m, "/motto/2", id, longEvents, time.Until(stopAt.Add(sentAfter)))
			switch {
			case !sent:
				unsent.Add(1)
			case whole:
				answered.Add(1)
			case ran(engines, id) && sentAt.Sub(stopAt) > excusedUntil:
				cut.Add(1)
				rec.add("lost   %s: sent %.2f s after SIGTERM, passed on, and cut", id, sentAt.Sub(stopAt).Seconds())
			}
		}()
	}
	late.Wait()
	close(end)
	usual.Wait()
	rec.say("%d of %d requests sent %s after SIGTERM were passed on and cut, %d got a complete answer, %d were not sent", cut.Load(), longCount, sentAfter, answered.Load(), unsent.Load())
	if cut.Load() > 0 {
		rec.say("LOST is broken")
		return exitBroken
	}
	rec.say("LOST held")
	return exitHeld
}
