package gooseengine

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// ErrUnsupported means that the protocol does not have the operation.
var ErrUnsupported = errors.New("not supported by the protocol")

// Plain is the client of plain HTTP services, which have neither streams nor cancellation.
type Plain struct{}

var _ goose.Protocol = Plain{}

// Call implements goose.Protocol.
func (Plain) Call(ctx context.Context, a goose.Attempt) (goose.PlainResponse, error) {
	return call(ctx, a, func(*fasthttp.Request) {})
}

func call(ctx context.Context, a goose.Attempt, setHeaders func(*fasthttp.Request)) (goose.PlainResponse, error) {
	x, err := open(ctx, a.Address, a.BeforeSend, func(r *fasthttp.Request) {
		fillRequest(r, a)
		setHeaders(r)
	})
	if err != nil {
		return goose.PlainResponse{}, err
	}
	defer x.close()
	if x.namesOtherAttempt(a.ID) {
		droppedForeign.Inc()
		return goose.PlainResponse{}, disconnected(errors.Errorf("response to attempt %q, want %q", x.header(headerRequestID), a.ID))
	}
	body, err := x.body(maxResponseBytes)
	if err != nil {
		return goose.PlainResponse{}, err
	}
	return goose.PlainResponse{
		Status:      x.resp.StatusCode(),
		ContentType: string(x.resp.Header.ContentType()),
		Body:        body,
		Process:     x.header(headerProcessID),
		Cold:        x.header(headerCold) == "true",
		Wish:        wishOf(x.resp),
	}, nil
}

// Load implements goose.Protocol. A plain service has no load report, and every
// request could have side effects, so Load only opens a connection and closes it.
func (Plain) Load(ctx context.Context, address string) (goose.LoadReport, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return goose.LoadReport{}, notSent(err)
	}
	return goose.LoadReport{}, errors.WithStack(conn.Close())
}

// Start implements goose.Protocol; plain services do not stream.
func (Plain) Start(context.Context, goose.Attempt) (goose.Stream, error) {
	return nil, notSent(ErrUnsupported)
}

// Resume implements goose.Protocol; plain services keep no streams.
func (Plain) Resume(context.Context, string, goose.AttemptID, int) (goose.Stream, error) {
	return nil, goose.ErrStreamNotFound
}

// Cancel implements goose.Protocol; plain services have no cancel operation.
func (Plain) Cancel(context.Context, string, goose.AttemptID) error { return ErrUnsupported }

// Streams implements goose.Protocol; plain services keep no streams.
func (Plain) Streams(context.Context, string) ([]goose.RunningStream, error) { return nil, nil }
