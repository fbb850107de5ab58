package goosebench

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// Guards against a slope that is fitted through the origin or with x and y
// swapped, and against a division by zero when all points share one value.
func TestLeastSquares(t *testing.T) {
	for name, c := range map[string]struct {
		x, y            []float64
		constant, slope float64
	}{
		"line with an offset": {[]float64{2, 4, 8}, []float64{7, 11, 19}, 3, 2},
		"noise":               {[]float64{0, 1, 2}, []float64{0, 2, 1}, 0.5, 0.5},
		"one value":           {[]float64{3, 3}, []float64{1, 2}, 1.5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			constant, slope, _ := leastSquares(c.x, c.y)
			if math.Abs(constant-c.constant) > 1e-9 || math.Abs(slope-c.slope) > 1e-9 {
				t.Errorf("got %g + %g x, want %g + %g x", constant, slope, c.constant, c.slope)
			}
		})
	}
}

// Guards against reading the wrong fields if the name of the program contains spaces
// or brackets.
func TestParseCPUSeconds(t *testing.T) {
	got, err := parseCPUSeconds("7 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20")
	if err != nil || got != 2 {
		t.Errorf("got %g, %v, want 2 s", got, err)
	}
	if _, err := parseCPUSeconds("7 (cut"); err == nil {
		t.Error("got no error for a truncated text, want one")
	}
}

// Guards against rates that include the other direction or omit a kind of call, and
// against reporting instance list traffic per fleet instead of per instance.
func TestComputeRates(t *testing.T) {
	metrics := parseMetrics([]byte("# help\n" +
		`gooseberryhold_peer_bytes_total{direction="sent",kind="member-heartbeat"} 300` + "\n" +
		`gooseberryhold_peer_messages_total{direction="sent",kind="member-heartbeat"} 6` + "\n" +
		`gooseberryhold_peer_udp_bytes_total{direction="sent"} 4000` + "\n" +
		"gooseberryhold_peer_dials_total 3\n" +
		`gooseberryhold_peer_udp_bytes_total{direction="received"} 9000` + "\n"))
	start := time.Unix(0, 0)
	before := fleetReading{at: start, instances: map[string]instanceReading{"a": {at: start}}, storeCalls: map[string]int{"watch": 1}}
	after := fleetReading{
		at: start.Add(2 * time.Second), storeCalls: map[string]int{"watch": 3, "kv/txn": 8},
		listCounters: goosestand.InstanceListCounters{Reads: 4, Bytes: 6_000, LastListBytes: 2_000},
		instances:    map[string]instanceReading{"a": {at: start.Add(2 * time.Second), metrics: metrics, cpuSeconds: 0.1}},
	}
	var p ScalePoint
	p.computeRates(before, after)
	c := p.InstanceCosts[0]
	if c.CPUPercent != 5 || c.UDPSentKB != 2 || c.UDPReceivedKB != 4.5 || c.Dials != 1.5 {
		t.Errorf("got processor %g, sent %g, received %g, dials %g, want 5, 2, 4.5, 1.5", c.CPUPercent, c.UDPSentKB, c.UDPReceivedKB, c.Dials)
	}
	if c.SentBytes["member-heartbeat"] != 150 || c.SentMessages["member-heartbeat"] != 3 {
		t.Errorf("got %v and %v, want 150 bytes and 3 messages", c.SentBytes, c.SentMessages)
	}
	if p.ListReads != 2 || p.ListReceivedKB != 3 || p.ListBytes != 2_000 {
		t.Errorf("list: got %g reads/s, %g KB/s, %d bytes, want 2, 3, 2000", p.ListReads, p.ListReceivedKB, p.ListBytes)
	}
	if p.storeReads() != 1 || p.storeWrites() != 4 {
		t.Errorf("got %g reads and %g writes, want 1 and 4", p.storeReads(), p.storeWrites())
	}
}

// Guards against counting a change as in force before the last instance applied it, or
// as never in force if an instance skipped its version.
func TestVersionsInForce(t *testing.T) {
	v := versionsInForce(`{"time":"2026-01-01T00:00:01Z","msg":"configuration in force","version":2}
not JSON
{"time":"2026-01-01T00:00:05Z","msg":"configuration in force","version":4}
{"time":"2026-01-01T00:00:06Z","msg":"another","version":9}
`)
	at, ok := firstTimeAtLeast(v, 3)
	if !ok || at.Second() != 5 {
		t.Errorf("got %v, %v, want second 5", at, ok)
	}
	if _, ok := firstTimeAtLeast(v, 5); ok {
		t.Error("got a time for a version that was never in force, want none")
	}
}

// Guards against mistyped arguments that are accepted and measure nothing.
func TestScaleUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown series":           {"scale", "--series", "instances,nothing"},
		"values of several series": {"scale", "--values", "1"},
		"value is not a number":    {"scale", "--series", "pools", "--values", "two"},
		"short window":             {"scale", "--window", "1ms"},
		"stray argument":           {"scale", "instances"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if got := Run(context.Background(), args, &out, &errs); got != exitUsage || errs.Len() == 0 {
				t.Errorf("got exit code %d and %q, want %d and a message", got, errs.String(), exitUsage)
			}
		})
	}
}
