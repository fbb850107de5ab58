package goose

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashEvidence is how strongly a failed attempt indicates that it ended the process of
// its replica.
type CrashEvidence string

// Kinds of evidence.
const (
	EvidenceNone CrashEvidence = ""
	// EvidenceInterrupted means that the response was interrupted and the replica's process
	// still accepts connections.
	EvidenceInterrupted CrashEvidence = "interrupted"
	// EvidenceLost means that the response was interrupted and the replica's process does not
	// accept connections. The cause may be the replica, the network, or a request that came
	// later.
	EvidenceLost CrashEvidence = "lost"
	// EvidenceCrash means that the replica's process ended before it had sent any part of the
	// response.
	EvidenceCrash CrashEvidence = "crash"
)

// SubjectKind is the kind of what crashes replicas.
type SubjectKind string

// Kinds of subjects.
const (
	// SubjectRequest is one request with all that it contains.
	SubjectRequest SubjectKind = ""
	// SubjectPart is a part of prompts, whatever else the requests contain.
	SubjectPart SubjectKind = "part"
)

// CrashSubjects is what may make a request crash its replica: the request as a whole, or one of
// the shared parts of its prompt. It is immutable.
type CrashSubjects struct {
	// Request is zero if no evidence against the request as a whole is kept here.
	Request Fingerprint
	Parts   []Fingerprint
}

// Contains reports whether the fingerprint is that of the request or of one of its parts.
func (s CrashSubjects) Contains(f Fingerprint) bool {
	return f == s.Request || slices.Contains(s.Parts, f)
}

// PartBits returns a small set of the parts of the request: a bit for each of them.
func (s CrashSubjects) PartBits() uint64 {
	bits := uint64(0)
	for _, part := range s.Parts {
		bits |= partBit(part)
	}
	return bits
}

func partBit(part Fingerprint) uint64 { return 1 << (part % 64) }

// CrashID identifies one process of a replica. A process ends only once, so the ID also
// identifies its crash.
type CrashID uint32

// NewCrashID identifies the process of a replica by its start time.
func NewCrashID(r Replica) CrashID {
	return NewProcessCrashID(r.ID, strconv.FormatInt(r.StartedUnixMS, 10))
}

// NewProcessCrashID hashes a replica's ID and the ID of its process. The result is never zero.
func NewProcessCrashID(id ReplicaID, process string) CrashID {
	return max(CrashID(xxhash.Sum64String(string(id)+" "+process)), 1)
}

// MaxCrashes is the largest number of processes in a CrashRecord.
const MaxCrashes = 8

// CrashRecord lists the replica processes that ended while they ran requests with the same
// subject. It is immutable.
type CrashRecord struct {
	Kind        SubjectKind `cbor:"6,keyasint,omitempty" json:"kind,omitempty"`
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"-"`
	// Round increases when a replica survives the request. Evidence of earlier rounds no longer
	// counts.
	Round uint32 `cbor:"2,keyasint,omitempty" json:"round"`
	// Weight is the sum of the weights of the round's evidence.
	Weight uint32 `cbor:"3,keyasint,omitempty" json:"weight"`
	// Crashes holds the processes that ended in the round: the MaxCrashes largest IDs in
	// descending order, padded with zeros.
	Crashes [MaxCrashes]CrashID `cbor:"4,keyasint" json:"crashes"`
	// PartBits is the set of the parts of a request; zero for a part.
	PartBits uint64 `cbor:"7,keyasint,omitempty" json:"part-bits,omitempty"`
	// Trials is the number of trials of a quarantined part in the round.
	Trials uint32 `cbor:"8,keyasint,omitempty" json:"trials,omitempty"`
	// Age is the time since the last change of Weight or Trials; it is never negative.
	Age time.Duration `cbor:"5,keyasint,omitempty" json:"-"`
}

// WithCrash returns the record with one more process that ended.
func (r CrashRecord) WithCrash(id CrashID, weight uint32) CrashRecord {
	r.Weight += weight
	r.Crashes = union(r.Crashes, [MaxCrashes]CrashID{id})
	return r
}

// CrashCount returns the number of processes in the record, at most MaxCrashes.
func (r CrashRecord) CrashCount() int {
	n := 0
	for _, id := range r.Crashes {
		if id != 0 {
			n++
		}
	}
	return n
}

// MayContain reports whether the record is that of a request that may contain the part.
func (r CrashRecord) MayContain(part Fingerprint) bool { return r.PartBits&partBit(part) != 0 }

// WithTrial returns the record after the begin of a further trial.
func (r CrashRecord) WithTrial() CrashRecord {
	r.Trials++
	return r.WithAge(0)
}

// WithAge returns the record with another age, at least zero.
func (r CrashRecord) WithAge(age time.Duration) CrashRecord {
	r.Age = max(age, 0)
	return r
}

// HasCrash reports whether the record contains the process.
func (r CrashRecord) HasCrash(id CrashID) bool { return slices.Contains(r.Crashes[:], id) }

// MayHaveCrash reports whether the process ended while it ran a request with the subject, as
// far as the record shows: a full record has dropped smaller IDs.
func (r CrashRecord) MayHaveCrash(id CrashID) bool {
	smallest := r.Crashes[MaxCrashes-1]
	return r.HasCrash(id) || smallest != 0 && id < smallest
}

// Equal reports whether two records are equal apart from their age.
func (r CrashRecord) Equal(other CrashRecord) bool { return r.WithAge(0) == other.WithAge(0) }

// Merge combines two records of the same request. The result does not depend on the order
// of merges or on how often a record is merged.
func (r CrashRecord) Merge(other CrashRecord) CrashRecord {
	r.PartBits |= other.PartBits
	other.PartBits = r.PartBits
	if r.Round < other.Round || r.Round == other.Round && r.Weight < other.Weight {
		r, other = other, r
	}
	if r.Round > other.Round {
		return r
	}
	switch {
	case r.Weight == other.Weight && r.Trials == other.Trials:
		// A copy does not age while it is sent between instances, so the largest age is the
		// right one.
		r.Age = max(r.Age, other.Age)
	case r.Trials < other.Trials && r.Weight == other.Weight:
		r.Age = other.Age
	case r.Trials < other.Trials:
		r.Age = min(r.Age, other.Age)
	}
	r.Trials = max(r.Trials, other.Trials)
	r.Crashes = union(r.Crashes, other.Crashes)
	return r
}

// union returns the MaxCrashes largest IDs of two sets, in descending order.
func union(a, b [MaxCrashes]CrashID) (u [MaxCrashes]CrashID) {
	all := append(a[:], b[:]...)
	slices.SortFunc(all, func(x, y CrashID) int { return cmp.Compare(y, x) })
	copy(u[:], slices.Compact(all))
	return u
}
