package gooseentry

import (
	"bytes"

	"github.com/pkg/errors"
)

// span is a half-open byte range of a body.
type span struct{ start, end int }

func (s span) slice(b []byte) []byte { return b[s.start:s.end] }
func (s span) empty() bool           { return s.start == s.end }

var errNotObject = errors.New("body is not a whole JSON object")

// scanObject calls visit for each member of the top-level object with its raw
// key (without quotes) and the range of its value. It builds no tree and finds
// the end of a value by its quotes and brackets only, so the engine must still
// validate the contents of values.
func scanObject(b []byte, visit func(key []byte, value span) error) error {
	i := skipSpace(b, 0)
	if i >= len(b) || b[i] != '{' {
		return errNotObject
	}
	i = skipSpace(b, i+1)
	if i < len(b) && b[i] == '}' {
		return requireEnd(b, i+1)
	}
	for {
		if i >= len(b) || b[i] != '"' {
			return errNotObject
		}
		keyEnd := skipString(b, i)
		if keyEnd < 0 {
			return errNotObject
		}
		key := b[i+1 : keyEnd-1]
		i = skipSpace(b, keyEnd)
		if i >= len(b) || b[i] != ':' {
			return errNotObject
		}
		start := skipSpace(b, i+1)
		end := skipValue(b, start)
		if end <= start {
			return errNotObject
		}
		if err := visit(key, span{start, end}); err != nil {
			return err
		}
		i = skipSpace(b, end)
		if i >= len(b) {
			return errNotObject
		}
		if b[i] == '}' {
			return requireEnd(b, i+1)
		}
		if b[i] != ',' {
			return errNotObject
		}
		i = skipSpace(b, i+1)
	}
}

// scanArray calls visit for each element of the array at v.
func scanArray(b []byte, v span, visit func(e span) error) error {
	i := skipSpace(b, v.start+1)
	if i == v.end-1 {
		return nil
	}
	for {
		end := skipValue(b[:v.end], i)
		if end <= i {
			return errNotObject
		}
		if err := visit(span{i, end}); err != nil {
			return err
		}
		i = skipSpace(b, end)
		if i == v.end-1 {
			return nil
		}
		if i >= v.end || b[i] != ',' {
			return errNotObject
		}
		i = skipSpace(b, i+1)
	}
}

func requireEnd(b []byte, i int) error {
	if skipSpace(b, i) != len(b) {
		return errNotObject
	}
	return nil
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\r' || b[i] == '\t') {
		i++
	}
	return i
}

// skipString returns the index after the string that starts at i, or -1.
func skipString(b []byte, i int) int {
	for j := i + 1; ; {
		k := bytes.IndexByte(b[j:], '"')
		if k < 0 {
			return -1
		}
		k += j
		slashes := 0
		for k-1-slashes > i && b[k-1-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			return k + 1
		}
		j = k + 1
	}
}

// skipValue returns the index after the value that starts at i, or -1.
func skipValue(b []byte, i int) int {
	if i >= len(b) {
		return -1
	}
	switch b[i] {
	case '"':
		return skipString(b, i)
	case '{', '[':
		return skipNested(b, i)
	}
	for j := i; j < len(b); j++ {
		switch b[j] {
		case ',', '}', ']', ' ', '\n', '\r', '\t':
			return j
		}
	}
	return -1
}

func skipNested(b []byte, i int) int {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			if i = skipString(b, i); i < 0 {
				return -1
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
		i++
	}
	return -1
}
