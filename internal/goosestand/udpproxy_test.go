package goosestand

import (
	"net"
	"slices"
	"testing"
	"time"
)

// startEchoTarget starts a target that sends every packet back and returns its
// address.
func startEchoTarget(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buf := make([]byte, maxPacketBytes)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(buf[:n], from)
		}
	}()
	return c.LocalAddr().String()
}

// listenSource returns the socket of one sender.
func listenSource(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// startUDPProxy runs a proxy to an echo target and returns the proxy and its
// address.
func startUDPProxy(t *testing.T, sources map[string]string) (*UDPProxy, *net.UDPAddr) {
	t.Helper()
	p := NewUDPProxy(UDPProxyConfig{Target: startEchoTarget(t), Sources: sources, Seed: 7}, loopback(0), "", discardLog)
	runInBackground(t, p.Run)
	waitFor(t, "the UDP proxy", func() bool { return p.Address() != "" })
	proxyAddress, err := net.ResolveUDPAddr("udp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	return p, proxyAddress
}

// sendPackets sends n packets one by one. It returns which of them the proxy
// forwarded to the target, and for which of them the echo came back.
func (p *UDPProxy) sendPackets(t *testing.T, from *net.UDPConn, to *net.UDPAddr, name string, n int) (forwarded, returned []bool) {
	t.Helper()
	buf := make([]byte, 8)
	for range n {
		before := p.Counters()
		if _, err := from.WriteTo([]byte("x"), to); err != nil {
			t.Fatal(err)
		}
		var after UDPProxyCounters
		waitFor(t, "the packet to be dropped or returned", func() bool {
			after = p.Counters()
			return after.Dropped[name]+after.Returned[name] > before.Dropped[name]+before.Returned[name]
		})
		forwarded = append(forwarded, after.Forwarded[name] > before.Forwarded[name])
		cameBack := after.Returned[name] > before.Returned[name]
		returned = append(returned, cameBack)
		if !cameBack {
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := from.Read(buf); err != nil {
			t.Fatalf("the proxy counted a returned packet that did not arrive: %v", err)
		}
	}
	return forwarded, returned
}

// Guards against a fault that lets packets through, that affects another source
// or the other direction, or that stays after it is cleared.
func TestUDPProxyCuts(t *testing.T) {
	t.Parallel()
	a, b := listenSource(t), listenSource(t)
	p, proxyAddress := startUDPProxy(t, map[string]string{a.LocalAddr().String(): "a", b.LocalAddr().String(): "b"})
	tests := []struct {
		fault string
		// forwarded and returned are expected for source a, other is whether
		// source b gets its packets back.
		forwarded, returned, other bool
	}{
		{`{}`, true, true, true},
		{`{"cut-to":["a"]}`, false, false, true},
		{`{"cut-to":[],"cut-from":["a"]}`, true, false, true},
		{`{"cut-from":[],"down":true}`, false, false, false},
		{`{"down":false,"loss":1}`, false, false, false},
		{`{"loss":0}`, true, true, true},
	}
	for _, tt := range tests {
		setFault(t, p.srv.addr(), tt.fault)
		if forwarded, returned := p.sendPackets(t, a, proxyAddress, "a", 1); forwarded[0] != tt.forwarded || returned[0] != tt.returned {
			t.Errorf("%s: got forwarded %v, returned %v, want %v, %v", tt.fault, forwarded[0], returned[0], tt.forwarded, tt.returned)
		}
		if _, returned := p.sendPackets(t, b, proxyAddress, "b", 1); returned[0] != tt.other {
			t.Errorf("%s, other source: got returned %v, want %v", tt.fault, returned[0], tt.other)
		}
	}
}

// Guards against losses that differ between two runs with the same seed.
func TestUDPProxyLossIsFixedBySeed(t *testing.T) {
	t.Parallel()
	const packets = 60
	p := NewUDPProxy(UDPProxyConfig{Target: "t", Seed: 7}, "", "", discardLog)
	draw := func(source, direction string) (losses []bool) {
		rnd := p.newLossRand(source, direction)
		for range packets {
			losses = append(losses, isLost(rnd, 0.3))
		}
		return losses
	}
	if !slices.Equal(draw("a", "to"), draw("a", "to")) {
		t.Error("equal seeds: got different losses")
	}
	if slices.Equal(draw("a", "to"), draw("a", "back")) || slices.Equal(draw("a", "to"), draw("b", "to")) {
		t.Error("another source or direction: got the same losses")
	}
}

// Guards against a change of faults that writes into the slices of the current
// switches, which may be in use for checking packets.
func TestFaultMergeCopiesSwitches(t *testing.T) {
	t.Parallel()
	f := newFaults(func(f UDPProxyFaults) UDPProxyFaults { return f })
	for _, body := range []string{`{"cut-to":["a","b"],"loss":0.5}`, `{"cut-to":["c"]}`} {
		if err := f.merge([]byte(body)); err != nil {
			t.Fatal(err)
		}
		if got := f.get(); got.Loss != 0.5 {
			t.Errorf("%s: got loss %v, want 0.5", body, got.Loss)
		}
	}
	before := f.get()
	if err := f.merge([]byte(`{"cut-to":["d"]}`)); err != nil {
		t.Fatal(err)
	}
	if before.CutTo[0] != "c" {
		t.Errorf("switches read before a change: got %v, want c", before.CutTo)
	}
}
