package goosesoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is the fault that a proxy injects into its connections.
type linkFault string

// Link faults.
const (
	linkHealthy linkFault = ""
	// linkSlow delays every chunk that is forwarded.
	linkSlow linkFault = "slow"
	// linkReset resets open and new connections.
	linkReset linkFault = "reset"
	// linkBlocked holds the bytes of both directions, linkBlockedToTarget those to the
	// target and linkBlockedFromTarget those to the client.
	linkBlocked           linkFault = "silent"
	linkBlockedToTarget   linkFault = "deaf"
	linkBlockedFromTarget linkFault = "mute"
)

// slowChunkDelay is the delay of each chunk on a slow link.
const slowChunkDelay = 60 * time.Millisecond

// proxy is a TCP proxy with one target that injects faults.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	fault   linkFault
	changed chan struct{}
	// conns holds the open connections and when they were opened.
	conns map[*net.TCPConn]time.Time
	// silent are the connections that stay open and deliver nothing any more.
	silent map[*net.TCPConn]bool
}

// newProxy starts a proxy that listens until the test ends. Each accepted connection is
// forwarded to the target that is set at that moment.
func newProxy(t testing.TB) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, changed: make(chan struct{}), conns: map[*net.TCPConn]time.Time{}, silent: map[*net.TCPConn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.setFault(linkReset, false)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// setFault replaces the fault. If deliverHeld is true, held bytes are delivered; otherwise
// the open connections are reset. linkReset always resets them.
func (p *proxy) setFault(f linkFault, deliverHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if !deliverHeld || f == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// silenceOpen makes the open connections silent for good, while new ones work. It returns their
// number.
func (p *proxy) silenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
	return len(p.silent) / 2
}

// ages returns how long the connections have been open; each counts twice, once for either side.
func (p *proxy) ages() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []time.Duration
	for _, opened := range p.conns {
		all = append(all, time.Since(opened))
	}
	return all
}

func (p *proxy) isSilent(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
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

func (p *proxy) connect(client *net.TCPConn) {
	fault, target, _ := p.state()
	if fault == linkReset {
		reset(client)
		return
	}
	c, err := net.Dial("tcp4", target)
	if err != nil {
		reset(client)
		return
	}
	upstream := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = time.Now(), time.Now()
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pipe(upstream, client, linkBlockedToTarget) }()
	go func() { defer wg.Done(); p.pipe(client, upstream, linkBlockedFromTarget) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	delete(p.silent, client)
	delete(p.silent, upstream)
	p.mu.Unlock()
	_, _ = client.Close(), upstream.Close()
}

// pipe copies one direction of a connection; the fault blocking holds up its bytes.
func (p *proxy) pipe(to, from *net.TCPConn, blocking linkFault) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitUntilOpen(blocking)
		if n > 0 && !p.isSilent(to) {
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

// waitUntilOpen returns once no fault blocks the direction; a slow link adds a delay.
func (p *proxy) waitUntilOpen(blocking linkFault) {
	for {
		fault, _, changed := p.state()
		switch fault {
		case linkSlow:
			time.Sleep(slowChunkDelay)
			return
		case linkBlocked, blocking:
			<-changed
		default:
			return
		}
	}
}
