// Package goosepackettest has an in-memory datagram network for tests of what instances send
// each other.
package goosepackettest

import (
	"net"
	"sync"
)

// queueLength is the number of datagrams that wait for a receiver; further ones are lost.
const queueLength = 100

// packet is a datagram on its way.
type packet struct {
	data []byte
	from net.Addr
}

// Network connects addresses. The zero value loses nothing.
type Network struct {
	conns sync.Map
	// Drop reports whether a datagram is lost; nil means that none is. It may be called at the
	// same time by several senders.
	Drop func(from, to string, data []byte) bool
}

// conn is a net.PacketConn of a network.
type conn struct {
	net.PacketConn
	network *Network
	address *net.UDPAddr
	in      chan packet
	closed  chan struct{}
	close   func()
}

// Listen returns a connection with the given address, an IP:port.
func (n *Network) Listen(address string) net.PacketConn {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		panic(err)
	}
	c := &conn{network: n, address: a, in: make(chan packet, queueLength), closed: make(chan struct{})}
	c.close = sync.OnceFunc(func() { close(c.closed) })
	n.conns.Store(address, c)
	return c
}

// Detach removes an address from the network until the returned function is called:
// datagrams to it are lost.
func (n *Network) Detach(address string) func() {
	c, ok := n.conns.LoadAndDelete(address)
	return func() {
		if ok {
			n.conns.Store(address, c)
		}
	}
}

// ReadFrom implements net.PacketConn.
func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *conn) WriteTo(b []byte, to net.Addr) (int, error) {
	address := to.String()
	if drop := c.network.Drop; drop != nil && drop(c.address.String(), address, b) {
		return len(b), nil
	}
	if peer, ok := c.network.conns.Load(address); ok {
		select {
		case peer.(*conn).in <- packet{data: append([]byte(nil), b...), from: c.address}:
		default:
		}
	}
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *conn) Close() error {
	c.close()
	return nil
}
