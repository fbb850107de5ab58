// Package gooserelay lets one instance of each data centre read the changes of the
// platform's store for the others. In a fleet of hundreds the calls to the store then grow
// with the data centres and not with the instances.
//
// Nobody appoints a relay. An instance that hears no relay reads the store itself, and sends
// what it reads to the others, which then stop reading. Of two relays the one of lower
// precedence stops. A relay vouches for its revision only as long as the store has confirmed
// it recently, so an instance that follows one knows every change within a part of the bound
// for changes, or reads the store itself. Two relays at the same time do no harm: updates are
// applied by their revisions.
package gooserelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// minInstances is the number of instances from which on relays save calls.
	minInstances = 12
	// sendCount is how often an update of at most maxResentParts datagrams is sent, since
	// datagrams can be lost. A longer one is sent once, so that it does not fill the link of a
	// small machine.
	sendCount      = 2
	maxResentParts = 2
	// maxOutgoing bounds the updates that wait to be sent.
	maxOutgoing = 16
	// maxReceived bounds the updates that wait for the watch.
	maxReceived = 64
	// maxClockStep is the difference between the wall clock and the monotonic clock above
	// which the machine may have been suspended, which the monotonic clock does not count.
	maxClockStep = 300 * time.Millisecond
)

// Parts of the bound for changes. An instance knows a change after at most the time that a
// relay vouches for its revision, one backoff and one call to the store.
const (
	vouchDivisor     = 2
	pollDivisor      = 5
	pauseDivisor     = 6
	backoffDivisor   = 10
	startDivisor     = 2
	heartbeatDivisor = 16
	// heartbeatsMissed is the number of heartbeats after which a relay counts as lost.
	heartbeatsMissed = 3
)

// Options are the dependencies of a Relay; all are required.
type Options struct {
	Instance goose.InstanceID
	Store    goose.PollingStore
	Conn     net.PacketConn
	// Neighbours returns the addresses of the relays of the other live instances of this
	// data centre.
	Neighbours func(now time.Time) []net.Addr
	// Instances returns the number of live instances of all data centres.
	Instances func(now time.Time) int
	// ChangeBound is the time within which a change has to be in force.
	ChangeBound time.Duration
	// WatchPause is the pause between two polls of the store in a small fleet.
	WatchPause time.Duration
	// MaxPollWait bounds how long the store may delay the response to a poll in a small fleet. A
	// connection that goes silent is noticed only when the poll on it ends.
	MaxPollWait time.Duration
	// Era knows the era of the store; the store's responses have passed it.
	Era   goose.EraTracker
	Log   *slog.Logger
	Clock goose.Clock
}

// Relay is a store whose watches of all keys are fed by the relay of the data centre, or by
// polls if there is none. All other calls go to the store.
type Relay struct {
	goose.Store
	o Options
	// received delivers the updates of the relay that is followed to the watch, and heard a
	// value after each of its messages.
	received chan update
	heard    chan struct{}
	// sendDue holds a value while an update should be sent at once.
	sendDue chan struct{}

	// leadFrom is when this instance may become a relay for the first time. Instances that
	// start together have different times, so that one becomes a relay and not all.
	leadFrom time.Time

	mu sync.Mutex
	// era is the era of the state below, which is dropped when another one begins.
	era goose.StoreEra
	// leading is set while this instance is a relay.
	leading bool
	// revision is the revision up to which this instance knows all changes, and confirmedAt
	// when the store confirmed that; zero if it has not since a failure.
	revision    int64
	confirmedAt time.Time
	outgoing    []*outgoing
	// bases are the long values up to the revision.
	bases bases
	// source is the relay that this instance follows.
	source source
	// assembly collects the parts of an update of the source.
	assembly assembly
	// lastTick is the last time at which the clocks were compared.
	lastTick time.Time
}

// outgoing is an update that is sent to the others.
type outgoing struct {
	update update
	parts  [][]byte
	sent   int
}

// source is a relay that is followed.
type source struct {
	id       goose.InstanceID
	revision int64
	// validUntil is until when the relay vouches for its revision.
	validUntil time.Time
}

// New returns a relay. Run starts it.
func New(o Options) *Relay {
	return &Relay{
		Store: o.Store, o: o, received: make(chan update, maxReceived), heard: make(chan struct{}, 1),
		sendDue: make(chan struct{}, 1), lastTick: o.Clock.Now(), leadFrom: o.Clock.Now().Add(rand.N(o.ChangeBound / startDivisor)),
	}
}

// Run exchanges messages with the other instances until ctx ends; it closes the connection.
func (r *Relay) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = r.o.Conn.Close() })
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { r.send(ctx) })
	wg.Go(func() { r.receive(ctx) })
	wg.Wait()
}

// Leading reports whether this instance is the relay of its data centre.
func (r *Relay) Leading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOlderEra()
	return r.leading
}

// Following reports whether the changes of the store come from another instance.
func (r *Relay) Following(now time.Time) bool {
	_, ok := r.currentSource(now)
	return ok
}

// Relayed returns the revision up to which the relay that is followed delivers the changes of
// the store, or false if there is none.
func (r *Relay) Relayed(now time.Time) (goose.StoreRevision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOlderEra()
	return goose.StoreRevision{Era: r.era, Revision: r.source.revision}, r.sourceValid(now)
}

// currentSource returns the relay that is followed, or false if there is none that vouches
// for its revision.
func (r *Relay) currentSource(now time.Time) (source, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOlderEra()
	return r.source, r.sourceValid(now)
}

func (r *Relay) sourceValid(now time.Time) bool {
	return !r.leading && r.source.id != "" && now.Before(r.source.validUntil)
}

// isLargeFleet reports whether relays save calls.
func (r *Relay) isLargeFleet(now time.Time) bool { return r.o.Instances(now) >= minInstances }

// recordPoll records a successful poll of the store. The instance becomes a relay if the
// fleet is large and no other relay is heard.
func (r *Relay) recordPoll(u update, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropOlderEra(); u.era != r.era {
		return
	}
	r.revision, r.confirmedAt = u.until, now
	if !r.leading && !r.sourceValid(now) && r.isLargeFleet(now) && !now.Before(r.leadFrom) {
		r.leading = true
		gooseevent.RelayBegun.Log(r.o.Log, slog.Int64("revision", u.until))
	}
	if !r.leading || len(u.events) == 0 {
		return
	}
	parts, err := r.encode(&u)
	if err != nil || parts == nil || len(r.outgoing) == maxOutgoing {
		// The others see from the revision that an update is missing.
		return
	}
	r.outgoing = append(r.outgoing, &outgoing{update: u, parts: parts})
	notify(r.sendDue)
}

// recordFailure records a failed call to the store: this instance cannot vouch for its
// revision any more.
func (r *Relay) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = time.Time{}
	r.stopLeading("store")
}

func (r *Relay) stopLeading(reason string) {
	r.outgoing = nil
	if r.leading {
		r.leading = false
		gooseevent.RelayEnded.Log(r.o.Log, slog.String("reason", reason))
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// send sends the messages of this instance while it is a relay.
func (r *Relay) send(ctx context.Context) {
	ticker := time.NewTicker(r.o.ChangeBound / heartbeatDivisor)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.sendDue:
		case <-ctx.Done():
			return
		}
		now := r.o.Clock.Now()
		r.checkClocks(now)
		messages := r.dueMessages(now)
		if len(messages) == 0 {
			continue
		}
		targets := r.o.Neighbours(now)
		for _, m := range messages {
			datagram, err := cbor.Marshal(m)
			if err != nil {
				panic(err)
			}
			for _, to := range targets {
				// An error is ignored: the next message shows what is missing.
				_, _ = r.o.Conn.WriteTo(datagram, to)
			}
		}
	}
}

// checkClocks forgets all confirmations if the machine may have been suspended: what was
// confirmed before may be much older than the monotonic clock shows.
func (r *Relay) checkClocks(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := now.Round(0).Sub(r.lastTick.Round(0)) - now.Sub(r.lastTick)
	r.lastTick = now
	if step.Abs() > maxClockStep {
		r.confirmedAt = time.Time{}
		r.source = source{}
		r.stopLeading("suspended")
	}
}

// dueMessages returns a heartbeat and the parts of updates that are due, or nothing if this
// instance is no relay or cannot vouch for its revision.
func (r *Relay) dueMessages(now time.Time) []message {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOlderEra()
	age := now.Sub(r.confirmedAt)
	if r.leading && !r.isLargeFleet(now) {
		r.stopLeading("small fleet")
	}
	if r.leading && (r.confirmedAt.IsZero() || age > r.o.ChangeBound/vouchDivisor) {
		r.stopLeading("store")
	}
	if !r.leading {
		return nil
	}
	heartbeat := message{From: r.o.Instance, Era: r.era, Revision: r.revision, Age: age}
	messages := []message{heartbeat}
	waiting := r.outgoing[:0]
	for _, o := range r.outgoing {
		for i, data := range o.parts {
			m := heartbeat
			m.After, m.Until, m.Part, m.Parts = o.update.after, o.update.until, i, len(o.parts)
			if len(o.update.deltas) > 0 {
				m.DeltaData = data
			} else {
				m.Data = data
			}
			messages = append(messages, m)
		}
		if o.sent++; o.sent < sendCount && len(o.parts) <= maxResentParts {
			waiting = append(waiting, o)
		}
	}
	r.outgoing = waiting
	return messages
}

// receive handles the messages of other instances.
func (r *Relay) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := r.o.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			goose.Sleep(ctx, r.o.ChangeBound/heartbeatDivisor)
			continue
		}
		gooseevent.Guard(r.o.Log, "changes of the store", func() { r.handleDatagram(buffer[:n]) })
	}
}

// handleDatagram applies a datagram of another instance. It drops those that no relay can
// have sent.
func (r *Relay) handleDatagram(datagram []byte) {
	var m message
	if err := cbor.Unmarshal(datagram, &m); err != nil || m.validate() != nil || m.From == r.o.Instance {
		return
	}
	r.handle(m, r.o.Clock.Now())
}

// handle applies a message of another instance. The revisions of another era mean nothing here.
func (r *Relay) handle(m message, now time.Time) {
	r.o.Era.ObservePeer(m.Era)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropOlderEra(); m.Era != r.era {
		return
	}
	validFor := min(r.o.ChangeBound/vouchDivisor-m.Age, heartbeatsMissed*r.o.ChangeBound/heartbeatDivisor)
	if validFor <= 0 || !r.follows(m.From, now) {
		return
	}
	if r.source.id != m.From {
		gooseevent.RelayFollowed.Log(r.o.Log, slog.String("relay", string(m.From)), slog.Int64("revision", m.Revision))
		r.source = source{id: m.From}
	}
	r.source.revision = max(r.source.revision, m.Revision)
	r.source.validUntil = now.Add(validFor)
	if m.Parts > 0 {
		r.addPart(m)
	}
	notify(r.heard)
}

// follows reports whether the messages of a relay count. A relay of lower precedence than
// this instance, or than the one that is followed, will stop.
func (r *Relay) follows(id goose.InstanceID, now time.Time) bool {
	if r.leading {
		if !precedes(id, r.o.Instance) {
			return false
		}
		r.stopLeading("another relay")
		return true
	}
	return r.source.id == id || !now.Before(r.source.validUntil) || precedes(id, r.source.id)
}

// precedes reports whether instance a remains a relay if both are.
func precedes(a, b goose.InstanceID) bool {
	rankA, rankB := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	if rankA != rankB {
		return rankA < rankB
	}
	return a < b
}

func (r *Relay) addPart(m message) {
	u, complete, err := r.assembly.add(m)
	if err != nil || !complete {
		// An update that cannot be read is missing, and is read from the store.
		return
	}
	u.era = m.Era
	select {
	case r.received <- u:
	default:
	}
}
