package gooseentry

import (
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against requests that a stopping instance takes although its drain timeout passes
// before their deadline: they would be cut without a response, orders among them.
func TestRequestsWhileInstanceStops(t *testing.T) {
	tests := map[string]struct {
		path, body string
		header     []string
		left       time.Duration
		want       int
	}{
		"a chat, time enough":    {path: "/v1/chat/completions", body: chatBody, left: 2 * time.Hour, want: http.StatusOK},
		"a chat, too late":       {path: "/v1/chat/completions", body: chatBody, left: time.Minute, want: http.StatusServiceUnavailable},
		"a chat with less time":  {path: "/v1/chat/completions", body: chatBody, header: []string{headerTimeout, "5s"}, left: time.Minute, want: http.StatusOK},
		"an order, too late":     {path: "/services/orders/x", body: "{}", header: []string{headerOrderKey, "k"}, left: time.Minute, want: http.StatusServiceUnavailable},
		"a plain call, too late": {path: "/services/stock/x", body: "{}", left: time.Minute, want: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			engine := goosetest.NewBackend(t, goosetest.Answering(2))
			e := newTestEntry(t, func(o *Options, _ *testEntry) {
				o.StopAt = func() time.Time { return time.Now().Add(tc.left) }
			}, engine)
			got := e.post(t, tc.path, tc.body, tc.header...)
			if got.status != tc.want {
				t.Fatalf("status: got %d, body %s, want %d", got.status, got.body, tc.want)
			}
			if tc.want == http.StatusOK {
				return
			}
			if r := decodeRefusal(t, got.body); r.Code != goose.CodeLeaving || r.Run != goose.RunStateNotRun || got.header.Get("Retry-After") == "" {
				t.Errorf("refusal: got %+v with Retry-After %q, want %s as not run", r, got.header.Get("Retry-After"), goose.CodeLeaving)
			}
			if n := engine.Seen("POST"); n != 0 {
				t.Errorf("requests at the backend server: got %d, want none", n)
			}
		})
	}
}
