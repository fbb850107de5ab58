package gooseforward

import (
	"cmp"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Metrics are the counters and histograms of forwarded requests.
type Metrics struct {
	set      *metrics.Set
	inFlight *metrics.Counter
}

// NewMetrics adds the metrics to set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, inFlight: set.NewCounter("gooseberryhold_requests_running")}
}

// countRequest counts a request that has ended.
func (m *Metrics) countRequest(service goose.ServiceName, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

// countAttempt counts an attempt that has ended.
func (m *Metrics) countAttempt(service goose.ServiceName, o outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_attempts_total{service=%q,outcome=%q}`, service, o)).Inc()
}

// countCallerRetry counts a request whose caller was refused before.
func (m *Metrics) countCallerRetry(service goose.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_caller_retries_total{service=%q}`, service)).Inc()
}

// countBodyRefusal counts a request that was refused because of its body.
func (m *Metrics) countBodyRefusal(r goose.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_bodies_refused_total{reason=%q}`, cmp.Or(r.Reason, string(r.Code)))).Inc()
}

// countCut counts a transfer that was cut to make room for others.
func (m *Metrics) countCut(kind goosetransfer.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_transfers_cut_total{memory=%q}`, kind)).Inc()
}

// observeTimeToFirst records the time to the first event of a stream or to the complete
// response.
func (m *Metrics) observeTimeToFirst(service goose.ServiceName, class goose.LengthClass, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`gooseberryhold_first_answer_seconds{service=%q,class=%q}`, service, class)).Update(d.Seconds())
}

// reservationResult is what became of a reservation of memory.
type reservationResult string

// Results of reservations. Those that are released unused are counted as made, too, and those
// that are replaced as refused.
const (
	reservationMade     reservationResult = "made"
	reservationRefused  reservationResult = "refused"
	reservationReplaced reservationResult = "replaced"
	reservationUnused   reservationResult = "released-unused"
)

// countReservations counts n reservations.
func (m *Metrics) countReservations(service goose.ServiceName, r reservationResult, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_reservations_total{service=%q,result=%q}`, service, r)).Add(n)
}
