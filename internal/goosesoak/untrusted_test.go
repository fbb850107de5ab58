package goosesoak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

const (
	// untrustedBodyBytes is the longest body that the routing of these tests permits.
	untrustedBodyBytes = 1 << 20
	// longResponseBytes is the length of the responses of the route /long/.
	longResponseBytes = 1 << 20
	// partialResponseBytes is the length of those whose path ends with partialSuffix; it is below
	// the length from which on responses count as memory.
	partialResponseBytes = 48 << 10
	partialSuffix        = "/partial"
	// untrustedRouteTimeout is above the time of a test, so that no client's request ends by its
	// deadline.
	untrustedRouteTimeout = 2 * time.Minute
	// writeTimeout ends a client's write that the instance does not read.
	writeTimeout = 2 * time.Second
	// ordinaryTimeout bounds the attempts of an ordinary caller; a test that passes needs far
	// less.
	ordinaryTimeout = 15 * time.Second
	// ordinaryRetryDelay is the time between two attempts of an ordinary caller.
	ordinaryRetryDelay = 200 * time.Millisecond
)

// untrustedKind is a kind of client that is not within the limits, or not in good faith.
type untrustedKind struct {
	// always is true for the kinds that CI runs, one or more of each behaviour: all kinds take
	// some minutes.
	always  bool
	clients int
	limits  processLimits
	// send sends what a client sends. The connection stays open afterwards.
	send func(c *untrustedClient)
	// goesOn is true if send returns only when the test is over.
	goesOn bool
	// returns is true for clients that open the next connection as soon as one was closed.
	returns bool
}

// Limits of the processes of these tests.
var (
	usualLimits = processLimits{descriptors: 1000, memoryMB: 128}
	fewLimits   = processLimits{descriptors: 400, memoryMB: 128}
	// manyLimits permit more connections than the memory for small bodies has room for.
	manyLimits = processLimits{descriptors: 1600, memoryMB: 128}
	// mostLimits permit more connections than the memory of the machine has room for.
	mostLimits = processLimits{descriptors: 4200, memoryMB: 128}
)

// untrustedKinds are single kinds of clients, in small numbers.
var untrustedKinds = map[string]untrustedKind{
	"long bodies that stop short":              {always: true, clients: 80, limits: usualLimits, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, untrustedBodyBytes)},
	"long bodies in pieces that stop short":    {clients: 80, limits: usualLimits, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, 16<<10)},
	"short bodies that stop short":             {clients: 240, limits: usualLimits, send: announced(64<<10, 64<<10-1, 64<<10)},
	"large chunks that stop short":             {always: true, clients: 80, limits: usualLimits, send: chunked(64<<10, untrustedBodyBytes-1, 1)},
	"one-byte chunks that stop short":          {always: true, clients: 240, limits: usualLimits, send: chunked(1, 5000, 1000)},
	"one-byte chunks that go on":               {clients: 60, limits: usualLimits, send: chunkedWithoutEnd, goesOn: true},
	"announced bodies far above the limit":     {always: true, clients: 80, limits: usualLimits, send: announced(500<<20, 8<<20, 64<<10)},
	"sent bodies far above the limit":          {clients: 80, limits: usualLimits, send: chunked(64<<10, 16<<20, 1)},
	"connections that never send":              {clients: 100, limits: fewLimits, send: func(*untrustedClient) {}},
	"incomplete heads":                         {always: true, clients: 100, limits: fewLimits, send: func(c *untrustedClient) { c.write([]byte("POST /short/x HTTP/1.1\r\nHost: soak.")) }},
	"heads of many fields, bodies stop short":  {clients: 350, limits: usualLimits, send: manyFields(15 << 10)},
	"heads above the limit, bodies stop short": {always: true, clients: 350, limits: usualLimits, send: manyFields(30 << 10)},
	"slow readers of long responses":           {always: true, clients: 200, limits: usualLimits, send: func(c *untrustedClient) { c.head("GET", c.target.long, "") }},
	"slow readers that send further requests":  {clients: 80, limits: usualLimits, send: pipelinedRequests},
	"slow readers of streams":                  {clients: 200, limits: usualLimits, send: func(c *untrustedClient) { c.head("GET", c.target.stream, "") }},
}

// untrustedCrowds are more clients than an instance has connections, memory or time for.
var untrustedCrowds = map[string]untrustedKind{
	"long bodies beyond the connections":       {always: true, clients: 1200, limits: usualLimits, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, 32<<10)},
	"large chunks beyond the connections":      {clients: 1200, limits: usualLimits, send: chunked(64<<10, untrustedBodyBytes-1, 1)},
	"announced bodies far above the limit":     {always: true, clients: 350, limits: usualLimits, send: announced(500<<20, 24<<20, 64<<10)},
	"sent bodies far above the limit":          {clients: 350, limits: usualLimits, send: chunked(64<<10, 24<<20, 1)},
	"bodies just above the least rate":         {always: true, clients: 600, limits: manyLimits, send: announcedSlowly(64 << 10), goesOn: true, returns: true},
	"long bodies just above the least rate":    {always: true, clients: 200, limits: usualLimits, send: announcedSlowly(untrustedBodyBytes), goesOn: true, returns: true},
	"one-byte chunks at full speed":            {always: true, clients: 200, limits: usualLimits, send: chunked(1, untrustedBodyBytes-1, 4096), goesOn: true, returns: true},
	"small bodies that stop short, few places": {always: true, clients: 300, limits: fewLimits, send: announced(1000, 999, 1000), goesOn: true, returns: true},
	"unknown keys, long bodies":                {clients: 600, limits: usualLimits, send: unknownKey(untrustedBodyBytes, untrustedBodyBytes-1), goesOn: true, returns: true},
	"long bodies that return at once":          {clients: 600, limits: usualLimits, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, 32<<10), goesOn: true, returns: true},
	"chunk extensions without end":             {clients: 200, limits: usualLimits, send: chunkExtension, goesOn: true, returns: true},
	"trailers without end":                     {clients: 200, limits: usualLimits, send: trailers, goesOn: true, returns: true},
	"heads without end":                        {clients: 200, limits: usualLimits, send: headWithoutEnd, goesOn: true, returns: true},
	"short responses that are not read":        {clients: 600, limits: manyLimits, send: unreadResponses, goesOn: true},
	"heads that are not counted":               {clients: 1900, limits: mostLimits, send: manyBytes(12 << 10)},
	"several kinds at once":                    {always: true, clients: 600, limits: usualLimits, send: severalKinds, goesOn: true, returns: true},
}

// Guards against clients that exhaust the memory or the descriptors of a process, or keep it from
// serving ordinary callers.
func TestUntrustedClients(t *testing.T) { runUntrustedKinds(t, untrustedKinds) }

// Guards against crowds of clients whose connections hold more memory than the machine has, with
// what the kernel has received for open and for waiting connections, or that keep all memory and
// all places from ordinary callers.
func TestUntrustedCrowds(t *testing.T) { runUntrustedKinds(t, untrustedCrowds) }

func runUntrustedKinds(t *testing.T, kinds map[string]untrustedKind) {
	t.Helper()
	if *clientKinds == "" {
		t.Skip("runs by itself, in the make targets clients and all-clients")
	}
	bin := buildInstance(t)
	for name, tc := range kinds {
		if tc.always || *clientKinds == "all" {
			t.Run(name, func(t *testing.T) { runUntrusted(t, bin, tc) })
		}
	}
}

// Guards against a crowd that an instance of a small deployment withstands, and all of its
// instances at the same time do not.
func TestCrowdAtEveryInstance(t *testing.T) {
	if *clientKinds != "all" {
		t.Skip("runs by itself, among the make targets in all-clients alone")
	}
	var targets []untrustedTarget
	for _, i := range newUntrustedFleet(t, buildInstance(t), usualLimits, 3) {
		targets = append(targets, i.target())
	}
	crowd := startCrowd(t, untrustedKind{clients: 400, limits: usualLimits, send: severalKinds, goesOn: true, returns: true}, targets...)
	crowd.settle()
	for _, target := range targets {
		checkOrdinary(t, target)
	}
	crowd.check(t)
}

// Guards against a planned stop that hangs, or takes more memory than the machine has, while a
// crowd of clients holds connections and opens new ones.
func TestCrowdDuringStop(t *testing.T) {
	if *clientKinds != "all" {
		t.Skip("runs by itself, among the make targets in all-clients alone")
	}
	i := newUntrustedFleet(t, buildInstance(t), usualLimits, 1)[0]
	p := i.current()
	crowd := startCrowd(t, untrustedKind{clients: 600, limits: usualLimits, send: severalKinds, goesOn: true, returns: true}, i.target())
	crowd.settle()
	j := newJournal()
	p.terminate(j)
	j.check()
	j.report(t)
	if p.waitErr != nil {
		t.Errorf("the process ended with %v, want a planned end", p.waitErr)
	}
	crowd.check(t)
}

// runUntrusted checks an instance while the clients' connections are open.
func runUntrusted(t *testing.T, bin string, tc untrustedKind) {
	t.Helper()
	i := newUntrustedFleet(t, bin, tc.limits, 1)[0]
	p := i.current()
	crowd := startCrowd(t, tc, i.target())
	crowd.settle()
	checkOrdinary(t, i.target())
	if !p.running() {
		t.Error("the process has ended")
	}
	crowd.check(t)
}

// checkOrdinary checks that ordinary requests at an instance are answered.
func checkOrdinary(t *testing.T, target untrustedTarget) {
	t.Helper()
	for _, kind := range []struct {
		path   string
		length int
	}{{target.short, 100}, {target.short, untrustedBodyBytes}, {target.long, 0}} {
		if last := ordinaryRequest(target, kind.path, kind.length); last != "" {
			t.Errorf("an ordinary request %s with a body of %d bytes was not answered at %s: %s", kind.path, kind.length, target.address, last)
		}
	}
}

// newUntrustedFleet starts instances and a replica.
func newUntrustedFleet(t *testing.T, bin string, limits processLimits, n int) []*instance {
	t.Helper()
	store := gooseplatformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	replicaServer := httptest.NewServer(gooseplatformtest.WithStamp("r", http.HandlerFunc(serveUntrusted)))
	t.Cleanup(replicaServer.Close)
	t.Cleanup(replicaServer.CloseClientConnections)
	store.Put("servers/r", fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"leith","slots":2000,"state":"ready","version":"1","cold-left-ms":0,"seq":1,"born":1}`,
		replicaServer.Listener.Addr()))
	var routes []string
	for prefix, kind := range map[string]string{"short": "idempotent", "long": "idempotent", "stream": "stream"} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/%s/","type":%q,"timeout-ms":%d,"goal-ms":60000,"service":"desk","attempts":1}`,
			prefix, callerHost, prefix, kind, untrustedRouteTimeout.Milliseconds()))
	}
	store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"desk"}],"tenants":[{"name":"guild","api-keys":["k1"]}],
"limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, strings.Join(routes, ","), untrustedBodyBytes))
	var instances []*instance
	for k := range n {
		i := &instance{t: t, name: fmt.Sprintf("edge-%d", k), dir: t.TempDir(), limits: limits, callerProxy: newProxy(t), storeProxy: newProxy(t)}
		i.storeProxy.setTarget(storeServer.Listener.Addr().String())
		i.configure(dataCentres[k%len(dataCentres)])
		i.start(bin)
		t.Cleanup(func() { i.current().kill() })
		instances = append(instances, i)
	}
	for _, i := range instances {
		eventually(t, i.name+" is ready", i.isReady)
		limit := unix.Rlimit{Cur: uint64(limits.descriptors), Max: uint64(limits.descriptors)}
		if err := unix.Prlimit(i.current().cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	return instances
}

// buildInstance builds the programs and returns their directory. The race detector multiplies the
// memory of a process, so that the test binary is no measure.
func buildInstance(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{gooseprogramtest.InstanceProgram, gooseprogramtest.SimulatorProgram} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "../../cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	return dir
}

// serveUntrusted is the replica.
func serveUntrusted(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	switch {
	case strings.HasSuffix(r.URL.Path, partialSuffix):
		_, _ = w.Write(bytes.Repeat([]byte("x"), partialResponseBytes))
	case strings.HasPrefix(r.URL.Path, "/long/"):
		_, _ = w.Write(bytes.Repeat([]byte("x"), longResponseBytes))
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range longResponseBytes >> 14 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 16<<10))
		}
	default:
		_, _ = io.WriteString(w, "done")
	}
}

// ordinaryRequest sends a request as a caller within the limits does, again after a refusal. It
// returns what the last attempt got, or an empty string once the request was answered.
func ordinaryRequest(target untrustedTarget, path string, length int) string {
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Transport: transport, Timeout: ordinaryTimeout}
	last := ""
	for started := time.Now(); time.Since(started) < ordinaryTimeout; time.Sleep(ordinaryRetryDelay) {
		r, err := http.NewRequest(http.MethodPost, "http://"+target.address+path, strings.NewReader(strings.Repeat("x", length)))
		if err != nil {
			return err.Error()
		}
		r.Host = target.host
		r.Header.Set("Authorization", "Bearer "+target.key)
		r.Header.Set("X-Attempt-Id", "ordinary")
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return ""
		}
		last = fmt.Sprintf("status %d, %.200q, %v", resp.StatusCode, text, err)
	}
	return last
}
