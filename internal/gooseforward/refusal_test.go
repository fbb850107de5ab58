package gooseforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// repeatingReplica is a replica that refuses its first request, keeps the connection and
// writes the refusal a second time. It serves all later requests.
type repeatingReplica struct {
	listener net.Listener
	// refusal is written twice for the first request.
	refusal string
	// served counts the requests that ran.
	served atomic.Int64
	// repeated is closed after the refusal was written for the second time.
	repeated chan struct{}
}

func newRepeatingReplica(t *testing.T, refusal string) *repeatingReplica {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &repeatingReplica{listener: l, refusal: refusal, repeated: make(chan struct{})}
	go r.accept()
	return r
}

func (r *repeatingReplica) accept() {
	for first := true; ; first = false {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn, first)
	}
}

func (r *repeatingReplica) serve(conn net.Conn, refuse bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := "X-Attempt-Id: " + q.Header.Get("X-Attempt-Id") + "\r\n"
		if refuse {
			refuse = false
			text := strings.ReplaceAll(r.refusal, "ID\r\n", id)
			// The instance may have closed the connection before the second write.
			_, _ = io.WriteString(conn, text)
			_, _ = io.WriteString(conn, text)
			close(r.repeated)
			continue
		}
		r.served.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n"+id+"Content-Length: 4\r\n\r\ndone")
	}
}

// Guards against an earlier refusal of a replica that is taken for the response to a later
// request. The replica runs that request, but the refusal states that it did not run, or
// it runs at another replica too.
func TestEarlierRefusal(t *testing.T) {
	t.Parallel()
	refusals := map[string]string{
		"full":                         "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nID\r\nContent-Length: 0\r\n\r\n",
		"without an id":                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"busy":                         "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nID\r\nContent-Length: 0\r\n\r\n",
		"of another process":           "HTTP/1.1 421 Misdirected Request\r\nID\r\nContent-Length: 0\r\n\r\n",
		"with a keep-alive connection": "HTTP/1.1 503 Service Unavailable\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\nX-Not-Executed: 1\r\nID\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRepeatingReplica(t, refusal)
			h := newHarness(t)
			h.directory.Apply(goose.StoreChange{Kind: goose.ChangeReplica, Replica: goose.Replica{
				ID: "i-r", Service: "desk", DataCentre: "leith", Address: r.listener.Addr().String(), Slots: 9, State: goose.StateActive, StartedUnixMS: 1,
			}}, time.Now())
			if got := h.post("/order/x", "first"); got.status == http.StatusOK {
				t.Errorf("got status %d for a refused order", got.status)
			}
			<-r.repeated
			for n := range 5 {
				got := h.post("/order/x", fmt.Sprint(n))
				if got.status != http.StatusOK || got.body != "done" {
					t.Errorf("got status %d, body %q for an order that ran, want its response", got.status, got.body)
				}
			}
			if got := r.served.Load(); got != 5 {
				t.Errorf("got %d orders run, want 5", got)
			}
		})
	}
}

// Guards against the refusal of another request that arrives before the response to this
// one and is taken for it.
func TestRefusalOfOtherRequest(t *testing.T) {
	t.Parallel()
	h := newHarness(t, raw("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: earlier\r\nContent-Length: 0\r\n\r\n"+
		"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 4\r\n\r\ndone"), succeed)
	got := h.post("/order/x", "body")
	if got.status != http.StatusBadGateway || !strings.Contains(got.body, `"run":"unknown"`) || h.reached("i-1") != 0 {
		t.Errorf("got status %d, body %s, %d attempts at another replica, want 502, unknown and none", got.status, got.body, h.reached("i-1"))
	}
}
