package goosegossip

import (
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// message is one datagram. All datagrams of a report have the same Sequence.
type message struct {
	From goose.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the start time of the process; a larger one is a later process.
	Incarnation int64                 `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Part        int                   `cbor:"4,keyasint,omitempty"`
	Parts       int                   `cbor:"5,keyasint"`
	Report      gooseplacement.Report `cbor:"6,keyasint"`
	// Store is the sender's view of the store.
	Store goosedirectory.StoreView `cbor:"7,keyasint"`
	// Crashes are records of requests that crash replicas. They are sent in separate
	// datagrams, without parts of a load report.
	Crashes []goose.CrashRecord `cbor:"8,keyasint,omitempty"`
	// DataCentre is the data centre of the sender.
	DataCentre goose.DataCentre `cbor:"9,keyasint,omitempty"`
	// Sum is set if the report is the sum of the reports of the sender's data centre.
	Sum bool `cbor:"10,keyasint,omitempty"`
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
	case m.Store.ReachableFor < 0 || m.Store.RecoveredFor < 0:
		return errors.Errorf("view of the store: %+v", m.Store)
	}
	return m.Report.Validate()
}
