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

// platform answers reads of the list; it is changed between reads only.
type platform struct {
	// tag is empty for a list without entity tags.
	tag, body string
	// status replaces that of the answer if set.
	status int
	full   int
}

func (p *platform) serve(c *fasthttp.RequestCtx) {
	if p.tag != "" {
		c.Response.Header.Set(fasthttp.HeaderETag, p.tag)
	}
	switch {
	case p.status != 0:
		c.SetStatusCode(p.status)
	case p.tag != "" && string(c.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == p.tag:
		c.SetStatusCode(http.StatusNotModified)
	default:
		p.full++
		c.SetBodyString(p.body)
	}
}

func startPlatform(t *testing.T, p *platform) *instanceList {
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

// Guards against a list that is transferred although it is unchanged, and
// against members of an older list: after a change, after a broken or refused
// answer, and where the platform sends no tags or stops to.
func TestInstanceListIsReadOnce(t *testing.T) {
	t.Parallel()
	type step struct {
		platform platform
		// want is the number of members, -1 for an error.
		want, full int
	}
	tests := map[string][]step{
		"unchanged": {
			{platform{tag: `"1"`, body: listOfOne}, 1, 1}, {platform{tag: `"1"`, body: listOfOne}, 1, 0},
		},
		"changed, and back": {
			{platform{tag: `"1"`, body: listOfOne}, 1, 1},
			{platform{tag: `"2"`, body: listOfTwo}, 2, 1},
			{platform{tag: `"2"`, body: listOfTwo}, 2, 0},
			{platform{tag: `"1"`, body: listOfOne}, 1, 1},
		},
		"without tags": {
			{platform{body: listOfOne}, 1, 1}, {platform{body: listOfTwo}, 2, 1},
		},
		"tags end": {
			{platform{tag: `"1"`, body: listOfOne}, 1, 1},
			{platform{body: listOfTwo}, 2, 1},
			{platform{status: http.StatusNotModified}, -1, 0},
		},
		"broken answer": {
			{platform{tag: `"1"`, body: listOfOne}, 1, 1},
			{platform{tag: `"2"`, body: listBroken}, -1, 1},
			{platform{tag: `"2"`, body: listOfTwo}, 2, 1},
		},
		"outage": {
			{platform{tag: `"1"`, body: listOfOne}, 1, 1},
			{platform{tag: `"2"`, status: http.StatusServiceUnavailable}, -1, 0},
			{platform{tag: `"1"`, body: listOfOne}, 1, 0},
		},
		"unchanged before the first list": {
			{platform{status: http.StatusNotModified}, -1, 0},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p platform
			l := startPlatform(t, &p)
			for i, s := range steps {
				p = s.platform
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				members, err := l.Instances(ctx)
				cancel()
				got := len(members)
				if err != nil {
					got = -1
				}
				if got != s.want || p.full != s.full {
					t.Errorf("step %d: got %d members, %v, %d whole answers; want %d and %d", i, got, err, p.full, s.want, s.full)
				}
			}
		})
	}
}

// Guards against a kept list that its reader changes.
func TestInstanceListIsCopied(t *testing.T) {
	t.Parallel()
	l := startPlatform(t, &platform{tag: `"1"`, body: listOfOne})
	for range 3 {
		members, err := l.Instances(t.Context())
		if err != nil || len(members) != 1 || members[0].Instance != goose.InstanceID("a") {
			t.Fatalf("got %v, %v, want instance a", members, err)
		}
		members[0] = goose.Member{}
	}
}
