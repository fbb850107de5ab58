package goosehost

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a graceful shutdown that resets connections which the kernel has accepted
// and the process has not, because it was busy: their requests were sent already.
func TestListenerHandsOverWaitingConnections(t *testing.T) {
	t.Parallel()
	const waiting = 50
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]net.Conn, waiting)
	for i := range conns {
		if conns[i], err = net.Dial("tcp4", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	tracker := newConnTracker()
	server := &http.Server{ConnState: tracker.handleState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(l) })
	drainServer(context.Background(), server, l, tracker)
	wg.Wait()
	for i, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d: got error %v, want a response", i, err)
			continue
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("connection %d: got status %d, want 200", i, resp.StatusCode)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
}

// Guards against a shutdown that waits for a listener that nobody reads, or that was closed.
func TestListenerDrainEnds(t *testing.T) {
	t.Parallel()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Drain(10 * time.Millisecond)
	if _, err := l.Accept(); err == nil {
		t.Error("got a connection from a closed listener")
	}
	l.Drain(time.Minute)
}
