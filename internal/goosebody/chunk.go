// Package goosebody bounds what the bodies of callers' requests cost beside their bytes.
package goosebody

import (
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxChunkOverheadBytes bounds what the frames of a body's chunks may take beyond the length of the
// body itself. Chunks of five bytes and more never exceed it.
const maxChunkOverheadBytes = 64 << 10

// ErrChunkOverhead reports a body in very small chunks, each of which costs as much as a large one.
var ErrChunkOverhead = errors.New("the chunks of the body are too small")

// chunkedBody is a body in chunks that ends with ErrChunkOverhead if they are too small.
type chunkedBody struct {
	io.Reader
	conn goose.CallerConn
	// begin is what had been read from the connection before the body. A part of the body may be
	// among it, which is smaller than the bound.
	begin int64
	// length is what has been read of the body.
	length int64
}

// New returns the body of a request as it arrives; length is negative if it is unknown.
func New(body io.Reader, length int64, conn goose.CallerConn) io.Reader {
	if length >= 0 {
		return body
	}
	return &chunkedBody{Reader: body, conn: conn, begin: conn.ReceivedBytes()}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.length += int64(n)
	overhead := b.conn.ReceivedBytes() - b.begin - b.length
	if err == nil && overhead > maxChunkOverheadBytes+b.length {
		return n, ErrChunkOverhead
	}
	return n, err
}
