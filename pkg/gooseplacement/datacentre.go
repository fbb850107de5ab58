package gooseplacement

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// minFarFreeSlots is the mean number of free slots of the replicas of another data centre below
// which it gets no requests of this one. Its sums are up to 400 ms old, so that the instances of
// all other data centres would fill its last slots at the same time.
const minFarFreeSlots = 1.5

// withoutFullDataCentres returns the candidates of the own data centre and of those that have
// slots to spare.
func (pl *Placer) withoutFullDataCentres(e goose.EngineProfile, all []candidate) []candidate {
	type total struct{ replicas, free int }
	totals := map[goose.DataCentre]total{}
	for _, c := range all {
		t := totals[c.DataCentre]
		totals[c.DataCentre] = total{replicas: t.replicas + 1, free: t.free + max(e.Slots-c.load.Requests, 0)}
	}
	var left []candidate
	for _, c := range all {
		t := totals[c.DataCentre]
		if c.DataCentre == pl.opts.DataCentre || float64(t.free) >= minFarFreeSlots*float64(t.replicas) {
			left = append(left, c)
		}
	}
	return left
}
