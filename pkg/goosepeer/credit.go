package goosepeer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// streamCredit gives a peer the credit for a new stream with the answer of its
// next call. Given as soon as a call has ended, it takes a packet of its own and
// an acknowledgement, which are a quarter of the bytes of a heartbeat exchange.
// The credit of one stream at most is held back, so that a peer never waits.
type streamCredit struct {
	mu sync.Mutex
	// last is the answered call whose credit the next one renews.
	last *quic.Stream
}

// renew releases the credit of the call that was answered before s. It is called
// right after the answer to s was written, to leave in the same packet.
func (c *streamCredit) renew(s *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != nil {
		c.last.ReleaseStreamCredit()
	}
	c.last = s
}
