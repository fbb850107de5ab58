// Package goosequeue holds the queue disciplines of a dispatcher: "fair"
// (length classes with guaranteed shares, start-time fair queueing over
// workspaces inside a class) and the baseline "fifo".
package goosequeue

import (
	"math"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// order is the priority of the classes.
var order = [...]goose.Class{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant}

// shares are the parts of the served cost that a class gets while it has a
// backlog, however much the classes before it ask for. Short requests have the
// rest and need no guarantee because they come first.
var shares = [...]float64{0, 0.25, 0.15, 0.10}

// Fair serves short requests first, guarantees shares to the other classes,
// and inside a class shares the token cost over workspaces by weight.
type Fair struct {
	classes [len(order)]*class
	// owed is the cost that a class may claim ahead of its priority; negative
	// after the class was served early.
	owed     [len(order)]float64
	where    map[goose.RequestID]*flow
	earliest time.Time
	frontier frontier
}

// NewFair returns an empty queue.
func NewFair() *Fair {
	f := &Fair{where: map[goose.RequestID]*flow{}}
	for i := range f.classes {
		f.classes[i] = newClass(i)
	}
	return f
}

func classIndex(c goose.Class) int {
	for i, o := range order {
		if o == c {
			return i
		}
	}
	return 0
}

// Push adds an item. A weight that is not a positive number counts as 1.
func (f *Fair) Push(i goose.QueueItem) {
	if !(i.Weight > 0) || math.IsInf(i.Weight, 1) {
		i.Weight = 1
	}
	if len(f.where) == 0 || i.Deadline.Before(f.earliest) {
		f.earliest = i.Deadline
	}
	c := f.classes[classIndex(i.Request.Class)]
	f.where[i.Request.Request] = c.push(i)
}

// Remove drops the item of a request.
func (f *Fair) Remove(id goose.RequestID) bool {
	fl, ok := f.where[id]
	if !ok {
		return false
	}
	for k := range fl.items {
		if fl.items[k].Request.Request == id {
			f.take(fl, k)
			f.dropCredit()
			return true
		}
	}
	return false
}

// take removes the item at index k of a flow without charging the flow.
func (f *Fair) take(fl *flow, k int) goose.QueueItem {
	i := fl.class.remove(fl, k)
	delete(f.where, i.Request.Request)
	return i
}

// dropCredit takes the credit of classes without a backlog.
func (f *Fair) dropCredit() {
	for i := range order {
		if f.classes[i].backlog == 0 && f.owed[i] > 0 {
			f.owed[i] = 0
		}
	}
}

// Pop removes and returns the first item in service order that fits: first the
// classes that are owed cost, then the classes by priority.
func (f *Fair) Pop(fits func(goose.QueueItem) bool) (goose.QueueItem, bool) {
	var tried [len(order)]bool
	for i := range order {
		if f.owed[i] <= 0 {
			continue
		}
		tried[i] = true
		if item, ok := f.popClass(i, fits); ok {
			return item, true
		}
	}
	for i := range order {
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
	item := f.take(fl, k)
	c.charge(fl, item, start)
	f.settle(index, float64(item.Request.Cost()))
	return item, true
}

// settle credits the classes that waited with their share of the served cost
// and charges the class that was served. A class without a backlog only works
// off its debt.
func (f *Fair) settle(served int, cost float64) {
	for i := range order {
		if i == served {
			if shares[i] > 0 {
				f.owed[i] -= cost * (1 - shares[i])
			}
			continue
		}
		f.owed[i] += cost * shares[i]
	}
	f.dropCredit()
	if len(f.where) == 0 {
		f.owed = [len(order)]float64{}
	}
}

// Expire removes and returns the items whose deadline is not after now.
func (f *Fair) Expire(now time.Time) []goose.QueueItem {
	if len(f.where) == 0 || f.earliest.After(now) {
		return nil
	}
	var out []goose.QueueItem
	f.earliest = time.Time{}
	for _, c := range f.classes {
		for _, fl := range append([]*flow(nil), c.heap...) {
			for k := 0; k < len(fl.items); {
				d := fl.items[k].Deadline
				if !d.After(now) {
					out = append(out, f.take(fl, k))
					continue
				}
				if f.earliest.IsZero() || d.Before(f.earliest) {
					f.earliest = d
				}
				k++
			}
		}
	}
	f.dropCredit()
	return out
}

// Ahead estimates the cost in tokens that is served before a new item: the
// classes before it, the part of its own class with earlier start tags, and
// the guaranteed shares of the classes behind it.
func (f *Fair) Ahead(c goose.Class, w goose.WorkspaceName) int {
	index := classIndex(c)
	own := f.classes[index].ahead(w)
	before, behind := 0.0, 0.0
	for i, other := range f.classes {
		switch {
		case i < index:
			before += float64(other.backlog)
		case i > index:
			behind += math.Min(float64(other.backlog), own*shares[i])
		}
	}
	// With a guaranteed share, a class waits at most for own / share.
	if s := shares[index]; s > 0 && f.owed[index] >= 0 {
		before = math.Min(before, own/s)
		if own == 0 {
			before = 0
		}
	}
	return int(before + own + behind)
}

// Len returns the number of waiting items.
func (f *Fair) Len() int { return len(f.where) }

// Priority lets engines run shorter classes earlier.
func (f *Fair) Priority(c goose.Class) int {
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
