package goosestore

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// The types below are the messages of the etcd v3 HTTP/JSON API, with the fields that
// are used here. Keys and values are base64 ([]byte in encoding/json), 64-bit
// numbers are strings, and fields with their zero value may be absent.

// int64String is a 64-bit number that is encoded as a string; a JSON number is accepted
// as well.
type int64String int64

// MarshalJSON implements json.Marshaler.
func (n int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *int64String) UnmarshalJSON(b []byte) error {
	if bytes.Equal(b, []byte("null")) {
		return nil
	}
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	if err != nil {
		return errors.Errorf("invalid 64-bit number %.40q", b)
	}
	*n = int64String(v)
	return nil
}

type wireHeader struct {
	Revision int64String `json:"revision"`
}

type wireKV struct {
	Key            []byte      `json:"key"`
	Value          []byte      `json:"value"`
	CreateRevision int64String `json:"create_revision"`
	ModRevision    int64String `json:"mod_revision"`
	Lease          int64String `json:"lease"`
}

func (kv wireKV) entry() goose.Entry {
	return goose.Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Lease:          goose.LeaseID(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte      `json:"key"`
	RangeEnd []byte      `json:"range_end,omitempty"`
	Limit    int64String `json:"limit,omitempty"`
	// MinModRevision excludes keys whose last change is older.
	MinModRevision int64String `json:"min_mod_revision,omitempty"`
}

type rangeResponse struct {
	Header *wireHeader `json:"header"`
	KVs    []wireKV    `json:"kvs"`
}

type wireCompare struct {
	Result      string      `json:"result"`
	Target      string      `json:"target"`
	Key         []byte      `json:"key"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type wireOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
	Txn    *txnRequest    `json:"request_txn,omitempty"`
}

type txnRequest struct {
	Compare []wireCompare `json:"compare,omitempty"`
	Success []wireOp      `json:"success,omitempty"`
}

type txnResponse struct {
	Header    *wireHeader `json:"header"`
	Succeeded bool        `json:"succeeded"`
	Responses []struct {
		Txn *txnResponse `json:"response_txn"`
	} `json:"responses"`
}

type leaseMessage struct {
	ID  int64String `json:"ID"`
	TTL int64String `json:"TTL,omitempty"`
}

type keepAliveResponse struct {
	Result *leaseMessage `json:"result"`
	Error  *wireError    `json:"error"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end,omitempty"`
	StartRevision int64String `json:"start_revision,omitempty"`
}

type watchResponse struct {
	Result *struct {
		Header          *wireHeader `json:"header"`
		Created         bool        `json:"created"`
		Canceled        bool        `json:"canceled"`
		CompactRevision int64String `json:"compact_revision"`
		CancelReason    string      `json:"cancel_reason"`
		Events          []struct {
			Type string  `json:"type"`
			KV   *wireKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *wireError `json:"error"`
}

// wireError is the body of an error response.
type wireError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes in error responses of the API.
const (
	codeNotFound    = 5
	codeExhausted   = 8
	codeUnavailable = 14
)

func encodeTxn(t goose.Txn) *txnRequest {
	w := &txnRequest{}
	for _, c := range t.If {
		w.Compare = append(w.Compare, wireCompare{
			Result: "EQUAL", Target: "MOD", Key: []byte(c.Key), ModRevision: int64String(c.ModRevision),
		})
	}
	for _, op := range t.Then {
		if op.Kind == goose.OpDelete {
			w.Success = append(w.Success, wireOp{Delete: &deleteRequest{Key: []byte(op.Key)}})
			continue
		}
		w.Success = append(w.Success, wireOp{Put: &putRequest{
			Key: []byte(op.Key), Value: op.Value, Lease: int64String(op.Lease),
		}})
	}
	return w
}

func decodeRange(body []byte) ([]goose.Entry, int64, error) {
	var a rangeResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, errors.Wrap(err, "range response")
	}
	if a.Header == nil {
		return nil, 0, errors.New("range response without header")
	}
	entries := make([]goose.Entry, 0, len(a.KVs))
	for _, kv := range a.KVs {
		if len(kv.Key) == 0 || kv.ModRevision <= 0 {
			return nil, 0, errors.New("range response with an entry without key or revision")
		}
		entries = append(entries, kv.entry())
	}
	return entries, int64(a.Header.Revision), nil
}

// decodeTxns decodes the response to n transactions; a single one is not nested.
func decodeTxns(body []byte, n int) ([]goose.TxnResult, error) {
	var a txnResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrap(err, "transaction response")
	}
	if a.Header == nil || a.Header.Revision <= 0 {
		return nil, errors.New("transaction response without revision")
	}
	revision := int64(a.Header.Revision)
	if n == 1 {
		return []goose.TxnResult{{Succeeded: a.Succeeded, Revision: revision}}, nil
	}
	if !a.Succeeded || len(a.Responses) != n {
		return nil, errors.Errorf("transaction response with %d of %d results", len(a.Responses), n)
	}
	results := make([]goose.TxnResult, n)
	for i, r := range a.Responses {
		if r.Txn == nil {
			return nil, errors.Errorf("transaction response without result %d", i)
		}
		results[i] = goose.TxnResult{Succeeded: r.Txn.Succeeded, Revision: revision}
	}
	return results, nil
}

// decodeWatch decodes one message of a watch.
func decodeWatch(message []byte) ([]goose.WatchEvent, error) {
	var a watchResponse
	if err := json.Unmarshal(message, &a); err != nil {
		return nil, errors.Wrap(err, "watch response")
	}
	if a.Error != nil {
		return nil, errors.Wrap(goose.ErrUnavailable, "watch: "+a.Error.Message)
	}
	if a.Result == nil {
		return nil, errors.New("watch response without result")
	}
	if a.Result.CompactRevision > 0 {
		return nil, errors.Wrapf(goose.ErrCompacted, "watch: oldest revision is %d", a.Result.CompactRevision)
	}
	if a.Result.Canceled {
		return nil, errors.Wrap(goose.ErrUnavailable, "watch cancelled: "+a.Result.CancelReason)
	}
	events := make([]goose.WatchEvent, 0, len(a.Result.Events))
	for _, e := range a.Result.Events {
		if e.KV == nil || len(e.KV.Key) == 0 || e.KV.ModRevision <= 0 {
			return nil, errors.New("watch response with an event without key or revision")
		}
		events = append(events, goose.WatchEvent{Deleted: e.Type == "DELETE", Entry: e.KV.entry()})
	}
	return events, nil
}
