package main

import (
	"net"
	"sync"
	"time"
)

// synRetry is after what time the kernel sends the opening packet of a connection again.
const synRetry = time.Second

// Proxy is the link between a machine and the store. While it is cut it is silent. A connection
// that is opened meanwhile passes once the opening packet would have been sent again, if the cut
// has ended by then; otherwise it stays silent, like one that was open when the cut began.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  bool
	open map[*link]struct{}
}

// link is one connection.
type link struct {
	client, server net.Conn
	dead           bool
}

// NewProxy starts a proxy on a loopback address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetCut cuts the link or heals it.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for l := range p.open {
			l.dead = true
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.close()
	}
}

func (l *link) close() {
	_ = l.client.Close()
	if l.server != nil {
		_ = l.server.Close()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

// connect passes a new connection on.
func (p *Proxy) connect(conn net.Conn) {
	if p.isCut() {
		time.Sleep(synRetry)
	}
	p.mu.Lock()
	l := &link{client: conn, dead: p.cut}
	p.open[l] = struct{}{}
	p.mu.Unlock()
	if !l.dead {
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			p.end(l)
			return
		}
		l.server = server
		go p.copy(l, l.server, l.client)
	}
	p.copy(l, l.client, l.server)
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) end(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.close()
	delete(p.open, l)
}

// copy forwards bytes. On a connection that was cut it drops them, until the client gives up.
func (p *Proxy) copy(l *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		dead := l.dead
		p.mu.Unlock()
		if dead && from == l.server {
			// The client sees neither the bytes nor the end.
			return
		}
		if err != nil {
			p.end(l)
			return
		}
		if dead {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			p.end(l)
			return
		}
	}
}
