package gooseengine

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against headers about further requests that are ignored in some kinds of responses,
// and against values that are not numbers of seconds.
func TestWish(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		status int
		header http.Header
		want   goose.Wish
	}{
		"none":                        {status: 200},
		"leaves":                      {status: 200, header: http.Header{headerLeaving: {"1"}}, want: goose.Wish{Leaving: true}},
		"leaves with a failure":       {status: 500, header: http.Header{headerLeaving: {"1"}}, want: goose.Wish{Leaving: true}},
		"another value":               {status: 200, header: http.Header{headerLeaving: {"0"}}},
		"pause":                       {status: 503, header: http.Header{"Retry-After": {"2.5"}}, want: goose.Wish{Pause: 2500 * time.Millisecond}},
		"the longer one":              {status: 503, header: http.Header{"Retry-After": {"2", "7", "x"}}, want: goose.Wish{Pause: 7 * time.Second}},
		"leaves and wants a pause":    {status: 503, header: http.Header{headerLeaving: {"1"}, "Retry-After": {"1"}}, want: goose.Wish{Leaving: true, Pause: time.Second}},
		"pause without a 503":         {status: 429, header: http.Header{"Retry-After": {"2"}}},
		"negative":                    {status: 503, header: http.Header{"Retry-After": {"-2"}}},
		"a date":                      {status: 503, header: http.Header{"Retry-After": {"Sat, 05 Dec 2026 17:00:00 GMT"}}},
		"no number":                   {status: 503, header: http.Header{"Retry-After": {"NaN"}}},
		"more than a duration can be": {status: 503, header: http.Header{"Retry-After": {"1e300"}}, want: goose.Wish{Pause: 24 * time.Hour}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				for k, v := range tc.header {
					w.Header()[k] = v
				}
				w.WriteHeader(tc.status)
				fmt.Fprintln(w, `engine_process_info{process="p1"} 1`)
			})
			ctx := context.Background()
			for kind, call := range map[string]func() (goose.Wish, error){
				"plain call": func() (goose.Wish, error) {
					r, err := Plain{}.Call(ctx, attemptAt(address))
					return r.Wish, err
				},
				"load report": func() (goose.Wish, error) {
					r, err := OpenAI{}.Load(ctx, address)
					return r.Wish, err
				},
				"start of a stream": func() (goose.Wish, error) {
					s, err := OpenAI{}.Start(ctx, attemptAt(address))
					if err == nil {
						_ = s.Close()
					}
					return tc.want, err
				},
			} {
				got, err := call()
				var status *goose.StatusError
				switch {
				case errors.As(err, &status):
					got = status.Wish
				case err != nil:
					t.Errorf("%s: got error %v", kind, err)
				}
				if got != tc.want {
					t.Errorf("%s: got %+v, want %+v", kind, got, tc.want)
				}
			}
		})
	}
}
