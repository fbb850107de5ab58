// Package goosebench is an open-loop load generator for gooseberryhold. It sends
// seeded traffic at intended times, verifies every response and measures latency from
// the intended time.
package goosebench

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Kind is the type of a request.
type Kind string

// Kinds of requests.
const (
	KindModel  Kind = "model"
	KindLookup Kind = "lookup"
	KindOrder  Kind = "order"
)

// Load describes traffic. Equal loads give equal plans.
type Load struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	// ModelRate, OrderRate and LookupRate are in requests per second.
	ModelRate  float64 `json:"model-rate"`
	OrderRate  float64 `json:"order-rate"`
	LookupRate float64 `json:"lookup-rate"`
	// Prompt lengths are log-uniform from MinPrompt to LongPrompt tokens, and for
	// LongShare of the requests from LongPrompt to MaxPrompt tokens.
	MinPrompt  int     `json:"min-prompt"`
	LongPrompt int     `json:"long-prompt"`
	MaxPrompt  int     `json:"max-prompt"`
	LongShare  float64 `json:"long-share"`
	// Output lengths are log-uniform from MinOutput to MaxOutput tokens.
	MinOutput int `json:"min-output"`
	MaxOutput int `json:"max-output"`
	// Workspaces is the number of workspaces; their shares of the traffic follow
	// Zipf's law.
	Workspaces int `json:"workspaces"`
	// Timeout is the X-Request-Timeout of callers; zero sends no such header.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// DefaultLoad returns the traffic of both deployments.
func DefaultLoad() Load {
	return Load{
		Seed: 1, Duration: 30 * time.Second, ModelRate: 10, OrderRate: 10, LookupRate: 10,
		MinPrompt: 1_000, LongPrompt: 100_000, MaxPrompt: 1_000_000, LongShare: 0.02,
		MinOutput: 16, MaxOutput: 256, Workspaces: 10,
	}
}

func (l Load) validate() error {
	switch {
	case l.Duration <= 0 || l.Duration > time.Hour:
		return errors.Errorf("--duration %s: must be above zero and at most 1h", l.Duration)
	case l.ModelRate < 0 || l.OrderRate < 0 || l.LookupRate < 0 || l.ModelRate+l.OrderRate+l.LookupRate <= 0:
		return errors.New("--model-rate, --order-rate, --lookup-rate: none may be below zero, and at least one must be above zero")
	case l.Timeout < 0:
		return errors.Errorf("--timeout %s: must not be below zero", l.Timeout)
	case l.MinPrompt < 1 || l.MinPrompt > l.LongPrompt || l.LongPrompt > l.MaxPrompt:
		return errors.New("--min-prompt, --long-prompt, --max-prompt: must be at least 1 and in ascending order")
	case l.LongShare < 0 || l.LongShare > 1:
		return errors.Errorf("--long-share %g: must be from 0 to 1", l.LongShare)
	case l.MinOutput < 1 || l.MinOutput > l.MaxOutput:
		return errors.New("--min-output, --max-output: must be at least 1 and in ascending order")
	}
	return nil
}

// Request is one planned request.
type Request struct {
	Index int
	// At is the intended send time since the start of the phase.
	At           time.Duration
	Kind         Kind
	Workspace    int
	PromptTokens int
	OutputTokens int
	Seed         uint64
	// CrashesEngine marks a request that crashes the engine that runs it.
	CrashesEngine bool
}

// With zipfExponent, the largest of ten workspaces sends about 40% of the traffic.
const zipfExponent = 1.3

// NewPlan returns the requests of a load, ordered by send time.
func NewPlan(l Load) []Request {
	var plan []Request
	for stream, k := range []struct {
		kind Kind
		rate float64
	}{{KindModel, l.ModelRate}, {KindOrder, l.OrderRate}, {KindLookup, l.LookupRate}} {
		if k.rate <= 0 {
			continue
		}
		// Each kind has its own random generator, so that a change of one kind's rate
		// does not change the requests of the others.
		r := rand.New(rand.NewPCG(l.Seed, uint64(stream)))
		zipf := rand.NewZipf(r, zipfExponent, 1, uint64(l.Workspaces-1))
		at := 0.0
		for {
			at += r.ExpFloat64() / k.rate
			if at >= l.Duration.Seconds() {
				break
			}
			plan = append(plan, l.newRequest(r, zipf, k.kind, time.Duration(at*float64(time.Second))))
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	for i := range plan {
		plan[i].Index = i
	}
	return plan
}

func (l Load) newRequest(r *rand.Rand, zipf *rand.Zipf, kind Kind, at time.Duration) Request {
	req := Request{At: at, Kind: kind, Workspace: int(zipf.Uint64()), Seed: r.Uint64()}
	if kind != KindModel {
		return req
	}
	if r.Float64() < l.LongShare {
		req.PromptTokens = logUniform(r, l.LongPrompt, l.MaxPrompt)
	} else {
		req.PromptTokens = logUniform(r, l.MinPrompt, l.LongPrompt)
	}
	req.OutputTokens = logUniform(r, l.MinOutput, l.MaxOutput)
	return req
}

func logUniform(r *rand.Rand, low, high int) int {
	a, b := math.Log(float64(low)), math.Log(float64(high))
	return min(high, int(math.Exp(a+r.Float64()*(b-a))))
}

// withoutLongPrompts returns the plan without prompts above the medium class. The
// remaining requests keep their send times.
func withoutLongPrompts(plan []Request) []Request {
	var out []Request
	for _, q := range plan {
		if q.PromptTokens <= goose.MediumTokens {
			out = append(out, q)
		}
	}
	return out
}

// sharedPrefixTokens is the length of the prefix that all prompts of a workspace
// share.
const sharedPrefixTokens = 512

// prompt returns the request's prompt, which depends only on its seed, workspace and
// length, and on CrashesEngine.
func (q Request) prompt() string {
	shared := min(sharedPrefixTokens, q.PromptTokens/2)
	p := goosestand.OutputText(uint64(q.Workspace)+1, 0, shared) + goosestand.OutputText(q.Seed, 0, q.PromptTokens-shared)
	if q.CrashesEngine {
		return goosestand.CrashMark + p
	}
	return p
}

// modelBody returns the body of a chat completion request and the hash that determines
// its output.
func (q Request) modelBody(model string) (body []byte, hash uint64, err error) {
	p := q.prompt()
	body, err = json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": q.OutputTokens,
		"messages": []map[string]string{{"role": "user", "content": p}},
	})
	return body, goosestand.PromptHash(p), err
}

// plainBody returns a body that is unique to the request within a run.
func (q Request) plainBody(runID string) []byte {
	return fmt.Appendf(nil, `{"run":%q,"kind":%q,"item":"%016x","quantity":%d}`, runID, q.Kind, q.Seed, 1+q.Seed%9)
}
