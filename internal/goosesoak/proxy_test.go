package goosesoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is what a proxy does to the connections through it.
type linkFault string

// Faults of links.
const (
	linkFine linkFault = ""
	// linkSlow delays every piece.
	linkSlow linkFault = "slow"
	// linkReset resets open and new connections.
	linkReset linkFault = "reset"
	// linkSilent holds the bytes of both directions, linkDeaf those to the target and
	// linkMute those to the side that connected.
	linkSilent linkFault = "silent"
	linkDeaf   linkFault = "deaf"
	linkMute   linkFault = "mute"
)

// slowPiece is the delay of a piece on a slow link.
const slowPiece = 60 * time.Millisecond

// proxy forwards the connections to its address to a target, and injects faults.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	fault   linkFault
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

// newProxy listens until the test ends. It connects to the target that is set when a
// connection comes.
func newProxy(t testing.TB) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.set(linkReset, false)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) lead(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// set replaces the fault. Held bytes are delivered if the link heals; otherwise the
// open connections are reset.
func (p *proxy) set(f linkFault, heals bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if !heals || f == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) state() (linkFault, string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c.(*net.TCPConn))
	}
}

func (p *proxy) connect(near *net.TCPConn) {
	fault, target, _ := p.state()
	if fault == linkReset {
		reset(near)
		return
	}
	c, err := net.Dial("tcp4", target)
	if err != nil {
		reset(near)
		return
	}
	far := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pipe(far, near, linkDeaf) }()
	go func() { defer wg.Done(); p.pipe(near, far, linkMute) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

// pipe copies one direction, which cut holds up.
func (p *proxy) pipe(to, from *net.TCPConn, cut linkFault) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.hold(cut)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// hold returns once the direction is open.
func (p *proxy) hold(cut linkFault) {
	for {
		fault, _, changed := p.state()
		switch fault {
		case linkSlow:
			time.Sleep(slowPiece)
			return
		case linkSilent, cut:
			<-changed
		default:
			return
		}
	}
}
