package goosehost

import "time"

const (
	// smallReadBytes is the size below which a read is small: its cost is mostly that of the
	// wake-up and of the system call. largeReadBytes is the buffer of net/http.
	smallReadBytes = 1 << 10
	largeReadBytes = 4 << 10
	// freeSmallReads is the number of small reads of one request that follow each other without
	// a pause. Callers send a head and a body in few pieces.
	freeSmallReads = 16
	// readPauseStep is what each further small read adds to the pause, and maxReadPause bounds
	// it: a connection then costs five reads a second. The pauses of a body that arrives for some
	// time add up to about that time, so that the last pause is far shorter (14 ms for 100 ms).
	readPauseStep = time.Millisecond
	maxReadPause  = 200 * time.Millisecond
)

// readPacer computes the pauses between the reads of a connection, in which the kernel gathers
// what a caller sends in many small pieces.
type readPacer struct{ smallReads int }

// pause returns how long to wait before a read into a buffer of this size. The reads of a single
// byte with which net/http watches for the end of a connection do not wait.
func (p readPacer) pause(bufferBytes int) time.Duration {
	if bufferBytes < smallReadBytes {
		return 0
	}
	return min(maxReadPause, time.Duration(max(0, p.smallReads-freeSmallReads))*readPauseStep)
}

// withRead returns the pacer after a read of n bytes into a buffer of this size.
func (p readPacer) withRead(n, bufferBytes int) readPacer {
	switch {
	case n >= largeReadBytes:
		p.smallReads /= 2
	case n < smallReadBytes && bufferBytes >= smallReadBytes:
		p.smallReads++
	}
	return p
}
