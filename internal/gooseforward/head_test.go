package gooseforward

import (
	"net/http"
	"testing"
)

// Guards against bytes that are no response of HTTP and reach the caller as one, and against
// sound responses that are refused.
func TestResponseHeads(t *testing.T) {
	t.Parallel()
	const (
		rest   = "X-Stamp: s\r\nID\r\nContent-Length: 4\r\n\r\ndone"
		second = "HTTP/1.1 200 OK\r\n" + rest
	)
	tests := map[string]struct {
		response string
		want     int
	}{
		"usual":                          {response: second, want: http.StatusOK},
		"without a reason":               {response: "HTTP/1.1 200\r\n" + rest, want: http.StatusOK},
		"empty reason":                   {response: "HTTP/1.1 200 \r\n" + rest, want: http.StatusOK},
		"HTTP/1.0":                       {response: "HTTP/1.0 200 OK\r\n" + rest, want: http.StatusOK},
		"bytes after the body":           {response: second + "HTTP/1.1 500 x\r\n\r\n", want: http.StatusOK},
		"empty value":                    {response: "HTTP/1.1 200 OK\r\nX-Empty:\r\n" + rest, want: http.StatusOK},
		"tab and bytes above ASCII":      {response: "HTTP/1.1 200 OK\r\nX-More: a\tb \xe9\r\n" + rest, want: http.StatusOK},
		"599":                            {response: "HTTP/1.1 599 x\r\n" + rest, want: 599},
		"000 before a success":           {response: "HTTP/1.1 000 x\r\n\r\n" + second, want: http.StatusBadGateway},
		"099 before a success":           {response: "HTTP/1.1 099 x\r\n\r\n" + second, want: http.StatusBadGateway},
		"+20 before a success":           {response: "HTTP/1.1 +20 x\r\n\r\n" + second, want: http.StatusBadGateway},
		"101 before a success":           {response: "HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n" + second, want: http.StatusBadGateway},
		"600":                            {response: "HTTP/1.1 600 x\r\n" + rest, want: http.StatusBadGateway},
		"999":                            {response: "HTTP/1.1 999 x\r\n" + rest, want: http.StatusBadGateway},
		"second space before the status": {response: "HTTP/1.1  200 OK\r\n" + rest, want: http.StatusBadGateway},
		"four digits":                    {response: "HTTP/1.1 0200 OK\r\n" + rest, want: http.StatusBadGateway},
		"bytes after the status":         {response: "HTTP/1.1 200OK\r\n" + rest, want: http.StatusBadGateway},
		"tab after the status":           {response: "HTTP/1.1 200\tOK\r\n" + rest, want: http.StatusBadGateway},
		"control byte in the reason":     {response: "HTTP/1.1 200 O\x00K\r\n" + rest, want: http.StatusBadGateway},
		"bare CR in the reason":          {response: "HTTP/1.1 200 O\rK\r\n" + rest, want: http.StatusBadGateway},
		"another version":                {response: "HTTP/1.2 200 OK\r\n" + rest, want: http.StatusBadGateway},
		"another major version":          {response: "HTTP/2.0 200 OK\r\n" + rest, want: http.StatusBadGateway},
		"empty line before the head":     {response: "\r\n" + second, want: http.StatusBadGateway},
		"folded line":                    {response: "HTTP/1.1 200 OK\r\nX-More: a\r\n b\r\n" + rest, want: http.StatusBadGateway},
		"space before the colon":         {response: "HTTP/1.1 200 OK\r\nX-More : a\r\n" + rest, want: http.StatusBadGateway},
		"line without a colon":           {response: "HTTP/1.1 200 OK\r\nX-More\r\n" + rest, want: http.StatusBadGateway},
		"empty name":                     {response: "HTTP/1.1 200 OK\r\n: a\r\n" + rest, want: http.StatusBadGateway},
		"control byte in a name":         {response: "HTTP/1.1 200 OK\r\nX-\x01More: a\r\n" + rest, want: http.StatusBadGateway},
		"control byte in a value":        {response: "HTTP/1.1 200 OK\r\nX-More: a\x00b\r\n" + rest, want: http.StatusBadGateway},
		"bare CR in a value":             {response: "HTTP/1.1 200 OK\r\nX-More: a\rX-Other: b\r\n" + rest, want: http.StatusBadGateway},
		"two equal lengths":              {response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + rest, want: http.StatusBadGateway},
		"two lengths":                    {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + rest, want: http.StatusBadGateway},
		"lengths in one line":            {response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 4, 4\r\n\r\ndone", want: http.StatusBadGateway},
		"sign before the length":         {response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: +4\r\n\r\ndone", want: http.StatusBadGateway},
		"empty length":                   {response: "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length:\r\n\r\ndone", want: http.StatusBadGateway},
		"length and chunks":              {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\nContent-Length: 14\r\n\r\n4\r\ndone\r\n0\r\n\r\n", want: http.StatusBadGateway},
		"another coding":                 {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nX-Stamp: s\r\nID\r\n\r\ndone", want: http.StatusBadGateway},
		"two codings":                    {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndone\r\n0\r\n\r\n", want: http.StatusBadGateway},
		"chunks in HTTP/1.0":             {response: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndone\r\n0\r\n\r\n", want: http.StatusBadGateway},
		"trailer":                        {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-More\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndone\r\n0\r\nX-More: a\r\n\r\n", want: http.StatusOK},
		"id twice":                       {response: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + rest, want: http.StatusOK},
		"another id after its own":       {response: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Attempt-Id: a2\r\n" + rest, want: http.StatusBadGateway},
		"malformed trailer":              {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndone\r\n0\r\nno trailer\r\n\r\n", want: http.StatusBadGateway},
		"trailer without an end":         {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndone\r\n0\r\nX-More: a\r\n", want: http.StatusBadGateway},
		"chunk without its end":          {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\nID\r\n\r\n4\r\ndoneXX0\r\n\r\n", want: http.StatusBadGateway},
		"head of a later protocol":       {response: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", want: http.StatusBadGateway},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw(tc.response))
			got := h.post("/order/x", "body")
			if got.status != tc.want || got.cut || tc.want != http.StatusBadGateway && got.body != "done" {
				t.Errorf("got status %d, body %q, cut %t, want %d", got.status, got.body, got.cut, tc.want)
			}
			if stamped := got.header.Get("X-Stamp") != ""; stamped != (tc.want != http.StatusBadGateway) {
				t.Errorf("got a response with the replica's stamp: %t, status %d", stamped, got.status)
			}
		})
	}
}

// Guards against chunks that are malformed or cut and count as a complete body.
func TestChunks(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		chunks string
		bad    bool
	}{
		"usual":                      {chunks: "2\r\nok\r\n0\r\n\r\n"},
		"zeros before the size":      {chunks: "002\r\nok\r\n000\r\n\r\n"},
		"extension":                  {chunks: "2;a=b\r\nok\r\n0\r\n\r\n"},
		"trailer":                    {chunks: "2\r\nok\r\n0\r\nA: b\r\n\r\n"},
		"bytes after the end":        {chunks: "2\r\nok\r\n0\r\n\r\n2\r\nko\r\n0\r\n\r\n"},
		"bytes after a chunk":        {chunks: "2\r\nokXX0\r\n\r\n", bad: true},
		"longer than its size":       {chunks: "1\r\nok\r\n0\r\n\r\n", bad: true},
		"sign":                       {chunks: "+2\r\nok\r\n0\r\n\r\n", bad: true},
		"negative":                   {chunks: "-2\r\nok\r\n0\r\n\r\n", bad: true},
		"prefix":                     {chunks: "0x2\r\nok\r\n0\r\n\r\n", bad: true},
		"no size":                    {chunks: "\r\nok\r\n0\r\n\r\n", bad: true},
		"size above all":             {chunks: "ffffffffffffffff2\r\nok\r\n0\r\n\r\n", bad: true},
		"cut before the end":         {chunks: "2\r\nok\r\n", bad: true},
		"cut in the last chunk":      {chunks: "2\r\nok\r\n0", bad: true},
		"cut after the last chunk":   {chunks: "2\r\nok\r\n0\r\n", bad: true},
		"cut in the last line":       {chunks: "2\r\nok\r\n0\r\n\r", bad: true},
		"trailer without an end":     {chunks: "2\r\nok\r\n0\r\nA: b\r\n", bad: true},
		"trailer without a colon":    {chunks: "2\r\nok\r\n0\r\nno trailer\r\n\r\n", bad: true},
		"trailer with control bytes": {chunks: "2\r\nok\r\n0\r\nA: \x00b\r\n\r\n", bad: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"+tc.chunks))
			got := h.post("/order/x", "body")
			if complete := got.status == http.StatusOK && !got.cut; complete == tc.bad || complete && got.body != "ok" {
				t.Errorf("got status %d, cut %t, body %q, want complete %t", got.status, got.cut, got.body, !tc.bad)
			}
		})
	}
}
