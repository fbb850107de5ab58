package gooseproof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// responseMargin is the time after its deadline within which docs/design.md allows a
// request to end.
const responseMargin = 10 * time.Second

// kind is the kind of a request.
type kind string

const (
	kindCompletion kind = "completion"
	kindChat       kind = "chat"
	kindLookup     kind = "lookup"
	kindOrder      kind = "order"
)

// call is one request of a history and the response to it.
type call struct {
	kind   kind
	stream bool
	// name is unique, but a retried order keeps its name.
	name                       string
	promptTokens, outputTokens int
	timeout                    time.Duration
	key                        string
	instance                   string
	begin, end                 time.Time
	// instanceStopped is true if the instance was killed or frozen during the call.
	instanceStopped bool
	response
}

// drawCall draws a request from a caller's random number generator.
func (f *testFleet) drawCall(rng *rand.Rand, name string) call {
	c := call{
		name: name, promptTokens: 100 + rng.IntN(3000), outputTokens: 8 + rng.IntN(300),
		timeout: []time.Duration{3 * time.Second, 4 * time.Second, 6 * time.Second}[rng.IntN(3)],
		key:     f.Workspaces[rng.IntN(len(f.Workspaces))].Key,
		stream:  rng.IntN(3) > 0,
	}
	switch n := rng.IntN(10); {
	case n < 4:
		c.kind = kindCompletion
	case n < 7:
		c.kind = kindChat
	case n < 8:
		c.kind, c.stream = kindLookup, false
	default:
		c.kind, c.stream = kindOrder, false
	}
	return c
}

// promptText returns the prompt as the engine receives it.
func (c call) promptText() string {
	p := promptOf(c.name, c.promptTokens)
	if c.kind == kindChat {
		return p + "\n" + c.name
	}
	return p
}

// request returns path, headers and body.
func (c call) request() (path string, headers map[string]string, body []byte) {
	headers = map[string]string{"X-Request-Timeout": c.timeout.String()}
	fields := map[string]any{"model": modelService, "stream": c.stream, "max_tokens": c.outputTokens}
	switch c.kind {
	case kindLookup:
		return "/services/" + lookupService + "/sheets", headers, orderBody(c.name)
	case kindOrder:
		headers["Idempotency-Key"] = c.name
		return "/services/" + orderService + "/orders", headers, orderBody(c.name)
	case kindChat:
		path = "/v1/chat/completions"
		fields["messages"] = []map[string]string{
			{"role": "system", "content": promptOf(c.name, c.promptTokens)}, {"role": "user", "content": c.name},
		}
	default:
		path = "/v1/completions"
		fields["prompt"] = c.promptText()
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return path, headers, body
}

// want returns the text of the only correct response to this request.
func (c call) want() string {
	switch c.kind {
	case kindLookup, kindOrder:
		return goosestand.BodyHash(orderBody(c.name))
	}
	return goosestand.OutputText(goosestand.PromptHash(c.promptText()), 0, c.outputTokens)
}

// check returns an error if the response breaks a guarantee. A request to an instance that
// was never stopped during the call must end in time, with a refusal or the complete
// response to this request. No request may get a wrong response.
func (c call) check() error {
	switch late := c.end.Sub(c.begin) - c.timeout - responseMargin; {
	case c.instanceStopped && c.err != nil && !c.stream:
		return nil
	case !c.instanceStopped && c.err != nil:
		return fmt.Errorf("got no response: %w", c.err)
	case !c.instanceStopped && late > 0:
		return fmt.Errorf("ended %s after the deadline and its margin", late)
	case c.status == http.StatusOK && c.stream:
		return c.checkStream()
	case c.status == http.StatusOK && c.code == "":
		return c.checkComplete()
	case c.err == nil && (c.code == "" || c.run == ""):
		return fmt.Errorf("got neither a complete response nor a refusal: %.200q", c.body)
	}
	return nil
}

// choice is the part of a response that holds its text.
type choice struct {
	Text    string `json:"text"`
	Message struct {
		Content string `json:"content"`
	} `json:"message"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

func (c choice) text() string { return c.Text + c.Message.Content + c.Delta.Content }

func (c call) checkComplete() error {
	var got struct {
		Executed string   `json:"executed"`
		Choices  []choice `json:"choices"`
		Usage    struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(c.body), &got); err != nil {
		return fmt.Errorf("response %.100q: %w", c.body, err)
	}
	text, tokens := got.Executed, 0
	for _, x := range got.Choices {
		text += x.text()
		tokens = c.outputTokens
	}
	if want := c.want(); text != want || got.Usage.Completion != tokens {
		return fmt.Errorf("got the response %.60q with %d tokens, want %.60q", text, got.Usage.Completion, want)
	}
	return nil
}

// checkStream checks every event. A stream without its end marker must end with a refusal,
// unless its instance was stopped.
func (c call) checkStream() error {
	events := strings.Split(c.body, "\n\n")
	// The text after the last empty line is empty or a truncated event.
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	text, tokens, done, refused := "", 0, false, false
	for _, e := range events {
		data, isData := strings.CutPrefix(e, "data: ")
		switch {
		case strings.HasPrefix(e, ":"):
		case done || refused:
			return fmt.Errorf("got %.100q after the end of the stream", e)
		case data == "[DONE]":
			done = true
		case strings.HasPrefix(e, "event: error\n"):
			refused = true
		case !isData:
			return fmt.Errorf("got an event without data: %.100q", e)
		default:
			var f struct {
				Offset  int      `json:"offset"`
				Tokens  int      `json:"tokens"`
				Choices []choice `json:"choices"`
			}
			if err := json.Unmarshal([]byte(data), &f); err != nil {
				return fmt.Errorf("frame %.100q: %w", data, err)
			}
			if f.Offset != tokens {
				return fmt.Errorf("got a frame at token %d, want %d", f.Offset, tokens)
			}
			tokens += f.Tokens
			for _, x := range f.Choices {
				text += x.text()
			}
		}
	}
	want := c.want()
	switch {
	case !strings.HasPrefix(want, text):
		return fmt.Errorf("got the text %.60q of %d tokens, which is no prefix of %.60q", text, tokens, want)
	case done && text != want:
		return fmt.Errorf("got a truncated response with an end marker: %d of %d tokens", tokens, c.outputTokens)
	case !c.instanceStopped && (rest != "" || !done && !refused):
		return fmt.Errorf("got %d of %d tokens without an end marker or a refusal, then %.60q", tokens, c.outputTokens, rest)
	case refused && (c.code == "" || c.run == ""):
		return fmt.Errorf("got a refusal without code and run")
	}
	return nil
}

func (c call) String() string {
	return fmt.Sprintf("%s %s to %s, stream %t, %d+%d tokens, deadline %s, took %s: %v",
		c.kind, c.name, c.instance, c.stream, c.promptTokens, c.outputTokens, c.timeout, c.end.Sub(c.begin).Round(time.Millisecond), c.response)
}
