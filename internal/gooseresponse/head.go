package gooseresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// errMalformedHead reports a head that is no response of HTTP/1.1 or HTTP/1.0.
var errMalformedHead = errors.New("the head of the response is malformed")

func malformed(what string, text []byte) error {
	return errors.Wrapf(errMalformedHead, "%s: %.60q", what, text)
}

// maxStatus is the last status of the classes that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// Head is what a head states about its response and the connection.
type Head struct {
	Status int
	// ConnectionHeaders are the names of headers that concern the connection alone. net/http drops
	// the header Connection, which lists them.
	ConnectionHeaders []string
	// old is set for HTTP/1.0, which has no chunks.
	old             bool
	lengths, chunks int
}

// parseHead checks a head, which ends with an empty line. Lines may end with LF alone (RFC 9112,
// section 2.2).
func parseHead(b []byte) (Head, error) {
	line, rest, _ := bytes.Cut(b, []byte("\n"))
	h, err := parseStatusLine(trimLineEnd(line))
	for err == nil {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimLineEnd(line); len(line) == 0 {
			return h, h.checkFraming()
		}
		err = h.addField(line)
	}
	return Head{}, err
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// parseStatusLine accepts a version, one space, three digits from 100 to 599, and either the end
// of the line or a further space and the reason. The status 101 is an error: no request asks for
// another protocol.
func parseStatusLine(line []byte) (Head, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return Head{}, malformed("version", line)
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != 3 || !isDigits(code) {
		return Head{}, malformed("status", line)
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return Head{}, malformed("status", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return Head{}, malformed("reason", line)
	}
	return Head{Status: status, old: string(version) == "HTTP/1.0"}, nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// addField checks a header line. A line that continues the one before it is an error, like a
// space before the colon (RFC 9112, sections 5.1 and 5.2).
func (h *Head) addField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("header name", line)
	}
	text := strings.Trim(string(value), " \t")
	if !httpguts.ValidHeaderFieldValue(text) {
		return malformed("header value", line)
	}
	switch http.CanonicalHeaderKey(string(name)) {
	case "Connection":
		for _, named := range strings.Split(text, ",") {
			h.ConnectionHeaders = append(h.ConnectionHeaders, strings.Trim(named, " \t"))
		}
	case "Content-Length":
		h.lengths++
		if _, err := strconv.ParseUint(text, 10, 63); err != nil {
			return malformed("length", line)
		}
	case "Transfer-Encoding":
		h.chunks++
		if !strings.EqualFold(text, "chunked") {
			return malformed("transfer coding", line)
		}
	}
	return nil
}

// checkFraming returns an error unless a final response has at most one length or one transfer
// coding. Others would end at different bytes for different readers. Interim responses end with
// their head, whatever they state.
func (h Head) checkFraming() error {
	if h.Status < http.StatusOK {
		return nil
	}
	if h.lengths+h.chunks > 1 || h.old && h.chunks > 0 {
		return errors.Wrapf(errMalformedHead, "%d lengths, %d transfer codings", h.lengths, h.chunks)
	}
	return nil
}
