package gooseforward

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxChunkOverheadBytes bounds what the frames of a body's chunks may take beyond the length of the
// body itself. Chunks of five bytes and more never exceed it.
const maxChunkOverheadBytes = 64 << 10

// errChunkOverhead reports a body in very small chunks, each of which costs as much as a large one.
var errChunkOverhead = errors.New("the chunks of the body are too small")

// chunkedBody is a body in chunks that ends with errChunkOverhead if they are too small.
type chunkedBody struct {
	io.Reader
	conn goose.CallerConn
	// begin is what had been read from the connection before the body. A part of the body may be
	// among it, which is smaller than the bound.
	begin int64
	// length is what has been read of the body.
	length int64
}

func newChunkedBody(body io.Reader, conn goose.CallerConn) *chunkedBody {
	return &chunkedBody{Reader: body, conn: conn, begin: conn.ReceivedBytes()}
}

// newIncoming returns the body of a request as it arrives.
func newIncoming(r *http.Request, conn goose.CallerConn) io.Reader {
	if r.ContentLength < 0 {
		return newChunkedBody(r.Body, conn)
	}
	return r.Body
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.length += int64(n)
	overhead := b.conn.ReceivedBytes() - b.begin - b.length
	if err == nil && overhead > maxChunkOverheadBytes+b.length {
		return n, errChunkOverhead
	}
	return n, err
}
