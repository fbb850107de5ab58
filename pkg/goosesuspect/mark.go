package goosesuspect

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Lifetime is how long a mark counts after its crash.
const Lifetime = 10 * time.Minute

// Crash identifies one crash of a process. Process is empty if the backend server did not
// report a process id.
type Crash struct {
	Replica goose.ReplicaID `cbor:"1,keyasint"`
	Process string          `cbor:"2,keyasint"`
}

// sameAs reports whether two records with the given difference of their times describe the
// same crash.
func (c Crash) sameAs(other Crash, difference time.Duration) bool {
	if c.Replica != other.Replica {
		return false
	}
	if c.Process != "" && other.Process != "" {
		return c.Process == other.Process
	}
	return difference.Abs() < unknownProcessWindow
}

// Mark is the record of one request. Instances forward marks unchanged, so that merging
// them in any order and any number of times gives the same result.
type Mark struct {
	Fingerprint goose.Fingerprint `cbor:"1,keyasint"`
	// Grade is SuspicionNone for a cleared request.
	Grade goose.Suspicion `cbor:"2,keyasint"`
	// Time is the time at which the crash or the clearing was recorded, in Unix nanoseconds
	// by the clock of the recording instance.
	Time int64 `cbor:"3,keyasint"`
	// Crash is empty for a cleared request.
	Crash Crash `cbor:"4,keyasint"`
}

// localMark is a mark with the state that is kept on this instance only.
type localMark struct {
	Mark
	// expires is the expiry of the mark by the local clock.
	expires time.Time
	// repeated is set if another crash had already made the request a suspect before the
	// crash of this mark. It is not sent to peers.
	repeated bool
}

// withExpiry adds the expiry to a mark when the mark arrives. The expiry is computed once, and
// from at most the present time, so that a peer's clock that runs ahead does not extend the
// lifetime of the mark on this instance.
func (m Mark) withExpiry(now time.Time) localMark {
	return localMark{Mark: m, expires: time.Unix(0, min(m.Time, now.UnixNano())).Add(Lifetime)}
}

func (m localMark) expired(now time.Time) bool { return !now.Before(m.expires) }

// valid reports whether a mark from a peer is well-formed.
func (m Mark) valid() bool {
	switch m.Grade {
	case goose.SuspicionNone, goose.SuspicionSuspect, goose.SuspicionOnTrial, goose.SuspicionCondemned:
		return m.Time > 0
	default:
		return false
	}
}

// isSuspect reports whether the grade is that of a suspect: a request that was in flight
// during a crash and is not condemned.
func isSuspect(g goose.Suspicion) bool {
	return g == goose.SuspicionSuspect || g == goose.SuspicionOnTrial
}

// merge returns the mark of higher precedence of two marks of the same request. A condemned
// mark comes before all others, then the later mark, then the mark of higher grade. The
// remaining comparisons only make the result independent of the order of merging.
func merge(a, b localMark) localMark {
	if a.Mark == b.Mark && b.expires.Before(a.expires) || lowerPrecedence(a.Mark, b.Mark) {
		a, b = b, a
	}
	bothSuspect := isSuspect(a.Grade) && isSuspect(b.Grade)
	a.repeated = a.repeated || bothSuspect && (b.repeated || !a.Crash.sameAs(b.Crash, time.Duration(a.Time-b.Time)))
	return a
}

// gradeRank is the precedence of the grades of marks with the same time.
var gradeRank = map[goose.Suspicion]int{
	goose.SuspicionNone: 0, goose.SuspicionSuspect: 1, goose.SuspicionOnTrial: 2, goose.SuspicionCondemned: 3,
}

// lowerPrecedence reports whether a has a lower precedence than b.
func lowerPrecedence(a, b Mark) bool {
	condemnedA, condemnedB := a.Grade == goose.SuspicionCondemned, b.Grade == goose.SuspicionCondemned
	switch {
	case condemnedA != condemnedB:
		return condemnedB
	case a.Time != b.Time:
		return a.Time < b.Time
	case a.Grade != b.Grade:
		return gradeRank[a.Grade] < gradeRank[b.Grade]
	case a.Crash.Replica != b.Crash.Replica:
		return a.Crash.Replica < b.Crash.Replica
	default:
		return a.Crash.Process < b.Crash.Process
	}
}
