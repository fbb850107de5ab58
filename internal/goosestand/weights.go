package goosestand

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

// WeightsConfig configures a weight store.
type WeightsConfig struct {
	// Loads is the number of loads that may start within any Period; further
	// loads are rejected.
	Loads  int
	Period time.Duration
	// LoadTime is the duration of one load.
	LoadTime time.Duration
}

// WeightsFaults are the fault switches of a weight store.
type WeightsFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the duration of loads that start while it is set; 0 is
	// normal.
	Slow float64 `json:"slow"`
	// Refuse rejects every load with an error.
	Refuse bool `json:"refuse"`
}

// WeightsCounters are the totals of a weight store.
type WeightsCounters struct {
	Started  int `json:"loads-started"`
	Finished int `json:"loads-finished"`
	Running  int `json:"loads-running"`
	Refused  int `json:"loads-refused"`
	// OverRate counts those of Refused that exceeded the rate.
	OverRate int `json:"loads-over-rate"`
}

// Weights simulates the platform's rate-limited store of model weights.
type Weights struct {
	cfg    WeightsConfig
	srv    *server
	faults *faults[WeightsFaults]

	mu sync.Mutex
	// loadStarts are the start times of the loads within the last period.
	loadStarts []time.Time
	totals     WeightsCounters
}

// NewWeights returns a weight store that listens on address when Run is called.
func NewWeights(cfg WeightsConfig, address, control string, log *slog.Logger) *Weights {
	w := &Weights{cfg: cfg, srv: newServer(address, control, log)}
	w.faults = newFaults(func(f WeightsFaults) WeightsFaults {
		w.srv.setDown(f.Down)
		return f
	})
	addControls(w.srv, w.faults, func() any { return w.Counters() })
	w.srv.app.Get("/v1/weights/:name", w.serveLoad)
	return w
}

// Run serves until ctx is done.
func (w *Weights) Run(ctx context.Context) error { return w.srv.run(ctx) }

// Counters returns a snapshot of the totals.
func (w *Weights) Counters() WeightsCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totals
}

func (w *Weights) serveLoad(c fiber.Ctx) error {
	f := w.faults.get()
	if err := w.beginLoad(time.Now(), f.Refuse); err != nil {
		return sendError(c, fiber.StatusTooManyRequests, err)
	}
	d := w.cfg.LoadTime
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.Running--
	w.totals.Finished++
	return c.SendString("weights of " + c.Params("name") + "\n")
}

// beginLoad counts a load against the rate. It returns an error if the load is
// rejected; a rejected load counts against the rate as well.
func (w *Weights) beginLoad(now time.Time, refuse bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.Started++
	for len(w.loadStarts) > 0 && now.Sub(w.loadStarts[0]) >= w.cfg.Period {
		w.loadStarts = w.loadStarts[1:]
	}
	w.loadStarts = append(w.loadStarts, now)
	switch {
	case len(w.loadStarts) > w.cfg.Loads:
		w.totals.OverRate++
	case !refuse:
		w.totals.Running++
		return nil
	}
	w.totals.Refused++
	return errors.Errorf("%d loads within %s; at most %d", len(w.loadStarts), w.cfg.Period, w.cfg.Loads)
}

// weightsClient has no timeout because loads may take any time.
var weightsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// fetchWeights fetches weights from the weight store at address.
func fetchWeights(ctx context.Context, address, name string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	resp, err := weightsClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("weight store answered %d", resp.StatusCode)
	}
	return nil
}
