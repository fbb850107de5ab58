package gooseentry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against dispatchers that do not learn from the responses to requests that a backend
// server leaves or wants a pause, and against requests that are broken off by it.
func TestWishReachesDispatcher(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
		header map[string]string
		want   goose.Wish
	}{
		"plain, leaves":         {path: "/services/stock/count", status: 200, header: map[string]string{"Server-Leaving": "1"}, want: goose.Wish{Leaving: true}},
		"plain, wants a pause":  {path: "/services/stock/count", status: 503, header: map[string]string{"Retry-After": "4"}, want: goose.Wish{Pause: 4 * time.Second}},
		"stream, wants a pause": {path: "/v1/chat/completions", status: 503, header: map[string]string{"Retry-After": "4"}, want: goose.Wish{Pause: 4 * time.Second}},
		"stream, leaves":        {path: "/v1/chat/completions", status: 503, header: map[string]string{"Server-Leaving": "1"}, want: goose.Wish{Leaving: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) {
				for k, v := range tc.header {
					w.Header().Set(k, v)
				}
				w.WriteHeader(tc.status)
				fmt.Fprint(w, "text")
			})
			e := newTestEntry(t, nil, b)
			got := e.post(t, tc.path, chat("sound", "own"))
			if tc.status == http.StatusOK && (got.status != tc.status || got.body != "text") {
				t.Errorf("got %d %q, want the response of the backend server", got.status, got.body)
			}
			e.waitDrained(t)
			reports := e.permits.Reports()
			if len(reports) == 0 || reports[0].Wish() != tc.want {
				t.Errorf("got reports %+v, want the first with %+v", reports, tc.want)
			}
		})
	}
}
