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

func base64Text(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func startStore(t *testing.T) *Store {
	t.Helper()
	s := NewStore([]string{loopback(0), loopback(0)}, []string{loopback(0), loopback(0)}, discardLog)
	for _, endpoint := range s.endpoints {
		if err := endpoint.srv.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { close(endpoint.stop); endpoint.srv.stop() })
	}
	return s
}

func (e *storeEndpoint) url(path string) string { return "http://" + e.srv.addr() + path }

// Guards against compare-and-swap, nested transactions or rejected transactions
// that behave differently from etcd.
func TestStoreTransactions(t *testing.T) {
	t.Parallel()
	s := startStore(t)
	absent := fmt.Sprintf(`{"key":%q,"target":"MOD","result":"EQUAL","mod_revision":"0"}`, base64Text("a"))
	put := func(key string) string {
		return fmt.Sprintf(`{"requestPut":{"key":%q,"value":%q}}`, base64Text(key), base64Text("v"))
	}
	create := `{"compare":[` + absent + `],"success":[` + put("a") + `]}`
	steps := []struct{ name, path, body, want string }{
		{"create", "txn", create, `"succeeded":true`},
		{"create again", "txn", create, `"header":{"cluster_id":"1","member_id":"1","revision":"2","raft_term":"1"}}`},
		{"nested", "txn", `{"success":[{"request_txn":` + create + `},{"request_txn":{"success":[` + put("b") + `]}}]}`, `"response_txn":{"header":{"cluster_id":"1","member_id":"1","revision":"3","raft_term":"1"},"succeeded":true`},
		{"duplicate key", "txn", `{"success":[` + put("c") + "," + put("c") + `]}`, "duplicate key"},
		{"missing lease", "put", fmt.Sprintf(`{"key":%q,"lease":"7"}`, base64Text("c")), "lease not found"},
		{"prefix", "range", fmt.Sprintf(`{"key":%q,"range_end":%q,"limit":1}`, base64Text("a"), base64Text("c")), `"more":true,"count":"2"`},
		{"delete", "deleterange", fmt.Sprintf(`{"key":%q}`, base64Text("a")), `"deleted":"1"`},
		{"not JSON", "txn", `{`, "request body"},
	}
	for i, step := range steps {
		if _, got := sendRequest(t, http.MethodPost, s.endpoints[i%2].url("/v3/kv/"+step.path), step.body); !strings.Contains(got, step.want) {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
	}
}

// Guards against faults of one endpoint that have no effect or affect other
// endpoints.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	s := startStore(t)
	put := func(endpoint int, key string) int {
		code, _ := sendRequest(t, http.MethodPost, s.endpoints[endpoint].url("/v3/kv/put"), fmt.Sprintf(`{"key":%q,"value":""}`, base64Text(key)))
		return code
	}
	setFault(t, s.endpoints[0].srv.controlAddr(), `{"lose-answers":"/x/","lose-count":1}`)
	if got := put(0, "/x/a"); got != 0 {
		t.Errorf("lost response: got %d, want a closed connection", got)
	}
	if got := s.state.revision(); got != 2 {
		t.Errorf("revision after the lost response: got %d, want 2", got)
	}
	if got := put(0, "/x/a"); got != 200 {
		t.Errorf("after the lost response: got %d, want 200", got)
	}
	setFault(t, s.endpoints[0].srv.controlAddr(), `{"down":true}`)
	if a, b := put(0, "k"), put(1, "k"); a != 0 || b != 200 {
		t.Errorf("endpoint down: got %d and %d, want a refused connection and 200", a, b)
	}
	setFault(t, s.endpoints[1].srv.controlAddr(), `{"reject-watches":true}`)
	if code, _ := sendRequest(t, http.MethodPost, s.endpoints[1].url("/v3/watch"), `{"create_request":{"key":"YQ=="}}`); code != 503 {
		t.Errorf("rejected watch: got %d, want 503", code)
	}
	setFault(t, s.endpoints[1].srv.controlAddr(), `{"reject-watches":false,"compact":true}`)
	if _, body := sendRequest(t, http.MethodPost, s.endpoints[1].url("/v3/watch"), `{"create_request":{"key":"YQ==","start_revision":"1"}}`); !strings.Contains(body, `"canceled":true`) {
		t.Errorf("watch from a compacted revision: got %s, want canceled", body)
	}
}

// Guards against watches that miss changes, include changes outside their range
// or reach into the compacted history.
func TestStoreWatchHistory(t *testing.T) {
	t.Parallel()
	m := newMemoryState()
	for _, k := range []string{"a1", "b", "a2"} {
		if _, err := m.txn(&gooseetcd.TxnRequest{Success: []gooseetcd.Operation{{Put: &gooseetcd.PutRequest{Key: []byte(k)}}}}); err != nil {
			t.Fatal(err)
		}
	}
	all, next, err := m.history([]byte("a"), []byte("b"), 2)
	if err != nil || len(all) != 2 || all[0].kv.modRevision != 2 || all[1].kv.modRevision != 4 {
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

// Guards against leases that last longer than their TTL or expire in spite of a
// renewal.
func TestStoreLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryState()
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

// Guards against a list that shows changes before its lag has passed, or that
// never omits removed instances.
func TestListLags(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := NewInstanceList(time.Second, nil, nil, nil, discardLog)
		l.setInstance(ListedInstance{Name: "a", State: InstanceLive})
		if got := l.instancesAt(time.Now().Add(-l.lag)); len(got) != 0 {
			t.Errorf("within the lag: got %v, want nothing", got)
		}
		time.Sleep(l.lag)
		if got := l.instancesAt(time.Now().Add(-l.lag)); len(got) != 1 {
			t.Errorf("after the lag: got %v, want one instance", got)
		}
		l.setInstance(ListedInstance{Name: "a", State: InstanceRemoved})
		time.Sleep(l.lag)
		if got := l.instancesAt(time.Now().Add(-l.lag)); len(got) != 0 {
			t.Errorf("after removal: got %v, want nothing", got)
		}
	})
}
