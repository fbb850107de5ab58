package goosefleet

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports are chosen below the usual range of ephemeral ports, so that no outgoing
// connection takes the port of a simulator while a fault closes it. They are
// reserved in whole blocks. A fleet listens on the guard port of each block that
// it uses, so that fleets of other processes, such as tests of other packages,
// choose other blocks.
const (
	firstPort     = 12_000
	portsPerBlock = 64
	blockCount    = 280
)

// portRange is a range of port blocks, followed by one guard port for each block.
type portRange struct {
	first      int
	blockCount int
}

// ports holds the port blocks that one fleet has reserved.
type ports struct {
	blockRange portRange
	mu         sync.Mutex
	guards     []net.Listener
}

func newPorts(blockRange portRange) *ports { return &ports{blockRange: blockRange} }

// reserve reserves n consecutive ports that are free for TCP and UDP on 127.0.0.1
// and returns the first one. They stay reserved until release is called.
func (p *ports) reserve(n int) (int, error) {
	neededBlocks := (n + portsPerBlock - 1) / portsPerBlock
	if neededBlocks > p.blockRange.blockCount {
		return 0, errors.Errorf("%d consecutive ports exceed the port range", n)
	}
	positions := p.blockRange.blockCount - neededBlocks + 1
	start := rand.IntN(positions)
	for i := range positions {
		block := (start + i) % positions
		guards, ok := p.blockRange.reserveBlocks(block, neededBlocks)
		if !ok {
			continue
		}
		first := p.blockRange.first + block*portsPerBlock
		if areFree(first, n) {
			p.mu.Lock()
			p.guards = append(p.guards, guards...)
			p.mu.Unlock()
			return first, nil
		}
		closeListeners(guards)
	}
	return 0, errors.Errorf("no %d consecutive free ports found", n)
}

// release releases all reserved blocks.
func (p *ports) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeListeners(p.guards)
	p.guards = nil
}

// reserveBlocks reserves n consecutive blocks and returns the listeners on their
// guard ports. It returns false if another fleet uses one of the blocks.
func (r portRange) reserveBlocks(block, n int) ([]net.Listener, bool) {
	var listeners []net.Listener
	for i := range n {
		ln, err := net.Listen("tcp", loopback(r.first+r.blockCount*portsPerBlock+block+i))
		if err != nil {
			closeListeners(listeners)
			return nil, false
		}
		listeners = append(listeners, ln)
	}
	return listeners, true
}

func closeListeners(listeners []net.Listener) {
	for _, ln := range listeners {
		_ = ln.Close()
	}
}

func areFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		tcp, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", loopback(port))
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
