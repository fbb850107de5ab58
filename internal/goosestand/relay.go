package goosestand

import (
	"context"
	"hash/fnv"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// relayPacket exceeds any UDP payload.
const relayPacket = 64 << 10

// RelayConfig sets a relay.
type RelayConfig struct {
	// Target is the host:port that gets the packets.
	Target string
	// Sources names senders by their host:port; others go by their address.
	Sources map[string]string
	// Seed fixes which packets of each source and direction are lost.
	Seed uint64
}

// RelayFaults are the fault switches of a relay.
type RelayFaults struct {
	// Down drops every packet.
	Down bool `json:"down"`
	// CutTo names the sources whose packets do not reach the target.
	CutTo []string `json:"cut-to"`
	// CutFrom names the sources that the target's packets do not reach.
	CutFrom []string `json:"cut-from"`
	// Loss is the share of the packets of each direction that is dropped.
	Loss float64 `json:"loss"`
}

// RelayCounters are the packets by source.
type RelayCounters struct {
	Forwarded map[string]int `json:"forwarded"`
	Returned  map[string]int `json:"returned"`
	Dropped   map[string]int `json:"dropped"`
}

// Relay forwards UDP packets of each source to one target, and back. It stands
// for the network between two processes and does not look into the packets.
type Relay struct {
	cfg     RelayConfig
	address string
	log     *slog.Logger
	// srv serves the control port alone.
	srv    *server
	faults *faults[RelayFaults]

	mu sync.Mutex
	// listening is the address once the relay runs.
	listening string
	routes    map[netip.AddrPort]*route
	count     RelayCounters
}

// route is the way of one source through the relay.
type route struct {
	name   string
	source netip.AddrPort
	// out is connected to the target, which answers to it.
	out *net.UDPConn
	// to and back decide about losses; each is used by one goroutine.
	to, back *rand.Rand
}

// NewRelay returns a relay that listens on address once it runs.
func NewRelay(cfg RelayConfig, address, control string, log *slog.Logger) *Relay {
	if control == "" {
		control = loopback(0)
	}
	r := &Relay{cfg: cfg, address: address, log: log, routes: map[netip.AddrPort]*route{}}
	r.count = RelayCounters{Forwarded: map[string]int{}, Returned: map[string]int{}, Dropped: map[string]int{}}
	r.srv = newServer(control, "", log)
	r.faults = newFaults(func(f RelayFaults) RelayFaults { return f })
	addControls(r.srv, r.faults, func() any { return r.Counters() })
	return r
}

// Address returns the host:port that takes packets; empty before the relay runs.
func (r *Relay) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listening
}

// Counters returns a snapshot of the totals.
func (r *Relay) Counters() RelayCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RelayCounters{Forwarded: maps.Clone(r.count.Forwarded), Returned: maps.Clone(r.count.Returned), Dropped: maps.Clone(r.count.Dropped)}
}

// Run serves until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	listen, err := net.ResolveUDPAddr("udp", r.address)
	if err != nil {
		return errors.Wrap(err, "relay port")
	}
	target, err := net.ResolveUDPAddr("udp", r.cfg.Target)
	if err != nil {
		return errors.Wrap(err, "relay target")
	}
	socket, err := net.ListenUDP("udp", listen)
	if err != nil {
		return errors.Wrap(err, "relay port")
	}
	if err := r.srv.start(); err != nil {
		_ = socket.Close()
		return err
	}
	r.mu.Lock()
	r.listening = socket.LocalAddr().String()
	r.mu.Unlock()
	r.log.Info("listening", "address", socket.LocalAddr().String(), "control", r.srv.addr(), "target", r.cfg.Target)
	stop := context.AfterFunc(ctx, func() { r.close(socket) })
	defer stop()
	buf := make([]byte, relayPacket)
	for {
		n, source, err := socket.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "relay")
		}
		if err := r.forward(ctx, socket, target, source, buf[:n]); err != nil {
			return err
		}
	}
}

func (r *Relay) close(socket *net.UDPConn) {
	r.srv.stop()
	_ = socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.routes {
		_ = w.out.Close()
	}
}

// forward sends a packet to the target unless a fault drops it.
func (r *Relay) forward(ctx context.Context, socket *net.UDPConn, target *net.UDPAddr, source netip.AddrPort, packet []byte) error {
	w, err := r.route(ctx, socket, target, source)
	if err != nil {
		return err
	}
	f := r.faults.get()
	if lost(w.to, f.Loss) || f.Down || slices.Contains(f.CutTo, w.name) {
		r.note(r.count.Dropped, w.name)
		return nil
	}
	r.note(r.count.Forwarded, w.name)
	// A target that does not listen is not the relay's failure.
	_, _ = w.out.Write(packet)
	return nil
}

// lost draws for every packet, so that its fate depends on its number alone.
func lost(r *rand.Rand, share float64) bool { return r.Float64() < share }

func (r *Relay) note(counts map[string]int, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts[name]++
}

// route returns the route of a source, a new one if it is not known.
func (r *Relay) route(ctx context.Context, socket *net.UDPConn, target *net.UDPAddr, source netip.AddrPort) (*route, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.routes[source]; ok {
		return w, nil
	}
	out, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil, errors.Wrap(err, "relay route")
	}
	if ctx.Err() != nil {
		_ = out.Close()
		return nil, errors.Wrap(ctx.Err(), "relay route")
	}
	name, ok := r.cfg.Sources[source.String()]
	if !ok {
		name = source.String()
	}
	w := &route{name: name, source: source, out: out, to: r.draws(name, "to"), back: r.draws(name, "back")}
	r.routes[source] = w
	go r.giveBack(ctx, socket, w)
	return w, nil
}

func (r *Relay) draws(name, direction string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.cfg.Target + "/" + name + "/" + direction))
	return rand.New(rand.NewPCG(r.cfg.Seed, h.Sum64()))
}

// giveBack forwards the target's packets to the source until ctx ends.
func (r *Relay) giveBack(ctx context.Context, socket *net.UDPConn, w *route) {
	buf := make([]byte, relayPacket)
	for {
		n, err := w.out.Read(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The target does not listen now.
			continue
		}
		f := r.faults.get()
		if lost(w.back, f.Loss) || f.Down || slices.Contains(f.CutFrom, w.name) {
			r.note(r.count.Dropped, w.name)
			continue
		}
		r.note(r.count.Returned, w.name)
		_, _ = socket.WriteToUDPAddrPort(buf[:n], w.source)
	}
}
