// Package goosepeer implements calls between instances, encoded in CBOR over QUIC
// with mutual TLS.
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
	alpnProtocol = "gooseberryhold-peer/1"
	// maxMessageBytes limits one message. Configuration sections, for comparison, have
	// at most 512 KiB.
	maxMessageBytes = 8 << 20
	// dialTimeout limits a handshake, so that a call to a dead instance fails soon.
	dialTimeout = time.Second
	// idleTimeout ends connections to instances that disappeared without closing them.
	idleTimeout       = 5 * time.Second
	keepAliveInterval = time.Second
	// maxStreams must exceed the number of permit polls that one instance keeps open
	// at another, which is one per waiting request.
	maxStreams = 20_000
	// unusedConnTimeout is longer than the pause between calls that are repeated every
	// second or two. For these, a new handshake would cost more than keep-alives.
	unusedConnTimeout = 10 * time.Second
	// redialDelay limits the rate of handshake packets while an instance is down.
	redialDelay = 250 * time.Millisecond
)

type callRequest struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type callReply struct {
	Error string          `cbor:"1,keyasint"`
	Body  cbor.RawMessage `cbor:"2,keyasint"`
}

// RemoteError is an error that the called instance replied with.
type RemoteError struct {
	Kind    string
	Message string
}

// Error returns the kind of the call and the instance's message.
func (e *RemoteError) Error() string { return "peer call " + e.Kind + ": " + e.Message }

// Link serves peer calls on one UDP address and makes calls from it.
type Link struct {
	log          *slog.Logger
	transport    *quic.Transport
	listener     *quic.Listener
	clientConfig *tls.Config
	quicConfig   *quic.Config
	// certificate is the one that new connections present.
	certificate *atomic.Pointer[tls.Certificate]

	mu       sync.RWMutex
	handlers map[string]goose.PeerHandler

	connMu sync.Mutex
	conns  map[string]*peerConn

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// peerConn is an outgoing connection that is being dialled or in use.
type peerConn struct {
	// dialled is closed at the end of the dial, after conn or err is set.
	dialled  chan struct{}
	conn     *quic.Conn
	err      error
	failedAt time.Time
	// calls counts the calls in progress. Link.connMu guards calls and lastCallEnded.
	calls         int
	lastCallEnded time.Time
}

// New listens on a UDP address (IP:port). cert is the instance's certificate;
// peers must present one that a certificate authority in roots has signed.
func New(address string, cert tls.Certificate, roots *x509.CertPool, log *slog.Logger) (*Link, error) {
	return listen(address, cert, roots, log, quicConfig())
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAliveInterval,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// Path MTU discovery costs 11 KB per connection, more than the handshake, and
		// control messages fit into one packet of 1,280 bytes.
		DisablePathMTUDiscovery: true,
		// streamCredit releases the credit.
		RequireStreamCreditRelease: true,
		// 0-RTT data can be replayed by the network.
		Allow0RTT: false,
	}
}

func listen(address string, cert tls.Certificate, roots *x509.CertPool, log *slog.Logger, config *quic.Config) (*Link, error) {
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
		log:          log,
		transport:    &quic.Transport{Conn: newCountedSocket(socket)},
		quicConfig:   config,
		clientConfig: clientTLS(certificate, roots),
		certificate:  certificate,
		handlers:     map[string]goose.PeerHandler{},
		conns:        map[string]*peerConn{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.listener, err = l.transport.Listen(serverTLS(certificate, roots), l.quicConfig)
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
		NextProtos: []string{alpnProtocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return cert.Load(), nil
		},
	}
}

// clientTLS verifies the certificate chain but no name: instances are dialled by IP
// address, and every certificate of the fleet's authority belongs to an instance.
func clientTLS(cert *atomic.Pointer[tls.Certificate], roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnProtocol},
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

// SetCertificate sets the certificate that new connections present. Open connections are not
// affected.
func (l *Link) SetCertificate(cert tls.Certificate) { l.certificate.Store(&cert) }

// Address returns the UDP address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Handle registers the handler of a kind of call. It panics if the kind already has
// one.
func (l *Link) Handle(kind string, h goose.PeerHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.handlers[kind]; ok {
		panic("goosepeer: kind " + kind + " handled twice")
	}
	l.handlers[kind] = h
}

// Start accepts connections in the background until the link is closed. All handlers
// must be registered before.
func (l *Link) Start() {
	l.tasks.Go(l.acceptLoop)
	l.tasks.Go(l.closeUnusedLoop)
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.serveConn(conn) })
	}
}

func (l *Link) serveConn(conn *quic.Conn) {
	// Closing the connection tells the peer at once that this instance stops.
	stop := context.AfterFunc(l.ctx, func() { _ = conn.CloseWithError(0, "closing") })
	defer stop()
	from := peerInstance(conn.ConnectionState().TLS)
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
			credit.releasePrevious(stream)
		})
	}
}

// peerInstance returns the instance named in the peer's certificate.
func peerInstance(s tls.ConnectionState) goose.InstanceID {
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
	var req callRequest
	if err := readMessage(stream, &req); err != nil {
		stream.CancelRead(0)
		l.sendReply(stream, req.Kind, nil, errors.Wrap(err, "decode request"))
		return
	}
	l.mu.RLock()
	h, ok := l.handlers[req.Kind]
	l.mu.RUnlock()
	if !ok {
		l.sendReply(stream, req.Kind, nil, errors.Errorf("unknown kind %q", req.Kind))
		return
	}
	// The stream's context ends when the caller no longer waits for the reply.
	body, err := h(stream.Context(), from, func(v any) error {
		return errors.Wrapf(cbor.Unmarshal(req.Body, v), "decode %s", req.Kind)
	})
	l.sendReply(stream, req.Kind, body, err)
}

func (l *Link) sendReply(stream *quic.Stream, kind string, body any, err error) {
	var reply callReply
	if err == nil {
		reply.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		reply = callReply{Error: err.Error()}
	}
	n, err := writeMessage(stream, reply)
	countMessage("sent", kind, n)
	if err != nil {
		l.log.Debug("cannot send reply to peer call", "kind", kind, "error", err)
	}
}

// Call sends a request to the instance at address and decodes its reply into reply,
// which may be nil. Without a deadline in ctx it may wait as long as the connection
// exists. A RemoteError means that the other instance replied with an error. Any
// other error means only that no reply was received.
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
		l.removeClosedConn(address, conn)
		return errors.Wrapf(err, "peer %s", address)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	n, err := writeMessage(stream, callRequest{Kind: kind, Body: body})
	countMessage("sent", kind, n)
	if err == nil {
		err = stream.Close()
	}
	var received callReply
	if err == nil {
		err = readMessage(stream, &received)
	}
	if err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "peer %s %s", address, kind)
		}
		return errors.Wrapf(err, "peer %s %s", address, kind)
	}
	if received.Error != "" {
		return &RemoteError{Kind: kind, Message: received.Error}
	}
	if reply == nil {
		return nil
	}
	return errors.Wrapf(cbor.Unmarshal(received.Body, reply), "decode reply to %s", kind)
}

// dial returns a live connection to address, which stays open at least until
// release is called. Concurrent callers share one dial.
func (l *Link) dial(ctx context.Context, address string) (conn *quic.Conn, release func(), err error) {
	l.connMu.Lock()
	p := l.conns[address]
	if p == nil || p.needsRedial() {
		p = &peerConn{dialled: make(chan struct{})}
		l.conns[address] = p
		go l.connect(address, p)
	}
	p.calls++
	l.connMu.Unlock()
	release = func() {
		l.connMu.Lock()
		defer l.connMu.Unlock()
		p.calls--
		p.lastCallEnded = time.Now()
	}
	select {
	case <-p.dialled:
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

// needsRedial reports whether the connection is closed, or its dial failed more than
// redialDelay ago.
func (p *peerConn) needsRedial() bool {
	select {
	case <-p.dialled:
	default:
		return false
	}
	if p.err != nil {
		return time.Since(p.failedAt) > redialDelay
	}
	return p.conn.Context().Err() != nil
}

func (l *Link) connect(address string, p *peerConn) {
	defer close(p.dialled)
	dials.Inc()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
		defer cancel()
		p.conn, err = l.transport.Dial(ctx, udp, l.clientConfig, l.quicConfig)
	}
	if err != nil {
		p.err = err
		p.failedAt = time.Now()
	}
}

// removeClosedConn removes a connection if it is closed, so that the next call dials
// a new one.
func (l *Link) removeClosedConn(address string, conn *quic.Conn) {
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
		case <-p.dialled:
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
	// The transport does not close a socket that it did not open itself.
	_ = l.transport.Conn.Close()
	return errors.Wrap(err, "close peer link")
}

func writeMessage(w io.Writer, v any) (int, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return 0, err
	}
	if len(b) > maxMessageBytes {
		return 0, errors.Errorf("message of %d bytes exceeds %d", len(b), maxMessageBytes)
	}
	return w.Write(b)
}

// readMessage reads to the end of the stream and decodes one message.
func readMessage(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxMessageBytes {
		return errors.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	return cbor.Unmarshal(b, v)
}

func countMessage(direction, kind string, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_peer_bytes_total{direction=%q,kind=%q}`, direction, kind)).Add(n)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_peer_messages_total{direction=%q,kind=%q}`, direction, kind)).Inc()
}
