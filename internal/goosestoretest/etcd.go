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

// NewEtcd serves m through the part of etcd's HTTP/JSON API that the client uses, and
// returns a client of it. Both are closed at the end of the test.
func NewEtcd(t testing.TB, m *goosestore.Memory) *goosestore.Etcd {
	t.Helper()
	s := httptest.NewServer(etcdServer{m})
	t.Cleanup(s.Close)
	e, err := goosestore.NewEtcd(s.URL, goosestore.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

type etcdServer struct{ m *goosestore.Memory }

// jsonObject is a response without a type of its own.
type jsonObject map[string]any

// ServeHTTP implements http.Handler.
func (s etcdServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		out, err = s.readRange(ctx, in.RangeRequest)
	case "kv/txn":
		out, err = s.txn(ctx, in.TxnRequest)
	case "lease/grant":
		var id goose.LeaseID
		id, err = s.m.Grant(ctx, time.Duration(in.TTL)*time.Second)
		out = gooseetcd.LeaseRequest{ID: gooseetcd.Number(id), TTL: in.TTL}
	case "lease/keepalive":
		var ttl time.Duration
		ttl, err = s.m.KeepAlive(ctx, goose.LeaseID(in.ID))
		if errors.Is(err, goose.ErrLeaseNotFound) {
			err = nil
		}
		out = jsonObject{"result": gooseetcd.LeaseRequest{ID: in.ID, TTL: gooseetcd.Number(ttl / time.Second)}}
	case "lease/revoke":
		err = s.m.Revoke(ctx, goose.LeaseID(in.ID))
		out = jsonObject{}
	case "watch":
		s.watch(ctx, w, in.WatchRequest)
		return
	}
	s.respond(w, out, err)
}

func (s etcdServer) respond(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, goose.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
		out = jsonObject{"code": 5, "message": "etcdserver: requested lease not found"}
	case errors.Is(err, goose.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		w.WriteHeader(http.StatusTooManyRequests)
		out = jsonObject{"code": 8, "message": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func encodeEntry(e goose.Entry) gooseetcd.KV {
	return gooseetcd.KV{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: gooseetcd.Number(e.CreateRevision),
		ModRevision: gooseetcd.Number(e.ModRevision), Lease: gooseetcd.Number(e.Lease),
	}
}

func (s etcdServer) readRange(ctx context.Context, r gooseetcd.RangeRequest) (any, error) {
	found, revision, _, err := s.m.Range(ctx, string(r.Key), string(r.RangeEnd), int(r.Limit))
	a := gooseetcd.RangeResponse{Header: gooseetcd.HeaderAt(revision)}
	for _, e := range found {
		if e.ModRevision >= int64(r.MinModRevision) {
			a.KVs = append(a.KVs, encodeEntry(e))
		}
	}
	return a, err
}

// txn commits one transaction, or the transactions nested in it.
func (s etcdServer) txn(ctx context.Context, r gooseetcd.TxnRequest) (any, error) {
	nested := len(r.Success) > 0 && r.Success[0].Txn != nil
	txns := []goose.Txn{decodeTxn(r)}
	if nested {
		txns = nil
		for _, op := range r.Success {
			txns = append(txns, decodeTxn(*op.Txn))
		}
	}
	results, err := s.m.CommitAll(ctx, txns)
	if err != nil {
		return nil, err
	}
	a := gooseetcd.TxnResponse{Header: gooseetcd.HeaderAt(results[0].Revision), Succeeded: true}
	if !nested {
		a.Succeeded = results[0].Succeeded
		return a, nil
	}
	for _, res := range results {
		a.Responses = append(a.Responses, gooseetcd.OperationResponse{Txn: &gooseetcd.TxnResponse{Succeeded: res.Succeeded}})
	}
	return a, nil
}

func decodeTxn(r gooseetcd.TxnRequest) goose.Txn {
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

func (s etcdServer) watch(ctx context.Context, w http.ResponseWriter, r gooseetcd.WatchRequest) {
	send := func(a gooseetcd.WatchResponse) {
		_ = json.NewEncoder(w).Encode(jsonObject{"result": a})
		_ = http.NewResponseController(w).Flush()
	}
	watcher, err := s.m.Watch(ctx, string(r.Create.Key), int64(r.Create.StartRevision))
	if errors.Is(err, goose.ErrCompacted) {
		send(gooseetcd.WatchResponse{Canceled: true, CompactRevision: 1})
		return
	}
	if err != nil {
		s.respond(w, nil, err)
		return
	}
	defer watcher.Close()
	send(gooseetcd.WatchResponse{Created: true})
	for e := range watcher.Events() {
		event := gooseetcd.Event{KV: encodeEntry(e.Entry)}
		if e.Deleted {
			event.Type = "DELETE"
		}
		send(gooseetcd.WatchResponse{Events: []gooseetcd.Event{event}})
	}
}
