package gooseengine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// handleNames returns the handles in the form id@host:port.
func handleNames(handles []goose.KVHandle) []string {
	out := make([]string, len(handles))
	for i, h := range handles {
		out[i] = h.ID + "@" + h.Address
	}
	return out
}

// Prefill implements goose.KVMover.
func (OpenAI) Prefill(ctx context.Context, a goose.Attempt, segment []byte, preceding []goose.KVHandle) (goose.KVHandle, error) {
	body, err := json.Marshal(struct {
		Prompt    string   `json:"prompt"`
		Preceding []string `json:"behind"`
	}{string(segment), handleNames(preceding)})
	if err != nil {
		return goose.KVHandle{}, notSent(err)
	}
	x, err := openVerified(ctx, a.Address, a.Process, a.BeforeSend, func(r *fasthttp.Request) {
		r.Header.SetMethod(http.MethodPost)
		r.Header.SetRequestURI("/v1/kv/prefill")
		r.Header.SetContentType("application/json")
		r.Header.Set(headerRequestID, string(a.ID))
		r.Header.Set(headerFencingToken, strconv.FormatInt(int64(a.Epoch), 10))
		r.Header.Set(headerPriority, strconv.Itoa(a.Priority))
		r.SetBodyRaw(body)
	})
	if err != nil {
		return goose.KVHandle{}, err
	}
	defer x.close()
	if x.resp.StatusCode() != http.StatusOK {
		return goose.KVHandle{}, x.statusError()
	}
	b, err := x.body(maxErrorBodyBytes)
	if err != nil {
		return goose.KVHandle{}, err
	}
	h := goose.KVHandle{}
	if err := json.Unmarshal(b, &h); err != nil || h.ID == "" {
		return goose.KVHandle{}, disconnected(errors.Errorf("prefill response %.100q is not a valid KV handle", b))
	}
	h.Address = a.Address
	return h, nil
}

// DeleteKV implements goose.KVMover. A handle that is unknown to the engine
// counts as deleted.
func (OpenAI) DeleteKV(ctx context.Context, h goose.KVHandle) error {
	_, err := controlCall(ctx, h.Address, http.MethodDelete, "/v1/kv/"+url.PathEscape(h.ID))
	return ignoreNotFound(err)
}

// Handles implements goose.KVLister.
func (OpenAI) Handles(ctx context.Context, address string) ([]goose.KVHandle, error) {
	b, err := controlCall(ctx, address, http.MethodGet, "/v1/kv")
	if err != nil {
		return nil, err
	}
	var handles []goose.KVHandle
	if err := json.Unmarshal(b, &handles); err != nil {
		return nil, errors.Wrapf(err, "KV handles of %s", address)
	}
	for i := range handles {
		handles[i].Address = address
	}
	return handles, nil
}

// CacheEvents implements goose.CacheEventSource.
func (OpenAI) CacheEvents(ctx context.Context, address string, apply func(goose.CacheEvent)) error {
	x, err := open(ctx, address, nil, func(r *fasthttp.Request) {
		r.Header.SetMethod(http.MethodGet)
		r.Header.SetRequestURI("/v1/cache-events")
	})
	if err != nil {
		return err
	}
	defer x.close()
	if x.resp.StatusCode() != http.StatusOK {
		return x.statusError()
	}
	events := newEventReader(x.resp.BodyStream())
	for {
		data, err := events.next()
		if err != nil {
			return disconnected(x.causeOf(err))
		}
		var e goose.CacheEvent
		if err := json.Unmarshal(data, &e); err != nil {
			droppedMalformed.Inc()
			continue
		}
		events.markNew()
		apply(e)
	}
}
