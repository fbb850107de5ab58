package goosestand

import (
	"bufio"
	"math/rand/v2"
	"time"
)

// writer sends the chunks of one stream over one connection, with the faults of
// its engine.
type writer struct {
	e *Engine
	w *bufio.Writer
	s *stream
	// late are chunks to send again.
	late []chunk
}

// send writes the tokens from one index to another as one chunk.
func (o *writer) send(from, to int) error {
	f := o.e.faults.get()
	if !o.hold(time.Duration(f.Hold)) {
		return errStopping
	}
	c := o.e.chunk(o.s, from, to)
	if other, ok := o.foreign(f.Swap, from); ok {
		return writeEvent(o.w, other)
	}
	if err := writeEvent(o.w, c); err != nil {
		return err
	}
	if err := o.disturb(f, c); err != nil {
		return err
	}
	o.e.mu.Lock()
	defer o.e.mu.Unlock()
	o.e.delivered(o.s, to)
	return nil
}

// disturb writes what does not belong behind the chunk.
func (o *writer) disturb(f EngineFaults, c chunk) error {
	if happens(f.Repeat) {
		if err := writeEvent(o.w, c); err != nil {
			return err
		}
	}
	if len(o.late) > 0 {
		c := o.late[0]
		o.late = o.late[1:]
		if err := writeEvent(o.w, c); err != nil {
			return err
		}
	}
	if happens(f.Late) {
		o.late = append(o.late, c)
	}
	if other, ok := o.foreign(f.Cross, c.Offset+c.Tokens); ok {
		if err := writeEvent(o.w, other); err != nil {
			return err
		}
	}
	if other, ok := o.foreign(f.CrossEnd, c.Offset+c.Tokens); ok {
		if err := writeEvent(o.w, other); err != nil {
			return err
		}
		return writeEnd(o.w)
	}
	return nil
}

func happens(share float64) bool { return share > 0 && rand.Float64() < share }

// hold waits up to d; false when the engine stops.
func (o *writer) hold(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(rand.N(d)):
		return true
	case <-o.e.stopping:
		return false
	}
}

// foreign returns, for a share of the calls, one token of another stream: the
// one at the offset, or the newest if that stream is shorter.
func (o *writer) foreign(share float64, offset int) (chunk, bool) {
	if !happens(share) {
		return chunk{}, false
	}
	e := o.e
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.streams {
		if x == o.s || x.made <= x.start {
			continue
		}
		if offset >= x.start && offset < x.made {
			return e.chunk(x, offset, offset+1), true
		}
		return e.chunk(x, x.made-1, x.made), true
	}
	return chunk{}, false
}
