package gooseproof

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// newBenchFleet starts one data centre of two instances and four fast, warm engines.
func newBenchFleet(b *testing.B) *testFleet {
	f := newTestFleet(b, func(s *goosefleet.Spec) {
		s.DataCentres, s.Instances = s.DataCentres[:1], 2
		s.Services[0].Replicas, s.Services[0].ColdConcurrency, s.Services[0].ColdTokens = 4, 32, 400_000
		s.Services[0].Flags = []string{"--scale", "64", "--cold=false"}
	})
	f.warmUp()
	return f
}

// BenchmarkAddedLatency reports the latency that the serving layer adds to a request with
// a prompt of 500 tokens and an output of one token: the time of each request through an
// instance, less the median time of the same requests sent to an engine. One of the two
// instances requests its permits from the other.
func BenchmarkAddedLatency(b *testing.B) {
	f := newBenchFleet(b)
	engine := f.BackendsOf(modelService, "")[0].Address
	var direct, through []time.Duration
	n := 0
	for b.Loop() {
		n++
		began := time.Now()
		if res := f.send(engine, "/v1/completions", "", map[string]string{"X-Request-Id": strconv.Itoa(n)}, completionBody("direct", n)); !res.served() {
			b.Fatalf("engine: %v", res)
		}
		direct = append(direct, time.Since(began))
		began = time.Now()
		if res := f.send(f.Instances[n%2].Caller, "/v1/completions", f.Workspaces[0].Key, nil, completionBody("through", n)); !res.served() {
			b.Fatalf("instance: %v", res)
		}
		through = append(through, time.Since(began))
	}
	base := quantile(direct, 0.5)
	for _, q := range []float64{0.5, 0.99} {
		b.ReportMetric(float64((quantile(through, q)-base).Microseconds())/1000, fmt.Sprintf("added-p%g-ms", 100*q))
	}
	b.ReportMetric(float64(base.Microseconds())/1000, "engine-p50-ms")
}

func completionBody(name string, n int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":1,"prompt":%q}`, modelService, promptOf(fmt.Sprint(n, name), 500))
}

func quantile(d []time.Duration, q float64) time.Duration {
	s := slices.Sorted(slices.Values(d))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// BenchmarkForward reports the tokens that instances forward per second of their CPU time,
// with 32 concurrent streams of 500 tokens. The time for permits is included.
func BenchmarkForward(b *testing.B) {
	f := newBenchFleet(b)
	const streams, tokens = 32, 500
	forwarded, before, n := 0, cpuSeconds(b, f), 0
	for b.Loop() {
		var all sync.WaitGroup
		n++
		for i := range streams {
			all.Go(func() {
				if res := f.generate(f.Instances[i%2].Caller, fmt.Sprintf("relay-%d-%d", n, i), 500, tokens); !res.served() {
					b.Errorf("instance: %v", res)
				}
			})
		}
		all.Wait()
		forwarded += streams * tokens
	}
	b.ReportMetric(float64(forwarded)/(cpuSeconds(b, f)-before), "tokens/core-s")
}

// cpuSeconds returns the CPU time of all instances, read from /proc/<pid>/stat in ticks of
// 10 ms.
func cpuSeconds(b *testing.B, f *testFleet) float64 {
	b.Helper()
	sum := 0.0
	for _, i := range f.Instances {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.PID(i)))
		if err != nil {
			b.Fatal(err)
		}
		// The program's name is in parentheses and may contain spaces, so fields are
		// split after the last closing parenthesis.
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, field := range fields[11:13] {
			ticks, err := strconv.ParseFloat(field, 64)
			if err != nil {
				b.Fatal(err)
			}
			sum += ticks / 100
		}
	}
	return sum
}
