package gooseentry

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	defaultOutputTokens = 256
	// maxOutputTokens bounds what a caller can reserve on an engine.
	maxOutputTokens = 1 << 20
)

// modelFields holds the members of a model request's body that routing needs.
type modelFields struct {
	model     string
	stream    bool
	prompt    prompt
	chat      bool
	maxTokens int
	// modelSpan and streamSpan are the ranges of the values; they are empty if
	// the member is absent.
	modelSpan  span
	streamSpan span
	// firstMember is the offset of the first member of the object.
	firstMember int
}

// readModelFields finds the members of a chat or completion body that routing
// needs.
func readModelFields(b []byte, chat bool) (modelFields, error) {
	f := modelFields{maxTokens: defaultOutputTokens, chat: chat}
	promptKey := "prompt"
	if chat {
		promptKey = "messages"
	}
	f.firstMember = skipSpace(b, skipSpace(b, 0)+1)
	seen := map[string]bool{}
	err := scanObject(b, func(key []byte, v span) error {
		key = unescape(key)
		switch string(key) {
		case "model", "stream", "max_tokens", "max_completion_tokens", "n", promptKey:
		default:
			return nil
		}
		if seen[string(key)] {
			return errors.Errorf("%q occurs twice", key)
		}
		seen[string(key)] = true
		return f.set(string(key), b, v)
	})
	switch {
	case err != nil:
		return f, err
	case f.model == "":
		return f, errors.New(`"model" is missing`)
	case !seen[promptKey]:
		return f, errors.Errorf("%q is missing", promptKey)
	case f.prompt.byteLen() == 0:
		return f, errors.Errorf("%q is empty", promptKey)
	}
	return f, nil
}

func (f *modelFields) set(key string, b []byte, v span) (err error) {
	switch key {
	case "model":
		f.modelSpan = v
		return decodeField(key, v.slice(b), &f.model)
	case "stream":
		f.streamSpan = v
		return decodeField(key, v.slice(b), &f.stream)
	case "n":
		n := 0
		if err := decodeField(key, v.slice(b), &n); err != nil {
			return err
		}
		if n > 1 {
			return errors.New(`"n" above 1 is not supported: token offsets count one answer`)
		}
	case "messages":
		f.prompt, err = promptFromMessages(b, v)
	case "prompt":
		f.prompt, err = promptFromText(b, v)
	default:
		return f.setMaxTokens(key, v.slice(b))
	}
	return err
}

func (f *modelFields) setMaxTokens(key string, raw []byte) error {
	if err := decodeField(key, raw, &f.maxTokens); err != nil {
		return err
	}
	if f.maxTokens <= 0 || f.maxTokens > maxOutputTokens {
		return errors.Errorf("%q is %d, not 1 to %d", key, f.maxTokens, maxOutputTokens)
	}
	return nil
}

// decodeField decodes a JSON value; null leaves the target unchanged.
func decodeField(key string, raw []byte, into any) error {
	if string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Errorf("%q is %.40q", key, raw)
	}
	return nil
}
