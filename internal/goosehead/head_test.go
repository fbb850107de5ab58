package goosehead

import (
	"strings"
	"testing"
)

// Guards against heads of many fields that take the memory of a machine, against usual heads that
// are cut beside them, and against memory that stays reserved.
func TestHeadMemory(t *testing.T) {
	t.Parallel()
	const machine = 8 << 20
	memory := NewMemory(machine)
	part := []byte(strings.Repeat("a:\r\n", 1000))
	var heads []*Head
	for len(heads) < 1000 {
		h := &Head{memory: memory}
		ok := true
		for range 4 {
			ok = ok && h.Add(part)
		}
		heads = append(heads, h)
		if !ok {
			break
		}
	}
	if n := len(heads); n < 2 || n > 3 {
		t.Errorf("got %d heads of 4,000 fields before one had no memory, want 2 or 3", n)
	}
	usual := &Head{memory: memory}
	if !usual.Add([]byte(strings.Repeat("X-Prompt-Prefix: "+strings.Repeat("a", 80)+"\r\n", 40))) {
		t.Error("a usual head got no memory")
	}
	// The end of the head comes in two parts.
	for _, text := range []string{"\r", "\n" + strings.Repeat("\n", 4000)} {
		if !usual.Add([]byte(text)) {
			t.Error("the lines of a body count as fields")
		}
	}
	if !usual.IsFree() || heads[0].IsFree() {
		t.Errorf("got free %t for a usual head and %t for one of 4,000 fields, want true and false", usual.IsFree(), heads[0].IsFree())
	}
	for _, h := range append(heads, usual) {
		h.Release()
	}
	if !memory.shared.TryAcquire(machine / headMemoryShare) {
		t.Error("memory stays reserved")
	}
}
