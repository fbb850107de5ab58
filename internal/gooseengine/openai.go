package gooseengine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Headers of the engine protocol.
const (
	headerRequestID    = "X-Request-Id"
	headerFencingToken = "X-Fencing-Token"
	headerPriority     = "X-Priority"
	headerResumeOffset = "X-Resume-Offset"
	headerKVBehind     = "X-KV-Behind"
	headerProcessID    = "X-Process-Id"
	headerCold         = "X-Cold"
	// headerLeaving is "1" in every response of a backend server that leaves.
	headerLeaving = "Server-Leaving"
)

func init() {
	goose.RegisterProtocol("openai", func() goose.Protocol { return OpenAI{} })
	goose.RegisterProtocol("http", func() goose.Protocol { return Plain{} })
}

// OpenAI is the client of the engine protocol.
type OpenAI struct{}

var (
	_ goose.Protocol         = OpenAI{}
	_ goose.KVMover          = OpenAI{}
	_ goose.KVLister         = OpenAI{}
	_ goose.Commander        = OpenAI{}
	_ goose.CacheEventSource = OpenAI{}
)

// Start implements goose.Protocol.
func (p OpenAI) Start(ctx context.Context, a goose.Attempt) (goose.Stream, error) {
	return p.StartWithKV(ctx, a, nil)
}

// StartWithKV implements goose.KVMover.
func (OpenAI) StartWithKV(ctx context.Context, a goose.Attempt, preceding []goose.KVHandle) (goose.Stream, error) {
	x, err := openVerified(ctx, a.Address, a.Process, a.BeforeSend, func(r *fasthttp.Request) {
		fillRequest(r, a)
		r.Header.Set(headerFencingToken, strconv.FormatInt(int64(a.Epoch), 10))
		r.Header.Set(headerPriority, strconv.Itoa(a.Priority))
		if a.Offset > 0 {
			r.Header.Set(headerResumeOffset, strconv.Itoa(a.Offset))
		}
		if len(preceding) > 0 {
			r.Header.Set(headerKVBehind, strings.Join(handleNames(preceding), ","))
		}
	})
	if err != nil {
		return nil, err
	}
	return responseStream(x, a.ID, a.Offset)
}

// responseStream returns the stream of a response whose header has been read, or an error.
func responseStream(x *exchange, id goose.AttemptID, offset int) (goose.Stream, error) {
	if x.namesOtherAttempt(id) {
		droppedForeign.Inc()
		x.close()
		return nil, disconnected(errors.Errorf("response to attempt %q, want %q", x.header(headerRequestID), id))
	}
	if x.resp.StatusCode() != http.StatusOK {
		defer x.close()
		return nil, x.statusError()
	}
	return newStream(x, id, offset), nil
}

// fillRequest sets the parts of a request that both protocols have.
func fillRequest(r *fasthttp.Request, a goose.Attempt) {
	r.Header.SetMethod(a.Method)
	r.Header.SetRequestURI(a.Path)
	r.Header.Set(headerRequestID, string(a.ID))
	if a.ContentType != "" {
		r.Header.SetContentType(a.ContentType)
	}
	if len(a.Body) > 0 {
		r.SetBodyRaw(a.Body)
	}
}

// Resume implements goose.Protocol.
func (OpenAI) Resume(ctx context.Context, address string, id goose.AttemptID, offset int) (goose.Stream, error) {
	x, err := open(ctx, address, nil, func(r *fasthttp.Request) {
		r.Header.SetMethod(http.MethodGet)
		r.Header.SetRequestURI(streamPath(id) + "?offset=" + strconv.Itoa(offset))
		r.Header.Set(headerRequestID, string(id))
	})
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() == http.StatusNotFound {
		x.close()
		return nil, goose.ErrStreamNotFound
	}
	return responseStream(x, id, offset)
}

// Cancel implements goose.Protocol. A stream that is unknown to the engine
// counts as cancelled.
func (OpenAI) Cancel(ctx context.Context, address string, id goose.AttemptID) error {
	_, err := controlCall(ctx, address, http.MethodDelete, streamPath(id))
	return ignoreNotFound(err)
}

func ignoreNotFound(err error) error {
	var status *goose.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

func streamPath(id goose.AttemptID) string { return "/v1/streams/" + url.PathEscape(string(id)) }

// Streams implements goose.Protocol.
func (OpenAI) Streams(ctx context.Context, address string) ([]goose.RunningStream, error) {
	b, err := controlCall(ctx, address, http.MethodGet, "/v1/streams")
	if err != nil {
		return nil, err
	}
	var streams []goose.RunningStream
	if err := json.Unmarshal(b, &streams); err != nil {
		return nil, errors.Wrapf(err, "streams of %s", address)
	}
	return streams, nil
}

// Call implements goose.Protocol; engines respond to it without streaming.
func (OpenAI) Call(ctx context.Context, a goose.Attempt) (goose.PlainResponse, error) {
	return call(ctx, a, func(r *fasthttp.Request) {
		r.Header.Set(headerFencingToken, strconv.FormatInt(int64(a.Epoch), 10))
		r.Header.Set(headerPriority, strconv.Itoa(a.Priority))
	})
}

// Send implements goose.Commander.
func (OpenAI) Send(ctx context.Context, address string, c goose.Command) error {
	b, err := json.Marshal(c)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = checkedControlCall(ctx, address, http.MethodPost, commandPath, b, c.BeforeSend)
	return err
}

const commandPath = "/v1/commands"

// LastCommand implements goose.Commander.
func (OpenAI) LastCommand(ctx context.Context, address string) (goose.CommandStatus, error) {
	b, err := controlCall(ctx, address, http.MethodGet, commandPath)
	if err != nil {
		return goose.CommandStatus{}, err
	}
	var s struct {
		goose.Command
		Running bool   `json:"running"`
		AgeMS   int64  `json:"age-ms"`
		Error   string `json:"error"`
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return goose.CommandStatus{}, errors.Wrapf(err, "last command of %s", address)
	}
	return goose.CommandStatus{
		Running: s.Running, Command: s.Command, Age: time.Duration(s.AgeMS) * time.Millisecond, Error: s.Error,
	}, nil
}
