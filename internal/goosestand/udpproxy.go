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

// maxPacketBytes is larger than any UDP payload.
const maxPacketBytes = 64 << 10

// UDPProxyConfig configures a UDPProxy.
type UDPProxyConfig struct {
	// Target is the host:port to which the packets are forwarded.
	Target string
	// Sources maps the host:port of senders to names; a sender that is not in it
	// is named by its address.
	Sources map[string]string
	// Seed determines which packets of each source and direction are lost.
	Seed uint64
}

// UDPProxyFaults are the fault switches of a UDP proxy.
type UDPProxyFaults struct {
	// Down drops every packet.
	Down bool `json:"down"`
	// CutTo names the sources whose packets to the target are dropped.
	CutTo []string `json:"cut-to"`
	// CutFrom names the sources for which the target's packets are dropped.
	CutFrom []string `json:"cut-from"`
	// Loss is the share of packets in each direction that are dropped.
	Loss float64 `json:"loss"`
}

// UDPProxyCounters count the packets by source.
type UDPProxyCounters struct {
	Forwarded map[string]int `json:"forwarded"`
	Returned  map[string]int `json:"returned"`
	Dropped   map[string]int `json:"dropped"`
}

// UDPProxy forwards UDP packets of each source to one target, and the target's
// packets back. It simulates the network between two processes and does not
// inspect the packets.
type UDPProxy struct {
	cfg     UDPProxyConfig
	address string
	log     *slog.Logger
	// srv serves only the control API.
	srv    *server
	faults *faults[UDPProxyFaults]

	mu sync.Mutex
	// boundAddress is the host:port of the UDP socket; empty before Run is called.
	boundAddress string
	routes       map[netip.AddrPort]*route
	totals       UDPProxyCounters
}

// route is the state that the proxy keeps for one source.
type route struct {
	name   string
	source netip.AddrPort
	// conn is connected to the target, which sends its packets for the source to
	// it.
	conn *net.UDPConn
	// forwardLoss and returnLoss decide which packets are lost in each direction;
	// each is used by one goroutine only.
	forwardLoss, returnLoss *rand.Rand
}

// NewUDPProxy returns a proxy that listens on address when Run is called.
func NewUDPProxy(cfg UDPProxyConfig, address, control string, log *slog.Logger) *UDPProxy {
	if control == "" {
		control = loopback(0)
	}
	r := &UDPProxy{cfg: cfg, address: address, log: log, routes: map[netip.AddrPort]*route{}}
	r.totals = UDPProxyCounters{Forwarded: map[string]int{}, Returned: map[string]int{}, Dropped: map[string]int{}}
	r.srv = newServer(control, "", log)
	r.faults = newFaults(func(f UDPProxyFaults) UDPProxyFaults { return f })
	addControls(r.srv, r.faults, func() any { return r.Counters() })
	return r
}

// Address returns the host:port that accepts packets, or "" before the proxy
// runs.
func (p *UDPProxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boundAddress
}

// Counters returns a snapshot of the totals.
func (p *UDPProxy) Counters() UDPProxyCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return UDPProxyCounters{Forwarded: maps.Clone(p.totals.Forwarded), Returned: maps.Clone(p.totals.Returned), Dropped: maps.Clone(p.totals.Dropped)}
}

// Run serves until ctx is done.
func (p *UDPProxy) Run(ctx context.Context) error {
	listen, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return errors.Wrap(err, "UDP proxy port")
	}
	target, err := net.ResolveUDPAddr("udp", p.cfg.Target)
	if err != nil {
		return errors.Wrap(err, "UDP proxy target")
	}
	socket, err := net.ListenUDP("udp", listen)
	if err != nil {
		return errors.Wrap(err, "UDP proxy port")
	}
	if err := p.srv.start(); err != nil {
		_ = socket.Close()
		return err
	}
	p.mu.Lock()
	p.boundAddress = socket.LocalAddr().String()
	p.mu.Unlock()
	p.log.Info("listening", "address", socket.LocalAddr().String(), "control", p.srv.addr(), "target", p.cfg.Target)
	stop := context.AfterFunc(ctx, func() { p.close(socket) })
	defer stop()
	buf := make([]byte, maxPacketBytes)
	for {
		n, source, err := socket.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "relay")
		}
		if err := p.forward(ctx, socket, target, source, buf[:n]); err != nil {
			return err
		}
	}
}

func (p *UDPProxy) close(socket *net.UDPConn) {
	p.srv.stop()
	_ = socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rt := range p.routes {
		_ = rt.conn.Close()
	}
}

// forward sends a packet to the target unless a fault drops it.
func (p *UDPProxy) forward(ctx context.Context, socket *net.UDPConn, target *net.UDPAddr, source netip.AddrPort, packet []byte) error {
	rt, err := p.routeOf(ctx, socket, target, source)
	if err != nil {
		return err
	}
	f := p.faults.get()
	if isLost(rt.forwardLoss, f.Loss) || f.Down || slices.Contains(f.CutTo, rt.name) {
		p.increment(p.totals.Dropped, rt.name)
		return nil
	}
	p.increment(p.totals.Forwarded, rt.name)
	// A write error is ignored: the target may not be listening.
	_, _ = rt.conn.Write(packet)
	return nil
}

// isLost draws a random number for every packet, so that whether a packet is
// lost depends only on its position in the sequence.
func isLost(r *rand.Rand, share float64) bool { return r.Float64() < share }

func (p *UDPProxy) increment(counts map[string]int, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts[name]++
}

// routeOf returns the route of a source and creates it for the first packet.
func (p *UDPProxy) routeOf(ctx context.Context, socket *net.UDPConn, target *net.UDPAddr, source netip.AddrPort) (*route, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rt, ok := p.routes[source]; ok {
		return rt, nil
	}
	conn, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil, errors.Wrap(err, "UDP proxy route")
	}
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ctx.Err(), "UDP proxy route")
	}
	name, ok := p.cfg.Sources[source.String()]
	if !ok {
		name = source.String()
	}
	rt := &route{name: name, source: source, conn: conn, forwardLoss: p.newLossRand(name, "to"), returnLoss: p.newLossRand(name, "back")}
	p.routes[source] = rt
	go p.returnPackets(ctx, socket, rt)
	return rt, nil
}

func (p *UDPProxy) newLossRand(name, direction string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.cfg.Target + "/" + name + "/" + direction))
	return rand.New(rand.NewPCG(p.cfg.Seed, h.Sum64()))
}

// returnPackets forwards the target's packets to the source until ctx is done.
func (p *UDPProxy) returnPackets(ctx context.Context, socket *net.UDPConn, rt *route) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := rt.conn.Read(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A read fails while the target is not listening.
			continue
		}
		f := p.faults.get()
		if isLost(rt.returnLoss, f.Loss) || f.Down || slices.Contains(f.CutFrom, rt.name) {
			p.increment(p.totals.Dropped, rt.name)
			continue
		}
		p.increment(p.totals.Returned, rt.name)
		_, _ = socket.WriteToUDPAddrPort(buf[:n], rt.source)
	}
}
