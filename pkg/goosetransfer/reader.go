package goosetransfer

import (
	"io"
	"time"
)

// Reader is a body that records its progress.
type Reader struct {
	io.Reader
	Transfer *Transfer
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.Transfer.Progress(n, time.Now())
	return n, err
}
