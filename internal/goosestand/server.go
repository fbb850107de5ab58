// Package goosestand simulates the components of the platform: model engines,
// plain services, the key-value store, the instance list, the weight store and
// the balancer.
// Every simulator can inject faults and counts what it did.
package goosestand

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxBody bounds request bodies; a prompt of a million tokens has 4 MB.
	maxBody = 64 << 20
	// relistenEvery is the pause between attempts to take a port again.
	relistenEvery = 20 * time.Millisecond
)

// server runs one simulator's HTTP handler on its port. Its control port, if
// any, keeps answering while the simulator is down.
type server struct {
	address string
	control string
	log     *slog.Logger
	app     *fiber.App
	// controls serves /fault and /counters alone.
	controls *fiber.App

	// process counts the simulated processes; a connection belongs to the one
	// that accepted it.
	process atomic.Int64

	mu      sync.Mutex
	down    bool
	closed  bool
	ln      net.Listener
	ctl     net.Listener
	conns   map[net.Conn]struct{}
	handler fasthttp.RequestHandler
}

func newServer(address, control string, log *slog.Logger) *server {
	s := &server{address: address, control: control, log: log, conns: map[net.Conn]struct{}{}}
	s.app = fiber.New(fiber.Config{BodyLimit: maxBody})
	s.controls = fiber.New()
	s.app.Use(s.gate)
	return s
}

// gate breaks the connection of every call but control calls while the
// simulator is down and has no control port.
func (s *server) gate(c fiber.Ctx) error {
	if s.stale(c) {
		return breakOff(c)
	}
	if !s.isDown() || c.Path() == "/fault" || c.Path() == "/counters" {
		return c.Next()
	}
	return breakOff(c)
}

// stale reports whether the call came over a connection of an earlier process:
// a real process takes its connections with it at once.
func (s *server) stale(c fiber.Ctx) bool {
	conn, ok := c.RequestCtx().Conn().(*trackedConn)
	return ok && conn.process != s.process.Load()
}

// breakOff closes the connection without an answer.
func breakOff(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
	return nil
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// addr returns host:port of the service port.
func (s *server) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// controlAddr returns host:port of the control port; empty if there is none.
func (s *server) controlAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

// start listens on the ports and serves until stop.
func (s *server) start() error {
	s.handler = s.app.Handler()
	if err := s.listen(); err != nil {
		return err
	}
	if s.control == "" {
		return nil
	}
	ctl, err := net.Listen("tcp", s.control)
	if err != nil {
		s.stop()
		return errors.Wrap(err, "control port")
	}
	s.mu.Lock()
	s.ctl, s.control = ctl, ctl.Addr().String()
	s.mu.Unlock()
	go s.serve(ctl, s.controls.Handler())
	return nil
}

func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.addr())
	if err != nil {
		return errors.Wrap(err, "service port")
	}
	s.mu.Lock()
	if s.closed || s.down {
		s.mu.Unlock()
		return ln.Close()
	}
	s.ln, s.address = ln, ln.Addr().String()
	s.mu.Unlock()
	go s.serve(trackingListener{ln, s}, s.handler)
	return nil
}

func (s *server) serve(ln net.Listener, h fasthttp.RequestHandler) {
	srv := &fasthttp.Server{Handler: h, MaxRequestBodySize: maxBody, Concurrency: 16384, NoDefaultServerHeader: true, Logger: noLogger{}}
	_ = srv.Serve(ln)
}

// noLogger drops fasthttp's reports of connections that faults broke.
type noLogger struct{}

// Printf drops the message.
func (noLogger) Printf(string, ...any) {}

// setDown makes the simulator unreachable or reachable again. With a control
// port its service port is closed; without, connections break unanswered.
func (s *server) setDown(down bool) {
	s.mu.Lock()
	if s.down == down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down = down
	ln := s.ln
	if s.control == "" {
		s.mu.Unlock()
		return
	}
	if down {
		s.ln = nil
	}
	s.mu.Unlock()
	if down {
		if ln != nil {
			_ = ln.Close()
		}
		s.dropConnections()
		return
	}
	go s.relisten()
}

// relisten takes the service port again; another socket may hold it briefly.
func (s *server) relisten() {
	for {
		s.mu.Lock()
		stopped := s.closed || s.down || s.ln != nil
		s.mu.Unlock()
		if stopped || s.listen() == nil {
			return
		}
		time.Sleep(relistenEvery)
	}
}

// dropConnections closes every connection to the service port.
func (s *server) dropConnections() {
	s.mu.Lock()
	conns := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (s *server) stop() {
	s.mu.Lock()
	s.closed = true
	ln, ctl := s.ln, s.ctl
	s.ln, s.ctl = nil, nil
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	if ctl != nil {
		_ = ctl.Close()
	}
	s.dropConnections()
}

// run serves until ctx ends.
func (s *server) run(ctx context.Context) error {
	if err := s.start(); err != nil {
		return err
	}
	s.log.Info("listening", "address", s.addr(), "control", s.controlAddr())
	<-ctx.Done()
	s.stop()
	return nil
}

// trackingListener remembers open connections so that a fault can drop them.
type trackingListener struct {
	net.Listener
	s *server
}

// Accept waits for the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, s: l.s, process: l.s.process.Load()}
	l.s.mu.Lock()
	l.s.conns[t] = struct{}{}
	l.s.mu.Unlock()
	return t, nil
}

type trackedConn struct {
	net.Conn
	s       *server
	process int64
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}
