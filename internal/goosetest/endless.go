package goosetest

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// maxEndlessBytes ends an Endless whose bytes are read without a limit.
const maxEndlessBytes = 96 << 20

// Endless is a faulty backend server: it writes Head and then Piece again and again,
// until the other side closes.
type Endless struct {
	// Head is written once. A line ID in it becomes the header that names the request.
	Head string
	// Piece is never empty.
	Piece string
	// IDHeader is the name of the header that names a request.
	IDHeader string
	taken    atomic.Int64
}

// Taken returns how many bytes of pieces were taken.
func (e *Endless) Taken() int64 { return e.taken.Load() }

// ServeHTTP implements http.Handler.
func (e *Endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	id := e.IDHeader + ": " + r.Header.Get(e.IDHeader) + "\r\n"
	if _, err := io.WriteString(conn, strings.ReplaceAll(e.Head, "ID\r\n", id)); err != nil {
		return
	}
	many := strings.Repeat(e.Piece, 1+(64<<10)/len(e.Piece))
	for e.Taken() < maxEndlessBytes {
		n, err := io.WriteString(conn, many)
		e.taken.Add(int64(n))
		if err != nil {
			return
		}
	}
}
