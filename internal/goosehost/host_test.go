package goosehost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

// patience is far above what any test needs; it ends one that hangs.
const patience = 60 * time.Second

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// freePort returns a port that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).Port
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return port
}

// fleet is a set of instances before the stand-ins of the platform.
type fleet struct {
	t     *testing.T
	store *gooseplatformtest.Store
	addr  string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: gooseplatformtest.NewStore()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	f.addr = strings.TrimPrefix(server.URL, "http://")
	return f
}

// routing writes a version that leads /x/ to a service.
func (f *fleet) routing(version int, service string) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":"/x/","type":"idempotent",
"timeout-ms":30000,"goal-ms":30000,"service":%q,"attempts":2}],"services":[{"name":"a"},{"name":"b"}],
"tenants":[{"name":"guild","api-keys":["k1"]}]}`, version, service))
}

// replica registers a replica that answers with its id.
func (f *fleet) replica(id, service string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, id)
	}))
	f.t.Cleanup(server.Close)
	entry, err := json.Marshal(map[string]any{
		"service": service, "addr": strings.TrimPrefix(server.URL, "http://"), "zone": "leith", "slots": 8, "state": "ready", "born": 1,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("servers/"+id, string(entry))
}

// entry is one running instance.
type entry struct {
	settings gooseplatform.Settings
	stop     context.CancelFunc
	done     chan error
}

func (f *fleet) start(name string) *entry {
	f.t.Helper()
	address := func() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(f.t))) }
	port := freePort(f.t)
	e := &entry{done: make(chan error, 1), settings: gooseplatform.Settings{
		Instance: goose.InstanceID(name), DataCentre: "leith", Address: "127.0.0.1", CallerAddress: address(),
		ReadyAddress: address(), FirstPort: port, LastPort: port, StoreAddress: f.addr,
		DataCentres: []goose.DataCentre{"leith"}, StopTimeout: 10 * time.Second,
		Retry: gooseplatform.RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Burst: 100},
	}}
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	metricsPort := freePort(f.t)
	go func() { e.done <- Run(ctx, e.settings, metricsPort, io.Discard) }()
	f.t.Cleanup(func() {
		e.stop()
		if err := <-e.done; err != nil {
			f.t.Errorf("instance %s: %v", name, err)
		}
	})
	return e
}

// ready reports what the instance answers the balancer.
func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.settings.ReadyAddress + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// get returns the status and the body of an answer; 0 if there is none.
func (e *entry) get(key string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+e.settings.CallerAddress+"/x/1", nil)
	if err != nil {
		return 0, ""
	}
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", "a1")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// Guards against a whole path that breaks between its parts: from the store's entries
// to a caller's answer, through changes of routing and replicas.
func TestWholePath(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.replica("i-a", "a")
	f.replica("i-b", "b")
	e := f.start("edge-1")
	if e.ready() {
		t.Error("got a ready instance without a routing")
	}
	f.routing(1, "a")
	eventually(t, "the instance is ready", e.ready)
	eventually(t, "service a answers", func() bool { status, body := e.get("k1"); return status == 200 && body == "i-a" })
	if status, body := e.get("k2"); status != http.StatusUnauthorized {
		t.Errorf("got status %d, body %s for an unknown key, want 401", status, body)
	}
	f.routing(2, "b")
	eventually(t, "service b answers", func() bool { _, body := e.get("k1"); return body == "i-b" })
	f.store.Delete("servers/i-b")
	eventually(t, "nobody is left to answer", func() bool { status, _ := e.get("k1"); return status == 503 })
	f.replica("i-b2", "b")
	eventually(t, "the new replica answers", func() bool { _, body := e.get("k1"); return body == "i-b2" })
}

// Guards against an instance that stops serving because the store is away, or does not
// catch up once it is back.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.routing(1, "a")
	f.replica("i-a", "a")
	e := f.start("edge-1")
	eventually(t, "service a answers", func() bool { _, body := e.get("k1"); return body == "i-a" })
	f.store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultBusy })
	f.routing(2, "b")
	f.replica("i-b", "b")
	for range 20 {
		if status, body := e.get("k1"); status != 200 || body != "i-a" {
			t.Fatalf("got status %d, body %s while the store is away", status, body)
		}
	}
	if !e.ready() {
		t.Error("got an instance that is not ready because the store is away")
	}
	f.store.SetFault(nil)
	eventually(t, "service b answers", func() bool { _, body := e.get("k1"); return body == "i-b" })
}

// Guards against a planned stop that cuts requests, is not announced, or leaves the
// registration behind.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.routing(1, "a")
	f.replica("i-a", "a")
	e := f.start("edge-1")
	eventually(t, "service a answers", func() bool { _, body := e.get("k1"); return body == "i-a" })
	eventually(t, "the instance is registered", func() bool { return len(f.store.Keys("gooseberryhold/instances/")) == 1 })
	e.stop()
	eventually(t, "the instance is not ready", func() bool { return !e.ready() })
	if status, body := e.get("k1"); status != 200 || body != "i-a" {
		t.Errorf("got status %d, body %q right after the stop began, want an answer", status, body)
	}
	eventually(t, "the registration is gone", func() bool { return len(f.store.Keys("gooseberryhold/instances/")) == 0 })
}
