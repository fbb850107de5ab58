package gooserelay

import (
	"bytes"
	"compress/flate"
	"io"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// partBytes is the size of the part of an update in one datagram.
	partBytes = 1000
	// maxParts bounds the datagrams of one update. The others read a larger one from the
	// store, since so many datagrams at once would fill the link of a small machine.
	maxParts = 12
	// maxUpdateBytes bounds an update that is received, after its decompression.
	maxUpdateBytes = 8 << 20
	// maxDatagramBytes bounds a datagram.
	maxDatagramBytes = 1400
)

// message is one datagram of a relay: a heartbeat, and with Parts above zero also a part of
// an update.
type message struct {
	From goose.InstanceID `cbor:"1,keyasint"`
	// Revision is the revision up to which the relay knows all changes.
	Revision int64 `cbor:"2,keyasint"`
	// Age is how long ago the store confirmed that.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// After and Until are the revisions of the update: it has all changes after After up to
	// Until.
	After int64 `cbor:"4,keyasint,omitempty"`
	Until int64 `cbor:"5,keyasint,omitempty"`
	Part  int   `cbor:"6,keyasint,omitempty"`
	Parts int   `cbor:"7,keyasint,omitempty"`
	// Data is the part of an update that has whole values, and DeltaData of one that has
	// differences to earlier values. Instances that do not know DeltaData find no update.
	Data      []byte `cbor:"8,keyasint,omitempty"`
	DeltaData []byte `cbor:"9,keyasint,omitempty"`
	// Era is the era of all revisions. Instances that do not know eras send none, which is era 0.
	Era goose.StoreEra `cbor:"10,keyasint,omitempty"`
}

// data returns the part of the update in the message.
func (m message) data() []byte {
	if len(m.DeltaData) > 0 {
		return m.DeltaData
	}
	return m.Data
}

// validate returns an error if no relay can have sent the message.
func (m message) validate() error {
	switch {
	case m.From == "":
		return errors.New("no sender")
	case m.Era < 0 || m.Revision < 0 || m.Age < 0:
		return errors.Errorf("era %d, revision %d, age %s", m.Era, m.Revision, m.Age)
	case m.Parts < 0 || m.Parts > maxParts || m.Part < 0 || m.Parts > 0 && m.Part >= m.Parts:
		return errors.Errorf("part %d of %d", m.Part, m.Parts)
	case m.After < 0 || m.Until < m.After || m.Until == math.MaxInt64:
		return errors.Errorf("revisions %d to %d", m.After, m.Until)
	}
	return nil
}

// update is a set of changes that follow each other.
type update struct {
	// after and until are revisions: the update has all changes after the first one up to the
	// second one, of each key the last.
	after, until int64
	// era is the era of the revisions.
	era    goose.StoreEra
	events []goose.WatchEvent
	// deltas are the events of which only differences are known.
	deltas []deltaEvent
}

// wireEvent is the encoding of a change.
type wireEvent struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Created  int64  `cbor:"3,keyasint,omitempty"`
	Revision int64  `cbor:"4,keyasint"`
	Lease    int64  `cbor:"5,keyasint,omitempty"`
	Deleted  bool   `cbor:"6,keyasint,omitempty"`
	// Delta is the difference to the value of the key at revision From, in place of Value.
	Delta []byte `cbor:"7,keyasint,omitempty"`
	From  int64  `cbor:"8,keyasint,omitempty"`
}

func newWireEvent(e goose.WatchEvent) wireEvent {
	return wireEvent{
		Key: e.Entry.Key, Value: e.Entry.Value, Created: e.Entry.CreateRevision, Revision: e.Entry.ModRevision,
		Lease: int64(e.Entry.Lease), Deleted: e.Deleted,
	}
}

func (e wireEvent) event() goose.WatchEvent {
	return goose.WatchEvent{Deleted: e.Deleted, Entry: goose.Entry{
		Key: e.Key, Value: e.Value, CreateRevision: e.Created, ModRevision: e.Revision, Lease: goose.LeaseID(e.Lease),
	}}
}

// newUpdate returns the update of a poll, with the last change of each key.
func newUpdate(after, until int64, events []goose.WatchEvent) update {
	last := map[string]int{}
	for i, e := range events {
		last[e.Entry.Key] = i
	}
	u := update{after: after, until: until}
	for i, e := range events {
		if last[e.Entry.Key] == i {
			u.events = append(u.events, e)
		}
	}
	return u
}

// encode returns the parts of the update, or nil if there would be too many.
func (u update) encode() ([][]byte, error) {
	all := make([]wireEvent, 0, len(u.events)+len(u.deltas))
	for _, e := range u.events {
		all = append(all, newWireEvent(e))
	}
	for _, d := range u.deltas {
		w := newWireEvent(d.event)
		w.Delta, w.From = d.delta, d.from
		all = append(all, w)
	}
	plain, err := cbor.Marshal(all)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.DefaultCompression)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	if data.Len() > maxParts*partBytes {
		return nil, nil
	}
	var parts [][]byte
	for rest := data.Bytes(); len(rest) > 0; {
		n := min(len(rest), partBytes)
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	return parts, nil
}

// decodeUpdate decodes the joined parts of an update.
func decodeUpdate(after, until int64, data []byte) (update, error) {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return update{}, errors.WithStack(err)
	}
	var all []wireEvent
	if err := cbor.Unmarshal(plain, &all); err != nil {
		return update{}, errors.WithStack(err)
	}
	u := update{after: after, until: until}
	for _, e := range all {
		if len(e.Delta) > 0 {
			u.deltas = append(u.deltas, deltaEvent{event: e.event(), from: e.From, delta: e.Delta})
			continue
		}
		u.events = append(u.events, e.event())
	}
	return u, nil
}

// assembly collects the parts of one update.
type assembly struct {
	from         goose.InstanceID
	after, until int64
	parts        [][]byte
	missing      int
}

// add adds a part. It returns the update once it is complete. A part of another update
// begins a new assembly.
func (a *assembly) add(m message) (update, bool, error) {
	if a.from != m.From || a.after != m.After || a.until != m.Until || len(a.parts) != m.Parts {
		*a = assembly{from: m.From, after: m.After, until: m.Until, parts: make([][]byte, m.Parts), missing: m.Parts}
	}
	if a.missing == 0 || a.parts[m.Part] != nil {
		return update{}, false, nil
	}
	a.parts[m.Part] = append([]byte{}, m.data()...)
	if a.missing--; a.missing > 0 {
		return update{}, false, nil
	}
	u, err := decodeUpdate(m.After, m.Until, bytes.Join(a.parts, nil))
	return u, err == nil, err
}
