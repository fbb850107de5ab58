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
	app.Get("/v1/kv/:id", e.exportKV)
	app.Delete("/v1/kv/:id", e.deleteKV)
	app.Post("/v1/commands", e.command)
	app.Get("/v1/commands", e.lastCommand)
	app.Get("/v1/cache-events", e.cacheEvents)
}

// Start listens and computes until Stop.
func (e *Engine) Start() error {
	if err := e.srv.start(); err != nil {
		return err
	}
	go e.loop()
	return nil
}

// Stop ends the engine and breaks its connections.
func (e *Engine) Stop() {
	close(e.stopping)
	e.srv.stop()
}

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	if err := e.Start(); err != nil {
		return err
	}
	e.log.Info("engine listening", "address", e.Address(), "control", e.srv.controlAddr())
	<-ctx.Done()
	e.Stop()
	return nil
}

// Address is host:port of the service port once started.
func (e *Engine) Address() string { return e.srv.addr() }

// fail answers with an OpenAI-style error.
func fail(c fiber.Ctx, status int, err error) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": err.Error(), "code": status}})
}

func (e *Engine) completion(c fiber.Ctx, chat bool) error {
	var r completionRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return fail(c, fiber.StatusBadRequest, errors.Wrap(err, "request body"))
	}
	s, status, err := e.newStream(c, &r)
	if err != nil {
		return fail(c, status, err)
	}
	s.chat = chat
	if ok, err := e.submit(c, s); !ok {
		return err
	}
	if r.Stream {
		return e.stream(c, s, s.start)
	}
	return e.whole(c, s)
}

// newStream reads a completion call; the status goes with an error.
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
	last, behind, err := e.fetch(handles)
	if err != nil {
		return nil, fiber.StatusConflict, err
	}
	whole, hash, _, err := behindPrompt(prompt, last)
	if err != nil {
		return nil, fiber.StatusBadRequest, err
	}
	total := (whole + TokenBytes - 1) / TokenBytes
	s := &stream{
		hash: hash, prompt: total, max: limit, start: int(offset), made: int(offset), delivered: int(offset),
		toPrefill: max(0, total-behind) + int(offset), marked: strings.Contains(prompt, CrashMark),
	}
	s.reserved = max(0, total-behind) + limit
	s.continued = last != nil
	if last == nil {
		s.blocks = Blocks(prompt)
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

// submit checks a request and queues it. If it is not queued, the answer is
// already written and ok is false.
func (e *Engine) submit(c fiber.Ctx, s *stream) (ok bool, err error) {
	s.id = strings.Clone(c.Get("X-Request-Id"))
	if s.id == "" {
		s.id = "local-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	token, err := headerInt(c, "X-Fencing-Token")
	if err != nil {
		return false, fail(c, fiber.StatusBadRequest, err)
	}
	priority, err := headerInt(c, "X-Priority")
	if err != nil {
		return false, fail(c, fiber.StatusBadRequest, err)
	}
	s.priority = int(priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv.stale(c) {
		return false, breakOff(c)
	}
	e.identify(c)
	if status, err := e.refusal(s, token); err != nil {
		e.count.Refused++
		return false, fail(c, status, err)
	}
	e.starts[s.id]++
	e.count.Started++
	if s.continued {
		e.count.Continued++
	}
	e.count.LastStart = time.Now()
	if e.overloaded(s.reserved) {
		e.count.Overloads++
		if e.silent && time.Since(e.turned) < e.cfg.Notice {
			e.count.OverloadsEarly++
		}
		e.crash("more work than the cold limit")
		return false, breakOff(c)
	}
	if e.aboveLimit(s.reserved) {
		e.count.AboveLimit++
	}
	e.order++
	s.order, s.afterTurn = e.order, true
	e.streams[s.id] = s
	e.wake()
	return true, nil
}

// refusal tells why a request is not accepted. The caller holds the lock.
func (e *Engine) refusal(s *stream, token int64) (int, error) {
	if !e.fence(token) {
		return fiber.StatusPreconditionFailed, errors.Errorf("fencing token %d is older than %d", token, e.epoch)
	}
	if e.commands.running > 0 {
		e.count.WhileLoading++
		return fiber.StatusServiceUnavailable, errors.New("the engine loads weights")
	}
	if s.reserved > e.cfg.MemoryTokens {
		return fiber.StatusBadRequest, errors.Errorf("request needs %d tokens of memory; the engine has %d", s.reserved, e.cfg.MemoryTokens)
	}
	if _, ok := e.streams[s.id]; ok {
		e.starts[s.id]++
		return fiber.StatusConflict, errors.Errorf("stream %s exists", s.id)
	}
	return 0, nil
}

// fence checks a fencing token; zero is none. The caller holds the lock.
func (e *Engine) fence(token int64) bool {
	if token >= e.epoch {
		e.epoch = token
		return true
	}
	if token == 0 {
		return true
	}
	if e.cfg.FencingChecked {
		e.count.FencedOff++
		return false
	}
	return true
}

// identify sets the headers that describe the process. The caller holds the lock.
func (e *Engine) identify(c fiber.Ctx) {
	c.Set("X-Process-Id", e.process)
	c.Set("X-Cold", strconv.FormatBool(e.cold()))
}

// await waits for the next step; false when the engine stops.
func (e *Engine) await(tick <-chan struct{}) bool {
	select {
	case <-tick:
		return true
	case <-e.stopping:
		return false
	}
}

// whole answers a call without streaming.
func (e *Engine) whole(c fiber.Ctx, s *stream) error {
	for {
		e.mu.Lock()
		done, gone, tick := s.done, s.gone, e.tick
		if done && gone == "" {
			e.delivered(s, s.max)
			e.drop(s, "fetched")
		}
		e.mu.Unlock()
		if done {
			return c.JSON(e.wholeAnswer(s))
		}
		if gone != "" || !e.await(tick) {
			return breakOff(c)
		}
	}
}

func (e *Engine) wholeAnswer(s *stream) fiber.Map {
	start := s.max - s.outputTokens()
	text := Answer(s.hash, start, s.max)
	choice := fiber.Map{"index": 0, "finish_reason": "length"}
	if s.chat {
		choice["message"] = fiber.Map{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	return fiber.Map{
		"id": s.id, "object": "completion", "model": e.cfg.Model, "offset": start, "tokens": s.outputTokens(),
		"choices": []fiber.Map{choice},
		"usage":   fiber.Map{"prompt_tokens": s.prompt, "completion_tokens": s.outputTokens(), "total_tokens": s.prompt + s.outputTokens()},
	}
}

// outputTokens is the number of tokens that this stream generates.
func (s *stream) outputTokens() int { return s.max - s.start }

// stream sends the answer from an offset as server-sent events.
func (e *Engine) stream(c fiber.Ctx, s *stream, offset int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { e.write(w, s, offset) })
}

func (e *Engine) listStreams(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.identify(c)
	list := make([]fiber.Map, 0, len(e.streams))
	for _, s := range e.streams {
		list = append(list, fiber.Map{"id": s.id, "tokens": s.made, "done": s.done})
	}
	return c.JSON(list)
}

func (e *Engine) resume(c fiber.Ctx) error {
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil || offset < 0 {
		return fail(c, fiber.StatusBadRequest, errors.Errorf("offset %q is not a number of tokens", c.Query("offset")))
	}
	e.mu.Lock()
	s, ok := e.streams[c.Params("id")]
	e.identify(c)
	e.mu.Unlock()
	if !ok || s.export != nil {
		return fail(c, fiber.StatusNotFound, errors.New("no such stream"))
	}
	return e.stream(c, s, max(offset, s.start))
}

func (e *Engine) cancel(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.identify(c)
	s, ok := e.streams[c.Params("id")]
	if !ok {
		return fail(c, fiber.StatusNotFound, errors.New("no such stream"))
	}
	e.count.Cancelled++
	e.log.Info("stream cancelled", "stream", s.id, "tokens", s.made, "delivered", s.delivered, "of", s.max, "done", s.done)
	e.drop(s, causeCancelled)
	e.broadcast()
	e.wake()
	return c.SendStatus(fiber.StatusNoContent)
}

// metrics answers the load report, which lags.
func (e *Engine) metrics(c fiber.Ctx) error {
	r := e.report(time.Now())
	// The report lags, the headers of the process that answers do not.
	e.mu.Lock()
	e.identify(c)
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
