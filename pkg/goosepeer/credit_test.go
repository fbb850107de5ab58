package goosepeer

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against callers that wait forever for the credit of streams whose calls
// have ended, also when calls time out or fail.
func TestStreamCreditIsReleased(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	a := newLink(t, ca, "a")
	config := quicConfig()
	config.MaxIncomingStreams = 3
	b, err := listen("127.0.0.1:0", ca.issue(t, "b"), ca.pool, slog.New(slog.DiscardHandler), config)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle("echo", func(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var s string
		return s, decode(&s)
	})
	b.Handle("wait", func(ctx context.Context, _ goose.InstanceID, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	b.Start()
	t.Cleanup(func() { _ = b.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var callers conc.WaitGroup
	for range 5 {
		callers.Go(func() {
			for i := range 20 {
				var out string
				if err := a.Call(ctx, b.Address(), "echo", "hello", &out); err != nil {
					t.Errorf("call %d: got %v, want a reply", i, err)
					return
				}
				short, cancel := context.WithTimeout(ctx, time.Millisecond)
				_ = a.Call(short, b.Address(), "wait", "", nil)
				cancel()
			}
		})
	}
	callers.Wait()
}

// BenchmarkExchange measures the bytes and packets, in both directions together, of
// a call that is repeated like a heartbeat.
func BenchmarkExchange(b *testing.B) {
	ca := newAuthority(b)
	from, to := newLink(b, ca, "a"), newLink(b, ca, "b")
	body := strings.Repeat("x", 60)
	call := func() {
		var out string
		if err := from.Call(b.Context(), to.Address(), "echo", body, &out); err != nil {
			b.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	before := sentBytes.Get()
	for range 20 {
		call()
	}
	first20Bytes := sentBytes.Get() - before
	bytesBefore, packetsBefore := sentBytes.Get(), receivedPackets.Get()
	n := 0
	for b.Loop() {
		call()
		n++
	}
	b.ReportMetric(float64(first20Bytes), "first-20-bytes")
	b.ReportMetric(float64(sentBytes.Get()-bytesBefore)/float64(n), "bytes/call")
	b.ReportMetric(float64(receivedPackets.Get()-packetsBefore)/float64(n), "packets/call")
}
