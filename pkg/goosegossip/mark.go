package goosegossip

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// wireMark is the encoding of a mark of a process.
type wireMark struct {
	_             struct{} `cbor:",toarray"`
	Replica       goose.ReplicaID
	StartedUnixMS int64
	Kind          uint64
	AgeMS         int64
}

// markKinds are the numbers of the kinds of marks on the wire; a number is never reused.
var markKinds = map[uint64]gooseplacement.MarkKind{1: gooseplacement.MarkFull, 2: gooseplacement.MarkNoMemory, 3: gooseplacement.MarkSlow}

var markNumbers = invertMarkKinds()

func invertMarkKinds() map[gooseplacement.MarkKind]uint64 {
	numbers := map[gooseplacement.MarkKind]uint64{}
	for n, kind := range markKinds {
		numbers[kind] = n
	}
	return numbers
}

func encodeMark(m gooseplacement.Mark) wireMark {
	return wireMark{
		Replica: m.Process.Replica, StartedUnixMS: m.Process.StartedUnixMS, Kind: markNumbers[m.Kind], AgeMS: m.Age.Milliseconds(),
	}
}

// decodeMarks leaves out kinds that a later version may send. An age that would overflow
// becomes an invalid one.
func decodeMarks(marks []wireMark) []gooseplacement.Mark {
	var decoded []gooseplacement.Mark
	for _, m := range marks {
		kind, ok := markKinds[m.Kind]
		if !ok {
			continue
		}
		age := time.Duration(-1)
		if m.AgeMS >= 0 && m.AgeMS <= maxPrefillMS {
			age = time.Duration(m.AgeMS) * time.Millisecond
		}
		decoded = append(decoded, gooseplacement.Mark{
			Process: gooseplacement.Process{Replica: m.Replica, StartedUnixMS: m.StartedUnixMS}, Kind: kind, Age: age,
		})
	}
	return decoded
}

// observedMark identifies an observation. Unlike the age of a mark it does not change with time.
type observedMark struct {
	_       struct{} `cbor:",toarray"`
	Process gooseplacement.Process
	Kind    gooseplacement.MarkKind
	AtNS    int64
}

// observedMarks returns the observations of marks, so that a report is sent again only if a
// mark is new or was renewed.
func observedMarks(marks []gooseplacement.Mark, now time.Time) []observedMark {
	var observed []observedMark
	for _, m := range marks {
		observed = append(observed, observedMark{Process: m.Process, Kind: m.Kind, AtNS: now.Add(-m.Age).UnixNano()})
	}
	return observed
}

// recordMarks records the marks of a datagram. They count also if other datagrams of the report
// are missing or late, since each has an age.
func (g *Gossip) recordMarks(m message, reported []gooseplacement.Mark, now time.Time) {
	source := gooseplacement.LeavingFromPeer
	if m.Sum {
		source = gooseplacement.LeavingFromDataCentre
	}
	g.o.Placer.RecordReportedMarks(reported, source, now)
}
