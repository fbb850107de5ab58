// Package goosequeue holds the queue disciplines of a dispatcher: "fair"
// (length classes with guaranteed shares, start-time fair queueing between the
// workspaces of a class) and the baseline "fifo".
package goosequeue

import (
	"math"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// classOrder lists the classes from the highest priority to the lowest.
var classOrder = [...]goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant}

// guaranteedShares are the fractions of the served cost that the classes get while
// they have a backlog, however large the backlog of classes with a higher priority
// is. Short requests get the rest; they need no guarantee because they have the
// highest priority.
var guaranteedShares = [...]float64{0, 0.25, 0.15, 0.10}

// Fair serves short requests first, guarantees shares to the other classes, and
// inside a class divides the token cost between workspaces by weight.
type Fair struct {
	classes [len(classOrder)]*classQueue
	// credit is the cost for which a class is served before classes with a higher
	// priority; negative after the class was served more than its share.
	credit           [len(classOrder)]float64
	flowByRequest    map[goose.RequestID]*flow
	earliestDeadline time.Time
	frontier         frontier
}

// NewFair returns an empty queue.
func NewFair() *Fair {
	f := &Fair{flowByRequest: map[goose.RequestID]*flow{}}
	for i := range f.classes {
		f.classes[i] = newClassQueue(i)
	}
	return f
}

func classIndex(c goose.LengthClass) int {
	for i, o := range classOrder {
		if o == c {
			return i
		}
	}
	return 0
}

// Push adds an item. A weight that is not a positive number counts as 1.
func (f *Fair) Push(item goose.QueueItem) {
	if !(item.Weight > 0) || math.IsInf(item.Weight, 1) {
		item.Weight = 1
	}
	if len(f.flowByRequest) == 0 || item.Deadline.Before(f.earliestDeadline) {
		f.earliestDeadline = item.Deadline
	}
	c := f.classes[classIndex(item.Request.Class)]
	f.flowByRequest[item.Request.Request] = c.push(item)
}

// Remove drops the item of a request.
func (f *Fair) Remove(id goose.RequestID) bool {
	fl, ok := f.flowByRequest[id]
	if !ok {
		return false
	}
	for k := range fl.items {
		if fl.items[k].Request.Request == id {
			f.removeAt(fl, k)
			f.dropIdleCredit()
			return true
		}
	}
	return false
}

// removeAt removes the item at index k of a flow without charging the flow.
func (f *Fair) removeAt(fl *flow, k int) goose.QueueItem {
	item := fl.class.remove(fl, k)
	delete(f.flowByRequest, item.Request.Request)
	return item
}

// dropIdleCredit sets the positive credit of classes without a backlog to zero.
func (f *Fair) dropIdleCredit() {
	for i := range classOrder {
		if f.classes[i].backlog == 0 && f.credit[i] > 0 {
			f.credit[i] = 0
		}
	}
}

// Pop removes and returns the first item in service order for which fits returns
// true: first from classes with credit, then from the others, by priority in both
// cases.
func (f *Fair) Pop(fits func(goose.QueueItem) bool) (goose.QueueItem, bool) {
	var tried [len(classOrder)]bool
	for i := range classOrder {
		if f.credit[i] <= 0 {
			continue
		}
		tried[i] = true
		if item, ok := f.popClass(i, fits); ok {
			return item, true
		}
	}
	for i := range classOrder {
		if tried[i] {
			continue
		}
		if item, ok := f.popClass(i, fits); ok {
			return item, true
		}
	}
	return goose.QueueItem{}, false
}

func (f *Fair) popClass(index int, fits func(goose.QueueItem) bool) (goose.QueueItem, bool) {
	c := f.classes[index]
	if len(c.heap) == 0 {
		return goose.QueueItem{}, false
	}
	fl, k, start, ok := f.frontier.find(c, fits)
	if !ok {
		return goose.QueueItem{}, false
	}
	item := f.removeAt(fl, k)
	c.charge(fl, item, start)
	f.updateCredit(index, float64(item.Request.Cost()))
	return item, true
}

// updateCredit adds their share of the served cost to the credit of the classes that
// were not served, and charges the class that was. The credit of a class without a
// backlog rises at most to zero.
func (f *Fair) updateCredit(served int, cost float64) {
	for i := range classOrder {
		if i == served {
			if guaranteedShares[i] > 0 {
				f.credit[i] -= cost * (1 - guaranteedShares[i])
			}
			continue
		}
		f.credit[i] += cost * guaranteedShares[i]
	}
	f.dropIdleCredit()
	if len(f.flowByRequest) == 0 {
		f.credit = [len(classOrder)]float64{}
	}
}

// Expire removes and returns the items whose deadline is not after now.
func (f *Fair) Expire(now time.Time) []goose.QueueItem {
	if len(f.flowByRequest) == 0 || f.earliestDeadline.After(now) {
		return nil
	}
	var out []goose.QueueItem
	f.earliestDeadline = time.Time{}
	for _, c := range f.classes {
		for _, fl := range append([]*flow(nil), c.heap...) {
			for k := 0; k < len(fl.items); {
				d := fl.items[k].Deadline
				if !d.After(now) {
					out = append(out, f.removeAt(fl, k))
					continue
				}
				if f.earliestDeadline.IsZero() || d.Before(f.earliestDeadline) {
					f.earliestDeadline = d
				}
				k++
			}
		}
	}
	f.dropIdleCredit()
	return out
}

// CostAhead estimates the cost, in tokens, that is served before a new item: the backlog
// of the classes with a higher priority, the part of its own class with earlier start
// tags, and the guaranteed shares of the classes with a lower priority.
func (f *Fair) CostAhead(c goose.LengthClass, w goose.WorkspaceName) int {
	index := classIndex(c)
	own := f.classes[index].costAhead(w)
	higher, lower := 0.0, 0.0
	for i, other := range f.classes {
		switch {
		case i < index:
			higher += float64(other.backlog)
		case i > index:
			lower += math.Min(float64(other.backlog), own*guaranteedShares[i])
		}
	}
	// While a class gets its guaranteed share s, at most own / s is served before it.
	if s := guaranteedShares[index]; s > 0 && f.credit[index] >= 0 {
		higher = math.Min(higher, own/s)
		if own == 0 {
			higher = 0
		}
	}
	return int(higher + own + lower)
}

// Len returns the number of waiting items.
func (f *Fair) Len() int { return len(f.flowByRequest) }

// Priority returns smaller numbers for shorter classes, so that engines run them
// earlier.
func (f *Fair) Priority(c goose.LengthClass) int {
	switch c {
	case goose.ClassShort:
		return 0
	case goose.ClassMedium:
		return 1
	case goose.ClassLong:
		return 2
	}
	return 3
}
