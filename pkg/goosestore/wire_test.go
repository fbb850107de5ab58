package goosestore

import (
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
)

// Guards against a range response that makes the decoder panic or yields entries
// without key or revision.
var decodeRangeTarget = goosefuzz.Target{
	Runs: 500_000,
	Seeds: [][]any{
		{[]byte(`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","create_revision":"3","mod_revision":"7","value":"Yg==","lease":"9"}],"count":"1"}`)},
		{[]byte(`{"header":{"revision":7}}`)},
		{[]byte(`{"header":{},"kvs":[null]}`)},
	},
	Check: func(t *testing.T, body []byte) {
		entries, _, err := decodeRange(body)
		for _, e := range entries {
			if err != nil || e.Key == "" || e.ModRevision <= 0 {
				t.Errorf("got %+v with %v", e, err)
			}
		}
	},
}

func FuzzDecodeRange(f *testing.F)     { decodeRangeTarget.Fuzz(f) }
func TestFuzzDecodeRange(t *testing.T) { decodeRangeTarget.Test(t) }

// Guards against a watch response that makes the decoder panic or yields changes
// without key or revision.
var decodeWatchTarget = goosefuzz.Target{
	Runs: 500_000,
	Seeds: [][]any{
		{[]byte(`{"result":{"header":{"revision":"7"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}]}}`)},
		{[]byte(`{"result":{"canceled":true,"compact_revision":"12"}}`)},
		{[]byte(`{"error":{"code":14,"message":"no leader"}}`)},
	},
	Check: func(t *testing.T, body []byte) {
		events, err := decodeWatch(body)
		for _, e := range events {
			if err != nil || e.Entry.Key == "" || e.Entry.ModRevision <= 0 {
				t.Errorf("got %+v with %v", e, err)
			}
		}
	},
}

func FuzzDecodeWatch(f *testing.F)     { decodeWatchTarget.Fuzz(f) }
func TestFuzzDecodeWatch(t *testing.T) { decodeWatchTarget.Test(t) }

// Guards against a transaction response that makes the decoder panic or yields a
// number of results that differs from the number of transactions.
var decodeTxnsTarget = goosefuzz.Target{
	Runs: 500_000,
	Seeds: [][]any{
		{[]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{"succeeded":true}},{"response_txn":{}}]}`), 2},
		{[]byte(`{"header":{"revision":"7"}}`), 1},
	},
	Check: func(t *testing.T, body []byte, n int) {
		results, err := decodeTxns(body, n)
		if err == nil && len(results) != n {
			t.Errorf("got %d results, want %d", len(results), n)
		}
	},
}

func FuzzDecodeTxns(f *testing.F)     { decodeTxnsTarget.Fuzz(f) }
func TestFuzzDecodeTxns(t *testing.T) { decodeTxnsTarget.Test(t) }
