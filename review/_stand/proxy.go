package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP channels to one target. Channels can be made silent for good while new
// ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one channel through the proxy.
type pair struct {
	openedAt time.Time
	silent   chan struct{}
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	p := &proxy{listener: l, target: target, pairs: map[*pair]bool{}}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{openedAt: time.Now(), silent: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.copy(server, client) }()
	go func() { defer wg.Done(); c.copy(client, server) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction. Once the channel is silent, bytes and the end of the channel are
// dropped.
func (c *pair) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isSilent() {
			_, _ = to.Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if !c.isSilent() {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		return
	}
}

func (c *pair) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// open returns the ages of the channels that are open and not silent.
func (p *proxy) open() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ages []time.Duration
	for c := range p.pairs {
		if !c.isSilent() {
			ages = append(ages, time.Since(c.openedAt))
		}
	}
	return ages
}

// silence makes all open channels silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		if !c.isSilent() {
			close(c.silent)
			n++
		}
	}
	return n
}
