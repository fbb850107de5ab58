package goosesuspect

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Lifetime is how long a mark holds after its crash.
const Lifetime = 10 * time.Minute

// Crash identifies one crash of a process. Process is empty if the backend
// server reports no process id.
type Crash struct {
	Replica goose.ReplicaID `cbor:"1,keyasint"`
	Process string          `cbor:"2,keyasint"`
}

// same reports whether two crashes that were noted some time apart are one.
func (c Crash) same(d Crash, apart time.Duration) bool {
	if c.Replica != d.Replica {
		return false
	}
	if c.Process != "" && d.Process != "" {
		return c.Process == d.Process
	}
	return apart.Abs() < namelessWindow
}

// Mark is what is known of one request. Marks never change on their way between
// instances, so merging them in any order and number gives the same result.
type Mark struct {
	Fingerprint goose.Fingerprint `cbor:"1,keyasint"`
	// Grade is none for a request that was cleared.
	Grade goose.Suspicion `cbor:"2,keyasint"`
	// Time is when the crash or the clearing was noted, in Unix nanoseconds of
	// the noting instance.
	Time int64 `cbor:"3,keyasint"`
	// Crash is empty for a cleared request.
	Crash Crash `cbor:"4,keyasint"`
}

// held is a mark with the time, by the local clock, at which it stops to count.
type held struct {
	Mark
	expires time.Time
	// repeated is set if the request was a suspect by another crash before this
	// mark's. It stays here; marks on their way do not carry it.
	repeated bool
}

// hold computes the expiry once, when the mark arrives: a clock that runs ahead
// elsewhere must not make a mark last longer here.
func (m Mark) hold(now time.Time) held {
	return held{Mark: m, expires: time.Unix(0, min(m.Time, now.UnixNano())).Add(Lifetime)}
}

func (h held) expired(now time.Time) bool { return !now.Before(h.expires) }

// valid reports whether a mark from a peer can be used.
func (m Mark) valid() bool {
	switch m.Grade {
	case goose.SuspicionNone, goose.SuspicionSuspect, goose.SuspicionOnTrial, goose.SuspicionCondemned:
		return m.Time > 0
	default:
		return false
	}
}

// suspected reports whether a request with the grade was in flight on one crash.
func suspected(g goose.Suspicion) bool {
	return g == goose.SuspicionSuspect || g == goose.SuspicionOnTrial
}

// merge returns the mark that counts of two for the same request: condemned
// beats all, then the later one, then the higher grade. The remaining
// comparisons only make the result independent of the order.
func merge(a, b held) held {
	if a.Mark == b.Mark && b.expires.Before(a.expires) || less(a.Mark, b.Mark) {
		a, b = b, a
	}
	bothSuspect := suspected(a.Grade) && suspected(b.Grade)
	a.repeated = a.repeated || bothSuspect && (b.repeated || !a.Crash.same(b.Crash, time.Duration(a.Time-b.Time)))
	return a
}

// rank orders the grades of marks of the same time.
var rank = map[goose.Suspicion]int{
	goose.SuspicionNone: 0, goose.SuspicionSuspect: 1, goose.SuspicionOnTrial: 2, goose.SuspicionCondemned: 3,
}

func less(a, b Mark) bool {
	ca, cb := a.Grade == goose.SuspicionCondemned, b.Grade == goose.SuspicionCondemned
	switch {
	case ca != cb:
		return cb
	case a.Time != b.Time:
		return a.Time < b.Time
	case a.Grade != b.Grade:
		return rank[a.Grade] < rank[b.Grade]
	case a.Crash.Replica != b.Crash.Replica:
		return a.Crash.Replica < b.Crash.Replica
	default:
		return a.Crash.Process < b.Crash.Process
	}
}
