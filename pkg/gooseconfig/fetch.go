package gooseconfig

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// maxReplyBytes bounds the sections in one answer to a fetch; one section is
// always sent.
const maxReplyBytes = 512 << 10

type offerRequest struct {
	Version int64 `cbor:"1,keyasint"`
	// Forward are members that the receiver offers the version to once it has it.
	Forward []goose.InstanceID `cbor:"2,keyasint,omitempty"`
}

// hint names a peer that offered a newer version.
type hint struct {
	address string
	offer   offerRequest
}

type offerAnswer struct {
	Version int64 `cbor:"1,keyasint"`
}

// fetchRequest asks for the head (no hashes) or for sections.
type fetchRequest struct {
	Hashes []Hash `cbor:"1,keyasint"`
}

// fetchAnswer holds the head, or the first of the wanted sections that fit.
// Sections that the peer no longer has are left out.
type fetchAnswer struct {
	// Head is encoded as in the store, whatever the encoding of peer calls.
	Head     []byte   `cbor:"1,keyasint"`
	Sections [][]byte `cbor:"2,keyasint"`
}

// Register adds the handlers for calls from peers.
func (r *Relay) Register(router goose.PeerRouter) {
	router.Handle(KindOffer, r.handleOffer)
	router.Handle(KindFetch, r.handleFetch)
}

func (r *Relay) handleOffer(_ context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
	var q offerRequest
	if err := decode(&q); err != nil {
		return nil, errors.Wrap(err, KindOffer)
	}
	version := r.Source.Current().Version()
	if len(q.Forward) == 0 && q.Version <= version {
		return offerAnswer{Version: version}, nil
	}
	for _, m := range r.Members.Members() {
		if m.Instance == from {
			r.hint(hint{m.Address, q})
		}
	}
	return offerAnswer{Version: version}, nil
}

// hint wakes the peer loop; a hint that is still waiting serves as well. Members
// that miss an offer for this reason see the version in a heartbeat.
func (r *Relay) hint(h hint) {
	select {
	case r.wake <- h:
	default:
	}
}

func (r *Relay) handleFetch(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var q fetchRequest
	if err := decode(&q); err != nil {
		return nil, errors.Wrap(err, KindFetch)
	}
	s := r.Source.Snapshot()
	if len(q.Hashes) == 0 {
		head, err := encoding.Marshal(s.Head())
		return fetchAnswer{Head: head}, errors.Wrap(err, KindFetch)
	}
	var a fetchAnswer
	size := 0
	for _, h := range q.Hashes {
		data, ok := s.sections[h]
		if !ok {
			continue
		}
		if size += len(data); size > maxReplyBytes && len(a.Sections) > 0 {
			break
		}
		a.Sections = append(a.Sections, data)
	}
	return a, nil
}

// peerLoop fetches from peers that offer or show a higher version.
func (r *Relay) peerLoop(ctx context.Context) {
	t := time.NewTicker(relayTick)
	defer t.Stop()
	failed := "" // the peer that failed last, to log an outage once
	for {
		var h hint
		select {
		case <-ctx.Done():
			return
		case h = <-r.wake:
		case <-t.C:
			h.address = r.ahead()
		}
		address := h.address
		if address == "" {
			continue
		}
		var err error
		if h.offer.Version == 0 || h.offer.Version > r.Source.Current().Version() {
			err = r.fetch(ctx, address)
		}
		if ctx.Err() != nil {
			return
		}
		if r.Source.Current().Version() >= h.offer.Version {
			r.forwards.Go(func() { r.forward(ctx, h.offer) })
		}
		if err != nil && address != failed {
			gooseevent.ConfigurationFetchFailed.Log(r.Logger, slog.String("peer", address), slog.Any("error", err))
		}
		if failed = ""; err != nil {
			failed = address
		}
	}
}

// ahead returns the address of a live member with the highest version if that
// is above the one in force; members of the own data centre come first, others
// are chosen at random so that they share the load.
func (r *Relay) ahead() string {
	version := r.Source.Current().Version()
	if version == 0 && time.Since(r.started) < settleTime {
		return ""
	}
	self := r.Members.Self()
	var near, far []string
	best := version
	rejected := r.rejected.Load()
	for _, m := range r.Members.Members() {
		if !m.Live || m.Instance == self.Instance || m.Version < best || m.Version <= version {
			continue
		}
		if rejected != nil && m.Version == rejected.Version {
			continue
		}
		if m.Version > best {
			near, far, best = nil, nil, m.Version
		}
		if m.DataCentre == self.DataCentre {
			near = append(near, m.Address)
		} else {
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.N(len(near))]
}

// fetch takes the version of a peer if it is newer. Its sections are those
// that this instance already has, and the others from the peer.
func (r *Relay) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var a fetchAnswer
	if err := r.Caller.Call(ctx, address, KindFetch, fetchRequest{}, &a); err != nil {
		return errors.Wrap(err, "fetch head")
	}
	h, err := decodeHead(a.Head)
	if err != nil {
		return err
	}
	current := r.Source.Snapshot()
	if h.Version <= current.Version() || r.wasRejected(h) {
		return nil
	}
	sections, missing := current.pick(h)
	for len(missing) > 0 {
		a = fetchAnswer{}
		if err := r.Caller.Call(ctx, address, KindFetch, fetchRequest{Hashes: missing}, &a); err != nil {
			return errors.Wrap(err, "fetch sections")
		}
		before := len(missing)
		if missing = take(sections, missing, a.Sections); len(missing) == before {
			return errors.Wrapf(ErrMissing, "version %d: %d sections", h.Version, before)
		}
	}
	s, err := assemble(h, sections)
	if err != nil {
		r.reject(h, err)
		return nil
	}
	r.result(h, s, nil)
	return nil
}

// take adds the received sections that are missing and returns those that
// still are.
func take(sections map[Hash][]byte, missing []Hash, received [][]byte) []Hash {
	got := make(map[Hash][]byte, len(received))
	for _, data := range received {
		got[hashOf(data)] = data
	}
	var left []Hash
	for _, h := range missing {
		if data, ok := got[h]; ok {
			sections[h] = data
			continue
		}
		left = append(left, h)
	}
	return left
}
