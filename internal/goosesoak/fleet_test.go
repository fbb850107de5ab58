package goosesoak

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

var dataCentres = []string{"leith", "musselburgh", "dalkeith"}

const (
	// stopTimeout is the time that the platform gives a process between SIGTERM and SIGKILL.
	stopTimeout = 8 * time.Second
	// waitTimeout is far above what any wait needs; it only ends a wait that hangs.
	waitTimeout = 60 * time.Second
	// crashRestartDelay is how long a replica is down after a poison request has crashed it.
	crashRestartDelay = 300 * time.Millisecond
	// activeProbeVersions is the number of versions whose probe routes are in force.
	activeProbeVersions = 2
)

// endpoint is an address that replicas use one after the other.
type endpoint struct {
	proxy *proxy
	// service is the service of the endpoint's replicas, except for a replica of another
	// service that reuses the address while the old entry is still in the store.
	service string
	// replaceMu is held while the replica is replaced.
	replaceMu sync.Mutex

	mu      sync.Mutex
	replica *replica
}

// fleet holds the store, the instances and the replicas of one soak run.
type fleet struct {
	t         testing.TB
	bin       string
	journal   *journal
	store     *gooseplatformtest.Store
	instances []*instance
	endpoints []*endpoint

	mu      sync.Mutex
	version int
	// routeTimeout is the timeout of the routes in the next version.
	routeTimeout    time.Duration
	startedReplicas int
	// removed lists the replicas that have been removed from the store.
	removed []*replica
}

// newFleet starts a fleet without faults and waits until it is ready.
func newFleet(t testing.TB, bin string, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t, bin: bin, journal: newJournal(), store: gooseplatformtest.NewStore(), routeTimeout: callerTimeout}
	f.writeRouting()
	for n := range 9 {
		e := &endpoint{proxy: newProxy(t), service: []string{"desk-a", "desk-b", "model"}[n/3]}
		f.endpoints = append(f.endpoints, e)
		f.startReplica(e, e.service, dataCentres[n%3])
	}
	dir := t.TempDir()
	for n := range instances {
		g := &gate{Handler: f.store}
		server := httptest.NewServer(g)
		t.Cleanup(func() {
			server.CloseClientConnections()
			_ = server.Listener.Close()
		})
		i := &instance{t: t, name: fmt.Sprintf("edge-%d", n), dir: dir, callerProxy: newProxy(t), storeProxy: newProxy(t), storeGate: g}
		i.storeProxy.setTarget(server.Listener.Addr().String())
		i.configure(dataCentres[n%3])
		f.instances = append(f.instances, i)
		i.start(bin)
		t.Cleanup(func() { i.current().kill() })
	}
	for _, i := range f.instances {
		eventually(t, i.name+" is ready", i.isReady)
	}
	return f
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for started := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(started) > waitTimeout {
			t.Fatalf("never: %s", what)
		}
	}
}

// startReplica starts a new replica at an endpoint and writes its entry to the store.
func (f *fleet) startReplica(e *endpoint, service, dataCentre string) {
	f.mu.Lock()
	f.startedReplicas++
	id := fmt.Sprintf("r%d", f.startedReplicas)
	f.mu.Unlock()
	f.register(e, newReplica(f.t, f.journal, id, service, dataCentre))
}

// register makes a replica that has just started the endpoint's current one, and writes
// its entry to the store.
func (f *fleet) register(e *endpoint, r *replica) {
	r.onCrash = func() { go f.restartCrashed(e, r) }
	e.mu.Lock()
	e.replica = r
	e.mu.Unlock()
	e.proxy.setTarget(r.address())
	f.store.Put("servers/"+r.id, r.storeEntry(e.proxy.address(), "ready"))
}

// restartCrashed starts a crashed replica again under its id, unless another replica uses
// its endpoint.
func (f *fleet) restartCrashed(e *endpoint, r *replica) {
	e.replaceMu.Lock()
	defer e.replaceMu.Unlock()
	time.Sleep(crashRestartDelay)
	if e.current() == r {
		f.register(e, newReplica(f.t, f.journal, r.id, r.service, r.dataCentre))
	}
}

func (e *endpoint) current() *replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replica
}

// removeReplica ends a replica permanently and deletes its entry. The replica has been
// drained before or crashes now.
func (f *fleet) removeReplica(r *replica) {
	r.crash()
	f.store.Delete("servers/" + r.id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed = append(f.removed, r)
}

func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// writeRouting puts the next routing version into the store. The version adds a probe
// route and its key, and drops those of the version activeProbeVersions before it.
func (f *fleet) writeRouting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.version + 1
	var routes, keys []string
	for k, service := range serviceOfKind {
		if k == kindProbe {
			continue
		}
		typ := map[kind]string{kindLookup: "idempotent", kindOrder: "non_idempotent"}[k]
		if typ == "" {
			typ = "stream"
		}
		routes = append(routes, fmt.Sprintf(`{"name":"%s","host":%q,"prefix":"/%s/","type":%q,"timeout-ms":%d,"goal-ms":3000,"gap-target-ms":1000,"service":%q,"attempts":3,"resumable":%t}`,
			k, callerHost, k, typ, f.routeTimeout.Milliseconds(), service, k.resumable()))
	}
	for n := max(1, v-activeProbeVersions+1); n <= v; n++ {
		service := []string{"desk-a", "desk-b"}[n%2]
		routes = append(routes, fmt.Sprintf(`{"name":"p%d","host":%q,"prefix":"/p%d/","type":"idempotent","timeout-ms":6000,"goal-ms":3000,"service":%q,"attempts":2}`, n, callerHost, n, service))
		keys = append(keys, fmt.Sprintf("%q", fmt.Sprintf("kv%d", n)))
	}
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk-a"},{"name":"desk-b"},
{"name":"model","engine":{"slots":16,"kv-capacity":%d,"stride":4,"step_ms":1,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":2000000,"pairs_per_m":0.0001,"usual":{"answer":100}}}],
"tenants":[{"name":"guild","api-keys":["k1",%s]}],"limits":{"max-header-bytes":32768,"max-body-bytes":1048576,"header-timeout-ms":5000,"idle-timeout-ms":15000}}`,
		v, strings.Join(routes, ","), modelMemory, strings.Join(keys, ",")))
	f.version = v
}
