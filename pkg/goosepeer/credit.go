package goosepeer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// streamCredit delays the credit that a connection gives its peer for a new stream
// until the reply to the next call is sent. If QUIC sent the credit as soon as a
// call has ended, it would take a packet and an acknowledgement of its own, which
// are a quarter of the bytes of a heartbeat exchange. The credit of at most one
// stream is delayed, so that a peer never waits for it.
type streamCredit struct {
	mu sync.Mutex
	// previous is the stream of the last call that was replied to. Its credit is not
	// released yet.
	previous *quic.Stream
}

// releasePrevious releases the credit of the call that was replied to before s. It
// must be called right after the reply to s was written, so that both are sent in
// the same packet.
func (c *streamCredit) releasePrevious(s *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.previous != nil {
		c.previous.ReleaseStreamCredit()
	}
	c.previous = s
}
