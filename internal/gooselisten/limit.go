package gooselisten

import "golang.org/x/sys/unix"

const (
	// reservedDescriptors are kept for files, listeners, and connections to the store, to
	// peers and to operators.
	reservedDescriptors = 264
	// descriptorsPerCaller are the descriptors that a caller uses: one for its connection, and
	// one for that to the replica which runs its request.
	descriptorsPerCaller = 2
	// minConns is the bound on connections if the process may have very few descriptors or
	// little memory.
	minConns = 16
	// connMemoryShare is the inverse part of the machine's memory that connections may take, and
	// connBytes that of one: its buffers, goroutines, an ordinary head, and what the kernel has
	// received or not sent yet.
	connMemoryShare = 3
	connBytes       = 32 << 10
)

// MaxConns returns how many connections of callers may be open in a process that may have the
// given number of descriptors and memory. Zero descriptors stand for the limit that the kernel sets,
// and zero bytes for memory that is unknown.
func MaxConns(maxDescriptors int, memoryBytes int64) int {
	var limit unix.Rlimit
	if maxDescriptors <= 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		maxDescriptors = int(min(limit.Cur, 1<<20))
	}
	conns := (maxDescriptors - reservedDescriptors) / descriptorsPerCaller
	if memoryBytes > 0 {
		conns = min(conns, int(memoryBytes/connMemoryShare/connBytes))
	}
	return max(minConns, conns)
}
