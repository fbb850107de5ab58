package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// coldWindow is the window over which the requests to a cold replica are bounded.
	coldWindow = time.Second
	// coldShare is the part of the cold bound that the instances together may use. The
	// replica counts a request when it arrives, which can be later than it was sent.
	coldShare = 0.8
	// coldMargin is added to the time until which a replica reports that it is cold.
	coldMargin = time.Second
	// warmFactor raises an instance's share of the bound for a replica that does not report
	// that it is cold. Such a replica can become cold before the instances learn of it, but
	// they rarely all send to the same replica.
	warmFactor = 2.5
)

// ownColdShare is the part of the cold bound of a replica that the instances of its data
// centre share if the data centres report sums. The other instances share the rest.
const ownColdShare = 0.7

// coldBound is this instance's share of the requests that a cold replica may get in a
// coldWindow.
type coldBound struct {
	// limited is false if the service sets no bound.
	limited bool
	// own is the share for replicas of the own data centre, other that for the others.
	own, other float64
}

// coldBound returns the share of this instance.
func (pl *Placer) coldBound(s goose.RoutedService, now time.Time) coldBound {
	if s.ColdRate <= 0 {
		return coldBound{}
	}
	total := coldShare * (s.ColdRate*pl.opts.ColdFactor + pl.opts.ColdSlack)
	own, all := pl.instances(now)
	if !pl.table.split() {
		return coldBound{limited: true, own: total / float64(all), other: total / float64(all)}
	}
	return coldBound{limited: true, own: ownColdShare * total / float64(own), other: (1 - ownColdShare) * total / float64(max(all-own, 1))}
}

// reached reports whether this instance has sent the replica its share of the requests
// that a cold replica may get.
func (b coldBound) reached(r *replicaState, own, cold bool, now time.Time) bool {
	if !b.limited {
		return false
	}
	share := b.other
	if own {
		share = b.own
	}
	if !cold {
		share *= warmFactor
	}
	window := coldWindow
	if share < 1 {
		window = time.Duration(float64(coldWindow) / share)
		share = 1
	}
	recent := 0
	for i := len(r.attemptTimes); i > 0 && now.Sub(r.attemptTimes[i-1]) <= window; i-- {
		recent++
	}
	return recent >= int(share)
}
