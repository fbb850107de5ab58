package gooseentry

import (
	"encoding/json"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// responseBuilder builds the complete response to a request that is not
// streamed.
type responseBuilder struct {
	id        goose.RequestID
	req       *request
	text      strings.Builder
	tokens    int
	lastChunk []byte
}

func (rb *responseBuilder) addFrame(f goose.Frame) {
	rb.text.WriteString(f.Text)
	rb.tokens += f.Tokens
	if !f.Last {
		rb.lastChunk = f.Data
	}
}

type completionResponse struct {
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

// finishReason returns the finish reason of the engine's last chunk. Without
// one, it is derived from the number of tokens.
func (rb *responseBuilder) finishReason() string {
	var c struct {
		Choices []struct {
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(rb.lastChunk, &c) == nil && len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		return *c.Choices[0].FinishReason
	}
	if rb.tokens >= rb.req.outputTokens {
		return "length"
	}
	return "stop"
}

func (rb *responseBuilder) encode() []byte {
	text := rb.text.String()
	ch := choice{FinishReason: rb.finishReason()}
	object := "text_completion"
	if rb.req.fields.chat {
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	b, err := json.Marshal(completionResponse{
		ID: string(rb.id), Object: object, Created: rb.req.created.Unix(), Model: rb.req.fields.model, Choices: []choice{ch},
		Usage: usage{rb.req.promptTokens, rb.tokens, rb.req.promptTokens + rb.tokens},
	})
	if err != nil {
		panic("gooseentry: response cannot be encoded: " + err.Error())
	}
	return b
}
