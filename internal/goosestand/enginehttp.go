package goosestand

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

func (e *Engine) addRoutes() {
	app := e.srv.app
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.completion(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.completion(c, false) })
	app.Get("/v1/streams", e.listStreams)
	app.Get("/v1/streams/:id", e.resume)
	app.Delete("/v1/streams/:id", e.cancel)
	app.Get("/metrics", e.metrics)
	app.Post("/v1/kv/prefill", e.prefillCall)
	app.Get("/v1/kv", e.listKV)
	app.Get("/v1/kv/:id", e.getKV)
	app.Delete("/v1/kv/:id", e.deleteKV)
	app.Post("/v1/commands", e.command)
	app.Get("/v1/commands", e.lastCommand)
	app.Get("/v1/cache-events", e.cacheEvents)
}

// Start listens on the ports and computes steps until Stop.
func (e *Engine) Start() error {
	if err := e.srv.start(); err != nil {
		return err
	}
	go e.loop()
	return nil
}

// Stop stops the engine and closes its connections.
func (e *Engine) Stop() {
	close(e.stopping)
	e.srv.stop()
}

// Run serves until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	if err := e.Start(); err != nil {
		return err
	}
	e.log.Info("engine listening", "address", e.Address(), "control", e.srv.controlAddr())
	<-ctx.Done()
	e.Stop()
	return nil
}

// Address returns host:port of the service port once the engine is started.
func (e *Engine) Address() string { return e.srv.addr() }

// sendError responds with an OpenAI-style error.
func sendError(c fiber.Ctx, status int, err error) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": err.Error(), "code": status}})
}

func (e *Engine) completion(c fiber.Ctx, chat bool) error {
	var r completionRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return sendError(c, fiber.StatusBadRequest, errors.Wrap(err, "request body"))
	}
	s, status, err := e.newStream(c, &r)
	if err != nil {
		return sendError(c, status, err)
	}
	s.chat = chat
	if ok, err := e.submit(c, s); !ok {
		return err
	}
	if r.Stream {
		return e.sendStream(c, s, s.firstToken)
	}
	return e.sendWhole(c, s)
}

// newStream returns the stream for a completion call, or an error with the HTTP
// status for it.
func (e *Engine) newStream(c fiber.Ctx, r *completionRequest) (*stream, int, error) {
	prompt, err := r.prompt()
	if err != nil {
		return nil, fiber.StatusBadRequest, err
	}
	limit, err := r.maxTokens()
	if err != nil {
		return nil, fiber.StatusBadRequest, err
	}
	offset, err := headerInt(c, "X-Resume-Offset")
	if err != nil || offset < 0 || offset > int64(limit) {
		return nil, fiber.StatusBadRequest, errors.Errorf("X-Resume-Offset %q is not within 0 and max_tokens", c.Get("X-Resume-Offset"))
	}
	var handles []handle
	for _, part := range strings.FieldsFunc(c.Get("X-KV-Behind"), func(r rune) bool { return r == ',' }) {
		h, err := parseHandle(strings.Clone(part))
		if err != nil {
			return nil, fiber.StatusBadRequest, err
		}
		handles = append(handles, h)
	}
	prefix, importedTokens, err := e.importHandles(handles)
	if err != nil {
		return nil, fiber.StatusConflict, err
	}
	length, hash, _, err := extendPrefix(prompt, prefix)
	if err != nil {
		return nil, fiber.StatusBadRequest, err
	}
	total := (length + TokenBytes - 1) / TokenBytes
	s := &stream{
		promptHash: hash, promptTokens: total, max: limit, firstToken: int(offset), generated: int(offset), delivered: int(offset),
		toPrefill: max(0, total-importedTokens) + int(offset), crashMarked: strings.Contains(prompt, CrashMark),
	}
	s.reserved = max(0, total-importedTokens) + limit
	s.continued = prefix != nil
	if prefix == nil {
		s.blocks = BlockHashes(prompt)
	}
	return s, 0, nil
}

func headerInt(c fiber.Ctx, name string) (int64, error) {
	v := c.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	return n, errors.Wrap(err, name)
}

// submit checks a request and queues it. If the request is not queued, submit
// has written the response or closed the connection, and ok is false.
func (e *Engine) submit(c fiber.Ctx, s *stream) (ok bool, err error) {
	s.id = strings.Clone(c.Get("X-Request-Id"))
	if s.id == "" {
		s.id = "local-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	token, err := headerInt(c, "X-Fencing-Token")
	if err != nil {
		return false, sendError(c, fiber.StatusBadRequest, err)
	}
	priority, err := headerInt(c, "X-Priority")
	if err != nil {
		return false, sendError(c, fiber.StatusBadRequest, err)
	}
	s.priority = int(priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv.isStaleConnection(c) {
		return false, abortConnection(c)
	}
	e.setProcessHeaders(c)
	if status, err := e.checkRequest(s, token); err != nil {
		e.totals.Refused++
		return false, sendError(c, status, err)
	}
	e.startsByID[s.id]++
	e.totals.Started++
	if s.continued {
		e.totals.Continued++
	}
	e.totals.LastStart = time.Now()
	if e.overloaded(s.reserved) {
		e.totals.Overloads++
		if e.silentCold && time.Since(e.coldSince) < e.cfg.EarlyOverloadWindow {
			e.totals.EarlyOverloads++
		}
		e.crash("more work than the cold limit")
		return false, abortConnection(c)
	}
	if e.aboveLimit(s.reserved) {
		e.totals.RequestsAboveLimit++
	}
	e.lastOrder++
	s.arrivalOrder, s.startedSinceCold = e.lastOrder, true
	e.streams[s.id] = s
	e.wake()
	return true, nil
}

// checkRequest returns an error with its HTTP status if the request must not be
// accepted. The caller holds the lock.
func (e *Engine) checkRequest(s *stream, token int64) (int, error) {
	if !e.acceptFencingToken(token) {
		return fiber.StatusPreconditionFailed, errors.Errorf("fencing token %d is older than %d", token, e.epoch)
	}
	if e.commands.running > 0 {
		e.totals.RequestsWhileLoading++
		return fiber.StatusServiceUnavailable, errors.New("the engine loads weights")
	}
	if s.reserved > e.cfg.MemoryTokens {
		return fiber.StatusBadRequest, errors.Errorf("request needs %d tokens of memory; the engine has %d", s.reserved, e.cfg.MemoryTokens)
	}
	if _, ok := e.streams[s.id]; ok {
		e.startsByID[s.id]++
		return fiber.StatusConflict, errors.Errorf("stream %s exists", s.id)
	}
	return 0, nil
}

// acceptFencingToken reports whether a request with this fencing token may run,
// and keeps the highest token as the epoch. Zero means no token. The caller
// holds the lock.
func (e *Engine) acceptFencingToken(token int64) bool {
	if token >= e.epoch {
		e.epoch = token
		return true
	}
	if token == 0 {
		return true
	}
	if e.cfg.FencingChecked {
		e.totals.FencingRejections++
		return false
	}
	return true
}

// setProcessHeaders sets the response headers that describe the process. The
// caller holds the lock.
func (e *Engine) setProcessHeaders(c fiber.Ctx) {
	c.Set("X-Process-Id", e.processID)
	c.Set("X-Cold", strconv.FormatBool(e.cold()))
}

// awaitStep waits until tick is closed by the next step. It returns false if the
// engine stops.
func (e *Engine) awaitStep(stepDone <-chan struct{}) bool {
	select {
	case <-stepDone:
		return true
	case <-e.stopping:
		return false
	}
}

// sendWhole responds to a call without streaming.
func (e *Engine) sendWhole(c fiber.Ctx, s *stream) error {
	for {
		e.mu.Lock()
		finished, cause, stepDone := s.finished, s.dropCause, e.stepDone
		if finished && cause == "" {
			e.markDelivered(s, s.max)
			e.drop(s, "fetched")
		}
		e.mu.Unlock()
		if finished {
			return c.JSON(e.completionResponse(s))
		}
		if cause != "" || !e.awaitStep(stepDone) {
			return abortConnection(c)
		}
	}
}

func (e *Engine) completionResponse(s *stream) fiber.Map {
	start := s.max - s.outputTokens()
	text := OutputText(s.promptHash, start, s.max)
	choice := fiber.Map{"index": 0, "finish_reason": "length"}
	if s.chat {
		choice["message"] = fiber.Map{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	return fiber.Map{
		"id": s.id, "object": "completion", "model": e.cfg.Model, "offset": start, "tokens": s.outputTokens(),
		"choices": []fiber.Map{choice},
		"usage":   fiber.Map{"prompt_tokens": s.promptTokens, "completion_tokens": s.outputTokens(), "total_tokens": s.promptTokens + s.outputTokens()},
	}
}

// outputTokens returns the number of tokens that this stream generates.
func (s *stream) outputTokens() int { return s.max - s.firstToken }

// sendStream sends the response from an offset on as server-sent events.
func (e *Engine) sendStream(c fiber.Ctx, s *stream, offset int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { e.writeStream(w, s, offset) })
}

func (e *Engine) listStreams(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setProcessHeaders(c)
	list := make([]fiber.Map, 0, len(e.streams))
	for _, s := range e.streams {
		list = append(list, fiber.Map{"id": s.id, "tokens": s.generated, "done": s.finished})
	}
	return c.JSON(list)
}

func (e *Engine) resume(c fiber.Ctx) error {
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil || offset < 0 {
		return sendError(c, fiber.StatusBadRequest, errors.Errorf("offset %q is not a number of tokens", c.Query("offset")))
	}
	e.mu.Lock()
	s, ok := e.streams[c.Params("id")]
	e.setProcessHeaders(c)
	e.mu.Unlock()
	if !ok || s.export != nil {
		return sendError(c, fiber.StatusNotFound, errors.New("no such stream"))
	}
	return e.sendStream(c, s, max(offset, s.firstToken))
}

func (e *Engine) cancel(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setProcessHeaders(c)
	s, ok := e.streams[c.Params("id")]
	if !ok {
		return sendError(c, fiber.StatusNotFound, errors.New("no such stream"))
	}
	e.totals.Cancelled++
	e.log.Info("stream cancelled", "stream", s.id, "tokens", s.generated, "delivered", s.delivered, "of", s.max, "done", s.finished)
	e.drop(s, causeCancelled)
	e.notifyStep()
	e.wake()
	return c.SendStatus(fiber.StatusNoContent)
}

// metrics responds with the load report, which lags behind the state.
func (e *Engine) metrics(c fiber.Ctx) error {
	r := e.laggedReport(time.Now())
	// The report lags, but the headers describe the current process.
	e.mu.Lock()
	e.setProcessHeaders(c)
	e.mu.Unlock()
	set := metrics.NewSet()
	gauge := func(name string, v float64) { set.NewGauge(name, nil).Set(v) }
	gauge(`engine_process_info{process="`+r.process+`"}`, 1)
	gauge(`engine_model_info{model="`+r.model+`"}`, 1)
	cold := 0.0
	if r.cold {
		cold = 1
	}
	gauge("engine_cold", cold)
	gauge("engine_requests_running", float64(r.running))
	gauge("engine_requests_waiting", float64(r.waiting))
	gauge("engine_kv_tokens_used", float64(r.kv))
	gauge("engine_kv_tokens_capacity", float64(e.cfg.MemoryTokens))
	set.WritePrometheus(c.Response().BodyWriter())
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return nil
}
