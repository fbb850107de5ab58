package gooseproof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecallertest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// Guards against planned stops in which a request that an instance has accepted gets neither a
// complete response nor a true refusal: on new and on kept connections, with bodies of known
// length and in chunks, sent fast and slowly, orders among them. Two instances stop one soon
// after the other.
func TestPlannedStop(t *testing.T) {
	const (
		drainDelay, drainTimeout = 2 * time.Second, 8 * time.Second
		callers                  = 24
		maxFirstPause            = 2500 * time.Millisecond
		maxStopGap               = 3 * time.Second
	)
	f := newTestFleet(t, func(s *goosefleet.Spec) {
		s.Settings = map[string]any{"drain-delay": drainDelay.String(), "drain-timeout": drainTimeout.String()}
		s.Services[1].Flags = []string{"--latency", "700ms"}
	})
	f.warmUp()
	var load, stops sync.WaitGroup
	var served, refused, crossed atomic.Int64
	for n, i := range f.Instances[:2] {
		var signalled atomic.Pointer[time.Time]
		sinceSignal := func() time.Duration {
			if at := signalled.Load(); at != nil {
				return time.Since(*at)
			}
			return 0
		}
		for k := range callers {
			c := &stopCaller{f: f, name: fmt.Sprintf("stop-%d-%d", n, k), random: rand.New(rand.NewPCG(uint64(n), uint64(k)))}
			load.Go(func() {
				for sinceSignal() < drainDelay-100*time.Millisecond {
					conn, err := goosecallertest.Dial(i.Caller, c.random)
					if err != nil {
						t.Errorf("got no connection %s after SIGTERM: %v", sinceSignal(), err)
						return
					}
					if c.random.IntN(3) == 0 {
						time.Sleep(time.Duration(c.random.Int64N(int64(maxFirstPause))))
					}
					for kept, reusable := false, true; reusable; kept = true {
						request := c.next()
						resp := conn.Exchange(request)
						reusable = resp.Reusable
						switch {
						case resp.Err != nil && kept && resp.Crossed():
							crossed.Add(1)
						case resp.Err != nil:
							t.Errorf("%s (chunked %t, slow %t, kept connection %t) lost %s after SIGTERM: status %d, %v",
								request.Path, request.Chunked, request.Slow, kept, sinceSignal(), resp.Status, resp.Err)
						case resp.Status == http.StatusOK:
							served.Add(1)
						default:
							refused.Add(1)
							c.checkRefusal(resp)
						}
					}
				}
			})
		}
		stops.Go(func() {
			time.Sleep(time.Second + time.Duration(n)*rand.N(maxStopGap))
			now := time.Now()
			signalled.Store(&now)
			if err := f.Terminate(i.Name); err != nil {
				t.Error(err)
			}
			if err := f.Wait(f.ctx, i.Name); err != nil {
				t.Errorf("%s: got exit %v, want 0", i.Name, err)
			}
		})
	}
	stops.Wait()
	load.Wait()
	t.Logf("%d served, %d refused, %d crossed the end of their connection", served.Load(), refused.Load(), crossed.Load())
}

// stopCaller draws the requests of one caller.
type stopCaller struct {
	f      *testFleet
	name   string
	random *rand.Rand
	sent   int
}

// next draws a request.
func (c *stopCaller) next() goosecallertest.Request {
	c.sent++
	name := fmt.Sprintf("%s-%d", c.name, c.sent)
	drawn := c.f.drawCall(c.random, name)
	path, header, body := drawn.request()
	header["Authorization"] = "Bearer " + c.f.Workspaces[0].Key
	return goosecallertest.Request{
		Method: http.MethodPost, Path: path, Host: "entry", Header: header, Body: string(body),
		Chunked: c.random.IntN(2) == 0, Slow: c.random.IntN(3) == 0, Timeout: drawn.timeout + responseMargin,
	}
}

// checkRefusal checks that a response other than a success is a refusal that says whether the
// request has run.
func (c *stopCaller) checkRefusal(resp goosecallertest.Response) {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(resp.Body), &refusal); err != nil || refusal.Error.Run == "" {
		c.f.t.Errorf("got status %d with the body %.200q, want a refusal", resp.Status, resp.Body)
	}
	if refusal.Error.Run == "not-run" && resp.Status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		c.f.t.Errorf("got the refusal %.200q without Retry-After", resp.Body)
	}
}
