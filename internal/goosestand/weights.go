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

// WeightsConfig sets a weight store.
type WeightsConfig struct {
	// Loads is the number of loads that may begin within any Period; one more
	// is refused.
	Loads  int
	Period time.Duration
	// LoadTime is how long one load takes.
	LoadTime time.Duration
}

// WeightsFaults are the fault switches of a weight store.
type WeightsFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the time of a load that begins; 0 is normal.
	Slow float64 `json:"slow"`
	// Refuse answers every load with an error.
	Refuse bool `json:"refuse"`
}

// WeightsCounters are the totals of a weight store.
type WeightsCounters struct {
	Started  int `json:"loads-started"`
	Finished int `json:"loads-finished"`
	Running  int `json:"loads-running"`
	Refused  int `json:"loads-refused"`
	// OverRate are those of Refused that passed the rate.
	OverRate int `json:"loads-over-rate"`
}

// Weights simulates the platform's rate-limited store of model weights.
type Weights struct {
	cfg    WeightsConfig
	srv    *server
	faults *faults[WeightsFaults]

	mu sync.Mutex
	// begun are the starts within the last period.
	begun []time.Time
	count WeightsCounters
}

// NewWeights returns a weight store that listens on address once it runs.
func NewWeights(cfg WeightsConfig, address, control string, log *slog.Logger) *Weights {
	w := &Weights{cfg: cfg, srv: newServer(address, control, log)}
	w.faults = newFaults(func(f WeightsFaults) WeightsFaults {
		w.srv.setDown(f.Down)
		return f
	})
	addControls(w.srv, w.faults, func() any { return w.Counters() })
	w.srv.app.Get("/v1/weights/:name", w.load)
	return w
}

// Run serves until ctx ends.
func (w *Weights) Run(ctx context.Context) error { return w.srv.run(ctx) }

// Counters returns a snapshot of the totals.
func (w *Weights) Counters() WeightsCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *Weights) load(c fiber.Ctx) error {
	f := w.faults.get()
	if err := w.begin(time.Now(), f.Refuse); err != nil {
		return fail(c, fiber.StatusTooManyRequests, err)
	}
	d := w.cfg.LoadTime
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count.Running--
	w.count.Finished++
	return c.SendString("weights of " + c.Params("name") + "\n")
}

// begin counts a load against the rate.
func (w *Weights) begin(now time.Time, refuse bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count.Started++
	for len(w.begun) > 0 && now.Sub(w.begun[0]) >= w.cfg.Period {
		w.begun = w.begun[1:]
	}
	w.begun = append(w.begun, now)
	switch {
	case len(w.begun) > w.cfg.Loads:
		w.count.OverRate++
	case !refuse:
		w.count.Running++
		return nil
	}
	w.count.Refused++
	return errors.Errorf("%d loads within %s; at most %d", len(w.begun), w.cfg.Period, w.cfg.Loads)
}

// weightsClient waits as long as a load takes.
var weightsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// fetchWeights loads weights from the weight store at address.
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
