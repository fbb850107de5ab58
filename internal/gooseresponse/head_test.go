package gooseresponse

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
)

// testLimit bounds the heads in these tests.
const testLimit = 8 << 10

// Guards against a status line that a parser takes for something else than its sender, and
// against valid ones that are refused.
func TestStatusLine(t *testing.T) {
	t.Parallel()
	tests := map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 ": true, "HTTP/1.0 404 a b\tc \xe9": true, "HTTP/1.1 599 x": true,
		"HTTP/1.1 200  two spaces": true,
		"":                         false, "HTTP/1.1": false, "HTTP/1.1 ": false, "HTTP/1.1 20": false, "HTTP/1.1 0200 OK": false,
		"HTTP/1.1 000 x": false, "HTTP/1.1 099 x": false, "HTTP/1.1 +20 x": false, "HTTP/1.1 -20 x": false, "HTTP/1.1 2 0 x": false,
		"HTTP/1.1 600 x": false, "HTTP/1.1 999 x": false, "HTTP/1.1 101 x": false, "HTTP/1.1 ２00 x": false, "HTTP/1.1 0x2 x": false,
		"HTTP/1.1  200 OK": false, "HTTP/1.1\t200 OK": false, "HTTP/1.1 200\tOK": false, "HTTP/1.1 200OK": false, " HTTP/1.1 200 OK": false,
		"HTTP/1.1 200 O\rK": false, "HTTP/1.1 200 O\x00K": false, "HTTP/1.1 200 OK\x7f": false, "HTTP/1.1 200 OK\r": false,
		"HTTP/1.2 200 OK": false, "HTTP/2 200 OK": false, "HTTP/2.0 200 OK": false, "http/1.1 200 OK": false, "HTTP/01.1 200 OK": false, "ICY 200 OK": false,
	}
	for line, want := range tests {
		if _, err := NewReader(strings.NewReader(line + "\r\n\r\n")).ReadHead(testLimit); err == nil != want {
			t.Errorf("%q: got error %v, want valid %t", line, err, want)
		}
	}
}

// Guards against interim responses that are taken for the final one or are skipped without a
// bound, and against heads that are cut.
func TestReadHead(t *testing.T) {
	t.Parallel()
	const final, interim = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 x\r\nContent-Length: 5\r\nLink: a\r\n\r\n"
	tests := map[string]struct {
		text string
		want string
		err  error
	}{
		"final":                    {text: final, want: final},
		"LF alone":                 {text: "HTTP/1.1 200 OK\nA: b\n\nok", want: "HTTP/1.1 200 OK\nA: b\n\nok"},
		"interim":                  {text: interim + "HTTP/1.1 100 \r\n\r\n" + final, want: final},
		"interim alone":            {text: interim, err: io.ErrUnexpectedEOF},
		"body after interim":       {text: interim + "hello" + final, err: errMalformedHead},
		"nothing":                  {err: io.ErrUnexpectedEOF},
		"half":                     {text: final[:30], err: io.ErrUnexpectedEOF},
		"head of the length":       {text: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", testLimit-24) + "\r\n\r\nok", want: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", testLimit-24) + "\r\n\r\nok"},
		"head one byte too long":   {text: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", testLimit-23) + "\r\n\r\nok", err: ErrHeadTooLong},
		"interim responses beyond": {text: strings.Repeat(interim, testLimit/len(interim)+1) + final, err: ErrHeadTooLong},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, in := range map[string]io.Reader{
				"whole": strings.NewReader(tc.text), "byte by byte": iotest.OneByteReader(strings.NewReader(tc.text)), "with the end": iotest.DataErrReader(strings.NewReader(tc.text)),
			} {
				r := NewReader(in)
				if _, err := r.ReadHead(testLimit); !errors.Is(err, tc.err) {
					t.Errorf("%s: got error %v, want %v", kind, err, tc.err)
				}
				if tc.err != nil {
					continue
				}
				if got, err := io.ReadAll(r); string(got) != tc.want || err != nil || r.Buffered() != 0 {
					t.Errorf("%s: got %q, error %v, want %q", kind, got, err, tc.want)
				}
			}
		})
	}
}

// statusLinePattern is the status line of RFC 9112, section 4, with the statuses that may come.
var statusLinePattern = regexp.MustCompile(`^HTTP/1\.[01] [2-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n`)

// headTarget checks that an accepted head is a response of HTTP, wherever its packets begin, and
// that both parsers read the same status and the same framing from it.
var headTarget = goosefuzz.Target{
	Runs: 200_000,
	Seeds: [][]any{
		{[]byte("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\ndone")},
		{[]byte("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.0 404 \r\n\r\n")},
		{[]byte("HTTP/1.1 204\nTransfer-Encoding: chunked\nTrailer: A\n\n4\r\ndone\r\n0\r\nA: b\r\n\r\n")},
		{[]byte("HTTP/1.1 099 x\r\n\r\nHTTP/1.1 +20 x\r\n\r\nHTTP/1.1  200 OK\r\nA: b\r\n c\r\n\r\n")},
	},
	Check: checkHead,
}

func checkHead(t *testing.T, b []byte) {
	r := NewReader(bytes.NewReader(b))
	_, err := r.ReadHead(testLimit)
	if _, slow := NewReader(iotest.OneByteReader(bytes.NewReader(b))).ReadHead(testLimit); (slow == nil) != (err == nil) {
		t.Errorf("got error %v byte by byte, otherwise %v", slow, err)
	}
	if err != nil {
		return
	}
	text, _ := io.ReadAll(r)
	if !statusLinePattern.Match(text) {
		t.Errorf("got the response %.60q, want a status line", text)
	}
	// The response is never used, and its body needs no close.
	std, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil) //nolint:bodyclose
	if err != nil {
		return
	}
	for name, values := range std.Header {
		for _, v := range values {
			if strings.ContainsAny(name+v, "\r\n\x00") {
				t.Errorf("got the header %q: %q", name, v)
			}
		}
	}
	var fast fasthttp.ResponseHeader
	if err := fast.Read(bufio.NewReaderSize(bytes.NewReader(text), testLimit)); err != nil {
		return
	}
	hasBody := std.StatusCode != http.StatusNoContent && std.StatusCode != http.StatusNotModified
	if fast.StatusCode() != std.StatusCode || hasBody && max(fast.ContentLength(), -1) != int(std.ContentLength) ||
		hasBody && (fast.ContentLength() == -1) != (len(std.TransferEncoding) > 0) {
		t.Errorf("got status %d, length %d from fasthttp, %d, %d, codings %q from net/http",
			fast.StatusCode(), fast.ContentLength(), std.StatusCode, std.ContentLength, std.TransferEncoding)
	}
}

func FuzzHead(f *testing.F)     { headTarget.Fuzz(f) }
func TestFuzzHead(t *testing.T) { headTarget.Test(t) }
