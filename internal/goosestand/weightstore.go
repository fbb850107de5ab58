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

// WeightStoreConfig configures a weight store.
type WeightStoreConfig struct {
	// MaxLoads is the number of model loads that may start within any Period;
	// further ones are rejected.
	MaxLoads int
	Period   time.Duration
	// LoadTime is the duration of one model load.
	LoadTime time.Duration
}

// WeightStoreFaults are the fault switches of a weight store.
type WeightStoreFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the duration of model loads that start while it is set; 0 is
	// normal.
	Slow float64 `json:"slow"`
	// Refuse rejects every model load with an error.
	Refuse bool `json:"refuse"`
}

// WeightStoreCounters are the totals of a weight store.
type WeightStoreCounters struct {
	Started  int `json:"loads-started"`
	Finished int `json:"loads-finished"`
	Running  int `json:"loads-running"`
	Refused  int `json:"loads-refused"`
	// RefusedOverRate counts those of Refused that exceeded the rate.
	RefusedOverRate int `json:"loads-over-rate"`
}

// WeightStore simulates the platform's rate-limited store of model weights.
type WeightStore struct {
	cfg    WeightStoreConfig
	srv    *server
	faults *faults[WeightStoreFaults]

	mu sync.Mutex
	// loadStarts are the start times of the loads within the last period.
	loadStarts []time.Time
	totals     WeightStoreCounters
}

// NewWeightStore returns a weight store that listens on address when Run is called.
func NewWeightStore(cfg WeightStoreConfig, address, control string, log *slog.Logger) *WeightStore {
	w := &WeightStore{cfg: cfg, srv: newServer(address, control, log)}
	w.faults = newFaults(func(f WeightStoreFaults) WeightStoreFaults {
		w.srv.setDown(f.Down)
		return f
	})
	addControls(w.srv, w.faults, func() any { return w.Counters() })
	w.srv.app.Get("/v1/weights/:name", w.serveLoad)
	return w
}

// Run serves until ctx is done.
func (w *WeightStore) Run(ctx context.Context) error { return w.srv.run(ctx) }

// Counters returns a snapshot of the totals.
func (w *WeightStore) Counters() WeightStoreCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totals
}

func (w *WeightStore) serveLoad(c fiber.Ctx) error {
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
func (w *WeightStore) beginLoad(now time.Time, refuse bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals.Started++
	for len(w.loadStarts) > 0 && now.Sub(w.loadStarts[0]) >= w.cfg.Period {
		w.loadStarts = w.loadStarts[1:]
	}
	w.loadStarts = append(w.loadStarts, now)
	switch {
	case len(w.loadStarts) > w.cfg.MaxLoads:
		w.totals.RefusedOverRate++
	case !refuse:
		w.totals.Running++
		return nil
	}
	w.totals.Refused++
	return errors.Errorf("%d loads within %s; at most %d", len(w.loadStarts), w.cfg.Period, w.cfg.MaxLoads)
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
		return errors.Errorf("weight store responded with status %d", resp.StatusCode)
	}
	return nil
}
