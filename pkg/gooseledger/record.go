package gooseledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// MaxKeptAnswer is the largest answer body in bytes that is kept in a record.
const MaxKeptAnswer = 64 << 10

// keys are the store keys of one fleet's orders. Each order has a record, and a
// marker while it is claimed or unknown. Markers let open orders be listed
// without a scan of all records.
type keys struct{ root string }

func newKeys(fleet string) keys { return keys{root: "/gooseberryhold/" + fleet + "/"} }

func (k keys) records() string { return k.root + "orders/" }
func (k keys) markers() string { return k.root + "open-orders/" }

func (k keys) record(o goose.OrderKey) string { return k.records() + path(o) }

func (k keys) marker(i goose.InstanceID, o goose.OrderKey) string {
	return k.markers() + url.PathEscape(string(i)) + "/" + path(o)
}

// path hashes service and key, so that equal keys of two services differ.
func path(o goose.OrderKey) string {
	h := sha256.New()
	h.Write([]byte(o.Service))
	h.Write([]byte{0})
	h.Write([]byte(o.Key))
	return url.PathEscape(string(o.Workspace)) + "/" + hex.EncodeToString(h.Sum(nil))
}

// newNonce returns a random nonce that carries the claiming instance's
// incarnation, so that claims from before its restart are recognised.
func newNonce(incarnation int64) string {
	return strconv.FormatInt(incarnation, 36) + "-" + rand.Text()
}

// incarnationOf returns false if the nonce carries no incarnation.
func incarnationOf(nonce string) (int64, bool) {
	n, _, ok := strings.Cut(nonce, "-")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseInt(n, 36, 64)
	return v, err == nil
}

func encode(o goose.Order) []byte {
	b, err := cbor.Marshal(o)
	if err != nil {
		panic("gooseledger: order does not encode: " + err.Error())
	}
	return b
}

func decode(e goose.Entry) (goose.Order, error) {
	var o goose.Order
	if err := cbor.Unmarshal(e.Value, &o); err != nil {
		return goose.Order{}, errors.Wrapf(err, "order record %s", e.Key)
	}
	switch o.State {
	case goose.OrderClaimed, goose.OrderDone, goose.OrderNotRun, goose.OrderUnknown:
	default:
		return goose.Order{}, errors.Errorf("order record %s: state %q", e.Key, o.State)
	}
	if o.Nonce == "" {
		return goose.Order{}, errors.Errorf("order record %s: no nonce", e.Key)
	}
	o.Revision = e.ModRevision
	return o, nil
}

// change returns the transaction that replaces the record at o.Revision (0:
// absent) by o, and sets or deletes the order's marker to match.
func (k keys) change(o goose.Order, lease goose.LeaseID) goose.Txn {
	key := k.record(o.Key)
	marker := k.marker(o.Instance, o.Key)
	second := goose.Delete(marker)
	if o.State == goose.OrderClaimed || o.State == goose.OrderUnknown {
		bare := o
		bare.Answer = goose.PlainAnswer{}
		second = goose.Put(marker, encode(bare)).WithLease(lease)
	}
	return goose.Txn{
		If:   []goose.Compare{{Key: key, ModRevision: o.Revision}},
		Then: []goose.Op{goose.Put(key, encode(o)).WithLease(lease), second},
	}
}

// withAnswer returns the order as done, with the answer if it is small enough.
func withAnswer(o goose.Order, a goose.PlainAnswer) goose.Order {
	o.State = goose.OrderDone
	o.Kept = len(a.Body) <= MaxKeptAnswer
	o.Answer = goose.PlainAnswer{Status: a.Status, ContentType: a.ContentType, Process: a.Process}
	if o.Kept {
		o.Answer.Body = a.Body
	}
	return o
}
