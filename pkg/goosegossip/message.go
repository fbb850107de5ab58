package goosegossip

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// message is one datagram. All datagrams of a report have the same Sequence.
type message struct {
	From goose.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the start time of the process; a larger one is a later process.
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Part        int    `cbor:"4,keyasint,omitempty"`
	Parts       int    `cbor:"5,keyasint"`
	// Store is the sender's view of the store.
	Store goosedirectory.StoreView `cbor:"7,keyasint"`
	// Crashes are records of requests that crash replicas. They are sent in separate
	// datagrams, without parts of a load report.
	Crashes []goose.CrashRecord `cbor:"8,keyasint,omitempty"`
	// DataCentre is the data centre of the sender.
	DataCentre goose.DataCentre `cbor:"9,keyasint,omitempty"`
	// Sum is set if the report is the sum of the reports of the sender's data centre.
	Sum    bool       `cbor:"10,keyasint,omitempty"`
	Report wireReport `cbor:"11,keyasint"`
}

// wireReport is the encoding of a report. Loads are arrays of small numbers, so that the sum
// of a data centre fits into one or two datagrams.
type wireReport struct {
	Replicas    map[goose.ReplicaID]wireLoad                     `cbor:"1,keyasint,omitempty"`
	OfferedLoad map[goose.ServiceName]gooseplacement.OfferedLoad `cbor:"2,keyasint,omitempty"`
	Instances   int                                              `cbor:"3,keyasint,omitempty"`
	Leaving     []wireProcess                                    `cbor:"4,keyasint,omitempty"`
	Marks       []wireMark                                       `cbor:"5,keyasint,omitempty"`
}

// wireProcess is the encoding of a process that leaves.
type wireProcess struct {
	_             struct{} `cbor:",toarray"`
	Replica       goose.ReplicaID
	StartedUnixMS int64
}

// wireLoad is the encoding of a load.
type wireLoad struct {
	_                  struct{} `cbor:",toarray"`
	Requests           int
	Waiting            int
	Tokens             int
	PrefillMS          int64
	ShortPauseStreams  int
	MediumPauseStreams int
}

func encodeLoad(l gooseplacement.Load) wireLoad {
	return wireLoad{
		Requests: l.Requests, Waiting: l.Waiting, Tokens: l.Tokens, PrefillMS: l.Prefill.Milliseconds(),
		ShortPauseStreams: l.ShortPauseStreams, MediumPauseStreams: l.MediumPauseStreams,
	}
}

// maxPrefillMS keeps a decoded prefill from overflowing.
const maxPrefillMS = math.MaxInt64 / int64(time.Millisecond)

func (r wireReport) decode() (gooseplacement.Report, error) {
	report := gooseplacement.Report{OfferedLoad: r.OfferedLoad, Instances: r.Instances, Replicas: make(map[goose.ReplicaID]gooseplacement.Load, len(r.Replicas))}
	for id, l := range r.Replicas {
		if l.PrefillMS < 0 || l.PrefillMS > maxPrefillMS {
			return gooseplacement.Report{}, errors.Errorf("replica %.60q: prefill of %d ms", string(id), l.PrefillMS)
		}
		report.Replicas[id] = gooseplacement.Load{
			Requests: l.Requests, Waiting: l.Waiting, Tokens: l.Tokens, Prefill: time.Duration(l.PrefillMS) * time.Millisecond,
			ShortPauseStreams: l.ShortPauseStreams, MediumPauseStreams: l.MediumPauseStreams,
		}
	}
	for _, p := range r.Leaving {
		report.Leaving = append(report.Leaving, gooseplacement.Process{Replica: p.Replica, StartedUnixMS: p.StartedUnixMS})
	}
	report.Marks = decodeMarks(r.Marks)
	return report, report.Validate()
}

// maxParts bounds the datagrams of one report.
const maxParts = 1 << 10

// validate returns an error if no instance can have sent the message.
func (m message) validate() error {
	switch {
	case m.From == "":
		return errors.New("no sender")
	case m.Parts < 0 || m.Parts > maxParts || m.Part < 0 || m.Part > m.Parts:
		return errors.Errorf("part %d of %d", m.Part, m.Parts)
	case m.Sum && m.DataCentre == "":
		return errors.New("sum without a data centre")
	case m.Store.ReachableFor < 0 || m.Store.RecoveredFor < 0 || m.Store.Era < 0:
		return errors.Errorf("view of the store: %+v", m.Store)
	}
	return nil
}
