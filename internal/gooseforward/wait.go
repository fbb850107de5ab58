package gooseforward

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// chooseReplica asks the placer for a replica. It waits for a limited time for a cold replica,
// and for a set of replicas that is estimated to become free within the objective. Each check
// uses the latest replicas of the directory.
func (c *call) chooseReplica() (gooseplacement.Choice, gooseplacement.Obstacle) {
	coldUntil := c.arrived.Add(c.route.Objective / placementWaitDivisor)
	for {
		now := c.o.Clock.Now()
		replicas := c.o.Directory.Current().Replicas(c.service.Name)
		d := c.demand(now)
		choice, obstacle := c.o.Placer.Choose(d, replicas, now)
		waits := false
		switch obstacle {
		case gooseplacement.ObstacleNone:
			c.setWait = gooseplacement.SetWait{}
		case gooseplacement.ObstacleCold:
			waits = !now.After(coldUntil)
		case gooseplacement.ObstacleMemory, gooseplacement.ObstacleHuge:
			waits = c.awaitsSet(d, replicas, now)
		}
		if !waits || !goose.Sleep(c.ctx, placementRetryInterval) {
			return choice, obstacle
		}
	}
}

// awaitsSet reports whether the request waits for a set of replicas.
func (c *call) awaitsSet(d gooseplacement.Demand, replicas []goosedirectory.Replica, now time.Time) bool {
	forecast, ok := c.o.Placer.FreeAfter(d, replicas, now)
	if until := c.memoryRefusedUntil(); !ok && until.After(now) {
		// The replicas that have just refused a reservation may suffice once they get one again.
		d.Avoid = c.tried
		forecast, ok = c.o.Placer.FreeAfter(d, replicas, now)
		forecast.After = max(forecast.After, until.Sub(now))
	}
	if !ok {
		forecast = gooseplacement.Forecast{}
	}
	c.forecast = forecast
	if !ok {
		return false
	}
	first := c.setWait.Arrived.IsZero()
	if first {
		c.setWait = gooseplacement.SetWait{Arrived: c.arrived, Objective: d.Objective}
	}
	waits := c.setWait.Continue(forecast, now)
	if first && waits {
		gooseevent.SetAwaited.Log(c.o.Log, slog.String("request", string(c.header.Attempt)), slog.Int("prompt-tokens", d.PromptTokens),
			slog.Duration("after", forecast.After), slog.Duration("expected", forecast.Expected))
	}
	return waits
}

// retryAfterSpread is the part of an estimate by which callers are spread, so that those who
// are refused together do not return together.
const retryAfterSpread = 8

// setRetryAfter returns the estimate of when a set of replicas becomes free, or the given value
// if there is none.
func (c *call) setRetryAfter(without time.Duration) time.Duration {
	after := c.forecast.After
	if after <= 0 {
		return without
	}
	return after + rand.N(after/retryAfterSpread+1)
}
