package gooseledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// BenchmarkStoreCalls sends 870 new orders per second, the design load, from the
// instances of one or more data centres to a store that responds in 3 ms. Each
// order is claimed and finished. It reports the calls and transactions per second
// that reach the store, and the average duration of a claim.
func BenchmarkStoreCalls(b *testing.B) {
	for _, size := range [][2]int{{1, 1}, {3, 2}, {13, 25}} {
		for _, mode := range []string{"single", "batched", "relayed"} {
			b.Run(fmt.Sprintf("centres=%d/instances=%d/%s", size[0], size[0]*size[1], mode), func(b *testing.B) {
				m := goosestore.NewMemory(goose.SystemClock{})
				m.SetFaults(goosestore.Faults{Slow: 3 * time.Millisecond})
				var ledgers []*Ledger
				for range size[0] {
					ledgers = append(ledgers, openDataCentre(m, size[1], mode)...)
				}
				benchmarkStoreCalls(b, m, ledgers)
			})
		}
	}
}

// openDataCentre opens the ledgers of the n instances of one data centre.
func openDataCentre(m *goosestore.Memory, n int, mode string) []*Ledger {
	var members []goose.Member
	var ledgers []*Ledger
	for i := range n {
		name := fmt.Sprint(i)
		members = append(members, goose.Member{Instance: goose.InstanceID(name), Address: name, Live: true})
	}
	peers := goosepeertest.New(noFault)
	for _, i := range members {
		p := newLink(peers, i.Instance, members...)
		o := Options{Store: m, Fleet: "f", Self: i.Instance, Logger: logger, StoreCallRate: 1e6}
		switch mode {
		case "single":
			o.BatchWindow = -1
		case "relayed":
			o.Members, o.PeerClient, o.StoreCallRate = p, p, DefaultStoreCallRate
		}
		l := New(o)
		l.Register(p)
		ledgers = append(ledgers, l)
	}
	return ledgers
}

func benchmarkStoreCalls(b *testing.B, m *goosestore.Memory, ledgers []*Ledger) {
	const rate = 870
	var claimTime atomic.Int64
	orders := 0
	var wg sync.WaitGroup
	for b.Loop() {
		start := time.Now()
		for i := range rate {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / rate)))
			key := goose.OrderKey{Key: fmt.Sprint(orders)}
			l := ledgers[orders%len(ledgers)]
			orders++
			wg.Go(func() {
				sent := time.Now()
				c := l.Claim(context.Background(), key, "", "")
				claimTime.Add(int64(time.Since(sent)))
				if c.Status != goose.ClaimGranted {
					b.Errorf("got %s", c.Status)
				}
				l.MarkDone(c.Order, answer)
			})
		}
	}
	wg.Wait()
	for _, l := range ledgers {
		if err := l.Close(context.Background()); err != nil {
			b.Error(err)
		}
	}
	seconds := float64(orders) / rate
	b.ReportMetric(float64(m.Counts()[goosestore.CallTxn])/seconds, "calls/s")
	b.ReportMetric(2*rate, "txns/s")
	b.ReportMetric(float64(claimTime.Load())/float64(orders)/1e6, "ms/claim")
}

// BenchmarkClaim measures a claim and its completion without store latency.
func BenchmarkClaim(b *testing.B) {
	l := New(Options{Store: goosestore.NewMemory(goose.SystemClock{}), Fleet: "f", Self: "a", StoreCallRate: 1e6, Logger: logger})
	defer l.cancel()
	b.ReportAllocs()
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := l.Claim(context.Background(), goose.OrderKey{Key: fmt.Sprint(n.Add(1))}, "", "")
			l.MarkDone(c.Order, answer)
		}
	})
}
