package gooseconfig_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"github.com/pkg/errors"
)

func TestMain(m *testing.M) {
	for _, p := range []string{"openai", "http"} {
		if !slices.Contains(goose.ProtocolNames(), p) {
			goose.RegisterProtocol(p, func() goose.Protocol { return nil })
		}
	}
	os.Exit(m.Run())
}

// newConfiguration returns a valid configuration with n workspaces and 12 backend servers.
func newConfiguration(n int) *goose.Configuration {
	c := &goose.Configuration{
		WeightStore: &goose.WeightStore{MaxLoads: 4, Period: time.Minute},
		Services: []goose.ServiceSpec{
			{Name: "wording-desk", Kind: goose.KindModel, Protocol: "openai", Model: "wording-7", Deadline: 60e9, Idempotent: true},
			{Name: "order-book", Kind: goose.KindPlain, Protocol: "http", Deadline: 10e9, Labels: goose.Labels{"tier": "orders"}},
		},
		Selectors: []goose.Selector{{Name: "orders", Workspaces: goose.Labels{"may-order": "yes"}, Services: goose.Labels{"tier": "orders"}}},
	}
	for i := range n {
		w := goose.WorkspaceSpec{Name: goose.WorkspaceName(fmt.Sprintf("workspace-%d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1}
		if i%2 == 0 {
			w.Labels = goose.Labels{"may-order": "yes"}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	for i, dc := range []goose.DataCentre{"leith", "musselburgh", "dalkeith"} {
		c.DataCentres = append(c.DataCentres, goose.DataCentreSpec{Name: dc, State: goose.StateActive})
		for j := range 4 {
			b := goose.BackendServer{
				Name: goose.ReplicaID(fmt.Sprintf("%s-%d", dc, j)), Service: "wording-desk", DataCentre: dc,
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+10*i+j), MemoryTokens: 200_000, Concurrency: 8,
				ColdConcurrency: 1, ColdTokens: 8000, Fencing: goose.FencingChecked, State: goose.StateActive,
			}
			if j == 3 {
				b.Service, b.MemoryTokens, b.ColdTokens = "order-book", 0, 0
			}
			c.BackendServers = append(c.BackendServers, b)
		}
	}
	return c
}

func publish(t *testing.T, r *gooseconfig.Repository, base int64, c *goose.Configuration) gooseconfig.Head {
	t.Helper()
	h, err := r.Publish(t.Context(), gooseconfig.Change{ID: gooseconfig.NewChangeID(), Author: "ada", Base: base, Configuration: c})
	if err != nil {
		t.Fatalf("publish on version %d: %v", base, err)
	}
	return h
}

// Guards against a configuration that differs after it was published and loaded,
// and against sections or heads above the size limit at 10,000 workspaces.
func TestPublishAndLoad(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"none": 0, "a few": 10, "10,000 workspaces": 10_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := goosestoretest.New()
			r := gooseconfig.NewRepository(store, "test")
			want := newConfiguration(n)
			publish(t, r, 0, want)
			s, err := r.Load(t.Context(), nil)
			if err != nil {
				t.Fatal(err)
			}
			if d := gooseconfig.Summary(want, s.Configuration()); s.Version() != 1 || len(d) > 0 {
				t.Errorf("got version %d with differences %v, want version 1 without differences", s.Version(), d)
			}
			entries, _, _ := store.List(t.Context(), "/gooseberryhold/test/config/", 0)
			for _, e := range entries {
				if len(e.Value) > 512<<10 {
					t.Errorf("%s: got %d bytes, want at most 512 KiB", e.Key, len(e.Value))
				}
			}
		})
	}
}

// Guards against lost changes when operators race, and against a change that is
// reported as failed or published twice because the store's response was lost.
func TestPublishOutcomes(t *testing.T) {
	t.Parallel()
	loseResponses := func(n int) goosestoretest.Fault {
		return func(call string) error {
			if call == "commit" && n > 0 {
				n--
				return goose.ErrOutcomeUnknown
			}
			return nil
		}
	}
	tests := map[string]struct {
		base  int64
		fault goosestoretest.Fault
		want  error
	}{
		"next version":          {base: 1},
		"4 responses lost":      {base: 1, fault: loseResponses(4)},
		"base is old":           {base: 0, want: gooseconfig.ErrConflict},
		"base does not exist":   {base: 7, want: gooseconfig.ErrConflict},
		"store down throughout": {base: 1, fault: func(string) error { return goose.ErrUnavailable }, want: goose.ErrUnavailable},
		"all responses lost":    {base: 1, fault: loseResponses(1 << 30), want: goose.ErrOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := goosestoretest.New()
				r := gooseconfig.NewRepository(store, "test").WithRetryPause(1)
				publish(t, r, 0, newConfiguration(5))
				store.SetFault(tt.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				next, err := gooseconfig.WithState(newConfiguration(5), gooseconfig.Object{Kind: "data-centre", Name: "leith"}, goose.StateLeaving)
				if err != nil {
					t.Fatal(err)
				}
				h, err := r.Publish(ctx, gooseconfig.Change{ID: "change-2", Author: "bo", Base: tt.base, Configuration: next})
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				if err == nil && (h.Version != 2 || h.ChangeID != "change-2") {
					t.Errorf("got %+v, want version 2 of change-2", h)
				}
			})
		})
	}
}

// Guards against a repeated publication taking effect twice.
func TestPublishTwice(t *testing.T) {
	t.Parallel()
	r := gooseconfig.NewRepository(goosestoretest.New(), "test")
	c := gooseconfig.Change{ID: "one", Author: "ada", Configuration: newConfiguration(3)}
	for range 2 {
		if h, err := r.Publish(t.Context(), c); err != nil || h.Version != 1 {
			t.Fatalf("got version %d, %v, want 1", h.Version, err)
		}
	}
	publish(t, r, 1, newConfiguration(4))
	if h, err := r.Publish(t.Context(), c); err != nil || h.Version != 1 {
		t.Errorf("after another change: got version %d, %v, want 1", h.Version, err)
	}
	audit, err := r.Audit(t.Context(), 10)
	if err != nil || len(audit) != 2 || audit[0].Version != 2 || audit[1].ChangeID != "one" {
		t.Errorf("got audit %+v, %v, want versions 2 and 1", audit, err)
	}
}

// Guards against obsolete sections that are never deleted, and against the deletion
// of a section that is still in use.
func TestObsoleteSections(t *testing.T) {
	t.Parallel()
	store := goosestoretest.New()
	r := gooseconfig.NewRepository(store, "test")
	for v := range 20 {
		c := newConfiguration(800)
		c.Workspaces[v*40].Weight = 2
		publish(t, r, int64(v), c)
		if _, err := r.Load(t.Context(), nil); err != nil {
			t.Fatalf("version %d: %v", v+1, err)
		}
	}
	h, _, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	entries, _, _ := store.List(t.Context(), "/gooseberryhold/test/config/sections/", 0)
	if got, most := len(entries), len(h.Sections)+4; got > most {
		t.Errorf("got %d stored sections, want at most %d", got, most)
	}
}

// Guards against sections of publications that lost a race and are never deleted,
// and against a garbage collection that deletes sections in use.
func TestGarbageCollection(t *testing.T) {
	t.Parallel()
	store := goosestoretest.New()
	r := gooseconfig.NewRepository(store, "test")
	orphan := "/gooseberryhold/test/config/sections/" + sha256Hex("orphan")
	if _, err := store.Commit(t.Context(), goose.Txn{Then: []goose.Op{goose.Put(orphan, []byte("x"))}}); err != nil {
		t.Fatal(err)
	}
	for i, floor := range []int64{254, 255} {
		c := gooseconfig.Change{ID: gooseconfig.NewChangeID(), Author: "ada", Base: int64(i) * 255, HighestKnownVersion: floor, Configuration: newConfiguration(i)}
		if _, err := r.Publish(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok, _ := store.Get(t.Context(), orphan); ok {
		t.Error("the orphan section is still in the store")
	}
	if s, err := r.Load(t.Context(), nil); err != nil || s.Version() != 256 {
		t.Errorf("got %v after the garbage collection, want version 256", err)
	}
}

// Guards against versions that start again at 1 after the store has lost its head.
func TestPublishAboveKnownVersion(t *testing.T) {
	t.Parallel()
	r := gooseconfig.NewRepository(goosestoretest.New(), "test")
	h, err := r.Publish(t.Context(), gooseconfig.Change{ID: "one", Author: "ada", HighestKnownVersion: 41, Configuration: newConfiguration(1)})
	if err != nil || h.Version != 42 {
		t.Errorf("got version %d, %v, want 42", h.Version, err)
	}
}

// Guards against a change of one object that also changes others.
func TestChanges(t *testing.T) {
	t.Parallel()
	object := func(kind gooseconfig.ObjectKind, name string) gooseconfig.Object {
		return gooseconfig.Object{Kind: kind, Name: name}
	}
	label := func(o gooseconfig.Object) func(*goose.Configuration) (*goose.Configuration, error) {
		return func(c *goose.Configuration) (*goose.Configuration, error) {
			return gooseconfig.WithLabels(c, o, goose.Labels{"a": "b"}, []string{"c"})
		}
	}
	leave := func(o gooseconfig.Object) func(*goose.Configuration) (*goose.Configuration, error) {
		return func(c *goose.Configuration) (*goose.Configuration, error) {
			return gooseconfig.WithState(c, o, goose.StateLeaving)
		}
	}
	tests := map[string]struct {
		change func(*goose.Configuration) (*goose.Configuration, error)
		want   string
		err    string
	}{
		"data centre leaves":     {leave(object("data-centre", "leith")), "changed data-centre/leith: active to leaving", ""},
		"backend server leaves":  {leave(object("backend-server", "leith-1")), "changed backend-server/leith-1: active to leaving", ""},
		"unlisted instance":      {leave(object("instance", "leith-entry-1")), "added instance/leith-entry-1: leaving", ""},
		"workspace label":        {label(object("workspace", "workspace-1")), "changed workspace/workspace-1", ""},
		"service label":          {label(object("service", "order-book")), "changed service/order-book", ""},
		"data centre label":      {label(object("data-centre", "leith")), "changed data-centre/leith", ""},
		"instance label":         {label(object("instance", "leith-entry-1")), "added instance/leith-entry-1", ""},
		"backend server label":   {label(object("backend-server", "leith-0")), "changed backend-server/leith-0", ""},
		"unknown data centre":    {leave(object("data-centre", "perth")), "", "data-centre/perth: not found"},
		"service cannot leave":   {leave(object("service", "order-book")), "", "only data centres, instances and backend servers"},
		"unknown kind":           {label(object("region", "x")), "", "unknown kind"},
		"instance with bad name": {leave(object("instance", "Leith 1")), "", "is not a name"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old := newConfiguration(3)
			n, err := tt.change(old)
			if tt.err != "" {
				if err == nil || !strings.Contains(err.Error(), tt.err) {
					t.Fatalf("got error %v, want %q", err, tt.err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := gooseconfig.Summary(old, n); !slices.Equal(got, []string{tt.want}) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if d := gooseconfig.Summary(old, newConfiguration(3)); len(d) > 0 {
				t.Errorf("the old configuration was changed: %v", d)
			}
		})
	}
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}
