package goosestand

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// BalancerTarget is one entry instance behind the balancer.
type BalancerTarget struct {
	// Caller and Operator are the host:port of the caller API and the operator
	// API; health is read from /readyz of the operator API.
	Caller, Operator string
}

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	Targets                     []BalancerTarget
	CheckInterval, CheckTimeout time.Duration
}

// BalancerFaults are the fault switches of the balancer.
type BalancerFaults struct {
	Down bool `json:"down"`
	// Stuck stops the health checks; the last health states stay in use.
	Stuck bool `json:"stuck"`
}

// BalancerCounters are the totals of the balancer.
type BalancerCounters struct {
	Connections map[string]int `json:"connections"`
	Refused     int            `json:"refused"`
	Healthy     []string       `json:"healthy"`
}

// Balancer forwards TCP connections of callers to healthy entry instances,
// round-robin. It does not inspect the data.
type Balancer struct {
	cfg     BalancerConfig
	address string
	log     *slog.Logger
	// srv serves only the control API.
	srv    *server
	faults *faults[BalancerFaults]
	picks  atomic.Uint64

	mu          sync.Mutex
	healthy     map[string]bool
	connections map[string]int
	refused     int
}

// NewBalancer returns a balancer that listens on address when Run is called.
func NewBalancer(cfg BalancerConfig, address, control string, log *slog.Logger) *Balancer {
	if control == "" {
		control = loopback(0)
	}
	b := &Balancer{cfg: cfg, address: address, log: log, healthy: map[string]bool{}, connections: map[string]int{}}
	b.srv = newServer(control, "", log)
	b.faults = newFaults(func(f BalancerFaults) BalancerFaults { return f })
	addControls(b.srv, b.faults, func() any { return b.Counters() })
	return b
}

// Counters returns a snapshot of the totals.
func (b *Balancer) Counters() BalancerCounters {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := BalancerCounters{Connections: map[string]int{}, Refused: b.refused, Healthy: []string{}}
	for k, v := range b.connections {
		c.Connections[k] = v
	}
	for _, t := range b.cfg.Targets {
		if b.healthy[t.Caller] {
			c.Healthy = append(c.Healthy, t.Caller)
		}
	}
	return c
}

// Run serves until ctx is done.
func (b *Balancer) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return errors.Wrap(err, "balancer port")
	}
	if err := b.srv.start(); err != nil {
		_ = ln.Close()
		return err
	}
	b.log.Info("listening", "address", ln.Addr().String(), "control", b.srv.addr())
	for _, t := range b.cfg.Targets {
		go b.checkHealth(ctx, t)
	}
	go func() {
		<-ctx.Done()
		_ = ln.Close()
		b.srv.stop()
	}()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "balancer")
		}
		go b.forward(ctx, c)
	}
}

// checkHealth updates the health state of one target until ctx is done.
func (b *Balancer) checkHealth(ctx context.Context, t BalancerTarget) {
	cl := &http.Client{Timeout: b.cfg.CheckTimeout}
	for ctx.Err() == nil {
		if !b.faults.get().Stuck {
			ready := false
			if resp, err := cl.Get("http://" + t.Operator + "/readyz"); err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			if b.healthy[t.Caller] != ready {
				b.log.Info("health changed", "target", t.Caller, "healthy", ready)
			}
			b.healthy[t.Caller] = ready
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(b.cfg.CheckInterval):
		}
	}
}

// healthyTargets returns the healthy targets in round-robin order, starting with
// the next one.
func (b *Balancer) healthyTargets() []BalancerTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy []BalancerTarget
	for _, t := range b.cfg.Targets {
		if b.healthy[t.Caller] {
			healthy = append(healthy, t)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	i := int(b.picks.Add(1) % uint64(len(healthy)))
	return append(append([]BalancerTarget{}, healthy[i:]...), healthy[:i]...)
}

func (b *Balancer) forward(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	upstream := b.dial(ctx)
	if upstream == nil {
		b.mu.Lock()
		b.refused++
		b.mu.Unlock()
		return
	}
	defer func() { _ = upstream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close(); _ = upstream.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go copyOneWay(upstream, c, done)
	go copyOneWay(c, upstream, done)
	<-done
	<-done
}

// dial connects to the first healthy target that accepts the connection. It
// returns nil if there is none.
func (b *Balancer) dial(ctx context.Context) net.Conn {
	if b.faults.get().Down {
		return nil
	}
	for _, t := range b.healthyTargets() {
		d := net.Dialer{Timeout: b.cfg.CheckTimeout}
		upstream, err := d.DialContext(ctx, "tcp", t.Caller)
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.connections[t.Caller]++
		b.mu.Unlock()
		return upstream
	}
	return nil
}

// copyOneWay forwards one direction. At its end it closes the write side of the
// destination; after an error it closes both connections.
func copyOneWay(to, from net.Conn, done chan<- struct{}) {
	_, err := io.Copy(to, from)
	if err != nil {
		_ = to.Close()
		_ = from.Close()
	} else if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	done <- struct{}{}
}
