package goosesoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serviceOfKind is the service, or a prefix of its name, that runs each kind of request.
// The route of a probe alternates between the services "desk-a" and "desk-b".
var serviceOfKind = map[kind]string{
	kindLookup: "desk-a", kindOrder: "desk-a", kindStream: "model", kindResumableStream: "model", kindGiantPrompt: "model", kindProbe: "desk",
}

// promptTokens holds the prompt lengths of the request kinds that have a prompt.
var promptTokens = map[kind]int{kindStream: 5_000, kindResumableStream: 40_000, kindGiantPrompt: 250_000}

const (
	callerHost = "soak.example"
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 6 * time.Second
	// cancelProbability is the share of requests that the caller cancels early, after at
	// most maxCancelDelay.
	cancelProbability = 0.1
	maxCancelDelay    = 200 * time.Millisecond
	// newConnectionProbability is the share of requests after which the connection is closed.
	newConnectionProbability = 0.2
	// maxCallerPause is the longest pause of a caller between two requests.
	maxCallerPause = 30 * time.Millisecond
)

var drawnKinds = []kind{kindLookup, kindLookup, kindOrder, kindOrder, kindStream, kindResumableStream, kindGiantPrompt}

// caller sends requests one after the other over keep-alive connections.
type caller struct {
	name    string
	journal *journal
	random  *rand.Rand
	sent    int
	// body is sent with every request; if it is empty, each request gets a random body.
	body string
	// part is the middle part of the caller's prompts.
	part string
	// transport keeps idle connections open until the instance closes them.
	transport *http.Transport
}

func newCaller(name string, seed uint64, j *journal) *caller {
	return &caller{name: name, journal: j, random: rand.New(rand.NewPCG(seed, 7)), transport: &http.Transport{}}
}

// run sends requests to randomly chosen instances until ctx ends.
func (c *caller) run(ctx context.Context, instances []*instance) {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		k := drawnKinds[c.random.IntN(len(drawnKinds))]
		path := fmt.Sprintf("/%s/%d", k, c.sent)
		var cancelAfter time.Duration
		if c.random.Float64() < cancelProbability {
			cancelAfter = time.Duration(c.random.Int64N(int64(maxCancelDelay)))
		}
		c.send(context.Background(), instances[c.random.IntN(len(instances))], k, path, "k1", cancelAfter)
		time.Sleep(time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

// send sends one request and records the response. If cancelAfter is not zero, the caller
// cancels the request after that time.
func (c *caller) send(ctx context.Context, to *instance, k kind, path, key string, cancelAfter time.Duration) *request {
	c.sent++
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: k, method: http.MethodPost, path: path,
		workspace: "guild", timeout: callerTimeout, process: to.current(), sentAt: time.Now(),
	}
	r.body = strings.Repeat("x", c.random.IntN(2000))
	if c.body != "" {
		r.body = c.body
	}
	timeout := callerTimeout
	if cancelAfter > 0 {
		timeout = cancelAfter
	}
	if promptTokens[k] > 0 || c.part != "" {
		r.parts = c.promptParts()
	}
	c.journal.add(r)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, header, body, err := c.exchange(ctx, to.callerProxy.address(), r, key)
	c.journal.withLock(func() {
		r.status, r.responseBody, r.complete, r.respondedAt = status, body, err == nil && status != 0, time.Now()
		r.cancelled = cancelAfter > 0
		if header != nil {
			r.stamp = header.Get("X-Stamp")
			if got := header.Get("X-Attempt-Id"); r.stamp != "" && got != r.id {
				c.journal.violateLocked("own", "%s %s got the response to request %q", k, r.id, got)
			}
		}
	})
	return r
}

// soundParts is the number of middle parts that sound prompts have.
const soundParts = 12

// soundPart returns the n-th middle part of sound prompts.
func soundPart(n int) string { return fmt.Sprintf("50fd%d", n) }

// promptParts returns the parts of a prompt: one that all prompts have, a middle one that some
// others have, and one of its own.
func (c *caller) promptParts() string {
	middle := c.part
	if middle == "" {
		middle = soundPart(c.random.IntN(soundParts))
	}
	return fmt.Sprintf("5c1e:40,%s:160,%s:200", middle, fmt.Sprintf("%x%s", c.sent, c.name))
}

func (c *caller) exchange(ctx context.Context, address string, r *request, key string) (int, http.Header, string, error) {
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return 0, nil, "", err
	}
	q.Host = callerHost
	// net/http retries a request on a new connection if GetBody is set.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Attempt-Id", r.id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.parts != "" {
		q.Header.Set("X-Prompt-Prefix", r.parts)
	}
	if tokens := promptTokens[r.kind]; tokens > 0 {
		q.Header.Set("X-Tokens", fmt.Sprintf("%d,%d", tokens, 100))
	}
	q.Close = c.random.Float64() < newConnectionProbability
	resp, err := c.transport.RoundTrip(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

// probe requests the route that a routing version has added. It records a violation if
// the instance denies a version that it has already served.
func (c *caller) probe(to *instance, version func() int) {
	p := to.current()
	p.mu.Lock()
	newest := p.newestVersion
	p.mu.Unlock()
	for _, v := range []int{version(), newest} {
		if v == 0 {
			continue
		}
		r := c.send(context.Background(), to, kindProbe, fmt.Sprintf("/p%d/x", v), fmt.Sprintf("kv%d", v), 0)
		if to.current() != p {
			return
		}
		// A version keeps the probe route of the version before it.
		inForce := version() <= v+1
		served := r.status == http.StatusOK && r.stamp != ""
		p.mu.Lock()
		if served {
			p.newestVersion = max(p.newestVersion, v)
		}
		p.mu.Unlock()
		denied := r.status == http.StatusNotFound || r.status == http.StatusUnauthorized
		if denied && v <= newest && inForce {
			c.journal.violate("rollback", "%s denied version %d with status %d after it had served that version", to.name, v, r.status)
		}
	}
}
