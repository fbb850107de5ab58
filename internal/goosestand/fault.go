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

// Duration is a duration that is encoded in JSON as a Go duration string.
type Duration time.Duration

// MarshalText returns the duration in Go's format.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a Go duration, which must not be negative.
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
	// apply applies the new switches and returns those that stay set.
	apply func(F) F
}

func newFaults[F any](apply func(F) F) *faults[F] {
	f := &faults[F]{apply: apply}
	f.value.Store(new(F))
	return f
}

func (f *faults[F]) get() F { return *f.value.Load() }

// merge sets the switches that the JSON object names and keeps the others.
func (f *faults[F]) merge(body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The new switches are decoded into a copy: the current ones may be read
	// concurrently, and decoding writes into existing slices.
	current, err := json.Marshal(f.get())
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	var next F
	if err := json.Unmarshal(current, &next); err != nil {
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

// addControls registers /fault and /counters on both ports of the server.
func addControls[F any](s *server, f *faults[F], counters func() any) {
	for _, app := range []*fiber.App{s.app, s.controlApp} {
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
