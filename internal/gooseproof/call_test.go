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

// answerMargin is what docs/design.md grants the final answer of a request
// beyond its deadline.
const answerMargin = 10 * time.Second

// kind is what a caller asks for.
type kind string

const (
	kindCompletion kind = "completion"
	kindChat       kind = "chat"
	kindLookup     kind = "lookup"
	kindOrder      kind = "order"
)

// call is one request of a history and what its caller got.
type call struct {
	kind   kind
	stream bool
	// name is unique; a repeat of an order has the name of the order.
	name           string
	prompt, output int
	timeout        time.Duration
	key            string
	instance       string
	begin, end     time.Time
	// stopped is set if the instance was killed or frozen meanwhile.
	stopped bool
	answer
}

// drawCall draws a request from a caller's random numbers.
func (r *rig) drawCall(rng *rand.Rand, name string) call {
	c := call{
		name: name, prompt: 100 + rng.IntN(3000), output: 8 + rng.IntN(300),
		timeout: []time.Duration{3 * time.Second, 4 * time.Second, 6 * time.Second}[rng.IntN(3)],
		key:     r.Workspaces[rng.IntN(len(r.Workspaces))].Key,
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

// text is the prompt as the engine sees it.
func (c call) text() string {
	p := prompt(c.name, c.prompt)
	if c.kind == kindChat {
		return p + "\n" + c.name
	}
	return p
}

// request returns path, headers and body.
func (c call) request() (path string, headers map[string]string, body []byte) {
	headers = map[string]string{"X-Request-Timeout": c.timeout.String()}
	fields := map[string]any{"model": model, "stream": c.stream, "max_tokens": c.output}
	switch c.kind {
	case kindLookup:
		return "/services/" + lookups + "/sheets", headers, orderBody(c.name)
	case kindOrder:
		headers["Idempotency-Key"] = c.name
		return "/services/" + orders + "/orders", headers, orderBody(c.name)
	case kindChat:
		path = "/v1/chat/completions"
		fields["messages"] = []map[string]string{
			{"role": "system", "content": prompt(c.name, c.prompt)}, {"role": "user", "content": c.name},
		}
	default:
		path = "/v1/completions"
		fields["prompt"] = c.text()
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return path, headers, body
}

// wanted is the answer that the simulators give to this request alone.
func (c call) wanted() string {
	switch c.kind {
	case kindLookup, kindOrder:
		return goosestand.BodyHash(orderBody(c.name))
	}
	return goosestand.Answer(goosestand.PromptHash(c.text()), 0, c.output)
}

// verdict returns what is wrong with the answer: a request to an instance that
// ran all the time must end in time with a refusal or the whole answer to it;
// no request at all may get a wrong one.
func (c call) verdict() error {
	switch late := c.end.Sub(c.begin) - c.timeout - answerMargin; {
	case c.stopped && c.err != nil && !c.stream:
		return nil
	case !c.stopped && c.err != nil:
		return fmt.Errorf("got no answer: %w", c.err)
	case !c.stopped && late > 0:
		return fmt.Errorf("ended %s after the deadline and its margin", late)
	case c.status == http.StatusOK && c.stream:
		return c.streamVerdict()
	case c.status == http.StatusOK && c.code == "":
		return c.wholeVerdict()
	case c.err == nil && (c.code == "" || c.run == ""):
		return fmt.Errorf("got neither an answer nor a refusal: %.200q", c.body)
	}
	return nil
}

// choice is the part of an answer that holds its text.
type choice struct {
	Text    string `json:"text"`
	Message struct {
		Content string `json:"content"`
	} `json:"message"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

func (c choice) content() string { return c.Text + c.Message.Content + c.Delta.Content }

func (c call) wholeVerdict() error {
	var got struct {
		Executed string   `json:"executed"`
		Choices  []choice `json:"choices"`
		Usage    struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(c.body), &got); err != nil {
		return fmt.Errorf("answer %.100q: %w", c.body, err)
	}
	text, tokens := got.Executed, 0
	for _, x := range got.Choices {
		text += x.content()
		tokens = c.output
	}
	if want := c.wanted(); text != want || got.Usage.Completion != tokens {
		return fmt.Errorf("got the answer %.60q with %d tokens, want %.60q", text, got.Usage.Completion, want)
	}
	return nil
}

// streamVerdict checks every event. A stream without its end marker must end
// with a refusal, unless its instance was stopped.
func (c call) streamVerdict() error {
	events := strings.Split(c.body, "\n\n")
	// What follows the last empty line is empty, or an event that was cut.
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	text, tokens, done, refused := "", 0, false, false
	for _, e := range events {
		data, isData := strings.CutPrefix(e, "data: ")
		switch {
		case strings.HasPrefix(e, ":"):
		case done || refused:
			return fmt.Errorf("got %.100q after the end", e)
		case data == "[DONE]":
			done = true
		case strings.HasPrefix(e, "event: error\n"):
			refused = true
		case !isData:
			return fmt.Errorf("got the event %.100q", e)
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
				text += x.content()
			}
		}
	}
	want := c.wanted()
	switch {
	case !strings.HasPrefix(want, text):
		return fmt.Errorf("got the text %.60q of %d tokens, which does not begin %.60q", text, tokens, want)
	case done && text != want:
		return fmt.Errorf("got a cut answer with its end marker: %d of %d tokens", tokens, c.output)
	case !c.stopped && (rest != "" || !done && !refused):
		return fmt.Errorf("got %d of %d tokens, neither the end marker nor a refusal, then %.60q", tokens, c.output, rest)
	case refused && (c.code == "" || c.run == ""):
		return fmt.Errorf("got a refusal without code and run")
	}
	return nil
}

func (c call) String() string {
	return fmt.Sprintf("%s %s to %s, stream %t, %d+%d tokens, deadline %s, took %s: %v",
		c.kind, c.name, c.instance, c.stream, c.prompt, c.output, c.timeout, c.end.Sub(c.begin).Round(time.Millisecond), c.answer)
}
