package gooseforward

import (
	"context"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// connKey is the key of a context for the connection of a request.
type connKey struct{}

// WithConn returns a context for the requests on a connection. It is meant for the ConnContext of
// an http.Server.
func WithConn(ctx context.Context, conn goose.CallerConn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request.
func connOf(ctx context.Context) goose.CallerConn {
	if conn, ok := ctx.Value(connKey{}).(goose.CallerConn); ok {
		return conn
	}
	return goose.UnknownConn{}
}
