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

// newBenchRig starts one data centre of two instances and four fast, warm engines.
func newBenchRig(b *testing.B) *rig {
	r := newRig(b, func(s *goosefleet.Spec) {
		s.DataCentres, s.Instances = s.DataCentres[:1], 2
		s.Services[0].Replicas, s.Services[0].ColdConcurrency, s.Services[0].ColdTokens = 4, 32, 400_000
		s.Services[0].Flags = []string{"--scale", "64", "--cold=false"}
	})
	r.warm()
	return r
}

// BenchmarkAddedTime reports what the serving layer adds to a request of 500
// tokens with one token of answer: the time of each request through an
// instance, less the median time of the same requests sent to an engine. One of
// the two instances asks the other for its permits.
func BenchmarkAddedTime(b *testing.B) {
	r := newBenchRig(b)
	engine := r.BackendsOf(model, "")[0].Address
	var direct, through []time.Duration
	n := 0
	for b.Loop() {
		n++
		began := time.Now()
		if a := r.send(engine, "/v1/completions", "", map[string]string{"X-Request-Id": strconv.Itoa(n)}, modelBody("direct", n)); !a.served() {
			b.Fatalf("engine: %v", a)
		}
		direct = append(direct, time.Since(began))
		began = time.Now()
		if a := r.send(r.Instances[n%2].Caller, "/v1/completions", r.Workspaces[0].Key, nil, modelBody("through", n)); !a.served() {
			b.Fatalf("instance: %v", a)
		}
		through = append(through, time.Since(began))
	}
	base := quantile(direct, 0.5)
	for _, q := range []float64{0.5, 0.99} {
		b.ReportMetric(float64((quantile(through, q)-base).Microseconds())/1000, fmt.Sprintf("added-p%g-ms", 100*q))
	}
	b.ReportMetric(float64(base.Microseconds())/1000, "engine-p50-ms")
}

func modelBody(name string, n int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":1,"prompt":%q}`, model, prompt(fmt.Sprint(n, name), 500))
}

func quantile(d []time.Duration, q float64) time.Duration {
	s := slices.Sorted(slices.Values(d))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// BenchmarkRelay reports the tokens that instances relay for each second of
// their processor time: 32 streams of 500 tokens at a time, permits included.
func BenchmarkRelay(b *testing.B) {
	r := newBenchRig(b)
	const streams, tokens = 32, 500
	relayed, before, n := 0, processorSeconds(b, r), 0
	for b.Loop() {
		var all sync.WaitGroup
		n++
		for i := range streams {
			all.Go(func() {
				if a := r.generate(r.Instances[i%2].Caller, fmt.Sprintf("relay-%d-%d", n, i), 500, tokens); !a.served() {
					b.Errorf("instance: %v", a)
				}
			})
		}
		all.Wait()
		relayed += streams * tokens
	}
	b.ReportMetric(float64(relayed)/(processorSeconds(b, r)-before), "tokens/core-s")
}

// processorSeconds returns the processor time of all instances, from
// /proc/<pid>/stat in ticks of 10 ms.
func processorSeconds(b *testing.B, r *rig) float64 {
	b.Helper()
	sum := 0.0
	for _, i := range r.Instances {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.PID(i)))
		if err != nil {
			b.Fatal(err)
		}
		// The program's name may contain blanks; fields follow its closing bracket.
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, f := range fields[11:13] {
			ticks, err := strconv.ParseFloat(f, 64)
			if err != nil {
				b.Fatal(err)
			}
			sum += ticks / 100
		}
	}
	return sum
}
