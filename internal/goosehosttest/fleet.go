// Package goosehosttest runs instances against fakes of the users' platform, for the tests
// of several packages.
package goosehosttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosehost"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

// waitTimeout is far above what any test needs; it only ends a test that hangs.
const waitTimeout = 60 * time.Second

// Eventually waits until ok returns true, and fails the test after waitTimeout.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// usedAddresses counts the addresses that this process has given to instances.
var usedAddresses atomic.Uint32

// UniqueLoopbackAddress returns a loopback address that no other instance of a test has, neither in
// this process nor in another one.
func UniqueLoopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+usedAddresses.Add(1)%250)
}

// Ports of every instance, which has a loopback address of its own.
const (
	callerPort = 8227 + iota
	readyPort
	metricsPort
	internalPort
)

// Fleet is a set of instances with fakes of the platform.
type Fleet struct {
	t *testing.T
	// Store is a fake of the platform's store.
	Store *gooseplatformtest.Store
	// Relays lets instances that are started read the changes of the store from each other.
	Relays bool
}

// New starts the fakes.
func New(t *testing.T) *Fleet {
	t.Helper()
	return &Fleet{t: t, Store: gooseplatformtest.NewStore()}
}

// WriteRouting writes a routing version that routes /x/ to a service.
func (f *Fleet) WriteRouting(version int, service string) {
	f.Store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":"/x/","type":"idempotent",
"timeout-ms":30000,"goal-ms":30000,"service":%q,"attempts":2},
{"name":"s","host":"desk.example","prefix":"/s/","type":"stream","timeout-ms":30000,"goal-ms":30000,"service":"c","attempts":2,"resumable":true},
{"name":"o","host":"desk.example","prefix":"/o/","type":"non_idempotent","timeout-ms":300,"goal-ms":300,"service":"c"}],"services":[{"name":"a"},{"name":"b"},{"name":"c"}],
"tenants":[{"name":"guild","api-keys":["k1"]}]}`, version, service))
}

// AddReplica registers a replica that responds with its id.
func (f *Fleet) AddReplica(id, service string) {
	f.AddReplicaFunc(id, service, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, id)
	})
}

// AddReplicaFunc registers a replica with the handler h.
func (f *Fleet) AddReplicaFunc(id, service string, h http.HandlerFunc) {
	server := httptest.NewServer(gooseplatformtest.WithStamp(id, h))
	f.t.Cleanup(server.Close)
	entry, err := json.Marshal(map[string]any{
		"service": service, "addr": strings.TrimPrefix(server.URL, "http://"), "zone": "leith", "slots": 8, "state": "ready",
		"version": "v1", "cold-left-ms": 0, "seq": 1, "born": 1,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.Store.Put("servers/"+id, string(entry))
}

// AddCrashingReplica registers a replica that can crash and restart.
func (f *Fleet) AddCrashingReplica(id, service string, h func(*gooseplatformtest.Replica) http.Handler) {
	gooseplatformtest.NewReplica(f.t, f.Store, id, service, h)
}

// Instance is one running instance.
type Instance struct {
	settings gooseplatform.Settings
	// BeginShutdown begins a graceful shutdown.
	BeginShutdown context.CancelFunc
	// Shutdown begins a graceful shutdown and waits until the instance has stopped.
	Shutdown func()
	done     chan error
	// store gives the instance access to the store of the fleet.
	store        *httptest.Server
	disconnected atomic.Bool
}

// connectStore starts the instance's access to the store.
func (i *Instance) connectStore(t *testing.T, store http.Handler) {
	i.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.disconnected.Load() {
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(i.store.Close)
	t.Cleanup(i.store.CloseClientConnections)
	i.settings.StoreAddress = strings.TrimPrefix(i.store.URL, "http://")
}

// SetStoreReachable connects the instance to the store or disconnects it.
func (i *Instance) SetStoreReachable(reachable bool) {
	i.disconnected.Store(!reachable)
	if !reachable {
		i.store.CloseClientConnections()
	}
}

// Metric returns the line of a metric without labels, or an empty string if there is none.
func (i *Instance) Metric(name string) string {
	resp, err := http.Get("http://" + net.JoinHostPort(i.settings.Address, strconv.Itoa(metricsPort)) + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(body)) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// StartInstance runs an instance until the test ends; the instance logs to out.
func (f *Fleet) StartInstance(name string, out io.Writer) *Instance {
	f.t.Helper()
	address := UniqueLoopbackAddress()
	e := &Instance{done: make(chan error, 1), settings: gooseplatform.Settings{
		Instance: goose.InstanceID(name), DataCentre: "leith", Address: address,
		CallerAddress: net.JoinHostPort(address, strconv.Itoa(callerPort)),
		ReadyAddress:  net.JoinHostPort(address, strconv.Itoa(readyPort)),
		FirstPort:     internalPort, LastPort: internalPort, ReregistrationGrace: 2 * time.Second,
		DataCentres: []goose.DataCentre{"leith", "oban"}, StopTimeout: 10 * time.Second,
		Retry: gooseplatform.RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Burst: 100},
	}}
	if f.Relays {
		e.settings.LastPort, e.settings.ChangeBound = internalPort+1, 3*time.Second
	}
	e.connectStore(f.t, f.Store)
	var ctx context.Context
	ctx, e.BeginShutdown = context.WithCancel(context.Background())
	go func() { e.done <- goosehost.Run(ctx, e.settings, metricsPort, out) }()
	e.Shutdown = sync.OnceFunc(func() {
		e.BeginShutdown()
		if err := <-e.done; err != nil {
			f.t.Errorf("instance %s: %v", name, err)
		}
	})
	f.t.Cleanup(e.Shutdown)
	return e
}

// CallerAddress returns the address at which the instance accepts callers.
func (i *Instance) CallerAddress() string { return i.settings.CallerAddress }

// IsReady reports whether the instance's readiness endpoint responds with status 200.
func (i *Instance) IsReady() bool {
	resp, err := http.Get("http://" + i.settings.ReadyAddress + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Get sends a GET request with an API key and returns the status and the body of the
// response, or 0 if there is no response.
func (i *Instance) Get(key string) (int, string) { return i.Send(http.MethodGet, "/x/1", key, "a1") }

// Send is like Get for any method, path and request id.
func (i *Instance) Send(method, path, key, id string) (int, string) {
	return i.send(method, path, key, id, "", nil)
}

// Post sends a POST request with a body and the API key of the routing version.
func (i *Instance) Post(path, id, body string) (int, string) {
	return i.send(http.MethodPost, path, "k1", id, body, nil)
}

// PostPrompt is like Post for a request that lists the parts of its prompt.
func (i *Instance) PostPrompt(path, id, body, parts string) (int, string) {
	return i.send(http.MethodPost, path, "k1", id, body, map[string]string{"X-Prompt-Prefix": parts})
}

// GetWithin is like Get for a caller that waits for at most timeout.
func (i *Instance) GetWithin(key string, timeout time.Duration) (int, string) {
	return i.send(http.MethodGet, "/x/1", key, "a1", "", map[string]string{"X-Deadline-Ms": strconv.FormatInt(timeout.Milliseconds(), 10)})
}

func (i *Instance) send(method, path, key, id, body string, header map[string]string) (int, string) {
	r, err := http.NewRequest(method, "http://"+i.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	// net/http retries a request whose connection breaks if GetBody is set.
	r.GetBody = nil
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", id)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	responseBody, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(responseBody)
}
