package gooselisten

import "golang.org/x/sys/unix"

const (
	// reservedDescriptors are kept for files, listeners, and connections to the store, to
	// peers and to operators.
	reservedDescriptors = 264
	// descriptorsPerCaller are the descriptors that a caller uses: one for its connection, and
	// one for that to the replica which runs its request.
	descriptorsPerCaller = 2
	// minConns is the bound on connections if the process may have very few descriptors.
	minConns = 16
)

// MaxConns returns how many connections of callers may be open in a process that may have the
// given number of descriptors. Zero stands for the limit that the kernel sets.
func MaxConns(maxDescriptors int) int {
	var limit unix.Rlimit
	if maxDescriptors <= 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		maxDescriptors = int(min(limit.Cur, 1<<20))
	}
	return max(minConns, (maxDescriptors-reservedDescriptors)/descriptorsPerCaller)
}
