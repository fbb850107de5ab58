package goosequeue

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func init() {
	goose.RegisterDiscipline("fair", func() goose.QueueDiscipline { return NewFair() })
	goose.RegisterDiscipline("fifo", func() goose.QueueDiscipline { return NewFIFO() })
}

// FIFO serves requests in order of arrival. It is the baseline for comparisons.
type FIFO struct {
	items []goose.QueueItem
	cost  int
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO { return &FIFO{} }

// Push adds an item at the end.
func (f *FIFO) Push(item goose.QueueItem) {
	f.items = append(f.items, item)
	f.cost += item.Request.Cost()
}

// Remove drops the item of a request.
func (f *FIFO) Remove(id goose.RequestID) bool {
	for k := range f.items {
		if f.items[k].Request.Request == id {
			f.removeAt(k)
			return true
		}
	}
	return false
}

func (f *FIFO) removeAt(k int) goose.QueueItem {
	item := f.items[k]
	f.items = append(f.items[:k], f.items[k+1:]...)
	f.cost -= item.Request.Cost()
	return item
}

// Pop removes and returns the first item for which fits returns true.
func (f *FIFO) Pop(fits func(goose.QueueItem) bool) (goose.QueueItem, bool) {
	for k := range f.items {
		if fits(f.items[k]) {
			return f.removeAt(k), true
		}
	}
	return goose.QueueItem{}, false
}

// Expire removes and returns the items whose deadline is not after now.
func (f *FIFO) Expire(now time.Time) []goose.QueueItem {
	var out []goose.QueueItem
	for k := 0; k < len(f.items); {
		if f.items[k].Deadline.After(now) {
			k++
			continue
		}
		out = append(out, f.removeAt(k))
	}
	return out
}

// CostAhead returns the cost of all waiting items.
func (f *FIFO) CostAhead(goose.LengthClass, goose.WorkspaceName) int { return f.cost }

// Len returns the number of waiting items.
func (f *FIFO) Len() int { return len(f.items) }

// Priority returns the same priority for all classes.
func (f *FIFO) Priority(goose.LengthClass) int { return 0 }
