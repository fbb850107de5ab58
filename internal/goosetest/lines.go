package goosetest

import (
	"bytes"
	"strings"
	"sync"
)

// Lines keeps what a log or a process writes. The zero value is empty and ready; it is safe
// for concurrent use.
type Lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *Lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that was written.
func (l *Lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Has reports whether the text was written.
func (l *Lines) Has(text string) bool { return strings.Contains(l.String(), text) }
