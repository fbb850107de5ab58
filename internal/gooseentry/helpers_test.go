package gooseentry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooseengine"
	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// testEntry is an Entry that serves on loopback, with fake dependencies.
type testEntry struct {
	*Entry
	url       string
	catalogue *goosetest.Catalogue
	permits   *goosetest.PermitClient
	ledger    *goosetest.Ledger
	suspects  *goosetest.SuspectTracker
	logs      *bytes.Buffer
}

// newTestEntry starts an Entry with the model service "mend" and the plain
// services "stock" (idempotent) and "orders" on the backends, all in data
// centre leith.
func newTestEntry(t testing.TB, change func(*Options, *testEntry), backends ...*goosetest.Backend) *testEntry {
	catalogue := &goosetest.Catalogue{InForce: 1, Services: []goose.ServiceSpec{
		{Name: "mend", Kind: goose.KindModel, Protocol: "openai", Idempotent: true, Deadline: time.Hour},
		{Name: "stock", Kind: goose.KindPlain, Protocol: "http", Idempotent: true, Deadline: time.Hour},
		{Name: "orders", Kind: goose.KindPlain, Protocol: "http", Deadline: time.Hour},
	}}
	for i, b := range backends {
		for _, s := range catalogue.Services {
			catalogue.Servers = append(catalogue.Servers, goose.BackendServer{
				Name: goose.ReplicaID(fmt.Sprintf("%s-%d", s.Name, i)), Service: s.Name, DataCentre: "leith",
				Address: b.Address(), MemoryTokens: 100_000, State: goose.StateActive,
			})
		}
	}
	e := &testEntry{
		catalogue: catalogue, permits: &goosetest.PermitClient{Servers: catalogue}, ledger: &goosetest.Ledger{},
		suspects: goosetest.NewSuspectTracker(), logs: &bytes.Buffer{},
	}
	o := Options{
		Instance: "leith-1", DataCentre: "leith", Configuration: catalogue, Permits: e.permits, Ledger: e.ledger,
		Suspects: e.suspects, Quarantine: goosequarantine.New(slog.New(slog.DiscardHandler)), Membership: goosetest.Membership{}, Protocol: goose.NewProtocol,
		Limits: Limits{ProbeInterval: 20 * time.Millisecond, KeepAliveInterval: 40 * time.Millisecond, HeaderDelay: time.Minute, CancelTimeout: time.Second},
		Logger: slog.New(slog.NewJSONHandler(e.logs, nil)),
	}
	if change != nil {
		change(&o, e)
	}
	e.Entry = New(o)
	app := fiber.New(e.FiberConfig())
	e.Register(app)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = app.Listener(NewListener(ln, nil, nil), fiber.ListenConfig{DisableStartupMessage: true})
	}()
	t.Cleanup(func() {
		_ = app.Shutdown()
		// Without closing the listener, a test that ends before the server has
		// started would wait for ever.
		_ = ln.Close()
		<-served
	})
	e.url = "http://" + ln.Addr().String()
	return e
}

// response is a complete response of the entry instance.
type response struct {
	status int
	header http.Header
	body   string
}

// post sends a request with the workspace's key. header holds alternating names
// and values.
func (e *testEntry) post(t testing.TB, path, body string, header ...string) response {
	t.Helper()
	resp, err := e.send(context.Background(), path, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("response ended early: %v", err)
	}
	return response{resp.StatusCode, resp.Header, string(b)}
}

func (e *testEntry) send(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer forge-key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// waitDrained drains the Entry and waits until all work has ended, so that the
// released permits can be checked.
func (e *testEntry) waitDrained(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := e.Drain(ctx); err != nil {
		t.Fatal(err)
	}
}

// streamText returns the concatenated texts of an event stream.
func streamText(events string) string {
	var out strings.Builder
	sc := bufio.NewScanner(strings.NewReader(events))
	for sc.Scan() {
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String()
}

func decodeRefusal(t testing.TB, s string) goose.RefusalError {
	t.Helper()
	var b goose.RefusalBody
	if err := json.Unmarshal([]byte(s), &b); err != nil {
		t.Fatalf("refusal body %q: %v", s, err)
	}
	return b.Error
}

// chatText sends a streamed chat request and returns the text of the response.
func (e *testEntry) chatText(t testing.TB, body string) string {
	t.Helper()
	return streamText(e.post(t, "/v1/chat/completions", body).body)
}

// sendRaw sends a request over a connection that the test can close.
func (e *testEntry) sendRaw(t testing.TB, path, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer forge-key\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
