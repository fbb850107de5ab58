package gooseentry

import (
	"encoding/json"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// collector builds the whole answer of a request that is not streamed.
type collector struct {
	id     goose.RequestID
	q      *request
	text   strings.Builder
	tokens int
	last   []byte
}

func (a *collector) add(f goose.Frame) {
	a.text.WriteString(f.Text)
	a.tokens += f.Tokens
	if !f.Last {
		a.last = f.Data
	}
}

type wholeAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishReason takes the engine's word from the last chunk.
func (a *collector) finishReason() string {
	var c struct {
		Choices []struct {
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(a.last, &c) == nil && len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		return *c.Choices[0].FinishReason
	}
	if a.tokens >= a.q.outputTokens {
		return "length"
	}
	return "stop"
}

func (a *collector) render() []byte {
	text := a.text.String()
	ch := choice{FinishReason: a.finishReason()}
	object := "text_completion"
	if a.q.fields.chat {
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	b, err := json.Marshal(wholeAnswer{
		ID: string(a.id), Object: object, Created: a.q.created.Unix(), Model: a.q.fields.model, Choices: []choice{ch},
		Usage: usage{a.q.promptTokens, a.tokens, a.q.promptTokens + a.tokens},
	})
	if err != nil {
		panic("gooseentry: answer cannot be encoded: " + err.Error())
	}
	return b
}
