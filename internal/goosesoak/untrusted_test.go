package goosesoak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

const (
	// untrustedBodyBytes is the longest body that the routing of these tests permits.
	untrustedBodyBytes = 1 << 20
	// longResponseBytes is the length of the responses of the route /long/.
	longResponseBytes = 1 << 20
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

// untrustedCase is a kind of client that is not within the limits, or not in good faith.
type untrustedCase struct {
	// always is true for the kinds that CI runs, one or more of each behaviour: all kinds take a
	// minute.
	always  bool
	clients int
	limits  processLimits
	// send sends what a client sends. The connection stays open afterwards.
	send func(c *untrustedClient)
	// goesOn is true if send returns only when the test is over.
	goesOn bool
}

// Guards against clients that exhaust the memory or the descriptors of a process, or keep it from
// serving ordinary callers.
func TestUntrustedClients(t *testing.T) {
	if *clientKinds == "" {
		t.Skip("runs by itself, in the make targets clients and all-clients")
	}
	bin := buildInstance(t)
	usual := processLimits{descriptors: 1000, memoryMB: 128}
	few := processLimits{descriptors: 400, memoryMB: 128}
	for name, tc := range map[string]untrustedCase{
		"long bodies that stop short":              {always: true, clients: 80, limits: usual, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, untrustedBodyBytes)},
		"long bodies in pieces that stop short":    {clients: 80, limits: usual, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, 16<<10)},
		"short bodies that stop short":             {clients: 240, limits: usual, send: announced(64<<10, 64<<10-1, 64<<10)},
		"large chunks that stop short":             {always: true, clients: 80, limits: usual, send: chunked(64<<10, untrustedBodyBytes-1, 1)},
		"one-byte chunks that stop short":          {always: true, clients: 240, limits: usual, send: chunked(1, 5000, 1000)},
		"one-byte chunks that go on":               {clients: 60, limits: usual, send: chunkedWithoutEnd, goesOn: true},
		"announced bodies far above the limit":     {always: true, clients: 80, limits: usual, send: announced(500<<20, 8<<20, 64<<10)},
		"sent bodies far above the limit":          {clients: 80, limits: usual, send: chunked(64<<10, 16<<20, 1)},
		"connections that never send":              {clients: 100, limits: few, send: func(*untrustedClient) {}},
		"incomplete heads":                         {always: true, clients: 100, limits: few, send: func(c *untrustedClient) { c.write([]byte("POST /short/x HTTP/1.1\r\nHost: soak.")) }},
		"heads of many fields, bodies stop short":  {clients: 350, limits: usual, send: manyFields(15 << 10)},
		"heads above the limit, bodies stop short": {always: true, clients: 350, limits: usual, send: manyFields(30 << 10)},
		"slow readers of long responses":           {always: true, clients: 200, limits: usual, send: func(c *untrustedClient) { c.head("GET", "/long/x", "") }},
		"slow readers that send further requests":  {clients: 80, limits: usual, send: pipelinedRequests},
		"slow readers of streams":                  {clients: 200, limits: usual, send: func(c *untrustedClient) { c.head("GET", "/stream/x", "") }},
	} {
		if tc.always || *clientKinds == "all" {
			t.Run(name, func(t *testing.T) { runUntrusted(t, bin, tc) })
		}
	}
}

// runUntrusted checks an instance while the clients' connections are open.
func runUntrusted(t *testing.T, bin string, tc untrustedCase) {
	t.Helper()
	i := newUntrustedInstance(t, bin, tc.limits)
	p := i.current()
	usage := watchUsage(t, i, p)
	address := fmt.Sprintf("%s:%d", i.address, callerPort)
	stop := make(chan struct{})
	var clients, sent sync.WaitGroup
	for range tc.clients {
		sent.Add(1)
		clients.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			c, err := dialUntrusted(address, stop)
			if err != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			if tc.goesOn {
				done()
			}
			tc.send(c)
			done()
			<-stop
		})
	}
	sent.Wait()
	usage.waitUntilSettled()
	for _, kind := range []struct {
		path   string
		length int
	}{{"/short/x", 100}, {"/short/x", untrustedBodyBytes}, {"/long/x", 0}} {
		if last := ordinaryRequest(address, kind.path, kind.length); last != "" {
			t.Errorf("an ordinary request %s with a body of %d bytes was not answered: %s", kind.path, kind.length, last)
		}
	}
	close(stop)
	clients.Wait()
	if !p.running() {
		t.Error("the process has ended")
	}
	usage.check(t, tc.limits)
}

// newUntrustedInstance starts an instance and a replica.
func newUntrustedInstance(t *testing.T, bin string, limits processLimits) *instance {
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
	i := &instance{t: t, name: "edge-0", dir: t.TempDir(), limits: limits, callerProxy: newProxy(t), storeProxy: newProxy(t)}
	i.storeProxy.setTarget(storeServer.Listener.Addr().String())
	i.configure("leith")
	i.start(bin)
	t.Cleanup(func() { i.current().kill() })
	eventually(t, "the instance is ready", i.isReady)
	limit := unix.Rlimit{Cur: uint64(limits.descriptors), Max: uint64(limits.descriptors)}
	if err := unix.Prlimit(i.current().cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	return i
}

// buildInstance builds the program and returns its directory. The race detector multiplies the
// memory of a process, so that the test binary is no measure.
func buildInstance(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(dir, gooseprogramtest.InstanceProgram), "../../cmd/gooseberryhold")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// serveUntrusted is the replica.
func serveUntrusted(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	switch {
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
func ordinaryRequest(address, path string, length int) string {
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Transport: transport, Timeout: ordinaryTimeout}
	last := ""
	for started := time.Now(); time.Since(started) < ordinaryTimeout; time.Sleep(ordinaryRetryDelay) {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(strings.Repeat("x", length)))
		if err != nil {
			return err.Error()
		}
		r.Host = callerHost
		r.Header.Set("Authorization", "Bearer k1")
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

// untrustedClient is one connection of a client.
type untrustedClient struct {
	conn *net.TCPConn
	stop <-chan struct{}
}

// clientReceiveBytes is the kernel's buffer for what a client does not read.
const clientReceiveBytes = 16 << 10

func dialUntrusted(address string, stop <-chan struct{}) (*untrustedClient, error) {
	dialer := net.Dialer{Timeout: waitTimeout, Control: setReceiveBuffer}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &untrustedClient{conn: conn.(*net.TCPConn), stop: stop}, nil
}

// write reports whether the bytes were written.
func (c *untrustedClient) write(p []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(p)
	return err == nil
}

func (c *untrustedClient) head(method, path, fields string) bool {
	return c.write(fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a\r\n%s\r\n", method, path, callerHost, fields))
}

// announced sends a body with a stated length up to the byte sent, in pieces.
func announced(length, sent, piece int) func(*untrustedClient) {
	return func(c *untrustedClient) {
		ok := c.head("POST", "/short/x", fmt.Sprintf("Content-Length: %d\r\n", length))
		for rest := sent; ok && rest > 0; rest -= piece {
			ok = c.write(make([]byte, min(piece, rest)))
		}
	}
}

// chunked sends a body in chunks, several with each write, without the last chunk.
func chunked(chunk, sent, chunksPerWrite int) func(*untrustedClient) {
	text := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return func(c *untrustedClient) {
		ok := c.head("POST", "/short/x", "Transfer-Encoding: chunked\r\n")
		for rest := sent / chunk; ok && rest > 0; rest -= chunksPerWrite {
			ok = c.write(bytes.Repeat(text, min(chunksPerWrite, rest)))
		}
	}
}

// chunkedWithoutEnd sends chunks of one byte, each in a segment of its own, until the test ends.
func chunkedWithoutEnd(c *untrustedClient) {
	ok := c.head("POST", "/short/x", "Transfer-Encoding: chunked\r\n")
	for ok {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Millisecond):
			ok = c.write([]byte("1\r\nx\r\n"))
		}
	}
}

// manyFields sends a head of many short fields, and a body that stops short.
func manyFields(length int) func(*untrustedClient) {
	var fields strings.Builder
	for n := 0; fields.Len() < length; n++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return func(c *untrustedClient) {
		c.head("POST", "/short/x", fields.String()+"Content-Length: 2\r\n")
		c.write([]byte("x"))
	}
}

// pipelinedRequests sends requests for long responses one after the other.
func pipelinedRequests(c *untrustedClient) {
	for range 5 {
		c.head("GET", "/long/x", "")
	}
}

const (
	// usageInterval is the time between two measurements.
	usageInterval = 50 * time.Millisecond
	// settledMeasurements is the number of equal measurements after which the instance is taken
	// to have read what it reads, and settleTimeout ends the wait for them.
	settledMeasurements = 6
	settleTimeout       = 3 * time.Second
)

// usage is the use of memory and descriptors by a process.
type usage struct {
	stop func()
	// descriptors, queuedBytes and residentBytes are the largest ones that were seen;
	// queuedBytes is what the kernel holds for the connections of callers.
	descriptors, queuedBytes, residentBytes atomic.Int64
	// settled is the number of equal measurements of the kernel's bytes and the descriptors.
	settled atomic.Int64
}

// waitUntilSettled waits until the instance has read what the clients have sent, or does not read
// it any more.
func (u *usage) waitUntilSettled() {
	u.settled.Store(0)
	for started := time.Now(); u.settled.Load() < settledMeasurements && time.Since(started) < settleTimeout; {
		time.Sleep(usageInterval)
	}
}

// watchUsage records the use of a process until check is called.
func watchUsage(t *testing.T, i *instance, p *process) *usage {
	t.Helper()
	u := &usage{}
	ended := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		for last := (measurement{}); ; {
			now := u.record(i, p)
			if u.settled.Add(1); now != last {
				u.settled.Store(0)
			}
			last = now
			select {
			case <-ended:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	u.stop = sync.OnceFunc(func() {
		close(ended)
		wg.Wait()
	})
	t.Cleanup(u.stop)
	return u
}

// measurement is the use at one time.
type measurement struct{ descriptors, queuedBytes int64 }

func (u *usage) record(i *instance, p *process) measurement {
	m := measurement{queuedBytes: queuedBytes(i.address)}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		m.descriptors = int64(len(files))
	}
	u.descriptors.Store(max(u.descriptors.Load(), m.descriptors))
	u.queuedBytes.Store(max(u.queuedBytes.Load(), m.queuedBytes))
	u.residentBytes.Store(max(u.residentBytes.Load(), p.peakMemory()))
	return m
}

// check compares the use with the limits of the process.
func (u *usage) check(t *testing.T, limits processLimits) {
	t.Helper()
	u.stop()
	if got := u.descriptors.Load(); got >= int64(limits.descriptors) {
		t.Errorf("the process used %d descriptors, want less than %d", got, limits.descriptors)
	}
	resident, queued := u.residentBytes.Load()>>20, u.queuedBytes.Load()>>20
	if resident+queued >= int64(limits.memoryMB) {
		t.Errorf("the process used %d MB and the kernel %d MB for its connections, want less than %d MB together", resident, queued, limits.memoryMB)
	}
	t.Logf("at most %d MB, %d MB in the kernel, %d descriptors", resident, queued, u.descriptors.Load())
}

// queuedBytes returns the bytes that the kernel holds for the connections of callers.
func queuedBytes(address string) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(address).To4()
	local := fmt.Sprintf(" %02X%02X%02X%02X:%04X ", ip[3], ip[2], ip[1], ip[0], callerPort)
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); strings.Contains(line, ": "+local[1:]) && len(fields) > 4 && fields[3] != "0A" {
			var tx, rx int64
			_, _ = fmt.Sscanf(fields[4], "%x:%x", &tx, &rx)
			total += tx + rx
		}
	}
	return total
}

// setReceiveBuffer makes the kernel accept little that a client does not read.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBytes)
	})
	return cmp.Or(err, failed)
}
