// Package goosehead bounds the memory that the heads of callers' requests take.
package goosehead

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

// Memory is what the heads of all requests share.
type Memory struct{ shared *semaphore.Weighted }

// NewMemory returns the memory for a machine; zero bytes stand for an unknown one.
func NewMemory(machineBytes int64) *Memory {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	return &Memory{semaphore.NewWeighted(machineBytes / headMemoryShare)}
}

// Begin returns the head of a request that has brought no byte.
func (m *Memory) Begin() Head { return Head{memory: m} }

// Head is the memory of the head of one request, from its first byte to the response.
type Head struct {
	memory *Memory
	// held is at least cost less freeHeadCost once the memory was acquired.
	cost, held int64
	// inLine is true if the current line of the head is not empty, and ended once the empty line
	// after the fields has arrived.
	inLine, ended bool
}

// Add counts a part of a head, up to its end. It returns false if there is no memory for it.
func (h *Head) Add(part []byte) bool {
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
	return h.acquire()
}

// acquire acquires what is missing of the cost.
func (h *Head) acquire() bool {
	missing := h.cost - freeHeadCost - h.held
	if missing <= 0 {
		return true
	}
	missing = (missing + headMemoryUnit - 1) / headMemoryUnit * headMemoryUnit
	if !h.memory.shared.TryAcquire(missing) {
		return false
	}
	h.held += missing
	return true
}

// IsFree reports whether the head needs none of the memory that all heads share.
func (h *Head) IsFree() bool { return h.cost <= freeHeadCost }

// Release ends the head.
func (h *Head) Release() {
	if h.held > 0 {
		h.memory.shared.Release(h.held)
	}
	*h = Head{memory: h.memory}
}
