package gooseentry

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// bytesPerToken is the estimate of the design page.
	bytesPerToken = 4
	// blockBytes is the size of a prefix block: 256 tokens.
	blockBytes = 256 * bytesPerToken
	// maxBlocks bounds the hashes in a permit request; a prefix of 64 blocks
	// (16,384 tokens) tells replicas apart well enough.
	maxBlocks = 64
	// decodeStep is how much raw text is decoded at a time.
	decodeStep = 16 << 10
)

// prompt is a prompt's text as ranges of the body: the inner raw text of JSON
// strings, which are joined by newlines. The engine sees the decoded text; the
// raw one is never shorter, so the estimate of tokens is on the safe side.
type prompt struct {
	parts []span
	// raw is set if the parts are other JSON than strings.
	raw bool
}

func (p prompt) bytes() int {
	n := max(0, len(p.parts)-1)
	for _, s := range p.parts {
		n += s.end - s.start
	}
	return n
}

func (p prompt) tokens() int { return (p.bytes() + bytesPerToken - 1) / bytesPerToken }

// textParts returns the parts of a prompt value: text, or a list of texts.
func textParts(b []byte, v span) (prompt, error) {
	switch b[v.start] {
	case '"':
		return prompt{parts: []span{inner(v)}}, nil
	case '[':
	default:
		return prompt{}, errors.New(`"prompt" is neither text nor a list`)
	}
	p := prompt{}
	err := scanArray(b, v, func(e span) error {
		if b[e.start] != '"' {
			p.raw = true
			return nil
		}
		p.parts = append(p.parts, inner(e))
		return nil
	})
	if p.raw {
		p.parts = []span{v}
	}
	return p, err
}

// messageParts returns the contents of a list of messages.
func messageParts(b []byte, v span) (prompt, error) {
	if b[v.start] != '[' {
		return prompt{}, errors.New(`"messages" is not a list`)
	}
	p := prompt{}
	err := scanArray(b, v, func(e span) error {
		return errors.Wrap(scanObject(b[e.start:e.end], func(key []byte, c span) error {
			if string(key) != "content" {
				return nil
			}
			c = span{e.start + c.start, e.start + c.end}
			if b[c.start] == '"' {
				c = inner(c)
			}
			p.parts = append(p.parts, c)
			return nil
		}), "message")
	})
	return p, err
}

func inner(v span) span { return span{v.start + 1, v.end - 1} }

// decodeTo calls write with the decoded text in pieces until write returns
// false.
func (p prompt) decodeTo(b []byte, write func([]byte) bool) {
	for i, s := range p.parts {
		if i > 0 && !write([]byte{'\n'}) {
			return
		}
		for rest := s.of(b); len(rest) > 0; {
			n := cutRaw(rest)
			if !write(unescape(rest[:n])) {
				return
			}
			rest = rest[n:]
		}
	}
}

// cutRaw returns how much of a raw text to decode next without cutting a
// character or an escape: at most decodeStep bytes, ending before a backslash that is near.
func cutRaw(raw []byte) int {
	if len(raw) <= decodeStep {
		return len(raw)
	}
	// The longest escape is a surrogate pair of 12 bytes.
	n := decodeStep
	i := bytes.IndexByte(raw[n-12:n], '\\')
	if i < 0 {
		for k := 0; k < utf8.UTFMax && !utf8.RuneStart(raw[n]); k++ {
			n--
		}
		return n
	}
	for n = n - 12 + i; n > 0 && raw[n-1] == '\\'; n-- {
	}
	if n == 0 {
		return len(raw)
	}
	return n
}

// unescape decodes the inside of a JSON string; text that is not valid stays
// as it is, for the engine to judge.
func unescape(raw []byte) []byte {
	if bytes.IndexByte(raw, '\\') < 0 {
		return raw
	}
	quoted := make([]byte, 0, len(raw)+2)
	quoted = append(append(append(quoted, '"'), raw...), '"')
	var text string
	if json.Unmarshal(quoted, &text) != nil {
		return raw
	}
	return []byte(text)
}

// text returns the whole decoded prompt.
func (p prompt) text(b []byte) []byte {
	out := make([]byte, 0, p.bytes())
	p.decodeTo(b, func(t []byte) bool {
		out = append(out, t...)
		return true
	})
	return out
}

// hashes returns the chained hashes of the prompt's whole blocks: a hash covers
// all decoded text up to the end of its block, as an engine's cache events do.
func (p prompt) hashes(b []byte) []uint64 {
	n := min(p.bytes()/blockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	free := blockBytes
	p.decodeTo(b, func(t []byte) bool {
		for len(t) >= free && len(hashes) < n {
			_, _ = d.Write(t[:free])
			hashes = append(hashes, d.Sum64())
			t, free = t[free:], blockBytes
		}
		_, _ = d.Write(t)
		free -= len(t)
		return len(hashes) < n
	})
	return hashes
}
