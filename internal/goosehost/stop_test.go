package goosehost_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
)

// Guards against a graceful shutdown that cuts requests which were just accepted: on
// connections that the kernel has accepted, or whose request the process reads after its
// shutdown has begun. The load is new connections all the time, as long as a load balancer
// opens them, from callers that take up to 0.4 s until they send their request.
func TestGracefulShutdownUnderNewConnections(t *testing.T) {
	t.Parallel()
	const (
		// deregistered is when the load balancer opens no further connections.
		deregistered = 2900 * time.Millisecond
		callers      = 8
		maxPause     = 400 * time.Millisecond
	)
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "service a responds", func() bool { _, body := e.Get("k1"); return body == "i-a" })
	var cut, served atomic.Int64
	var wg sync.WaitGroup
	e.BeginShutdown()
	begin := time.Now()
	for range callers {
		wg.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			for time.Since(begin) < deregistered {
				conn, err := net.DialTimeout("tcp4", e.CallerAddress(), time.Second)
				if err != nil {
					t.Errorf("got error %v %s after SIGTERM", err, time.Since(begin))
					return
				}
				requests.Go(func() {
					defer func() { _ = conn.Close() }()
					time.Sleep(rand.N(maxPause))
					if err := sendAndRead(conn); err != nil {
						cut.Add(1)
						t.Logf("%s after SIGTERM: %v", time.Since(begin), err)
						return
					}
					served.Add(1)
				})
				time.Sleep(rand.N(10 * time.Millisecond))
			}
		})
	}
	wg.Wait()
	e.Shutdown()
	if got := cut.Load(); got != 0 {
		t.Errorf("got %d of %d connections cut without a response, want none", got, got+served.Load())
	}
}

// sendAndRead sends a request on a connection and reads the response.
func sendAndRead(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprint(conn, "GET /x/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a graceful shutdown that takes requests it cannot finish and closes their
// connections without a response at its end, among them some that must not be repeated.
func TestGracefulShutdownAnswersLateRequests(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplicaFunc("i-a", "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
	e.BeginShutdown()
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 700 * time.Millisecond)
			conn, err := net.DialTimeout("tcp4", e.CallerAddress(), time.Second)
			if err != nil {
				t.Errorf("got error %v while the instance drains", err)
				return
			}
			defer func() { _ = conn.Close() }()
			if err := sendAndRead(conn); err != nil {
				t.Errorf("got error %v for request %d, want a complete response", err, n)
			}
		})
	}
	wg.Wait()
	e.Shutdown()
}
