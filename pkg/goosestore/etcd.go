package goosestore

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// DefaultCallTimeout bounds one call unless its context ends earlier.
const DefaultCallTimeout = 2 * time.Second

// idleTimeout is shorter than the usual idle timeout of servers, so that the client
// closes idle connections first: the outcome of a call is uncertain if the server
// closes its connection.
const idleTimeout = 5 * time.Second

// maxResponseBytes bounds one response; a list of all sections of a configuration
// is far smaller.
const maxResponseBytes = 64 << 20

// Options configure an Etcd.
type Options struct {
	// CallTimeout bounds each call; zero means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Etcd is a client of the etcd v3 HTTP/JSON API. It never retries a call.
type Etcd struct {
	base    string
	timeout time.Duration
	client  *fasthttp.HostClient
	watches watchSet
}

// dialError marks a failure before any byte was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return e.err.Error() }

// NewEtcd returns a client for the address, a host:port or an http:// URL. It does
// not connect until the first call.
func NewEtcd(address string, o Options) (*Etcd, error) {
	host := strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	if _, _, err := net.SplitHostPort(host); err != nil {
		return nil, errors.Wrapf(err, "store address %q: want host:port", address)
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	e := &Etcd{base: "http://" + host, timeout: o.CallTimeout}
	e.client = newHostClient(host, o.CallTimeout, dial)
	return e, nil
}

// newHostClient returns an HTTP client that never retries a request.
func newHostClient(host string, timeout time.Duration, d fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          host,
		DialTimeout:                   d,
		MaxConns:                      256,
		MaxConnWaitTimeout:            timeout,
		MaxIdleConnDuration:           idleTimeout,
		MaxResponseBodySize:           maxResponseBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}
}

// dial enables TCP keep-alive, so that a watch detects a server that no longer responds.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	return c, nil
}

// post sends one message and returns the body of the response.
func (e *Etcd) post(ctx context.Context, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	timeout, err := callTimeout(ctx, e.timeout)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	e.prepare(req, path, body)
	if err := e.client.DoTimeout(req, resp, timeout); err != nil {
		return nil, errors.Wrap(classify(err), path)
	}
	if err := statusError(resp.StatusCode(), resp.Body()); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return append([]byte(nil), resp.Body()...), nil
}

func (e *Etcd) prepare(req *fasthttp.Request, path string, body []byte) {
	req.SetRequestURI(e.base + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

// callTimeout returns the time left for a call. It fails if the context has ended, so
// that nothing is sent.
func callTimeout(ctx context.Context, limit time.Duration) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrap(goose.ErrUnavailable, err.Error())
	}
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if limit <= 0 {
		return 0, errors.Wrap(goose.ErrUnavailable, context.DeadlineExceeded.Error())
	}
	return limit, nil
}

// classify wraps the error of a failed call in ErrUnavailable if nothing was sent, and
// in ErrOutcomeUnknown if the call may have taken effect.
func classify(err error) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrap(goose.ErrUnavailable, err.Error())
	}
	return errors.Wrap(goose.ErrOutcomeUnknown, err.Error())
}

// statusError maps error responses to errors. etcd also responds with "unavailable"
// when a proposal timed out that may still be applied, so its outcome is uncertain.
func statusError(status int, body []byte) error {
	if status == fasthttp.StatusOK {
		return nil
	}
	var w wireError
	_ = json.Unmarshal(body, &w)
	if w.Message == "" {
		w.Message = string(bytes.TrimSpace(body[:min(len(body), 200)]))
	}
	switch {
	case w.Code == codeNotFound && strings.Contains(w.Message, "lease"):
		return errors.Wrap(goose.ErrLeaseNotFound, w.Message)
	case status == fasthttp.StatusTooManyRequests || w.Code == codeExhausted:
		return errors.Wrapf(goose.ErrUnavailable, "status %d: %s", status, w.Message)
	case status >= fasthttp.StatusInternalServerError || w.Code == codeUnavailable:
		return errors.Wrapf(goose.ErrOutcomeUnknown, "status %d: %s", status, w.Message)
	default:
		return errors.Errorf("store answered %d: %s", status, w.Message)
	}
}

// Get implements goose.Store.
func (e *Etcd) Get(ctx context.Context, key string) (goose.Entry, bool, error) {
	return e.GetAfter(ctx, key, 0)
}

// GetAfter implements goose.Store.
func (e *Etcd) GetAfter(ctx context.Context, key string, revision int64) (goose.Entry, bool, error) {
	r := rangeRequest{Key: []byte(key)}
	if revision > 0 {
		r.MinModRevision = int64String(revision + 1)
	}
	found, _, err := e.read(ctx, r)
	if err != nil || len(found) == 0 {
		return goose.Entry{}, false, err
	}
	return found[0], true, nil
}

// List implements goose.Store.
func (e *Etcd) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	return e.read(ctx, rangeRequest{
		Key: rangeStart(prefix), RangeEnd: []byte(RangeEnd(prefix)), Limit: int64String(limit),
	})
}

// rangeStart returns the first key of a prefix; etcd rejects an empty key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

func (e *Etcd) read(ctx context.Context, r rangeRequest) ([]goose.Entry, int64, error) {
	body, err := e.post(ctx, "/v3/kv/range", r)
	if err != nil {
		return nil, 0, err
	}
	entries, revision, err := decodeRange(body)
	if err != nil {
		return nil, 0, errors.Wrap(goose.ErrOutcomeUnknown, err.Error())
	}
	return entries, revision, nil
}

// Commit implements goose.Store.
func (e *Etcd) Commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	r, err := e.CommitAll(ctx, []goose.Txn{txn})
	if err != nil {
		return goose.TxnResult{}, err
	}
	return r[0], nil
}

// CommitAll implements goose.Store. It sends several transactions nested in one.
func (e *Etcd) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	if err := checkTxns(txns); err != nil {
		return nil, err
	}
	message := encodeTxn(txns[0])
	if len(txns) > 1 {
		message = &txnRequest{}
		for _, t := range txns {
			message.Success = append(message.Success, wireOp{Txn: encodeTxn(t)})
		}
	}
	body, err := e.post(ctx, "/v3/kv/txn", message)
	if err != nil {
		return nil, err
	}
	results, err := decodeTxns(body, len(txns))
	if err != nil {
		return nil, errors.Wrap(goose.ErrOutcomeUnknown, err.Error())
	}
	return results, nil
}

// Grant implements goose.Store. The TTL is rounded up to whole seconds.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (goose.LeaseID, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease TTL %s is not positive", ttl)
	}
	body, err := e.post(ctx, "/v3/lease/grant", leaseMessage{TTL: int64String(ceilSeconds(ttl))})
	if err != nil {
		return 0, err
	}
	var a leaseMessage
	if err := json.Unmarshal(body, &a); err != nil || a.ID == 0 {
		return 0, errors.Wrap(goose.ErrOutcomeUnknown, "lease grant response without ID")
	}
	return goose.LeaseID(a.ID), nil
}

// KeepAlive implements goose.Store.
func (e *Etcd) KeepAlive(ctx context.Context, id goose.LeaseID) (time.Duration, error) {
	body, err := e.post(ctx, "/v3/lease/keepalive", leaseMessage{ID: int64String(id)})
	if err != nil {
		return 0, err
	}
	var a keepAliveResponse
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&a); err != nil || a.Result == nil {
		return 0, errors.Wrap(goose.ErrOutcomeUnknown, "keep-alive response without result")
	}
	if a.Result.TTL <= 0 {
		return 0, errors.Wrapf(goose.ErrLeaseNotFound, "keep lease %d alive", id)
	}
	return time.Duration(a.Result.TTL) * time.Second, nil
}

// Revoke implements goose.Store. It returns ErrLeaseNotFound if the lease does not
// exist.
func (e *Etcd) Revoke(ctx context.Context, id goose.LeaseID) error {
	body, err := e.post(ctx, "/v3/lease/revoke", leaseMessage{ID: int64String(id)})
	if err == nil && !json.Valid(body) {
		return errors.Wrap(goose.ErrOutcomeUnknown, "lease revoke response is not valid JSON")
	}
	return err
}

// Close ends all watches and closes idle connections.
func (e *Etcd) Close() error {
	e.watches.closeAll()
	e.client.CloseIdleConnections()
	return nil
}
