package goosesoak

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// usageInterval is the time between two measurements.
	usageInterval = 50 * time.Millisecond
	// settledMeasurements is the number of equal measurements after which the instance is taken
	// to have read what it reads, and settleTimeout ends the wait for them.
	settledMeasurements = 6
	settleTimeout       = 3 * time.Second
)

// usage is the use of memory and descriptors by a process.
type usage struct {
	stop func()
	// descriptors, queuedBytes and residentBytes are the largest ones that were seen;
	// queuedBytes is what the kernel holds for the connections of callers.
	descriptors, queuedBytes, residentBytes atomic.Int64
	// settled is the number of equal measurements of the kernel's bytes and the descriptors.
	settled atomic.Int64
}

// waitUntilSettled waits until the instance has read what the clients have sent, or does not read
// it any more.
func (u *usage) waitUntilSettled() {
	u.settled.Store(0)
	for started := time.Now(); u.settled.Load() < settledMeasurements && time.Since(started) < settleTimeout; {
		time.Sleep(usageInterval)
	}
}

// watchUsage records the use of a process until check is called.
func watchUsage(t *testing.T, target untrustedTarget) *usage {
	t.Helper()
	u := &usage{}
	ended := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		for last := (measurement{}); ; {
			now := u.record(target)
			if u.settled.Add(1); now != last {
				u.settled.Store(0)
			}
			last = now
			select {
			case <-ended:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	u.stop = sync.OnceFunc(func() {
		close(ended)
		wg.Wait()
	})
	t.Cleanup(u.stop)
	return u
}

// measurement is the use at one time.
type measurement struct{ descriptors, queuedBytes int64 }

func (u *usage) record(target untrustedTarget) measurement {
	m := measurement{queuedBytes: queuedBytes(target.address)}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.pid)); err == nil {
		m.descriptors = int64(len(files))
	}
	u.descriptors.Store(max(u.descriptors.Load(), m.descriptors))
	u.queuedBytes.Store(max(u.queuedBytes.Load(), m.queuedBytes))
	u.residentBytes.Store(max(u.residentBytes.Load(), peakMemory(target.pid)))
	return m
}

// check compares the use with the limits of the process.
func (u *usage) check(t *testing.T, limits processLimits) {
	t.Helper()
	u.stop()
	if got := u.descriptors.Load(); got >= int64(limits.descriptors) {
		t.Errorf("the process used %d descriptors, want less than %d", got, limits.descriptors)
	}
	resident, queued := u.residentBytes.Load()>>20, u.queuedBytes.Load()>>20
	if resident+queued >= int64(limits.memoryMB) {
		t.Errorf("the process used %d MB and the kernel %d MB for its connections, want less than %d MB together", resident, queued, limits.memoryMB)
	}
	t.Logf("at most %d MB, %d MB in the kernel, %d descriptors", resident, queued, u.descriptors.Load())
}

// queuedBytes returns the bytes that the kernel holds for the connections of callers at an address,
// an IP:port.
func queuedBytes(address string) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	local := fmt.Sprintf(" %02X%02X%02X%02X:%04X ", ip[3], ip[2], ip[1], ip[0], at.Port())
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); strings.Contains(line, ": "+local[1:]) && len(fields) > 4 && fields[3] != "0A" {
			var tx, rx int64
			_, _ = fmt.Sscanf(fields[4], "%x:%x", &tx, &rx)
			total += tx + rx
		}
	}
	return total
}
