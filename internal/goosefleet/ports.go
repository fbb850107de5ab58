package goosefleet

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports are taken from below the usual range of outgoing connections, so that
// a simulator can take its port again after a fault. They are taken in whole
// blocks. A fleet listens on the guard port of each block that it uses, so that
// fleets of other processes, such as tests of other packages, choose others.
const (
	firstPort  = 12_000
	blockPorts = 64
	blocks     = 280
)

// portRange is a range of port blocks, followed by one guard port for each.
type portRange struct {
	first  int
	blocks int
}

// ports are the port blocks of one fleet.
type ports struct {
	within portRange
	mu     sync.Mutex
	guards []net.Listener
}

func newPorts(within portRange) *ports { return &ports{within: within} }

// take returns the first of n consecutive ports that are free for TCP and UDP
// on 127.0.0.1. They stay reserved until release.
func (p *ports) take(n int) (int, error) {
	need := (n + blockPorts - 1) / blockPorts
	if need > p.within.blocks {
		return 0, errors.Errorf("%d consecutive ports are more than there are", n)
	}
	places := p.within.blocks - need + 1
	start := rand.IntN(places)
	for i := range places {
		block := (start + i) % places
		guards, ok := p.within.guard(block, need)
		if !ok {
			continue
		}
		first := p.within.first + block*blockPorts
		if allFree(first, n) {
			p.mu.Lock()
			p.guards = append(p.guards, guards...)
			p.mu.Unlock()
			return first, nil
		}
		closeAll(guards)
	}
	return 0, errors.Errorf("found no %d consecutive free ports", n)
}

// release gives all blocks back.
func (p *ports) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.guards)
	p.guards = nil
}

// guard reserves n consecutive blocks; false if another fleet uses one.
func (r portRange) guard(block, n int) ([]net.Listener, bool) {
	var all []net.Listener
	for i := range n {
		ln, err := net.Listen("tcp", loopback(r.first+r.blocks*blockPorts+block+i))
		if err != nil {
			closeAll(all)
			return nil, false
		}
		all = append(all, ln)
	}
	return all, true
}

func closeAll(all []net.Listener) {
	for _, ln := range all {
		_ = ln.Close()
	}
}

func allFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		t, err := net.Listen("tcp", loopback(p))
		if err != nil {
			return false
		}
		_ = t.Close()
		u, err := net.ListenPacket("udp", loopback(p))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
