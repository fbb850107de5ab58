package gooseforward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Metrics are the counters and histograms of forwarded requests.
type Metrics struct {
	set     *metrics.Set
	running *metrics.Counter
}

// NewMetrics adds the metrics to set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, running: set.NewCounter("gooseberryhold_requests_running")}
}

// count notes the end of a request.
func (m *Metrics) count(service goose.ServiceName, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

// attempt notes the end of an attempt.
func (m *Metrics) attempt(service goose.ServiceName, o outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_attempts_total{service=%q,outcome=%q}`, service, o)).Inc()
}

// first notes the time to the first event of a stream or to the whole answer.
func (m *Metrics) first(service goose.ServiceName, class goose.Class, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`gooseberryhold_first_answer_seconds{service=%q,class=%q}`, service, class)).Update(d.Seconds())
}
