package gooseforward

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosedial"
)

// isFramed reports whether a response has a length or chunks, or no body at all, so that its end
// does not depend on the end of the connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// connectionBody is a body that ends with the connection. It is complete only if the whole
// request was written before: a reset that was reported to the write looks the same.
type connectionBody struct {
	io.ReadCloser
	write *goosedial.RequestWrite
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := b.write.End(); cut != nil {
			return n, cut
		}
	}
	return n, err
}
