package goosestand

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// TokenBytes is the length of one token in prompts and generated text.
	TokenBytes = 4
	// DefaultMaxTokens is the output length of a request without max_tokens.
	DefaultMaxTokens = 256
	// BlockTokens is the length of a prefix cache block in tokens.
	BlockTokens = 256
	// CrashMark is a text that crashes an engine when it runs a prompt with it.
	CrashMark = "CRASH-BACKEND"
)

// PromptHash returns the hash that determines the tokens generated for a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns token i of the text generated for the prompt with this hash:
// three letters and a space.
func Token(hash uint64, i int) string {
	var b [TokenBytes]byte
	putToken(b[:], hash, i)
	return string(b[:])
}

func putToken(b []byte, hash uint64, i int) {
	// The constants are those of splitmix64, so that neighbouring indices give
	// unrelated tokens.
	x := hash + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	for j := range 3 {
		b[j] = 'a' + byte(x%26)
		x /= 26
	}
	b[3] = ' '
}

// OutputText returns the tokens from index from to index to (exclusive) of the text
// generated for the prompt with this hash.
func OutputText(hash uint64, from, to int) string {
	var b strings.Builder
	b.Grow((to - from) * TokenBytes)
	var t [TokenBytes]byte
	for i := from; i < to; i++ {
		putToken(t[:], hash, i)
		b.Write(t[:])
	}
	return b.String()
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + TokenBytes - 1) / TokenBytes }

// BlockHashes returns one hash for each complete block of the prompt: element k is
// the xxhash of the first (k+1) x BlockTokens tokens.
func BlockHashes(prompt string) []uint64 {
	const size = BlockTokens * TokenBytes
	blocks := make([]uint64, 0, len(prompt)/size)
	d := xxhash.New()
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		blocks = append(blocks, d.Sum64())
		prompt = prompt[size:]
	}
	return blocks
}

// completionRequest is the body of a completion call.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// PromptFromBody returns the prompt in the body of a completion call: its prompt field,
// or the contents of all messages joined by newlines.
func PromptFromBody(body []byte) (string, error) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return "", errors.Wrap(err, "request body")
	}
	return r.prompt()
}

func (r *completionRequest) prompt() (string, error) {
	if len(r.Messages) > 0 {
		parts := make([]string, len(r.Messages))
		for i, m := range r.Messages {
			parts[i] = m.Content
		}
		return strings.Join(parts, "\n"), nil
	}
	if len(r.Prompt) == 0 {
		return "", errors.New("request body has neither prompt nor messages")
	}
	var one string
	if json.Unmarshal(r.Prompt, &one) == nil {
		return one, nil
	}
	var many []string
	if err := json.Unmarshal(r.Prompt, &many); err != nil {
		return "", errors.New("prompt is neither a string nor a list of strings")
	}
	return strings.Join(many, "\n"), nil
}

func (r *completionRequest) maxTokens() (int, error) {
	if r.MaxTokens == nil {
		return DefaultMaxTokens, nil
	}
	if *r.MaxTokens < 1 {
		return 0, errors.Errorf("max_tokens is %d; it must be at least 1", *r.MaxTokens)
	}
	return *r.MaxTokens, nil
}
