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

// export is a KV cache that is kept under a handle until the handle is deleted.
type export struct {
	ID string `json:"id"`
	// Attempt is the X-Request-Id of the prefill call that created the handle.
	Attempt string `json:"attempt"`
	// Tokens is the memory that the handle occupies on this engine.
	Tokens int `json:"tokens"`
	// Bytes and Hash are the length and the hash of the prompt from its start to
	// the end of the handle's part.
	Bytes int    `json:"bytes"`
	Hash  uint64 `json:"hash,string"`
	// State is the encoded hash state after Bytes.
	State []byte `json:"state"`
}

// handle identifies an exported cache, written as id@host:port.
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
	var object struct{ ID, Address string }
	if err := json.Unmarshal(b, &object); err != nil {
		return errors.Wrap(err, "handle")
	}
	*h = handle{object.ID, object.Address}
	return nil
}

// importTimeout bounds the import of one handle.
const importTimeout = 10 * time.Second

// importHandles imports the handles in order. It returns the last one, which
// describes the whole prefix, and the sum of their tokens.
func (e *Engine) importHandles(handles []handle) (*export, int, error) {
	var last *export
	tokens := 0
	for _, h := range handles {
		exp, err := e.importHandle(h)
		if err != nil {
			return nil, 0, err
		}
		tokens += exp.Tokens
		last = exp
	}
	return last, tokens, nil
}

func (e *Engine) importHandle(h handle) (*export, error) {
	if h.address == e.srv.addr() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if exp, ok := e.exports[h.id]; ok {
			return exp, nil
		}
		return nil, errors.Errorf("handle %s is not exported here", h.id)
	}
	cl := client.New().SetTimeout(importTimeout)
	defer cl.FasthttpClient().CloseIdleConnections()
	resp, err := cl.Get("http://" + h.address + "/v1/kv/" + h.id)
	if err != nil {
		return nil, errors.Wrapf(err, "import of handle %s", h.id)
	}
	defer resp.Close()
	if resp.StatusCode() != fiber.StatusOK {
		return nil, errors.Errorf("import of handle %s: status %d", h.id, resp.StatusCode())
	}
	exp := new(export)
	return exp, errors.Wrap(json.Unmarshal(resp.Body(), exp), "imported handle")
}

// extendPrefix appends the prompt to an imported prefix, which may be nil, and
// returns the length in bytes, the hash and the hash state of the result. prompt
// is either the whole prompt or only the part after the prefix.
func extendPrefix(prompt string, prefix *export) (length int, hash uint64, state []byte, err error) {
	hasher := xxhash.New()
	if prefix != nil {
		if len(prompt) >= prefix.Bytes && xxhash.Sum64String(prompt[:prefix.Bytes]) == prefix.Hash {
			prompt = prompt[prefix.Bytes:]
		}
		if err := hasher.UnmarshalBinary(prefix.State); err != nil {
			return 0, 0, nil, errors.Wrap(err, "imported handle")
		}
		length = prefix.Bytes
	}
	_, _ = hasher.WriteString(prompt)
	length += len(prompt)
	state, err = hasher.MarshalBinary()
	return length, hasher.Sum64(), state, err
}

// finishExport finishes the stream and keeps its memory under its handle. The
// caller holds the lock.
func (e *Engine) finishExport(s *stream) {
	s.finished = true
	e.totals.Finished++
	e.warmUp(s)
	s.export.Attempt = s.id
	e.exports[s.export.ID] = s.export
	// The handle, not the stream, occupies the memory from here on.
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
		return sendError(c, fiber.StatusBadRequest, err)
	}
	prefix, importedTokens, err := e.importHandles(body.Behind)
	if err != nil {
		return sendError(c, fiber.StatusConflict, err)
	}
	length, hash, state, err := extendPrefix(body.Prompt, prefix)
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, err)
	}
	tokens := max(1, (length+TokenBytes-1)/TokenBytes-importedTokens)
	exp := &export{ID: fmt.Sprintf("kv%016x", rand.Uint64()), Tokens: tokens, Bytes: length, Hash: hash, State: state}
	s := &stream{
		promptHash: hash, promptTokens: tokens + importedTokens, toPrefill: tokens, reserved: tokens, export: exp,
		crashMarked: strings.Contains(body.Prompt, CrashMark), continued: prefix != nil,
	}
	if ok, err := e.submit(c, s); !ok {
		return err
	}
	return e.waitExport(c, s)
}

// waitExport responds once the part of the prompt is computed.
func (e *Engine) waitExport(c fiber.Ctx, s *stream) error {
	for {
		e.mu.Lock()
		finished, cause, stepDone := s.finished, s.dropCause, e.stepDone
		e.mu.Unlock()
		if finished {
			return c.JSON(fiber.Map{"id": s.export.ID, "tokens": s.export.Tokens, "address": e.srv.addr()})
		}
		if cause != "" {
			return abortConnection(c)
		}
		if !e.awaitStep(stepDone) {
			return abortConnection(c)
		}
	}
}

func (e *Engine) listKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]fiber.Map, 0, len(e.exports))
	for _, exp := range e.exports {
		list = append(list, fiber.Map{"id": exp.ID, "tokens": exp.Tokens, "address": e.srv.addr(), "attempt": exp.Attempt})
	}
	return c.JSON(list)
}

func (e *Engine) getKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	exp, ok := e.exports[c.Params("id")]
	if !ok {
		return sendError(c, fiber.StatusNotFound, errors.New("no such handle"))
	}
	return c.JSON(exp)
}

func (e *Engine) deleteKV(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	exp, ok := e.exports[c.Params("id")]
	if !ok {
		return sendError(c, fiber.StatusNotFound, errors.New("no such handle"))
	}
	delete(e.exports, exp.ID)
	e.kvUsed -= exp.Tokens
	e.wake()
	return c.SendStatus(fiber.StatusNoContent)
}
