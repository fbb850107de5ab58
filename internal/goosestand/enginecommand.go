package goosestand

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

// engineCommand is a command as it is sent and as the engine tells about it.
type engineCommand struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Epoch   int64  `json:"epoch"`
}

func (c engineCommand) loads() bool { return c.Kind == "load-model" || c.Kind == "load-adapter" }

// commandState is what an engine process knows about its commands.
type commandState struct {
	last    engineCommand
	running int
	ended   time.Time
	err     string
}

// command changes the engine; an old epoch is refused if fencing is checked. It
// answers once the command has begun. An engine that ignores fencing also takes
// commands that overlap with another one.
func (e *Engine) command(c fiber.Ctx) error {
	var r engineCommand
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return fail(c, fiber.StatusBadRequest, errors.Wrap(err, "command"))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.identify(c)
	switch {
	case !r.loads() && r.Kind != "set-role":
		return fail(c, fiber.StatusBadRequest, errors.Errorf("unknown command %q", r.Kind))
	case r.Epoch < e.epoch && e.cfg.FencingChecked:
		e.count.FencedOff++
		return fail(c, fiber.StatusPreconditionFailed, errors.Errorf("epoch %d is older than %d", r.Epoch, e.epoch))
	case r.Epoch < e.epoch:
		e.count.StaleCommands++
	}
	if e.commands.running > 0 {
		e.count.Overlapping++
	}
	e.epoch = max(e.epoch, r.Epoch)
	e.count.Commands++
	e.commands.last, e.commands.err = r, ""
	e.commands.running++
	e.log.Info("command", "kind", r.Kind, "name", r.Name, "epoch", r.Epoch)
	if !r.loads() || e.cfg.Weights == "" {
		e.endCommand(r, nil)
		return c.SendStatus(fiber.StatusNoContent)
	}
	go e.load(r, e.process)
	return c.SendStatus(fiber.StatusNoContent)
}

// load fetches the weights; the result of a process that is gone does not count.
func (e *Engine) load(r engineCommand, process string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := fetchWeights(ctx, e.cfg.Weights, r.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == process {
		e.endCommand(r, err)
	}
}

// endCommand applies a command. An engine that loaded is cold and its prefix
// cache is empty, even if the load failed. The caller holds the lock.
func (e *Engine) endCommand(r engineCommand, err error) {
	e.commands.running--
	e.commands.ended = time.Now()
	if err != nil {
		e.count.LoadsFailed++
		e.commands.err = err.Error()
	}
	if !r.loads() {
		return
	}
	if r.Kind == "load-model" && err == nil {
		e.model = r.Name
	}
	e.cache, _ = lru.New[uint64, struct{}](max(1, e.cfg.CacheTokens/BlockTokens))
	e.turnCold(true, false)
}

// lastCommand tells about the last command, without the lag of load reports.
func (e *Engine) lastCommand(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.identify(c)
	s := struct {
		engineCommand
		Running bool   `json:"running"`
		AgeMS   int64  `json:"age-ms"`
		Error   string `json:"error,omitempty"`
	}{engineCommand: e.commands.last, Running: e.commands.running > 0, Error: e.commands.err}
	if !s.Running && !e.commands.ended.IsZero() {
		s.AgeMS = time.Since(e.commands.ended).Milliseconds()
	}
	return c.JSON(s)
}
