package goosehost

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

func (h *host) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// registerGauges registers the gauges that show the state of the instance.
func (h *host) registerGauges() {
	gauge := func(name string, value func(s *goosedirectory.Snapshot) float64) {
		h.metrics.NewGauge(name, func() float64 { return value(h.directory.Current()) })
	}
	gauge("gooseberryhold_routing_version", func(s *goosedirectory.Snapshot) float64 {
		if s.Table == nil {
			return 0
		}
		return float64(s.Table.Version())
	})
	gauge("gooseberryhold_replicas", func(s *goosedirectory.Snapshot) float64 { return float64(s.Len()) })
	gauge("gooseberryhold_instances", func(*goosedirectory.Snapshot) float64 {
		return float64(h.placer.Instances(h.clock.Now()))
	})
	gauge("gooseberryhold_quarantined_requests", func(*goosedirectory.Snapshot) float64 {
		return float64(h.quarantine.QuarantinedCount(goose.SubjectRequest, h.clock.Now()))
	})
	gauge("gooseberryhold_quarantined_parts", func(*goosedirectory.Snapshot) float64 {
		return float64(h.quarantine.QuarantinedCount(goose.SubjectPart, h.clock.Now()))
	})
	gauge("gooseberryhold_replicas_leaving", func(*goosedirectory.Snapshot) float64 { return float64(h.placer.LeavingCount()) })
	for _, kind := range []gooseplacement.MarkKind{gooseplacement.MarkFull, gooseplacement.MarkNoMemory, gooseplacement.MarkSlow} {
		gauge(fmt.Sprintf("gooseberryhold_replicas_marked{mark=%q}", kind), func(*goosedirectory.Snapshot) float64 {
			return float64(h.placer.MarkCount(kind, h.clock.Now()))
		})
	}
	gauge("gooseberryhold_replicas_paused", func(*goosedirectory.Snapshot) float64 { return float64(h.placer.PausedCount(h.clock.Now())) })
	gauge("gooseberryhold_store_reach_seconds", func(*goosedirectory.Snapshot) float64 {
		return h.follower.ReachableFor(h.clock.Now()).Seconds()
	})
	gauge("gooseberryhold_store_era", func(*goosedirectory.Snapshot) float64 { return float64(h.era.Current()) })
	gauge("gooseberryhold_store_relay", func(*goosedirectory.Snapshot) float64 {
		if h.relay != nil && h.relay.Leading() {
			return 1
		}
		return 0
	})
	gauge("gooseberryhold_store_relay_followed", func(*goosedirectory.Snapshot) float64 {
		if h.followingRelay() {
			return 1
		}
		return 0
	})
	gauge("gooseberryhold_ready", func(*goosedirectory.Snapshot) float64 {
		if h.ready() {
			return 1
		}
		return 0
	})
}
