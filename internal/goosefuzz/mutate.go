package goosefuzz

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"

	"github.com/pkg/errors"
)

// maxGrowth bounds how much longer than the longest seed a mutated []byte may be. Longer
// inputs take more time and reach no other code in the decoders.
const maxGrowth = 4 << 10

// boundaryNumbers are numbers at the bounds of integer types and of lengths.
var boundaryNumbers = []int64{
	-1 << 63, -1 << 31, -1 << 15, -129, -128, -1, 0, 1, 2, 7, 8, 10, 16, 23, 24, 32, 64, 100, 127, 128, 255, 256, 1000, 1024, 4096,
	1<<15 - 1, 1 << 15, 1<<16 - 1, 1 << 16, 1<<31 - 1, 1 << 31, 1<<32 - 1, 1 << 32, 1<<53 + 1, 1<<63 - 1,
}

// tokenPattern splits text into words, quoted strings, whitespace and single bytes.
var tokenPattern = regexp.MustCompile(`(?s)[A-Za-z0-9_.-]+|"(?:[^"\\]|\\.)*"|[ \t\r\n]+|.`)

// formatTokens are tokens of JSON, YAML and other formats in use, which the seeds may lack.
var formatTokens = []string{
	"null", "true", "false", "{}", "[]", `""`, "''", "~", "\n", "\r\n", "\n\n", "---\n", "- ", "? ", ": ", "|", ">", "&a ", "*a", "!!str ",
	`\u0000`, `\ud800`, `\"`, "\x00", "\xff", "\xef\xbb\xbf", "é", "1e400", "-0", "0x10", "\xa0", "\xbf", "\x9f", "\xf6", "\xf7", "\xfb",
}

// mutator makes inputs by mutating seeds. It is immutable after newMutator.
type mutator struct {
	seeds [][]any
	// tokens are the formatTokens and the tokens of the []byte arguments of all seeds.
	tokens    [][]byte
	maxLength int
}

func newMutator(seeds [][]any) *mutator {
	m := &mutator{seeds: seeds, maxLength: maxGrowth}
	seen := map[string]bool{}
	add := func(t []byte) {
		if !seen[string(t)] {
			seen[string(t)] = true
			m.tokens = append(m.tokens, t)
		}
	}
	for _, w := range formatTokens {
		add([]byte(w))
	}
	for _, s := range seeds {
		for _, v := range s {
			b, ok := v.([]byte)
			if !ok {
				continue
			}
			m.maxLength = max(m.maxLength, len(b)+maxGrowth)
			for _, t := range tokenPattern.FindAll(b, -1) {
				add(t)
			}
		}
	}
	return m
}

// next returns a seed with at least one mutated argument.
func (m *mutator) next(rng *rand.Rand) []any {
	input := slices.Clone(m.seeds[rng.IntN(len(m.seeds))])
	for {
		i := rng.IntN(len(input))
		input[i] = m.mutate(rng, input[i], i)
		if rng.IntN(2) == 0 {
			return input
		}
	}
}

// mutate returns a mutation of v, which is argument i of an input.
func (m *mutator) mutate(rng *rand.Rand, v any, i int) any {
	switch v := v.(type) {
	case []byte:
		b := slices.Clone(v)
		for {
			b = m.mutateOnce(rng, b, i)
			if rng.IntN(3) == 0 {
				return b[:min(len(b), m.maxLength)]
			}
		}
	case byte:
		return byte(mutateNumber(rng, int64(v)))
	case int:
		return int(mutateNumber(rng, int64(v)))
	}
	panic(errors.Errorf("an argument of type %T cannot be mutated", v))
}

func mutateNumber(rng *rand.Rand, n int64) int64 {
	switch rng.IntN(4) {
	case 0:
		return n + rng.Int64N(9) - 4
	case 1:
		return rng.Int64N(256)
	case 2:
		return int64(rng.Uint64())
	}
	return boundaryNumbers[rng.IntN(len(boundaryNumbers))]
}

// mutateOnce applies one mutation to b, which it may overwrite.
func (m *mutator) mutateOnce(rng *rand.Rand, b []byte, arg int) []byte {
	from, to := span(rng, b)
	switch rng.IntN(15) {
	case 0: // flip a bit
		if len(b) > 0 {
			b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
		}
	case 1: // set a byte
		if len(b) > 0 {
			b[rng.IntN(len(b))] = byte(rng.Uint32())
		}
	case 2: // insert random bytes
		return slices.Insert(b, from, binary.BigEndian.AppendUint64(nil, rng.Uint64())[:1+rng.IntN(8)]...)
	case 3: // delete bytes
		return slices.Delete(b, from, to)
	case 4: // delete whole tokens
		from, to = tokenSpan(rng, b)
		return slices.Delete(b, from, to)
	case 5: // repeat a block
		block := slices.Repeat(b[from:to], 1+rng.IntN(1<<rng.IntN(8)))
		return slices.Insert(b, to, block[:min(len(block), m.maxLength)]...)
	case 6: // insert a part of a seed
		other := m.drawArgument(rng, arg)
		x, y := tokenSpan(rng, other)
		return slices.Insert(b, from, other[x:y]...)
	case 7: // splice with a seed
		other := m.drawArgument(rng, arg)
		return append(b[:from:from], other[rng.IntN(len(other)+1):]...)
	case 8: // insert a token
		return slices.Insert(b, from, m.drawToken(rng)...)
	case 9: // replace tokens
		from, to = tokenSpan(rng, b)
		return slices.Replace(b, from, to, m.drawToken(rng)...)
	case 10: // replace a number in text, or insert one
		n := strconv.AppendInt(nil, mutateNumber(rng, 0), 10)
		from, to = digitSpan(b, from)
		return slices.Replace(b, from, to, n...)
	case 11: // overwrite with a binary number of 1, 2, 4 or 8 bytes
		n := binary.BigEndian.AppendUint64(nil, uint64(mutateNumber(rng, 0)))[8-1<<rng.IntN(4):]
		return slices.Replace(b, from, min(from+len(n), len(b)), n...)
	case 12: // empty a pair of brackets or quotes
		from, to = innerSpan(b, from)
		return slices.Delete(b, from, to)
	case 13: // delete a line
		from, to = lineSpan(b, from)
		return slices.Delete(b, from, to)
	case 14: // move or repeat a line
		from, to = lineSpan(b, from)
		text := slices.Clone(b[from:to])
		if rng.IntN(2) == 0 {
			b = slices.Delete(b, from, to)
		}
		at, _ := lineSpan(b, rng.IntN(len(b)+1))
		return slices.Insert(b, at, text...)
	}
	return b
}

// drawArgument draws a seed and returns its argument arg.
func (m *mutator) drawArgument(rng *rand.Rand, arg int) []byte {
	return m.seeds[rng.IntN(len(m.seeds))][arg].([]byte)
}

func (m *mutator) drawToken(rng *rand.Rand) []byte { return m.tokens[rng.IntN(len(m.tokens))] }

// span draws a part of b; short parts are more frequent.
func span(rng *rand.Rand, b []byte) (from, to int) {
	from = rng.IntN(len(b) + 1)
	return from, min(from+1+rng.IntN(1<<rng.IntN(8)), len(b))
}

// tokenSpan draws a part of b that begins and ends at the bounds of words and whitespace.
func tokenSpan(rng *rand.Rand, b []byte) (from, to int) {
	from, to = span(rng, b)
	for from > 0 && from < len(b) && sameToken(b[from-1], b[from]) {
		from--
	}
	for to > 0 && to < len(b) && sameToken(b[to-1], b[to]) {
		to++
	}
	return from, to
}

// sameToken reports whether two adjacent bytes belong to one word or to one run of
// whitespace.
func sameToken(a, b byte) bool { return isWord(a) && isWord(b) || isBlank(a) && isBlank(b) }

func isWord(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '-' || c == '.'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
func isBlank(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// digitSpan returns the first run of digits from position i on, or an empty part.
func digitSpan(b []byte, i int) (from, to int) {
	for from = i; from < len(b) && !isDigit(b[from]); from++ {
	}
	for to = from; to < len(b) && isDigit(b[to]); to++ {
	}
	return from, to
}

// lineSpan returns the line around position i, including its newline.
func lineSpan(b []byte, i int) (from, to int) {
	from = bytes.LastIndexByte(b[:i], '\n') + 1
	if n := bytes.IndexByte(b[i:], '\n'); n >= 0 {
		return from, i + n + 1
	}
	return from, len(b)
}

// innerSpan returns the part between the first bracket or quote from position i on and its
// closing one, or an empty part.
func innerSpan(b []byte, i int) (from, to int) {
	n := bytes.IndexAny(b[i:], "[{(\"")
	if n < 0 {
		return i, i
	}
	from = i + n + 1
	first, last := b[from-1], map[byte]byte{'[': ']', '{': '}', '(': ')', '"': '"'}[b[from-1]]
	depth := 1
	for to = from; to < len(b); to++ {
		switch b[to] {
		case last:
			depth--
		case first:
			depth++
		}
		if depth == 0 {
			return from, to
		}
	}
	return i, i
}
