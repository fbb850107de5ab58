// Package gooseetcd defines the messages of the etcd v3 HTTP/JSON API for a server. The
// client in goosestore has its own types, so that a mistake in either package shows in the
// tests that use both.
package gooseetcd

import (
	"encoding/json"
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// Number is a 64-bit integer that is encoded in JSON as a string. Decoding accepts a
// string or a number.
type Number int64

// MarshalJSON writes the number as a string.
func (n Number) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads a string or a number.
func (n *Number) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*n = Number(v)
	return errors.Wrap(err, "number")
}

// Header is part of every response.
type Header struct {
	ClusterID Number `json:"cluster_id"`
	MemberID  Number `json:"member_id"`
	Revision  Number `json:"revision"`
	RaftTerm  Number `json:"raft_term"`
}

// HeaderAt returns the header of a response at a revision.
func HeaderAt(rev int64) *Header {
	return &Header{ClusterID: 1, MemberID: 1, Revision: Number(rev), RaftTerm: 1}
}

// KV is a key with its value, revisions and lease.
type KV struct {
	Key            []byte `json:"key"`
	CreateRevision Number `json:"create_revision,omitempty"`
	ModRevision    Number `json:"mod_revision,omitempty"`
	Version        Number `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Number `json:"lease,omitempty"`
}

// RangeRequest reads a key, or the keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     Number `json:"limit"`
	Revision  Number `json:"revision"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
	// MinModRevision excludes keys that were last changed before this revision.
	MinModRevision Number `json:"min_mod_revision"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Number `json:"lease"`
}

// DeleteRequest deletes a key, or the keys from Key up to but not including RangeEnd.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

// Comparison is a condition of a transaction.
type Comparison struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    Number `json:"mod_revision"`
	CreateRevision Number `json:"create_revision"`
	Version        Number `json:"version"`
	Lease          Number `json:"lease"`
	Value          []byte `json:"value"`
}

// Operation is one request of a transaction: one of its fields is set.
type Operation struct {
	Range  *RangeRequest  `json:"request_range"`
	Put    *PutRequest    `json:"request_put"`
	Delete *DeleteRequest `json:"request_delete_range"`
	Txn    *TxnRequest    `json:"request_txn"`
}

// TxnRequest runs Success if all comparisons hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Comparison `json:"compare"`
	Success []Operation  `json:"success"`
	Failure []Operation  `json:"failure"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header *Header `json:"header,omitempty"`
	KVs    []KV    `json:"kvs,omitempty"`
	More   bool    `json:"more,omitempty"`
	Count  Number  `json:"count,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteResponse is the response to a DeleteRequest.
type DeleteResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted Number  `json:"deleted,omitempty"`
}

// OperationResponse is the response to an Operation.
type OperationResponse struct {
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Put    *PutResponse    `json:"response_put,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
	Txn    *TxnResponse    `json:"response_txn,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    *Header             `json:"header,omitempty"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []OperationResponse `json:"responses,omitempty"`
}

// SetRevision sets the headers of the response and of all nested responses.
func (r *TxnResponse) SetRevision(rev int64) {
	r.Header = HeaderAt(rev)
	for i := range r.Responses {
		o := &r.Responses[i]
		switch {
		case o.Range != nil:
			o.Range.Header = HeaderAt(rev)
		case o.Put != nil:
			o.Put.Header = HeaderAt(rev)
		case o.Delete != nil:
			o.Delete.Header = HeaderAt(rev)
		case o.Txn != nil:
			o.Txn.SetRevision(rev)
		}
	}
}

// Event is a change that a watch reports.
type Event struct {
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

// WatchResponse is one response message of a watch.
type WatchResponse struct {
	Header          *Header `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Number  `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// LeaseRequest grants a lease of TTL seconds, or identifies a lease to renew or revoke.
type LeaseRequest struct {
	ID  Number `json:"ID"`
	TTL Number `json:"TTL"`
}

// WatchRequest creates a watch.
type WatchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision Number `json:"start_revision"`
	} `json:"create_request"`
}

// Decode decodes a request. Field names may be in snake case or camel case, since the
// gateway of etcd accepts both.
func Decode(body []byte, target any) error {
	var tree any
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return errors.Wrap(err, "request body")
	}
	b, err := json.Marshal(snakeCase(tree))
	if err != nil {
		return errors.Wrap(err, "request body")
	}
	return errors.Wrap(json.Unmarshal(b, target), "request body")
}

func snakeCase(v any) any {
	switch t := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(t))
		for k, x := range t {
			out[snakeName(k)] = snakeCase(x)
		}
		return out
	case []any:
		for i := range t {
			t[i] = snakeCase(t[i])
		}
	}
	return v
}

func snakeName(k string) string {
	if strings.ToUpper(k) == k {
		return k
	}
	var b strings.Builder
	for i, r := range k {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
