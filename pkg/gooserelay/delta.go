package gooserelay

import (
	"cmp"
	"context"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// minDeltaBytes is the size of a value from which on its difference to an earlier one is
	// sent. Configurations are long, and each differs little from the one before.
	minDeltaBytes = 2 << 10
	// maxBases is the number of values of a key that are kept. The others may have read values
	// from the store that are newer than the one of which the relay sends a difference.
	maxBases = 8
	// maxBaseBytes bounds the values that are kept of all keys.
	maxBaseBytes = 512 << 10
	// minDeltaWindow and maxDeltaWindow bound the distance over which an earlier value is
	// searched. It takes memory at the relay while it encodes.
	minDeltaWindow = 32 << 10
	maxDeltaWindow = 256 << 10
	// dictionaryID is any number that is not zero.
	dictionaryID = 1
)

// base is a long value that a key had.
type base struct {
	key      string
	revision int64
	value    []byte
}

// bases are the long values that keys had lately, oldest first.
type bases []base

// with returns the bases after some changes of the store.
func (b bases) with(events []goose.WatchEvent) bases {
	for _, e := range events {
		if e.Deleted || len(e.Entry.Value) < minDeltaBytes || b.find(e.Entry.Key, e.Entry.ModRevision) != nil {
			continue
		}
		b = append(slices.Clip(b), base{key: e.Entry.Key, revision: e.Entry.ModRevision, value: e.Entry.Value})
	}
	for len(b) > 0 && b.excessive() {
		b = b[1:]
	}
	return b
}

// excessive reports whether the oldest value is one too many.
func (b bases) excessive() bool {
	ofKey, size := 0, 0
	for _, o := range b {
		size += len(o.value)
		if o.key == b[0].key {
			ofKey++
		}
	}
	return ofKey > maxBases || size > maxBaseBytes
}

// find returns the value that a key had at a revision, or nil.
func (b bases) find(key string, revision int64) []byte {
	for _, o := range b {
		if o.key == key && o.revision == revision {
			return o.value
		}
	}
	return nil
}

// newest returns the newest value of a key, or nil.
func (b bases) newest(key string) *base {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i].key == key {
			return &b[i]
		}
	}
	return nil
}

// encodeDelta returns the difference of a value to an earlier one.
func encodeDelta(from, value []byte) ([]byte, error) {
	window := minDeltaWindow
	for window < len(from)+len(value) && window < maxDeltaWindow {
		window *= 2
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, from), zstd.WithWindowSize(window),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(value, nil), nil
}

// decodeDelta returns the value of a difference to an earlier one.
func decodeDelta(from, delta []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, from), zstd.WithDecoderMaxMemory(maxUpdateBytes),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer r.Close()
	value, err := r.DecodeAll(delta, nil)
	return value, errors.WithStack(err)
}

// deltaEvent is a change of which only the difference to an earlier value of the key is known.
type deltaEvent struct {
	event goose.WatchEvent
	// from is the revision of the earlier value.
	from  int64
	delta []byte
}

// split separates the changes whose values are sent as differences to bases.
func (b bases) split(events []goose.WatchEvent) (whole []goose.WatchEvent, deltas []deltaEvent, err error) {
	for _, e := range events {
		from := b.newest(e.Entry.Key)
		if e.Deleted || from == nil || len(e.Entry.Value) < minDeltaBytes {
			whole = append(whole, e)
			continue
		}
		delta, err := encodeDelta(from.value, e.Entry.Value)
		if err != nil {
			return nil, nil, err
		}
		if len(delta) >= len(e.Entry.Value)/2 {
			whole = append(whole, e)
			continue
		}
		d := deltaEvent{event: e, from: from.revision, delta: delta}
		d.event.Entry.Value = nil
		deltas = append(deltas, d)
	}
	return whole, deltas, nil
}

// errNoBase means that the value of which a difference was sent is not known.
var errNoBase = errors.New("earlier value is not known")

// expand returns the change with its whole value.
func (b bases) expand(d deltaEvent) (goose.WatchEvent, error) {
	from := b.find(d.event.Entry.Key, d.from)
	if from == nil {
		return goose.WatchEvent{}, errors.Wrapf(errNoBase, "key %s at revision %d", d.event.Entry.Key, d.from)
	}
	value, err := decodeDelta(from, d.delta)
	if err != nil {
		return goose.WatchEvent{}, err
	}
	e := d.event
	e.Entry.Value = value
	return e, nil
}

// encode returns the parts of an update, whose long values it replaces by differences. The lock
// must be held.
func (r *Relay) encode(u *update) ([][]byte, error) {
	whole, deltas, err := r.bases.split(u.events)
	if err != nil {
		return nil, err
	}
	u.events, u.deltas = whole, deltas
	return u.encode()
}

// List implements goose.Store. It keeps the long values for the differences that follow.
func (r *Relay) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	era := r.o.Era.Current()
	entries, revision, err := r.Store.List(ctx, prefix, limit)
	events := make([]goose.WatchEvent, 0, len(entries))
	for _, e := range entries {
		events = append(events, goose.WatchEvent{Entry: e})
	}
	r.keepBases(events, era)
	return entries, revision, err
}

// keepBases keeps the long values of changes of an era that were delivered.
func (r *Relay) keepBases(events []goose.WatchEvent, era goose.StoreEra) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropOlderEra(); era != r.era {
		return
	}
	r.bases = r.bases.with(events)
}

// expand adds the changes of an update that are known by their differences.
func (r *Relay) expand(u update) (update, error) {
	r.mu.Lock()
	r.dropOlderEra()
	known := r.bases
	if u.era != r.era {
		known = nil
	}
	r.mu.Unlock()
	for _, d := range u.deltas {
		e, err := known.expand(d)
		if err != nil {
			return update{}, err
		}
		u.events = append(u.events, e)
	}
	u.deltas = nil
	// A watch that ends in the middle of an update goes on after the newest change delivered.
	slices.SortFunc(u.events, func(a, b goose.WatchEvent) int { return cmp.Compare(a.Entry.ModRevision, b.Entry.ModRevision) })
	return u, nil
}
