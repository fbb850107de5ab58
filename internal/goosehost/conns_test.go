package goosehost

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
)

// Guards against a graceful shutdown that resets connections which the kernel has accepted
// and the process has not, because it was busy: their requests were sent already.
func TestListenerHandsOverWaitingConnections(t *testing.T) {
	t.Parallel()
	const waiting = 50
	l, err := listenCallers()
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
	drainServer(context.Background(), server, l, tracker, time.Second, slog.New(slog.DiscardHandler))
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

// listenCallers returns a listener at a free port.
func listenCallers() (callerListener, error) {
	l, err := gooselisten.Listen("tcp4", "127.0.0.1:0", gooselisten.Options{Log: slog.New(slog.DiscardHandler)})
	return callerListener{l, &callerLimits{}}, err
}

// Guards against a graceful shutdown that closes connections on which a request is arriving or
// still to be expected: new ones whose callers take their time, kept ones on which a part of a
// head has arrived, and those whose last response began before the shutdown.
func TestDrainServesUsedConnections(t *testing.T) {
	t.Parallel()
	const (
		get      = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
		headTime = 3 * time.Second
	)
	tests := map[string]struct {
		// kept is true if a request was served on the connection before the drain.
		kept bool
		// before is sent before the drain, and after is sent late into it.
		before, after string
		late          time.Duration
	}{
		"new, the request comes late":        {after: get, late: 2 * time.Second},
		"new, the head arrives in pieces":    {before: get[:10], after: get[10:], late: 2 * time.Second},
		"kept, the head arrives in pieces":   {kept: true, before: get[:10], after: get[10:], late: time.Second},
		"kept, a further request comes soon": {kept: true, after: get, late: reuseGrace / 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := listenCallers()
			if err != nil {
				t.Fatal(err)
			}
			tracker := newConnTracker()
			server := &http.Server{ConnState: tracker.handleState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })}
			go func() { _ = server.Serve(l) }()
			conn, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			if tc.kept {
				sendText(t, conn, get)
				readResponse(t, reader)
			}
			sendText(t, conn, tc.before)
			time.Sleep(50 * time.Millisecond)
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				drainServer(context.Background(), server, l, tracker, headTime, slog.New(slog.DiscardHandler))
			}()
			time.Sleep(tc.late)
			sendText(t, conn, tc.after)
			readResponse(t, reader)
			<-drained
		})
	}
}

func sendText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("got error %v while a request was sent", err)
	}
}

func readResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got error %v, want a response", err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "done" {
		t.Errorf("got body %q, error %v, want the whole response", body, err)
	}
}

// Guards against new callers that wait although connections are idle, and against the loss of
// requests on connections that are closed to make room.
func TestLongestIdleConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		state connState
		// age is the time since the state began.
		age  time.Duration
		want bool
	}{
		"idle for long":     {connIdle, time.Minute, true},
		"used just now":     {connIdle, 0, false},
		"serving":           {connServing, time.Minute, false},
		"head is arriving":  {connReceiving, time.Minute, false},
		"without a request": {connNew, time.Minute, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := listenCallers()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn := accepted.(*callerConn)
			conn.state, conn.since = tc.state, time.Now().Add(-tc.age)
			tracker := newConnTracker()
			tracker.open[conn] = struct{}{}
			if got := tracker.closeLongestIdle(); got != tc.want || (conn.currentState() == connClosed) != tc.want {
				t.Errorf("got closed %t, state %s, want closed %t", got, conn.currentState(), tc.want)
			}
		})
	}
}
