package goosestand

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

// engineCommand is a command as it is sent to the engine and as the engine
// returns it.
type engineCommand struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Epoch   int64  `json:"epoch"`
}

func (c engineCommand) isLoad() bool { return c.Kind == "load-model" || c.Kind == "load-adapter" }

// commandState describes the last command of an engine process and how many
// commands are running.
type commandState struct {
	lastCommand engineCommand
	running     int
	endedAt     time.Time
	err         string
}

// command starts a command and responds once the command has started. A command
// with an old epoch is rejected if fencing tokens are checked. Commands may
// overlap.
func (e *Engine) command(c fiber.Ctx) error {
	var cmd engineCommand
	if err := json.Unmarshal(c.Body(), &cmd); err != nil {
		return sendError(c, fiber.StatusBadRequest, errors.Wrap(err, "command"))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setProcessHeaders(c)
	switch {
	case !cmd.isLoad() && cmd.Kind != "set-role":
		return sendError(c, fiber.StatusBadRequest, errors.Errorf("unknown command %q", cmd.Kind))
	case cmd.Epoch < e.epoch && e.cfg.FencingChecked:
		e.totals.FencingRejections++
		return sendError(c, fiber.StatusPreconditionFailed, errors.Errorf("epoch %d is older than %d", cmd.Epoch, e.epoch))
	case cmd.Epoch < e.epoch:
		e.totals.AcceptedStaleCommands++
	}
	if e.commands.running > 0 {
		e.totals.OverlappingCommands++
	}
	e.epoch = max(e.epoch, cmd.Epoch)
	e.totals.Commands++
	e.commands.lastCommand, e.commands.err = cmd, ""
	e.commands.running++
	e.log.Info("command", "kind", cmd.Kind, "name", cmd.Name, "epoch", cmd.Epoch)
	if !cmd.isLoad() || e.cfg.WeightStoreAddress == "" {
		e.endCommand(cmd, nil)
		return c.SendStatus(fiber.StatusNoContent)
	}
	go e.load(cmd, e.processID)
	return c.SendStatus(fiber.StatusNoContent)
}

// load fetches the weights. The result is ignored if the simulated process has
// been replaced since.
func (e *Engine) load(cmd engineCommand, processID string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := fetchWeights(ctx, e.cfg.WeightStoreAddress, cmd.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processID == processID {
		e.endCommand(cmd, err)
	}
}

// endCommand records the end of a command and applies it. An engine is cold with
// an empty prefix cache after every load, even a failed one. The caller holds
// the lock.
func (e *Engine) endCommand(cmd engineCommand, err error) {
	e.commands.running--
	e.commands.endedAt = time.Now()
	if err != nil {
		e.totals.LoadsFailed++
		e.commands.err = err.Error()
	}
	if !cmd.isLoad() {
		return
	}
	if cmd.Kind == "load-model" && err == nil {
		e.model = cmd.Name
	}
	e.cache, _ = lru.New[uint64, struct{}](max(1, e.cfg.PrefixCacheTokens/BlockTokens))
	e.setCold(true, false)
}

// lastCommand responds with the last command, without the lag of load reports.
func (e *Engine) lastCommand(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setProcessHeaders(c)
	response := struct {
		engineCommand
		Running bool   `json:"running"`
		AgeMS   int64  `json:"age-ms"`
		Error   string `json:"error,omitempty"`
	}{engineCommand: e.commands.lastCommand, Running: e.commands.running > 0, Error: e.commands.err}
	if !response.Running && !e.commands.endedAt.IsZero() {
		response.AgeMS = time.Since(e.commands.endedAt).Milliseconds()
	}
	return c.JSON(response)
}
