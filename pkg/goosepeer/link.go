// Package goosepeer is the link between instances: calls encoded in CBOR over
// QUIC with mutual TLS.
package goosepeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	protocolName = "gooseberryhold-peer/1"
	// maxMessage bounds one message; configuration sections are at most 512 KiB.
	maxMessage = 8 << 20
	// dialTimeout bounds a handshake, so that a call to a dead instance fails soon.
	dialTimeout = time.Second
	// idleTimeout drops connections to instances that vanished without a close.
	idleTimeout = 5 * time.Second
	keepAlive   = time.Second
	// maxStreams must exceed the permit polls that one instance keeps open at
	// another one, which is one per waiting request.
	maxStreams = 20_000
	// unusedTimeout is longer than the pauses of calls that repeat each second
	// or two, for which a new handshake would cost more than keep-alives.
	unusedTimeout = 10 * time.Second
	// redialDelay spares the network while an instance is down.
	redialDelay = 250 * time.Millisecond
)

type request struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type response struct {
	Error string          `cbor:"1,keyasint"`
	Body  cbor.RawMessage `cbor:"2,keyasint"`
}

// RemoteError is an error that the called instance answered.
type RemoteError struct {
	Kind    string
	Message string
}

// Error returns the kind of the call and the instance's message.
func (e *RemoteError) Error() string { return "peer call " + e.Kind + ": " + e.Message }

// Link serves peer calls on one UDP address and makes calls from it.
type Link struct {
	log       *slog.Logger
	transport *quic.Transport
	listener  *quic.Listener
	client    *tls.Config
	config    *quic.Config
	// certificate is what new connections present.
	certificate *atomic.Pointer[tls.Certificate]

	mu       sync.RWMutex
	handlers map[string]goose.PeerHandler

	connMu sync.Mutex
	conns  map[string]*peerConn

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// peerConn is a connection being dialled or in use. conn and err are set
// before ready is closed.
type peerConn struct {
	ready  chan struct{}
	conn   *quic.Conn
	err    error
	failed time.Time
	// calls counts the calls in progress, ended is when the last one ended.
	// Link.connMu guards both.
	calls int
	ended time.Time
}

// New listens on a UDP address (IP:port). cert is the instance's certificate;
// peers must present one that an authority in roots has signed.
func New(address string, cert tls.Certificate, roots *x509.CertPool, log *slog.Logger) (*Link, error) {
	return open(address, cert, roots, log, quicConfig())
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// The search for larger packets costs 11 KB per connection, more than the
		// handshake, and control messages fit into one packet of 1,280 bytes.
		DisablePathMTUDiscovery: true,
		// See streamCredit.
		RequireStreamCreditRelease: true,
		// 0-RTT data can be replayed by the network.
		Allow0RTT: false,
	}
}

func open(address string, cert tls.Certificate, roots *x509.CertPool, log *slog.Logger, config *quic.Config) (*Link, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer-listen %q", address)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrapf(err, "peer-listen %q", address)
	}
	certificate := &atomic.Pointer[tls.Certificate]{}
	certificate.Store(&cert)
	l := &Link{
		log:         log,
		transport:   &quic.Transport{Conn: countSocket(socket)},
		config:      config,
		client:      clientTLS(certificate, roots),
		certificate: certificate,
		handlers:    map[string]goose.PeerHandler{},
		conns:       map[string]*peerConn{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.listener, err = l.transport.Listen(serverTLS(certificate, roots), l.config)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "peer-listen %q", address)
	}
	return l, nil
}

func serverTLS(cert *atomic.Pointer[tls.Certificate], roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  roots,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return cert.Load(), nil
		},
	}
}

// clientTLS verifies the chain only: instances are dialled by IP address, and
// any certificate of the fleet's authority belongs to an instance.
func clientTLS(cert *atomic.Pointer[tls.Certificate], roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return cert.Load(), nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain below.
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("peer presented no certificate")
			}
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots:         roots,
				Intermediates: intermediates,
				KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			})
			return errors.Wrap(err, "peer certificate")
		},
	}
}

// Renew sets the certificate that new connections present. Open connections keep
// theirs.
func (l *Link) Renew(cert tls.Certificate) { l.certificate.Store(&cert) }

// Address returns the UDP address the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Handle sets the handler of a kind of call; it panics if the kind is taken.
func (l *Link) Handle(kind string, h goose.PeerHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.handlers[kind]; ok {
		panic("goosepeer: kind " + kind + " handled twice")
	}
	l.handlers[kind] = h
}

// Start accepts connections in the background until the link is closed. Set all
// handlers before.
func (l *Link) Start() {
	l.tasks.Go(l.serve)
	l.tasks.Go(l.closeIdle)
}

func (l *Link) serve() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.serveConn(conn) })
	}
}

func (l *Link) serveConn(conn *quic.Conn) {
	// Tells the peer at once that this instance stops.
	stop := context.AfterFunc(l.ctx, func() { _ = conn.CloseWithError(0, "closing") })
	defer stop()
	from := peerName(conn.ConnectionState().TLS)
	var credit streamCredit
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		stream, err := conn.AcceptStream(l.ctx)
		if err != nil {
			return
		}
		calls.Go(func() {
			defer func() { _ = stream.Close() }()
			l.serveCall(from, stream)
			credit.renew(stream)
		})
	}
}

// peerName returns the instance named in the peer's certificate.
func peerName(s tls.ConnectionState) goose.InstanceID {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	c := s.PeerCertificates[0]
	if len(c.DNSNames) > 0 {
		return goose.InstanceID(c.DNSNames[0])
	}
	return goose.InstanceID(c.Subject.CommonName)
}

func (l *Link) serveCall(from goose.InstanceID, stream *quic.Stream) {
	var req request
	if err := readMessage(stream, &req); err != nil {
		stream.CancelRead(0)
		l.reply(stream, req.Kind, nil, errors.Wrap(err, "decode request"))
		return
	}
	l.mu.RLock()
	h, ok := l.handlers[req.Kind]
	l.mu.RUnlock()
	if !ok {
		l.reply(stream, req.Kind, nil, errors.Errorf("unknown kind %q", req.Kind))
		return
	}
	// The stream's context ends when the caller gives up on the answer.
	body, err := h(stream.Context(), from, func(v any) error {
		return errors.Wrapf(cbor.Unmarshal(req.Body, v), "decode %s", req.Kind)
	})
	l.reply(stream, req.Kind, body, err)
}

func (l *Link) reply(stream *quic.Stream, kind string, body any, err error) {
	var resp response
	if err == nil {
		resp.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		resp = response{Error: err.Error()}
	}
	n, err := writeMessage(stream, resp)
	count("sent", kind, n)
	if err != nil {
		l.log.Debug("peer answer not delivered", "kind", kind, "error", err)
	}
}

// Call sends a request to the instance at address and decodes its answer into
// reply, which may be nil. Without a deadline in ctx it may wait as long as the
// connection lives. A RemoteError is the other instance's answer; other errors
// tell only that no answer came.
func (l *Link) Call(ctx context.Context, address, kind string, req, reply any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	conn, release, err := l.dial(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "peer %s", address)
	}
	defer release()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		l.drop(address, conn)
		return errors.Wrapf(err, "peer %s", address)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	n, err := writeMessage(stream, request{Kind: kind, Body: body})
	count("sent", kind, n)
	if err == nil {
		err = stream.Close()
	}
	var resp response
	if err == nil {
		err = readMessage(stream, &resp)
	}
	if err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "peer %s %s", address, kind)
		}
		return errors.Wrapf(err, "peer %s %s", address, kind)
	}
	if resp.Error != "" {
		return &RemoteError{Kind: kind, Message: resp.Error}
	}
	if reply == nil {
		return nil
	}
	return errors.Wrapf(cbor.Unmarshal(resp.Body, reply), "decode answer to %s", kind)
}

// dial returns a live connection to address, which stays open at least until
// release is called. Concurrent callers share one dial.
func (l *Link) dial(ctx context.Context, address string) (conn *quic.Conn, release func(), err error) {
	l.connMu.Lock()
	p := l.conns[address]
	if p == nil || p.stale() {
		p = &peerConn{ready: make(chan struct{})}
		l.conns[address] = p
		go l.connect(address, p)
	}
	p.calls++
	l.connMu.Unlock()
	release = func() {
		l.connMu.Lock()
		defer l.connMu.Unlock()
		p.calls--
		p.ended = time.Now()
	}
	select {
	case <-p.ready:
		err = p.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return p.conn, release, nil
}

// stale reports whether a new dial is due.
func (p *peerConn) stale() bool {
	select {
	case <-p.ready:
	default:
		return false
	}
	if p.err != nil {
		return time.Since(p.failed) > redialDelay
	}
	return p.conn.Context().Err() != nil
}

func (l *Link) connect(address string, p *peerConn) {
	defer close(p.ready)
	dials.Inc()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
		defer cancel()
		p.conn, err = l.transport.Dial(ctx, udp, l.client, l.config)
	}
	if err != nil {
		p.err = err
		p.failed = time.Now()
	}
}

// drop forgets a connection on which no stream could be opened.
func (l *Link) drop(address string, conn *quic.Conn) {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	if p := l.conns[address]; p != nil && p.conn == conn && conn.Context().Err() != nil {
		delete(l.conns, address)
	}
}

// Close ends all calls and connections.
func (l *Link) Close() error {
	l.cancel()
	l.connMu.Lock()
	for _, p := range l.conns {
		select {
		case <-p.ready:
			if p.conn != nil {
				_ = p.conn.CloseWithError(0, "closing")
			}
		default:
		}
	}
	l.connMu.Unlock()
	l.tasks.Wait()
	_ = l.listener.Close()
	err := l.transport.Close()
	// The transport leaves a socket that it was given open.
	_ = l.transport.Conn.Close()
	return errors.Wrap(err, "close peer link")
}

func writeMessage(w io.Writer, v any) (int, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return 0, err
	}
	if len(b) > maxMessage {
		return 0, errors.Errorf("message of %d bytes exceeds %d", len(b), maxMessage)
	}
	return w.Write(b)
}

// readMessage reads to the end of the stream and decodes one message.
func readMessage(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return err
	}
	if len(b) > maxMessage {
		return errors.Errorf("message exceeds %d bytes", maxMessage)
	}
	return cbor.Unmarshal(b, v)
}

func count(direction, kind string, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_peer_bytes_total{direction=%q,kind=%q}`, direction, kind)).Add(n)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_peer_messages_total{direction=%q,kind=%q}`, direction, kind)).Inc()
}
