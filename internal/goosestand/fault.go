package goosestand

import (
	"bytes"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

// Duration is a duration that JSON writes as a Go duration string.
type Duration time.Duration

// MarshalText returns the duration as Go writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a Go duration; it must not be negative.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	if v < 0 {
		return errors.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// faults holds the fault switches of one simulator.
type faults[F any] struct {
	mu    sync.Mutex
	value atomic.Pointer[F]
	// apply carries out what changed and returns the switches that stay set.
	apply func(F) F
}

func newFaults[F any](apply func(F) F) *faults[F] {
	f := &faults[F]{apply: apply}
	f.value.Store(new(F))
	return f
}

func (f *faults[F]) get() F { return *f.value.Load() }

// merge sets the switches that the JSON object names; the others stay.
func (f *faults[F]) merge(body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The switches in force may be read meanwhile, and decoding writes into the
	// slices that it finds.
	present, err := json.Marshal(f.get())
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	var next F
	if err := json.Unmarshal(present, &next); err != nil {
		return errors.Wrap(err, "fault")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		return errors.Wrap(err, "fault")
	}
	next = f.apply(next)
	f.value.Store(&next)
	return nil
}

// reset clears every switch.
func (f *faults[F]) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var none F
	none = f.apply(none)
	f.value.Store(&none)
}

// addControls serves /fault and /counters on both ports of the server.
func addControls[F any](s *server, f *faults[F], counters func() any) {
	for _, app := range []*fiber.App{s.app, s.controls} {
		app.Get("/fault", func(c fiber.Ctx) error { return c.JSON(f.get()) })
		app.Post("/fault", func(c fiber.Ctx) error {
			if err := f.merge(c.Body()); err != nil {
				return c.Status(fiber.StatusBadRequest).SendString(err.Error())
			}
			s.log.Info("fault set", "fault", string(c.Body()))
			return c.JSON(f.get())
		})
		app.Delete("/fault", func(c fiber.Ctx) error {
			f.reset()
			s.log.Info("faults cleared")
			return c.JSON(f.get())
		})
		app.Get("/counters", func(c fiber.Ctx) error { return c.JSON(counters()) })
	}
}
