// Package goosestand simulates the components of the platform: model engines,
// plain services, the key-value store, the instance list, the weight store, the
// load balancer and the network between instances (UDP proxy, started as "relay").
// Every simulator can inject faults and counts its calls and their effects.
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
	// maxBodyBytes bounds request bodies; a prompt of a million tokens has 4 MB.
	maxBodyBytes = 64 << 20
	// relistenInterval is the pause between attempts to listen on a port again.
	relistenInterval = 20 * time.Millisecond
)

// server runs the HTTP handlers of one simulator on its service port. Its
// control port, if any, still serves while the simulator is down.
type server struct {
	address string
	control string
	log     *slog.Logger
	app     *fiber.App
	// controlApp serves the control port: /fault, /counters and what else a
	// simulator adds.
	controlApp *fiber.App

	// processNumber counts the simulated processes. A connection belongs to the
	// process that accepted it.
	processNumber atomic.Int64

	mu              sync.Mutex
	down            bool
	closed          bool
	listener        net.Listener
	controlListener net.Listener
	conns           map[net.Conn]struct{}
	handler         fasthttp.RequestHandler
}

func newServer(address, control string, log *slog.Logger) *server {
	s := &server{address: address, control: control, log: log, conns: map[net.Conn]struct{}{}}
	s.app = fiber.New(fiber.Config{BodyLimit: maxBodyBytes})
	s.controlApp = fiber.New()
	s.app.Use(s.rejectWhileDown)
	return s
}

// rejectWhileDown closes the connection of every call except control calls while
// the simulator is down, and of every call that arrives on a stale connection.
func (s *server) rejectWhileDown(c fiber.Ctx) error {
	if s.isStaleConnection(c) {
		return abortConnection(c)
	}
	if !s.isDown() || c.Path() == "/fault" || c.Path() == "/counters" {
		return c.Next()
	}
	return abortConnection(c)
}

// isStaleConnection reports whether the call arrived on a connection of an
// earlier simulated process. The connections of a real process end with it.
func (s *server) isStaleConnection(c fiber.Ctx) bool {
	conn, ok := c.RequestCtx().Conn().(*trackedConn)
	return ok && conn.processNumber != s.processNumber.Load()
}

// abortConnection closes the connection without a response.
func abortConnection(c fiber.Ctx) error {
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

// start listens on the ports and serves until stop is called.
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
	s.controlListener, s.control = ctl, ctl.Addr().String()
	s.mu.Unlock()
	go s.serve(ctl, s.controlApp.Handler())
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
	s.listener, s.address = ln, ln.Addr().String()
	s.mu.Unlock()
	go s.serve(trackingListener{ln, s}, s.handler)
	return nil
}

func (s *server) serve(ln net.Listener, h fasthttp.RequestHandler) {
	srv := &fasthttp.Server{Handler: h, MaxRequestBodySize: maxBodyBytes, Concurrency: 16384, NoDefaultServerHeader: true, Logger: discardLogger{}}
	_ = srv.Serve(ln)
}

// discardLogger discards fasthttp's messages about connections that faults broke.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// setDown makes the simulator unreachable or reachable again. If it has a control
// port, its service port is closed; otherwise every connection is closed without
// a response.
func (s *server) setDown(down bool) {
	s.mu.Lock()
	if s.down == down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down = down
	ln := s.listener
	if s.control == "" {
		s.mu.Unlock()
		return
	}
	if down {
		s.listener = nil
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

// relisten listens on the service port again. It retries because another socket
// may use the port for a short time.
func (s *server) relisten() {
	for {
		s.mu.Lock()
		stopped := s.closed || s.down || s.listener != nil
		s.mu.Unlock()
		if stopped || s.listen() == nil {
			return
		}
		time.Sleep(relistenInterval)
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
	ln, ctl := s.listener, s.controlListener
	s.listener, s.controlListener = nil, nil
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	if ctl != nil {
		_ = ctl.Close()
	}
	s.dropConnections()
}

// run serves until ctx is done.
func (s *server) run(ctx context.Context) error {
	if err := s.start(); err != nil {
		return err
	}
	s.log.Info("listening", "address", s.addr(), "control", s.controlAddr())
	<-ctx.Done()
	s.stop()
	return nil
}

// trackingListener keeps track of open connections so that a fault can close
// them.
type trackingListener struct {
	net.Listener
	srv *server
}

// Accept waits for the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, srv: l.srv, processNumber: l.srv.processNumber.Load()}
	l.srv.mu.Lock()
	l.srv.conns[t] = struct{}{}
	l.srv.mu.Unlock()
	return t, nil
}

type trackedConn struct {
	net.Conn
	srv           *server
	processNumber int64
}

// Close closes the connection and removes it from the server's open connections.
func (c *trackedConn) Close() error {
	c.srv.mu.Lock()
	delete(c.srv.conns, c)
	c.srv.mu.Unlock()
	return c.Conn.Close()
}
