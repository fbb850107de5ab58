package goosehost

import "golang.org/x/sync/semaphore"

const (
	// headTextCost is the memory for a byte of a head, in the buffer and in the fields, and
	// headFieldCost that for a field beside its text. A head of 15 KiB with 2,700 fields took
	// 250 KB.
	headTextCost  = 2
	headFieldCost = 128
	// freeHeadCost is the cost of a head that is not counted: 4 KiB of text with 64 fields.
	freeHeadCost = 16 << 10
	// headMemoryUnit is the unit in which memory is acquired.
	headMemoryUnit = 4 << 10
	// headMemoryShare is the inverse part of the machine's memory that heads may take beyond
	// freeHeadCost each.
	headMemoryShare = 8
	// defaultMemoryBytes is assumed if the memory of the machine is unknown.
	defaultMemoryBytes = 256 << 20
)

// newHeadMemory returns the memory that the heads of all requests share.
func newHeadMemory(machineBytes int64) *semaphore.Weighted {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	return semaphore.NewWeighted(machineBytes / headMemoryShare)
}

// headCost is the memory of the head of one request, from its first byte to the response.
type headCost struct {
	memory     *semaphore.Weighted
	cost, held int64
	// inLine is true if the current line of the head is not empty, and ended once the empty line
	// after the fields has arrived.
	inLine, ended bool
}

// add counts a part of a head, up to its end. It returns false if there is no memory for it.
func (h *headCost) add(part []byte) bool {
	if h.memory == nil {
		return true
	}
	for _, b := range part {
		if h.ended {
			break
		}
		h.cost += headTextCost
		switch b {
		case '\n':
			h.cost += headFieldCost
			h.inLine, h.ended = false, !h.inLine
		case '\r':
		default:
			h.inLine = true
		}
	}
	missing := h.cost - freeHeadCost - h.held
	if missing <= 0 {
		return true
	}
	missing = (missing + headMemoryUnit - 1) / headMemoryUnit * headMemoryUnit
	if !h.memory.TryAcquire(missing) {
		return false
	}
	h.held += missing
	return true
}

// release ends the head.
func (h *headCost) release() {
	if h.held > 0 {
		h.memory.Release(h.held)
	}
	*h = headCost{memory: h.memory}
}
