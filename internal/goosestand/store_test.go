package goosestand

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseetcd"
)

func b64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func startStore(t *testing.T) *Store {
	t.Helper()
	s := NewStore([]string{loopback(0), loopback(0)}, []string{loopback(0), loopback(0)}, quiet)
	for _, d := range s.endpoints {
		if err := d.srv.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { close(d.stop); d.srv.stop() })
	}
	return s
}

func (e *storeEndpoint) url(path string) string { return "http://" + e.srv.addr() + path }

// Guards against compare-and-swap, nested transactions or refused transactions
// that differ from etcd's.
func TestStoreTransactions(t *testing.T) {
	t.Parallel()
	s := startStore(t)
	absent := fmt.Sprintf(`{"key":%q,"target":"MOD","result":"EQUAL","mod_revision":"0"}`, b64("a"))
	put := func(key string) string {
		return fmt.Sprintf(`{"requestPut":{"key":%q,"value":%q}}`, b64(key), b64("v"))
	}
	create := `{"compare":[` + absent + `],"success":[` + put("a") + `]}`
	steps := []struct{ name, path, body, want string }{
		{"create", "txn", create, `"succeeded":true`},
		{"create again", "txn", create, `"header":{"cluster_id":"1","member_id":"1","revision":"2","raft_term":"1"}}`},
		{"nested", "txn", `{"success":[{"request_txn":` + create + `},{"request_txn":{"success":[` + put("b") + `]}}]}`, `"response_txn":{"header":{"cluster_id":"1","member_id":"1","revision":"3","raft_term":"1"},"succeeded":true`},
		{"duplicate key", "txn", `{"success":[` + put("c") + "," + put("c") + `]}`, "duplicate key"},
		{"missing lease", "put", fmt.Sprintf(`{"key":%q,"lease":"7"}`, b64("c")), "lease not found"},
		{"prefix", "range", fmt.Sprintf(`{"key":%q,"range_end":%q,"limit":1}`, b64("a"), b64("c")), `"more":true,"count":"2"`},
		{"delete", "deleterange", fmt.Sprintf(`{"key":%q}`, b64("a")), `"deleted":"1"`},
		{"not JSON", "txn", `{`, "request body"},
	}
	for i, st := range steps {
		if _, got := call(t, http.MethodPost, s.endpoints[i%2].url("/v3/kv/"+st.path), st.body); !strings.Contains(got, st.want) {
			t.Errorf("%s: got %s, want %s", st.name, got, st.want)
		}
	}
}

// Guards against faults of one endpoint that do not happen or reach other endpoints.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	s := startStore(t)
	put := func(endpoint int, key string) int {
		code, _ := call(t, http.MethodPost, s.endpoints[endpoint].url("/v3/kv/put"), fmt.Sprintf(`{"key":%q,"value":""}`, b64(key)))
		return code
	}
	setFault(t, s.endpoints[0].srv.controlAddr(), `{"lose-answers":"/x/","lose-count":1}`)
	if got := put(0, "/x/a"); got != 0 {
		t.Errorf("lost answer: got %d, want a broken connection", got)
	}
	if got := s.state.revision(); got != 2 {
		t.Errorf("revision after the lost answer: got %d, want 2", got)
	}
	if got := put(0, "/x/a"); got != 200 {
		t.Errorf("after the lost answer: got %d, want 200", got)
	}
	setFault(t, s.endpoints[0].srv.controlAddr(), `{"down":true}`)
	if a, b := put(0, "k"), put(1, "k"); a != 0 || b != 200 {
		t.Errorf("endpoint down: got %d and %d, want a refused connection and 200", a, b)
	}
	setFault(t, s.endpoints[1].srv.controlAddr(), `{"reject-watches":true}`)
	if code, _ := call(t, http.MethodPost, s.endpoints[1].url("/v3/watch"), `{"create_request":{"key":"YQ=="}}`); code != 503 {
		t.Errorf("rejected watch: got %d, want 503", code)
	}
	setFault(t, s.endpoints[1].srv.controlAddr(), `{"reject-watches":false,"compact":true}`)
	if _, body := call(t, http.MethodPost, s.endpoints[1].url("/v3/watch"), `{"create_request":{"key":"YQ==","start_revision":"1"}}`); !strings.Contains(body, `"canceled":true`) {
		t.Errorf("watch behind the compaction: got %s, want canceled", body)
	}
}

// Guards against watches that miss changes, or change events out of order.
func TestStoreWatchHistory(t *testing.T) {
	t.Parallel()
	m := newMemory()
	for _, k := range []string{"a1", "b", "a2"} {
		if _, err := m.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Put: &gooseetcd.PutRequest{Key: []byte(k)}}}}); err != nil {
			t.Fatal(err)
		}
	}
	all, next, err := m.history([]byte("a"), []byte("b"), 2)
	if err != nil || len(all) != 2 || all[0].kv.mod != 2 || all[1].kv.mod != 4 {
		t.Fatalf("history: got %v %v, want revisions 2 and 4", all, err)
	}
	if _, err := m.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Delete: &gooseetcd.DeleteRequest{Key: []byte("a1")}}}}); err != nil {
		t.Fatal(err)
	}
	<-next
	if all, _, _ := m.history([]byte("a"), []byte("b"), 5); len(all) != 1 || !all[0].deleted {
		t.Errorf("after the deletion: got %v, want one deletion", all)
	}
	m.compact(3)
	if _, _, err := m.history([]byte("a"), []byte("b"), 3); !errors.Is(err, errCompacted) {
		t.Errorf("compacted revision: got %v, want %v", err, errCompacted)
	}
}

// Guards against leases that outlive their TTL or end in spite of renewal.
func TestStoreLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		id := m.grant(3)
		if _, err := m.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Put: &gooseetcd.PutRequest{Key: []byte("k"), Lease: gooseetcd.Number(id)}}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got := m.keepAlive(id); got != 3 {
			t.Errorf("renewal: got TTL %d, want 3", got)
		}
		time.Sleep(2 * time.Second)
		if got := m.revision(); got != 2 {
			t.Errorf("renewed lease: got revision %d, want 2", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := m.revision(); got != 3 || m.keepAlive(id) != 0 {
			t.Errorf("expired lease: got revision %d, want 3 and no TTL", got)
		}
	})
}

// Guards against a list that shows changes at once, or removed instances
// for ever.
func TestListLags(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := NewList(time.Second, nil, nil, nil, quiet)
		l.set(ListedInstance{Name: "a", State: InstanceLive})
		if got := l.at(time.Now().Add(-l.lag)); len(got) != 0 {
			t.Errorf("at once: got %v, want nothing", got)
		}
		time.Sleep(l.lag)
		if got := l.at(time.Now().Add(-l.lag)); len(got) != 1 {
			t.Errorf("after the lag: got %v, want one instance", got)
		}
		l.set(ListedInstance{Name: "a", State: InstanceRemoved})
		time.Sleep(l.lag)
		if got := l.at(time.Now().Add(-l.lag)); len(got) != 0 {
			t.Errorf("after removal: got %v, want nothing", got)
		}
	})
}
