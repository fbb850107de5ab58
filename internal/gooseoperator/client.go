package gooseoperator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ErrUnreachable means that no connection to the instance was established; the call had
// no effect.
var ErrUnreachable = errors.New("instance not reached")

const (
	dialTimeout      = 3 * time.Second
	clientTimeout    = 15 * time.Second
	pollInterval     = 200 * time.Millisecond
	maxResponseBytes = 64 << 20
	outcomeTimeout   = 10 * time.Second
)

// Client calls the operator API of one instance. It never retries a request by itself.
type Client struct {
	base  string
	token string
	http  *fasthttp.HostClient
}

// NewClient returns a client of the API at address, which is host:port or an
// http URL.
func NewClient(address, token string) (*Client, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" && u.Path != "/" {
		return nil, errors.Errorf("operator API %q: must be host:port or http://host:port", address)
	}
	return &Client{base: "http://" + u.Host, token: token, http: &fasthttp.HostClient{
		Addr: u.Host, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, dialTimeout)
			if err != nil {
				return nil, errors.Wrap(ErrUnreachable, err.Error())
			}
			return c, nil
		},
	}}, nil
}

// Status returns the status of the instance and of the others as recorded there.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, pathStatus, nil)
}

// Config returns the configuration in force there.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return call[Config](ctx, c, http.MethodGet, pathConfig, nil)
}

// Apply publishes a configuration. If the response is lost, Apply searches the audit
// entries for the change ID. It returns gooseconfig.ErrChangeOutcomeUnknown if it
// does not find the change there before its time limit.
func (c *Client) Apply(ctx context.Context, q ApplyRequest) (ChangeResult, error) {
	a, err := call[ChangeResult](ctx, c, http.MethodPut, pathConfig, q)
	if q.DryRun {
		return a, err
	}
	return c.resolveChange(ctx, q.ChangeID, a, err)
}

// Label changes labels or the state of one object. A lost response is handled as in Apply.
func (c *Client) Label(ctx context.Context, q LabelRequest) (ChangeResult, error) {
	a, err := call[ChangeResult](ctx, c, http.MethodPost, pathLabel, q)
	return c.resolveChange(ctx, q.ChangeID, a, err)
}

// Command sends a command to a backend server through the instance. If the response is
// lost, it searches the audit trail for the outcome; if the outcome is not there, it is
// unknown. An error means that nothing was done.
func (c *Client) Command(ctx context.Context, q CommandRequest) (CommandResponse, error) {
	out, err := call[CommandResponse](ctx, c, http.MethodPost, pathCommands, q)
	var apiErr *APIError
	switch {
	case errors.Is(err, ErrUnreachable), errors.As(err, &apiErr):
		return out, err
	case err != nil:
		out = CommandResponse{ChangeID: q.ChangeID, Replica: q.Replica, Command: q.command().String()}
		out.CommandResult = goose.CommandResult{Outcome: goose.CommandUnknown, Reason: err.Error()}
	}
	if out.Outcome == goose.CommandUnknown {
		out.CommandResult = c.recordedOutcome(ctx, q.ChangeID, out.CommandResult)
	}
	return out, nil
}

// recordedOutcome returns the outcome in the audit trail, or fallback if there is none.
func (c *Client) recordedOutcome(ctx context.Context, id string, fallback goose.CommandResult) goose.CommandResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	for {
		entries, err := c.Audit(ctx, 1, id)
		if err == nil && len(entries) == 1 && entries[0].Reason != gooseload.ReasonNoOutcome {
			return goose.CommandResult{Outcome: goose.CommandOutcome(entries[0].Outcome), Reason: entries[0].Reason}
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return fallback
		}
	}
}

// Replicas returns the status of all backend servers as recorded by the dispatchers.
func (c *Client) Replicas(ctx context.Context) ([]goosedispatch.PoolReport, error) {
	return call[[]goosedispatch.PoolReport](ctx, c, http.MethodGet, pathReplicas, nil)
}

// Audit returns the newest audit entries, or only the entry of one change if changeID is given.
func (c *Client) Audit(ctx context.Context, limit int, changeID string) ([]gooseconfig.AuditEntry, error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if changeID != "" {
		q.Set("change", changeID)
	}
	return call[[]gooseconfig.AuditEntry](ctx, c, http.MethodGet, pathAudit+"?"+q.Encode(), nil)
}

// Orders returns the orders in a state, or all orders if state is empty.
func (c *Client) Orders(ctx context.Context, state goose.OrderState, limit int) ([]goose.Order, error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}, "state": {string(state)}}
	return call[[]goose.Order](ctx, c, http.MethodGet, pathOrders+"?"+q.Encode(), nil)
}

// Settle records an outcome for an order whose outcome is unknown.
func (c *Client) Settle(ctx context.Context, q SettleRequest) error {
	_, err := call[SettleRequest](ctx, c, http.MethodPost, pathOrders, q)
	return err
}

// WaitInForce polls until every live member has at least the version, or ctx ends;
// it returns the last status seen.
func (c *Client) WaitInForce(ctx context.Context, version int64) (Status, error) {
	var last Status
	var hasStatus bool
	for {
		s, err := c.Status(ctx)
		if err == nil {
			last, hasStatus = s, true
			if len(MembersBehind(s, version)) == 0 {
				return s, nil
			}
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			if !hasStatus {
				return last, err
			}
			return last, nil
		}
	}
}

// MembersBehind returns the live members whose version is lower.
func MembersBehind(s Status, version int64) []MemberStatus {
	var out []MemberStatus
	for _, m := range s.Members {
		if m.Live && m.Version < version {
			out = append(out, m)
		}
	}
	return out
}

// resolveChange determines the outcome of a change whose response was lost or unclear.
func (c *Client) resolveChange(ctx context.Context, id string, a ChangeResult, err error) (ChangeResult, error) {
	var apiErr *APIError
	if err == nil || errors.Is(err, ErrUnreachable) || errors.As(err, &apiErr) && apiErr.Run != goose.RunStateUnknown {
		return a, err
	}
	// The caller's context may have ended by the time the response is known to be lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	for {
		entries, auditErr := c.Audit(ctx, 1, id)
		if auditErr == nil && len(entries) == 1 {
			e := entries[0]
			return ChangeResult{Version: e.Version, ChangeID: id, Changed: true, Summary: e.Summary}, nil
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ChangeResult{}, errors.Wrapf(gooseconfig.ErrChangeOutcomeUnknown, "change %s (%v)", id, err)
		}
	}
}

// call sends one request and decodes its response. It does not retry the request.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var out T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	// A connection that is kept open may be closed by the server just as it is reused.
	req.SetConnectionClose()
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return out, errors.Wrap(err, "encode request")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	deadline := time.Now().Add(clientTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return out, errors.Wrapf(err, "%s %s", method, c.base+path)
	}
	if resp.StatusCode() != http.StatusOK {
		return out, decodeError(resp)
	}
	return out, errors.Wrapf(json.Unmarshal(resp.Body(), &out), "response of %s", c.base+path)
}

func decodeError(resp *fasthttp.Response) error {
	var b errorBody
	if err := json.Unmarshal(resp.Body(), &b); err != nil || b.Error == nil {
		return errors.Errorf("status %d: %.200s", resp.StatusCode(), resp.Body())
	}
	b.Error.Status = resp.StatusCode()
	return b.Error
}
