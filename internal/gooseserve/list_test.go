package gooseserve

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// fakePlatform serves the list of instances. It is changed only between reads.
type fakePlatform struct {
	// tag is empty for a list without entity tags.
	tag, body string
	// status replaces the response's status if it is set.
	status        int
	fullResponses int
}

func (p *fakePlatform) serve(c *fasthttp.RequestCtx) {
	if p.tag != "" {
		c.Response.Header.Set(fasthttp.HeaderETag, p.tag)
	}
	switch {
	case p.status != 0:
		c.SetStatusCode(p.status)
	case p.tag != "" && string(c.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == p.tag:
		c.SetStatusCode(http.StatusNotModified)
	default:
		p.fullResponses++
		c.SetBodyString(p.body)
	}
}

func startFakePlatform(t *testing.T, p *fakePlatform) *instanceList {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: p.serve}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = s.Shutdown()
		<-done
	})
	return newInstanceList("http://" + ln.Addr().String() + "/v1/instances")
}

const (
	listOfOne  = `{"instances":[{"name":"a","data-centre":"d","address":"127.0.0.1:1","state":"live"}]}`
	listOfTwo  = `{"instances":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]}`
	listBroken = `{"instances":[{"name":"a"`
)

// Guards against the transfer of an unchanged list, and against members of an
// outdated list: after a change, after an invalid or failed response, and where
// the platform sends no entity tags or stops sending them.
func TestUnchangedInstanceListIsNotTransferred(t *testing.T) {
	t.Parallel()
	type step struct {
		platform fakePlatform
		// want is the number of members, -1 for an error.
		want, full int
	}
	tests := map[string][]step{
		"unchanged": {
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1}, {fakePlatform{tag: `"1"`, body: listOfOne}, 1, 0},
		},
		"changed and changed back": {
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1},
			{fakePlatform{tag: `"2"`, body: listOfTwo}, 2, 1},
			{fakePlatform{tag: `"2"`, body: listOfTwo}, 2, 0},
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1},
		},
		"without tags": {
			{fakePlatform{body: listOfOne}, 1, 1}, {fakePlatform{body: listOfTwo}, 2, 1},
		},
		"tags removed": {
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1},
			{fakePlatform{body: listOfTwo}, 2, 1},
			{fakePlatform{status: http.StatusNotModified}, -1, 0},
		},
		"invalid response": {
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1},
			{fakePlatform{tag: `"2"`, body: listBroken}, -1, 1},
			{fakePlatform{tag: `"2"`, body: listOfTwo}, 2, 1},
		},
		"outage": {
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 1},
			{fakePlatform{tag: `"2"`, status: http.StatusServiceUnavailable}, -1, 0},
			{fakePlatform{tag: `"1"`, body: listOfOne}, 1, 0},
		},
		"unchanged before the first list": {
			{fakePlatform{status: http.StatusNotModified}, -1, 0},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p fakePlatform
			l := startFakePlatform(t, &p)
			for i, s := range steps {
				p = s.platform
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				members, err := l.Instances(ctx)
				cancel()
				got := len(members)
				if err != nil {
					got = -1
				}
				if got != s.want || p.fullResponses != s.full {
					t.Errorf("step %d: got %d members, %v, %d full responses; want %d and %d", i, got, err, p.fullResponses, s.want, s.full)
				}
			}
		})
	}
}

// Guards against a cached list that the caller of Instances can change.
func TestInstanceListReturnsCopy(t *testing.T) {
	t.Parallel()
	l := startFakePlatform(t, &fakePlatform{tag: `"1"`, body: listOfOne})
	for range 3 {
		members, err := l.Instances(t.Context())
		if err != nil || len(members) != 1 || members[0].Instance != goose.InstanceID("a") {
			t.Fatalf("got %v, %v, want instance a", members, err)
		}
		members[0] = goose.Member{}
	}
}
