package goosepeer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/ipv4"
)

// These metrics count the traffic on the sockets of peer links as UDP payloads. They
// include QUIC's own packets, headers and encryption, but no IP and UDP headers. A
// send that the kernel splits into several packets counts as one write.
var (
	sentBytes       = metrics.NewCounter(`gooseberryhold_peer_udp_bytes_total{direction="sent"}`)
	receivedBytes   = metrics.NewCounter(`gooseberryhold_peer_udp_bytes_total{direction="received"}`)
	sentWrites      = metrics.NewCounter(`gooseberryhold_peer_udp_writes_total`)
	receivedPackets = metrics.NewCounter(`gooseberryhold_peer_udp_packets_received_total`)
)

// dials counts started connection attempts. One costs as much as dozens of calls.
var dials = metrics.NewCounter(`gooseberryhold_peer_dials_total`)

// countedSocket counts the bytes that QUIC sends and receives. It keeps the
// socket's out-of-band interface, without which quic-go reads and writes one
// packet per system call.
type countedSocket struct {
	*net.UDPConn
	batch *ipv4.PacketConn
}

func newCountedSocket(c *net.UDPConn) *countedSocket {
	return &countedSocket{UDPConn: c, batch: ipv4.NewPacketConn(c)}
}

// ReadBatch reads packets for quic-go.
func (s *countedSocket) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := s.batch.ReadBatch(messages, flags)
	total := 0
	for i := range max(0, n) {
		total += messages[i].N
	}
	receivedBytes.Add(total)
	receivedPackets.Add(max(0, n))
	return n, err
}

// WriteMsgUDP sends one packet, or several of equal size where the kernel supports
// segmentation offload.
func (s *countedSocket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = s.UDPConn.WriteMsgUDP(b, oob, addr)
	sentBytes.Add(n)
	sentWrites.Inc()
	return n, oobn, err
}

// WriteTo sends a packet that belongs to no connection.
func (s *countedSocket) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := s.UDPConn.WriteTo(b, addr)
	sentBytes.Add(n)
	sentWrites.Inc()
	return n, err
}
