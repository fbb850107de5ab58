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

// MaxStoredAnswerBytes is the largest answer body in bytes that is stored in a record.
const MaxStoredAnswerBytes = 64 << 10

// keyspace builds the store keys of one fleet's orders. Each order has a
// record, and a marker while it is claimed or unknown. Markers allow open
// orders to be listed without a scan of all records.
type keyspace struct{ root string }

func newKeyspace(fleet string) keyspace { return keyspace{root: "/gooseberryhold/" + fleet + "/"} }

func (k keyspace) recordPrefix() string { return k.root + "orders/" }
func (k keyspace) markerPrefix() string { return k.root + "open-orders/" }

func (k keyspace) recordKey(o goose.OrderKey) string { return k.recordPrefix() + orderPath(o) }

func (k keyspace) markerKey(i goose.InstanceID, o goose.OrderKey) string {
	return k.markerPrefix() + url.PathEscape(string(i)) + "/" + orderPath(o)
}

// orderPath includes a hash of service and key, so that equal keys of two
// services have different paths.
func orderPath(o goose.OrderKey) string {
	h := sha256.New()
	h.Write([]byte(o.Service))
	h.Write([]byte{0})
	h.Write([]byte(o.Key))
	return url.PathEscape(string(o.Workspace)) + "/" + hex.EncodeToString(h.Sum(nil))
}

// newNonce returns a random nonce that carries the claiming instance's
// incarnation, so that claims from before a restart are recognised.
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

func encodeOrder(o goose.Order) []byte {
	b, err := cbor.Marshal(o)
	if err != nil {
		panic("gooseledger: cannot encode order: " + err.Error())
	}
	return b
}

func decodeOrder(e goose.Entry) (goose.Order, error) {
	var o goose.Order
	if err := cbor.Unmarshal(e.Value, &o); err != nil {
		return goose.Order{}, errors.Wrapf(err, "order record %s", e.Key)
	}
	switch o.State {
	case goose.OrderClaimed, goose.OrderDone, goose.OrderNotRun, goose.OrderUnknown:
	default:
		return goose.Order{}, errors.Errorf("order record %s: invalid state %q", e.Key, o.State)
	}
	if o.Nonce == "" {
		return goose.Order{}, errors.Errorf("order record %s: no nonce", e.Key)
	}
	o.Revision = e.ModRevision
	return o, nil
}

// updateTxn returns the transaction that replaces the record at o.Revision (0 if
// there is no record) with o, and puts or deletes the order's marker accordingly.
func (k keyspace) updateTxn(o goose.Order, lease goose.LeaseID) goose.Txn {
	key := k.recordKey(o.Key)
	marker := k.markerKey(o.Instance, o.Key)
	markerOp := goose.Delete(marker)
	if o.State == goose.OrderClaimed || o.State == goose.OrderUnknown {
		withoutAnswer := o
		withoutAnswer.Answer = goose.PlainResponse{}
		markerOp = goose.Put(marker, encodeOrder(withoutAnswer)).WithLease(lease)
	}
	return goose.Txn{
		If:   []goose.Compare{{Key: key, ModRevision: o.Revision}},
		Then: []goose.Op{goose.Put(key, encodeOrder(o)).WithLease(lease), markerOp},
	}
}

// withAnswer returns the order in state done, with the answer's body if it is
// small enough to be stored.
func withAnswer(o goose.Order, a goose.PlainResponse) goose.Order {
	o.State = goose.OrderDone
	o.AnswerKept = len(a.Body) <= MaxStoredAnswerBytes
	o.Answer = goose.PlainResponse{Status: a.Status, ContentType: a.ContentType, Process: a.Process}
	if o.AnswerKept {
		o.Answer.Body = a.Body
	}
	return o
}
