package gooseforward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// respond responds with a status, a content type and a body.
func respond(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a caller that receives anything but the rest of its stream after a stream
// has begun and broken off: the text or the head of another replica's failure, or an end
// that looks complete.
func TestResponsesAfterBrokenStream(t *testing.T) {
	t.Parallel()
	const stream = "text/event-stream"
	tests := map[string]struct {
		second http.HandlerFunc
		// want are the events that the caller receives; complete is set if the stream must
		// end as complete, otherwise it must be cut.
		want     string
		complete bool
	}{
		"the rest":                  {second: events(4, 6, false), want: eventText(6), complete: true},
		"no further event":          {second: respond(http.StatusOK, stream, ""), want: eventText(3), complete: true},
		"earlier events alone":      {second: events(1, 3, false), want: eventText(3), complete: true},
		"404":                       {second: respond(http.StatusNotFound, "text/plain", "no such page"), want: eventText(3)},
		"400 with events":           {second: respond(http.StatusBadRequest, stream, "id: 4\ndata: 4\n\n"), want: eventText(3)},
		"redirect":                  {second: respond(http.StatusFound, "", "moved"), want: eventText(3)},
		"500":                       {second: fail, want: eventText(3)},
		"declined":                  {second: decline, want: eventText(3)},
		"another process":           {second: misdirect, want: eventText(3)},
		"disconnected":              {second: disconnect, want: eventText(3)},
		"another request":           {second: respondForOther, want: eventText(3)},
		"204":                       {second: respond(http.StatusNoContent, "", ""), want: eventText(3)},
		"206":                       {second: respond(http.StatusPartialContent, stream, "id: 4\ndata: 4\n\n"), want: eventText(3)},
		"another content type":      {second: respond(http.StatusOK, "application/json", `{"error":"x"}`+"\n\n"), want: eventText(3)},
		"no event":                  {second: respond(http.StatusOK, stream, "an error\n\n"), want: eventText(3)},
		"event without id":          {second: respond(http.StatusOK, stream, "data: error\n\n"), want: eventText(3)},
		"missing event":             {second: events(5, 6, false), want: eventText(3)},
		"second head in the stream": {second: respond(http.StatusOK, stream, "id: 4\ndata: 4\n\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n"), want: eventText(4)},
		"head alone":                {second: raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Type: text/event-stream\r\n\r\n"), want: eventText(3)},
		"half of a head":            {second: raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Ty"), want: eventText(3)},
		"no stamp":                  {second: raw("HTTP/1.1 200 OK\r\nID\r\nContent-Length: 15\r\n\r\nid: 4\ndata: 4\n\n"), want: eventText(3)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, events(1, 3, true), tc.second)
			got := h.post("/stream/x", "body")
			if got.status != http.StatusOK || got.body != tc.want || got.cut == tc.complete {
				t.Errorf("got status %d, cut %t, body %q, want complete %t, %q", got.status, got.cut, got.body, tc.complete, tc.want)
			}
			if got, want := got.header.Get("X-Stamp"), "stamp-i-0"; got != want {
				t.Errorf("got stamp %q, want %q", got, want)
			}
		})
	}
}

// Guards against a response that ends early, at any byte, and reaches the caller as a
// complete success.
func TestResponsesCutAtEveryByte(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	const stamp = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\n"
	tests := map[string]struct {
		path, response string
		body           string
		// mayEnd are the shorter prefixes of the response that no caller can tell from a
		// complete one: the connection ends a stream, and the prefix ends with an event.
		mayEnd []string
	}{
		"length":          {path: "/order/x", response: stamp + "Content-Length: 4\r\n\r\ndone", body: "done"},
		"neither":         {path: "/order/x", response: stamp + "\r\ndone", body: "done", mayEnd: []string{stamp + "\r\nd", stamp + "\r\ndo", stamp + "\r\ndon", stamp + "\r\n"}},
		"chunks":          {path: "/order/x", response: stamp + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", body: "done"},
		"stream, length":  {path: "/whole/x", response: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", stamp, len(events), events), body: events},
		"stream, chunks":  {path: "/whole/x", response: stamp + "Transfer-Encoding: chunked\r\n\r\n" + chunked, body: events},
		"stream, neither": {path: "/whole/x", response: stamp + "\r\n" + events, body: events, mayEnd: []string{stamp + "\r\nid: 1\ndata: 1\n\n"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := range len(tc.response) {
				prefix := tc.response[:n]
				if slices.Contains(tc.mayEnd, prefix) {
					continue
				}
				h := newHarness(t, raw(prefix))
				if got := h.post(tc.path, "body"); got.status < http.StatusMultipleChoices && !got.cut {
					t.Errorf("cut after %d bytes: got status %d, complete body %q, want no success", n, got.status, got.body)
				}
			}
			h := newHarness(t, raw(tc.response))
			if got := h.post(tc.path, "body"); got.status != http.StatusOK || got.cut || got.body != tc.body {
				t.Errorf("got status %d, cut %t, body %q, want %q", got.status, got.cut, got.body, tc.body)
			}
		})
	}
}

// Guards against a success that callers do not accept, since it does not have the platform's
// stamp, and against an empty stream as a success.
func TestSuccessesThatAreNone(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path     string
		response string
		want     int
	}{
		"plain, no stamp":       {path: "/look/x", response: "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 4\r\n\r\ndone", want: http.StatusBadGateway},
		"stream, no stamp":      {path: "/stream/x", response: "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n", want: http.StatusBadGateway},
		"stream, empty":         {path: "/stream/x", response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 0\r\n\r\n", want: http.StatusBadGateway},
		"stream, head alone":    {path: "/stream/x", response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\n\r\n", want: http.StatusBadGateway},
		"stream, comment alone": {path: "/stream/x", response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 8\r\n\r\n: ping\n\n", want: http.StatusBadGateway},
		"stream, document":      {path: "/stream/x", response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Type: text/html\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n", want: http.StatusBadGateway},
		"plain, empty":          {path: "/look/x", response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 0\r\n\r\n", want: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw(tc.response))
			if got := h.post(tc.path, "body"); got.status != tc.want || got.cut {
				t.Errorf("got status %d, cut %t, body %q, want status %d", got.status, got.cut, got.body, tc.want)
			}
		})
	}
}

// Guards against stalled replicas that keep their caller waiting because they send bytes
// that are no progress, and against slow streams that are cut although they make progress.
func TestStalledStreams(t *testing.T) {
	t.Parallel()
	// The silence that the route /swift/ allows is 1.2 s.
	tests := map[string]struct {
		// repeat is sent each 0.3 s, until the response has lasted for 4 s.
		repeat func(i int) string
		// resumed is set if another replica has to continue the stream.
		resumed bool
	}{
		"comments":        {repeat: func(int) string { return ": ping\n\n" }, resumed: true},
		"repeated events": {repeat: func(int) string { return "id: 1\ndata: 1\n\n" }, resumed: true},
		"a byte":          {repeat: func(int) string { return "d" }, resumed: true},
		"slow events":     {repeat: func(i int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", i, i) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
				for i := 2; i < 14 && r.Context().Err() == nil; i++ {
					_ = http.NewResponseController(w).Flush()
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(w, tc.repeat(i))
				}
			}
			h := newHarness(t, slow, events(2, 13, false))
			got := h.post("/swift/x", "body")
			body := strings.ReplaceAll(got.body, ": ping\n\n", "")
			if got.status != http.StatusOK || got.cut || body != eventText(13) {
				t.Errorf("got status %d, cut %t, body %q, want 13 events", got.status, got.cut, got.body)
			}
			if resumed := h.reached("i-1") > 0; resumed != tc.resumed {
				t.Errorf("got a stream that another replica continued: %t, want %t", resumed, tc.resumed)
			}
		})
	}
}

// Guards against a line of a stream that the caller reads as several: a bare CR ends a line for
// it, so that it would see events that were not checked.
func TestBareCRInStream(t *testing.T) {
	t.Parallel()
	const first = "id: 1\ndata: 1\n\n"
	tests := map[string]struct {
		stream string
		want   string
	}{
		"CRLF":                 {stream: strings.ReplaceAll(first, "\n", "\r\n"), want: strings.ReplaceAll(first, "\n", "\r\n")},
		"in a line":            {stream: first + "data: 2\rid: 9\n\n", want: first},
		"two in a line":        {stream: first + "data: 2\r\rdata: 3\n\n", want: first},
		"before CRLF":          {stream: first + "data: 2\r\r\ndata: 3\n\n", want: first},
		"in a comment":         {stream: first + ": x\rdata: 2\n\n", want: first},
		"alone at the line":    {stream: first + "\r\r\n" + first, want: first},
		"lines that end in CR": {stream: "id: 1\rdata: 1\r\r", want: ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, respond(http.StatusOK, "text/event-stream", tc.stream))
			got := h.post("/whole/x", "body")
			complete := tc.stream == tc.want
			switch {
			case tc.want == "":
				if got.status < http.StatusMultipleChoices {
					t.Errorf("got status %d, body %q, want a failure", got.status, got.body)
				}
			case got.status != http.StatusOK || got.body != tc.want || got.cut == complete:
				t.Errorf("got status %d, cut %t, body %q, want complete %t, %q", got.status, got.cut, got.body, complete, tc.want)
			}
		})
	}
}
