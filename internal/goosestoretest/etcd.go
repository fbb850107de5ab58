package goosestoretest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseetcd"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"

	"github.com/pkg/errors"
)

// NewEtcd returns a client of m behind the etcd HTTP/JSON API, as far as the
// client uses it, until the end of the test.
func NewEtcd(t testing.TB, m *goosestore.Memory) *goosestore.Etcd {
	t.Helper()
	s := httptest.NewServer(etcd{m})
	t.Cleanup(s.Close)
	e, err := goosestore.NewEtcd(s.URL, goosestore.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

type etcd struct{ m *goosestore.Memory }

// object is an answer that needs no type of its own.
type object map[string]any

// ServeHTTP implements http.Handler.
func (f etcd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		gooseetcd.RangeRequest
		gooseetcd.TxnRequest
		gooseetcd.LeaseRequest
		gooseetcd.WatchRequest
	}
	if err := gooseetcd.Decode(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	var out any
	switch strings.TrimPrefix(r.URL.Path, "/v3/") {
	case "kv/range":
		out, err = f.read(ctx, in.RangeRequest)
	case "kv/txn":
		out, err = f.txn(ctx, in.TxnRequest)
	case "lease/grant":
		var id goose.LeaseID
		id, err = f.m.Grant(ctx, time.Duration(in.TTL)*time.Second)
		out = gooseetcd.LeaseRequest{ID: gooseetcd.Number(id), TTL: in.TTL}
	case "lease/keepalive":
		var ttl time.Duration
		ttl, err = f.m.KeepAlive(ctx, goose.LeaseID(in.ID))
		if errors.Is(err, goose.ErrLeaseNotFound) {
			err = nil
		}
		out = object{"result": gooseetcd.LeaseRequest{ID: in.ID, TTL: gooseetcd.Number(ttl / time.Second)}}
	case "lease/revoke":
		err = f.m.Revoke(ctx, goose.LeaseID(in.ID))
		out = object{}
	case "watch":
		f.watch(ctx, w, in.WatchRequest)
		return
	}
	f.answer(w, out, err)
}

func (f etcd) answer(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, goose.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
		out = object{"code": 5, "message": "etcdserver: requested lease not found"}
	case errors.Is(err, goose.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		w.WriteHeader(http.StatusTooManyRequests)
		out = object{"code": 8, "message": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func wire(e goose.Entry) gooseetcd.KV {
	return gooseetcd.KV{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: gooseetcd.Number(e.CreateRevision),
		ModRevision: gooseetcd.Number(e.ModRevision), Lease: gooseetcd.Number(e.Lease),
	}
}

func (f etcd) read(ctx context.Context, r gooseetcd.RangeRequest) (any, error) {
	found, revision, _, err := f.m.Range(ctx, string(r.Key), string(r.RangeEnd), int(r.Limit))
	a := gooseetcd.RangeAnswer{Header: gooseetcd.HeaderAt(revision)}
	for _, e := range found {
		if e.ModRevision >= int64(r.MinModRevision) {
			a.KVs = append(a.KVs, wire(e))
		}
	}
	return a, err
}

// txn runs one transaction, or those nested in it.
func (f etcd) txn(ctx context.Context, r gooseetcd.TxnRequest) (any, error) {
	nested := len(r.Success) > 0 && r.Success[0].Txn != nil
	txns := []goose.Txn{unwire(r)}
	if nested {
		txns = nil
		for _, op := range r.Success {
			txns = append(txns, unwire(*op.Txn))
		}
	}
	results, err := f.m.CommitAll(ctx, txns)
	if err != nil {
		return nil, err
	}
	a := gooseetcd.TxnAnswer{Header: gooseetcd.HeaderAt(results[0].Revision), Succeeded: true}
	if !nested {
		a.Succeeded = results[0].Succeeded
		return a, nil
	}
	for _, res := range results {
		a.Responses = append(a.Responses, gooseetcd.Answer{Txn: &gooseetcd.TxnAnswer{Succeeded: res.Succeeded}})
	}
	return a, nil
}

func unwire(r gooseetcd.TxnRequest) goose.Txn {
	var t goose.Txn
	for _, c := range r.Compare {
		t.If = append(t.If, goose.Compare{Key: string(c.Key), ModRevision: int64(c.ModRevision)})
	}
	for _, op := range r.Success {
		switch {
		case op.Delete != nil:
			t.Then = append(t.Then, goose.Delete(string(op.Delete.Key)))
		case op.Put != nil:
			t.Then = append(t.Then, goose.Put(string(op.Put.Key), op.Put.Value).WithLease(goose.LeaseID(op.Put.Lease)))
		}
	}
	return t
}

func (f etcd) watch(ctx context.Context, w http.ResponseWriter, r gooseetcd.WatchRequest) {
	send := func(a gooseetcd.WatchAnswer) {
		_ = json.NewEncoder(w).Encode(object{"result": a})
		_ = http.NewResponseController(w).Flush()
	}
	watcher, err := f.m.Watch(ctx, string(r.Create.Key), int64(r.Create.StartRevision))
	if errors.Is(err, goose.ErrCompacted) {
		send(gooseetcd.WatchAnswer{Canceled: true, CompactRevision: 1})
		return
	}
	if err != nil {
		f.answer(w, nil, err)
		return
	}
	defer watcher.Close()
	send(gooseetcd.WatchAnswer{Created: true})
	for e := range watcher.Events() {
		event := gooseetcd.Event{KV: wire(e.Entry)}
		if e.Deleted {
			event.Type = "DELETE"
		}
		send(gooseetcd.WatchAnswer{Events: []gooseetcd.Event{event}})
	}
}
