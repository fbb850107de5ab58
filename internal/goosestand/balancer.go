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

// Target is one entry instance behind the balancer.
type Target struct {
	// Caller and Operator are the host:port of its two APIs; health is read
	// from /readyz of the latter.
	Caller, Operator string
}

// BalancerConfig sets the balancer.
type BalancerConfig struct {
	Targets        []Target
	Every, Timeout time.Duration
}

// BalancerFaults are the fault switches of the balancer.
type BalancerFaults struct {
	Down bool `json:"down"`
	// Stuck keeps the last health states.
	Stuck bool `json:"stuck"`
}

// BalancerCounters are the totals of the balancer.
type BalancerCounters struct {
	Connections map[string]int `json:"connections"`
	Refused     int            `json:"refused"`
	Healthy     []string       `json:"healthy"`
}

// Balancer forwards TCP connections of callers to healthy entry instances in
// turn. It does not look into what it forwards.
type Balancer struct {
	cfg     BalancerConfig
	address string
	log     *slog.Logger
	// srv serves the control port alone.
	srv    *server
	faults *faults[BalancerFaults]
	turn   atomic.Uint64

	mu      sync.Mutex
	healthy map[string]bool
	count   map[string]int
	refused int
}

// NewBalancer returns a balancer that listens on address once it runs.
func NewBalancer(cfg BalancerConfig, address, control string, log *slog.Logger) *Balancer {
	if control == "" {
		control = loopback(0)
	}
	b := &Balancer{cfg: cfg, address: address, log: log, healthy: map[string]bool{}, count: map[string]int{}}
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
	for k, v := range b.count {
		c.Connections[k] = v
	}
	for _, t := range b.cfg.Targets {
		if b.healthy[t.Caller] {
			c.Healthy = append(c.Healthy, t.Caller)
		}
	}
	return c
}

// Run serves until ctx ends.
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
		go b.check(ctx, t)
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

// check keeps the health state of one target.
func (b *Balancer) check(ctx context.Context, t Target) {
	cl := &http.Client{Timeout: b.cfg.Timeout}
	for ctx.Err() == nil {
		if !b.faults.get().Stuck {
			ok := false
			if resp, err := cl.Get("http://" + t.Operator + "/readyz"); err == nil {
				ok = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			if b.healthy[t.Caller] != ok {
				b.log.Info("health changed", "target", t.Caller, "healthy", ok)
			}
			b.healthy[t.Caller] = ok
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(b.cfg.Every):
		}
	}
}

// pick returns the healthy targets, the next in turn first.
func (b *Balancer) pick() []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up []Target
	for _, t := range b.cfg.Targets {
		if b.healthy[t.Caller] {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return nil
	}
	i := int(b.turn.Add(1) % uint64(len(up)))
	return append(append([]Target{}, up[i:]...), up[:i]...)
}

func (b *Balancer) forward(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	up := b.dial(ctx)
	if up == nil {
		b.mu.Lock()
		b.refused++
		b.mu.Unlock()
		return
	}
	defer func() { _ = up.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close(); _ = up.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go copyHalf(up, c, done)
	go copyHalf(c, up, done)
	<-done
	<-done
}

// dial connects to the first healthy target that accepts.
func (b *Balancer) dial(ctx context.Context) net.Conn {
	if b.faults.get().Down {
		return nil
	}
	for _, t := range b.pick() {
		d := net.Dialer{Timeout: b.cfg.Timeout}
		up, err := d.DialContext(ctx, "tcp", t.Caller)
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.count[t.Caller]++
		b.mu.Unlock()
		return up
	}
	return nil
}

// copyHalf forwards one direction and passes its end on. A broken direction
// ends both.
func copyHalf(to, from net.Conn, done chan<- struct{}) {
	_, err := io.Copy(to, from)
	if err != nil {
		_ = to.Close()
		_ = from.Close()
	} else if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	done <- struct{}{}
}
