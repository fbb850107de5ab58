package gooseconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
)

// largeConfiguration returns a configuration of the size that the system is designed
// for: 10,000 workspaces in 5 groups, and 1,400 backend servers of 4 services in 13
// data centres.
func largeConfiguration() *goose.Configuration {
	c := &goose.Configuration{}
	for s := range 4 {
		name := fmt.Sprintf("model-%d", s)
		c.Services = append(c.Services, goose.ServiceSpec{
			Name: goose.ServiceName(name), Kind: goose.KindModel, Protocol: "openai", Model: name, Idempotent: true,
			Deadline: 60e9, Labels: goose.Labels{"model": name},
		})
	}
	for g := range 5 {
		c.Selectors = append(c.Selectors, goose.Selector{
			Name: fmt.Sprintf("group-%d", g), Workspaces: goose.Labels{"group": fmt.Sprint(g)}, DataCentres: goose.Labels{"region": fmt.Sprint(g)},
		})
	}
	for i := range 10_000 {
		c.Workspaces = append(c.Workspaces, goose.WorkspaceSpec{
			Name: goose.WorkspaceName(fmt.Sprintf("workspace-%05d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1,
			Labels: goose.Labels{"group": fmt.Sprint(i % 5), "owner": fmt.Sprint(i)},
		})
	}
	for d := range 13 {
		name := goose.DataCentre(fmt.Sprintf("dc-%d", d))
		c.DataCentres = append(c.DataCentres, goose.DataCentreSpec{Name: name, State: goose.StateActive, Labels: goose.Labels{"region": fmt.Sprint(d % 5)}})
	}
	for i := range 1400 {
		c.BackendServers = append(c.BackendServers, goose.BackendServer{
			Name: goose.ReplicaID(fmt.Sprintf("engine-%04d", i)), Service: c.Services[i%4].Name, DataCentre: c.DataCentres[i%13].Name,
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), MemoryTokens: 200_000, Concurrency: 16, ColdConcurrency: 1, ColdTokens: 8000,
			Fencing: goose.FencingChecked, State: goose.StateActive,
		})
	}
	return c
}

// BenchmarkRequestPath measures the lookups of one request: its workspace by API
// key, the data centres that the workspace may use, and the backend servers of one
// pool.
func BenchmarkRequestPath(b *testing.B) {
	source := gooseconfig.NewSource()
	source.Adopt(gooseconfig.NewSnapshot(1, withKey(largeConfiguration(), "a key of ordinary length, 32 char")))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c := source.Current()
			w, ok := c.WorkspaceByKey("a key of ordinary length, 32 char")
			centres := c.DataCentresFor(w.Name, "model-1")
			if !ok || len(c.Allowed(w.Name, goose.Pool{DataCentre: centres[0], Service: "model-1"})) == 0 {
				b.Error("got no backend server")
			}
		}
	})
}

func withKey(c *goose.Configuration, key string) *goose.Configuration {
	c.Workspaces[7].KeyHashes = []string{sha256Hex(key)}
	return c
}

// BenchmarkLoad loads, validates and indexes the large configuration from a store
// in memory. Its metric resident-MB is the growth of the heap.
func BenchmarkLoad(b *testing.B) {
	r := gooseconfig.NewRepository(goosestoretest.New(), "test")
	if _, err := r.Publish(b.Context(), gooseconfig.Change{ID: "one", Author: "ada", Configuration: largeConfiguration()}); err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	var s *gooseconfig.Snapshot
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if s, err = r.Load(b.Context(), nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "resident-MB")
	runtime.KeepAlive(s)
}

// BenchmarkLoadOneChange loads a version that changes one workspace, as every
// instance does 1,600 times a day.
func BenchmarkLoadOneChange(b *testing.B) {
	r := gooseconfig.NewRepository(goosestoretest.New(), "test")
	if _, err := r.Publish(b.Context(), gooseconfig.Change{ID: "one", Author: "ada", Configuration: largeConfiguration()}); err != nil {
		b.Fatal(err)
	}
	old, err := r.Load(b.Context(), nil)
	if err != nil {
		b.Fatal(err)
	}
	next, err := gooseconfig.WithLabels(old.Configuration(), gooseconfig.Object{Kind: gooseconfig.ObjectWorkspace, Name: "workspace-00042"}, goose.Labels{"a": "b"}, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := r.Publish(b.Context(), gooseconfig.Change{ID: "two", Author: "ada", Base: 1, Configuration: next}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Load(b.Context(), old); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParse parses the large configuration from YAML, as the commands check
// and apply do.
func BenchmarkParse(b *testing.B) {
	data, err := gooseconfig.Format(largeConfiguration())
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := gooseconfig.Parse("f", data); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
