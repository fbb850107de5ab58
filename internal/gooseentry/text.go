package gooseentry

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// bytesPerToken is the mean size of a token that the design assumes.
	bytesPerToken = 4
	// blockBytes is the size of a prefix block of 256 tokens.
	blockBytes = 256 * bytesPerToken
	// maxBlocks bounds the hashes in a permit request. A prefix of 64 blocks
	// (16,384 tokens) is long enough to choose between replicas.
	maxBlocks = 64
	// decodeChunkBytes is how much raw text is decoded at a time.
	decodeChunkBytes = 16 << 10
)

// prompt is a prompt's text as ranges of the body. The ranges hold the raw
// contents of JSON strings, which are joined by newlines. The engine gets the
// decoded text. The raw text is never shorter than that, so the token count is
// estimated too high rather than too low.
type prompt struct {
	parts []span
	// hasNonStrings is set if the parts are JSON values other than strings.
	hasNonStrings bool
}

func (p prompt) byteLen() int {
	n := max(0, len(p.parts)-1)
	for _, s := range p.parts {
		n += s.end - s.start
	}
	return n
}

func (p prompt) tokenCount() int { return (p.byteLen() + bytesPerToken - 1) / bytesPerToken }

// promptFromText returns the prompt of a "prompt" value, which is a string or a
// list.
func promptFromText(b []byte, v span) (prompt, error) {
	switch b[v.start] {
	case '"':
		return prompt{parts: []span{unquoted(v)}}, nil
	case '[':
	default:
		return prompt{}, errors.New(`"prompt" is neither text nor a list`)
	}
	p := prompt{}
	err := scanArray(b, v, func(e span) error {
		if b[e.start] != '"' {
			p.hasNonStrings = true
			return nil
		}
		p.parts = append(p.parts, unquoted(e))
		return nil
	})
	if p.hasNonStrings {
		p.parts = []span{v}
	}
	return p, err
}

// promptFromMessages returns the prompt of a list of messages, made of their
// contents.
func promptFromMessages(b []byte, v span) (prompt, error) {
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
				c = unquoted(c)
			}
			p.parts = append(p.parts, c)
			return nil
		}), "message")
	})
	return p, err
}

func unquoted(v span) span { return span{v.start + 1, v.end - 1} }

// decodeTo calls write with successive pieces of the decoded text until write
// returns false.
func (p prompt) decodeTo(b []byte, write func([]byte) bool) {
	for i, s := range p.parts {
		if i > 0 && !write([]byte{'\n'}) {
			return
		}
		for rest := s.slice(b); len(rest) > 0; {
			n := rawChunkLen(rest)
			if !write(unescape(rest[:n])) {
				return
			}
			rest = rest[n:]
		}
	}
}

// rawChunkLen returns how many bytes of a raw text to decode next without
// splitting a character or an escape sequence: at most decodeChunkBytes, and
// less if a backslash is close to that end.
func rawChunkLen(raw []byte) int {
	if len(raw) <= decodeChunkBytes {
		return len(raw)
	}
	// The longest escape sequence is a surrogate pair of 12 bytes.
	n := decodeChunkBytes
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

// unescape decodes the contents of a JSON string. Invalid text is returned
// unchanged and is left to the engine to reject.
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
	out := make([]byte, 0, p.byteLen())
	p.decodeTo(b, func(t []byte) bool {
		out = append(out, t...)
		return true
	})
	return out
}

// blockHashes returns the chained hashes of the prompt's complete blocks. A
// hash covers all decoded text up to the end of its block, as in an engine's
// cache events.
func (p prompt) blockHashes(b []byte) []uint64 {
	n := min(p.byteLen()/blockBytes, maxBlocks)
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
