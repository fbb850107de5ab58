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

// maxReplyBytes limits the sections in one reply to a fetch. A reply holds at
// least one section, even if that alone is larger.
const maxReplyBytes = 512 << 10

type offerRequest struct {
	Version int64 `cbor:"1,keyasint"`
	// Forward lists the members to which the receiver offers the version once it
	// has the version itself.
	Forward []goose.InstanceID `cbor:"2,keyasint,omitempty"`
}

// peerOffer is an offer and the address of the peer that sent it. The offer is
// zero if the peer was found by the version in its heartbeat.
type peerOffer struct {
	address string
	offer   offerRequest
}

type offerReply struct {
	Version int64 `cbor:"1,keyasint"`
}

// fetchRequest asks for the sections with these hashes, or for the head if there
// are none.
type fetchRequest struct {
	Hashes []Hash `cbor:"1,keyasint"`
}

// fetchReply holds the head, or as many of the requested sections as fit, in the
// order of the request. It omits sections that the peer no longer has.
type fetchReply struct {
	// Head is encoded as in the store, whatever the encoding of peer calls.
	Head     []byte   `cbor:"1,keyasint"`
	Sections [][]byte `cbor:"2,keyasint"`
}

// Register adds the handlers for calls from peers.
func (d *Distributor) Register(router goose.PeerRouter) {
	router.Handle(KindOffer, d.handleOffer)
	router.Handle(KindFetch, d.handleFetch)
}

func (d *Distributor) handleOffer(_ context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
	var request offerRequest
	if err := decode(&request); err != nil {
		return nil, errors.Wrap(err, KindOffer)
	}
	version := d.Source.Current().Version()
	if len(request.Forward) == 0 && request.Version <= version {
		return offerReply{Version: version}, nil
	}
	for _, m := range d.Members.Members() {
		if m.Instance == from {
			d.enqueueOffer(peerOffer{m.Address, request})
		}
	}
	return offerReply{Version: version}, nil
}

// enqueueOffer passes an offer to fetchLoop. It drops the offer if another one is
// already queued, because that one starts a fetch as well. Members that miss an
// offer for this reason see the version in a heartbeat.
func (d *Distributor) enqueueOffer(o peerOffer) {
	select {
	case d.offers <- o:
	default:
	}
}

func (d *Distributor) handleFetch(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, errors.Wrap(err, KindFetch)
	}
	s := d.Source.Snapshot()
	if len(request.Hashes) == 0 {
		head, err := encMode.Marshal(s.Head())
		return fetchReply{Head: head}, errors.Wrap(err, KindFetch)
	}
	var reply fetchReply
	size := 0
	for _, h := range request.Hashes {
		data, ok := s.sections[h]
		if !ok {
			continue
		}
		if size += len(data); size > maxReplyBytes && len(reply.Sections) > 0 {
			break
		}
		reply.Sections = append(reply.Sections, data)
	}
	return reply, nil
}

// fetchLoop fetches newer versions from peers that offer one or whose heartbeats
// show one.
func (d *Distributor) fetchLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	failedAddress := "" // the peer whose fetch failed last, so that an outage is logged once
	for {
		var o peerOffer
		select {
		case <-ctx.Done():
			return
		case o = <-d.offers:
		case <-t.C:
			o.address = d.newestPeerAddress()
		}
		address := o.address
		if address == "" {
			continue
		}
		var err error
		if o.offer.Version == 0 || o.offer.Version > d.Source.Current().Version() {
			err = d.fetch(ctx, address)
		}
		if ctx.Err() != nil {
			return
		}
		if d.Source.Current().Version() >= o.offer.Version {
			d.forwarding.Go(func() { d.forwardOffer(ctx, o.offer) })
		}
		if err != nil && address != failedAddress {
			gooseevent.ConfigurationFetchFailed.Log(d.Logger, slog.String("peer", address), slog.Any("error", err))
		}
		if failedAddress = ""; err != nil {
			failedAddress = address
		}
	}
}

// newestPeerAddress returns the address of a live member with the highest version
// if that version is above the one in force, and "" otherwise. Members of this
// instance's data centre are preferred. Among several the choice is random, so
// that they share the load.
func (d *Distributor) newestPeerAddress() string {
	version := d.Source.Current().Version()
	if version == 0 && time.Since(d.started) < memberDiscoveryTime {
		return ""
	}
	self := d.Members.Self()
	var local, remote []string
	highest := version
	rejected := d.rejected.Load()
	for _, m := range d.Members.Members() {
		if !m.Live || m.Instance == self.Instance || m.Version < highest || m.Version <= version {
			continue
		}
		if rejected != nil && m.Version == rejected.Version {
			continue
		}
		if m.Version > highest {
			local, remote, highest = nil, nil, m.Version
		}
		if m.DataCentre == self.DataCentre {
			local = append(local, m.Address)
		} else {
			remote = append(remote, m.Address)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return ""
	}
	return local[rand.N(len(local))]
}

// fetch adopts the version of a peer if it is newer. It requests only the sections
// that this instance does not have yet.
func (d *Distributor) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var reply fetchReply
	if err := d.PeerClient.Call(ctx, address, KindFetch, fetchRequest{}, &reply); err != nil {
		return errors.Wrap(err, "fetch head")
	}
	h, err := decodeHead(reply.Head)
	if err != nil {
		return err
	}
	current := d.Source.Snapshot()
	if h.Version <= current.Version() || d.wasRejected(h) {
		return nil
	}
	sections, missing := current.reusableSections(h)
	for len(missing) > 0 {
		reply = fetchReply{}
		if err := d.PeerClient.Call(ctx, address, KindFetch, fetchRequest{Hashes: missing}, &reply); err != nil {
			return errors.Wrap(err, "fetch sections")
		}
		requested := len(missing)
		if missing = addReceived(sections, missing, reply.Sections); len(missing) == requested {
			return errors.Wrapf(ErrSectionMissing, "version %d: %d sections", h.Version, requested)
		}
	}
	s, err := assemble(h, sections)
	if err != nil {
		d.reject(h, err)
		return nil
	}
	d.handleLoadResult(h, s, nil)
	return nil
}

// addReceived adds the received sections that are missing, and returns the hashes
// of those that are still missing.
func addReceived(sections map[Hash][]byte, missing []Hash, received [][]byte) []Hash {
	byHash := make(map[Hash][]byte, len(received))
	for _, data := range received {
		byHash[hashOf(data)] = data
	}
	var stillMissing []Hash
	for _, h := range missing {
		if data, ok := byHash[h]; ok {
			sections[h] = data
			continue
		}
		stillMissing = append(stillMissing, h)
	}
	return stillMissing
}
