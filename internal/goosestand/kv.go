package goosestand

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/client"
	"github.com/pkg/errors"
)

// export is a KV cache kept under a handle until it is deleted.
type export struct {
	ID string `json:"id"`
	// Attempt is the X-Request-Id of the prefill that made the handle.
	Attempt string `json:"attempt"`
	// Tokens is the memory that the handle holds on this engine.
	Tokens int `json:"tokens"`
	// Bytes and Hash describe the whole prompt up to the handle's end.
	Bytes int    `json:"bytes"`
	Hash  uint64 `json:"hash,string"`
	// State is the running hash behind the handle.
	State []byte `json:"state"`
}

// handle names an exported cache as id@host:port; JSON may also give an object.
type handle struct{ id, address string }

func parseHandle(s string) (handle, error) {
	id, address, ok := strings.Cut(strings.TrimSpace(s), "@")
	if !ok || id == "" || address == "" {
		return handle{}, errors.Errorf("handle %q is not id@host:port", s)
	}
	return handle{id, address}, nil
}

// UnmarshalJSON reads "id@host:port" or {"id", "address"}.
func (h *handle) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		v, err := parseHandle(s)
		*h = v
		return err
	}
	var o struct{ ID, Address string }
	if err := json.Unmarshal(b, &o); err != nil {
		return errors.Wrap(err, "handle")
	}
	*h = handle{o.ID, o.Address}
	return nil
}

// fetchTimeout bounds the import of one handle.
const fetchTimeout = 10 * time.Second

// fetch imports the handles in order and returns the last one, which describes
// the whole prefix, and the sum of their tokens.
func (e *Engine) fetch(handles []handle) (*export, int, error) {
	var last *export
	tokens := 0
	for _, h := range handles {
		x, err := e.fetchOne(h)
		if err != nil {
			return nil, 0, err
		}
		tokens += x.Tokens
		last = x
	}
	return last, tokens, nil
}

func (e *Engine) fetchOne(h handle) (*export, error) {
	if h.address == e.srv.addr() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if x, ok := e.exports[h.id]; ok {
			return x, nil
		}
		return nil, errors.Errorf("handle %s is not exported here", h.id)
	}
	cl := client.New().SetTimeout(fetchTimeout)
	defer cl.FasthttpClient().CloseIdleConnections()
	resp, err := cl.Get("http://" + h.address + "/v1/kv/" + h.id)
	if err != nil {
		return nil, errors.Wrapf(err, "import of handle %s", h.id)
	}
	defer resp.Close()
	if resp.StatusCode() != fiber.StatusOK {
		return nil, errors.Errorf("import of handle %s: status %d", h.id, resp.StatusCode())
	}
	x := new(export)
	return x, errors.Wrap(json.Unmarshal(resp.Body(), x), "imported handle")
}

// behindPrompt returns what the stream computes behind imported handles. The
// body holds either the whole prompt or only the part behind the handles.
func behindPrompt(prompt string, x *export) (whole int, hash uint64, state []byte, err error) {
	d := xxhash.New()
	if x != nil {
		if len(prompt) >= x.Bytes && xxhash.Sum64String(prompt[:x.Bytes]) == x.Hash {
			prompt = prompt[x.Bytes:]
		}
		if err := d.UnmarshalBinary(x.State); err != nil {
			return 0, 0, nil, errors.Wrap(err, "imported handle")
		}
		whole = x.Bytes
	}
	_, _ = d.WriteString(prompt)
	whole += len(prompt)
	state, err = d.MarshalBinary()
	return whole, d.Sum64(), state, err
}

// finishExport keeps the stream's memory under its handle. The caller holds
// the lock.
func (e *Engine) finishExport(s *stream) {
	s.done = true
	e.count.Finished++
	e.warmUp(s)
	s.export.Attempt = s.id
	e.exports[s.export.ID] = s.export
	// The memory now belongs to the handle.
	s.running = false
	e.kvUsed += s.export.Tokens - s.reserved
	e.drop(s, "exported")
}

func (e *Engine) prefillCall(c fiber.Ctx) error {
	var body struct {
		Prompt string   `json:"prompt"`
		Behind []handle `json:"behind"`
	}
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fail(c, fiber.StatusBadRequest, err)
	}
	last, behind, err := e.fetch(body.Behind)
	if err != nil {
		return fail(c, fiber.StatusConflict, err)
	}
	whole, hash, state, err := behindPrompt(body.Prompt, last)
	if err != nil {
		return fail(c, fiber.StatusBadRequest, err)
	}
	tokens := max(1, (whole+TokenBytes-1)/TokenBytes-behind)
	x := &export{ID: fmt.Sprintf("kv%016x", rand.Uint64()), Tokens: tokens, Bytes: whole, Hash: hash, State: state}
	s := &stream{
		hash: hash, prompt: tokens + behind, toPrefill: tokens, reserved: tokens, export: x,
		marked: strings.Contains(body.Prompt, CrashMark), continued: last != nil,
	}
	if ok, err := e.submit(c, s); !ok {
		return err
	}
	return e.waitExport(c, s)
}

// waitExport answers once the segment is computed.
func (e *Engine) waitExport(c fiber.Ctx, s *stream) error {
	for {
		e.mu.Lock()
		done, gone, tick := s.done, s.gone, e.tick
		e.mu.Unlock()
		if done {
			return c.JSON(fiber.Map{"id": s.export.ID, "tokens": s.export.Tokens, "address": e.srv.addr()})
		}
		if gone != "" {
			return breakOff(c)
		}
		if !e.await(tick) {
			return breakOff(c)
		}
	}
}

func (e *Engine) listKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]fiber.Map, 0, len(e.exports))
	for _, x := range e.exports {
		list = append(list, fiber.Map{"id": x.ID, "tokens": x.Tokens, "address": e.srv.addr(), "attempt": x.Attempt})
	}
	return c.JSON(list)
}

func (e *Engine) exportKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[c.Params("id")]
	if !ok {
		return fail(c, fiber.StatusNotFound, errors.New("no such handle"))
	}
	return c.JSON(x)
}

func (e *Engine) deleteKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[c.Params("id")]
	if !ok {
		return fail(c, fiber.StatusNotFound, errors.New("no such handle"))
	}
	delete(e.exports, x.ID)
	e.kvUsed -= x.Tokens
	e.wake()
	return c.SendStatus(fiber.StatusNoContent)
}
