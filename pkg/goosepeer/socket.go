package goosepeer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/ipv4"
)

// Traffic on the peer links' sockets: UDP payloads, so QUIC's own packets,
// headers and encryption are included and IP and UDP headers are not. Segmented
// sends count as one write.
var (
	sentBytes       = metrics.NewCounter(`gooseberryhold_peer_udp_bytes_total{direction="sent"}`)
	receivedBytes   = metrics.NewCounter(`gooseberryhold_peer_udp_bytes_total{direction="received"}`)
	sentWrites      = metrics.NewCounter(`gooseberryhold_peer_udp_writes_total`)
	receivedPackets = metrics.NewCounter(`gooseberryhold_peer_udp_packets_received_total`)
)

// dials counts connections that were begun; one costs as much as dozens of calls.
var dials = metrics.NewCounter(`gooseberryhold_peer_dials_total`)

// countedSocket counts the bytes that QUIC sends and receives. It keeps the
// socket's out-of-band interface, without which quic-go reads and writes one
// packet per system call.
type countedSocket struct {
	*net.UDPConn
	batch *ipv4.PacketConn
}

func countSocket(c *net.UDPConn) *countedSocket {
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

// WriteMsgUDP sends a packet, or several equal ones where the kernel segments.
func (s *countedSocket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = s.UDPConn.WriteMsgUDP(b, oob, addr)
	sentBytes.Add(n)
	sentWrites.Inc()
	return n, oobn, err
}

// WriteTo sends a packet outside of a connection.
func (s *countedSocket) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := s.UDPConn.WriteTo(b, addr)
	sentBytes.Add(n)
	sentWrites.Inc()
	return n, err
}
