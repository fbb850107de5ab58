package goosequeue

import (
	"container/heap"
	"math"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// flow is the queue of one workspace inside a class.
type flow struct {
	class     *class
	workspace goose.WorkspaceName
	items     []goose.QueueItem
	// tag is the virtual start time of the first item.
	tag     float64
	backlog int
	// index is the position in the class's heap; -1 without items.
	index int
}

// class holds the flows of one length class. Flows with items are in a heap by
// tag; flows without items are kept until virtual time has passed their tag.
type class struct {
	index   int
	virtual float64
	backlog int
	heap    flowHeap
	flows   map[goose.WorkspaceName]*flow
	sweepAt int
}

// sweepMinimum keeps the sweep of idle flows rare for small numbers of workspaces.
const sweepMinimum = 1024

func newClass(index int) *class {
	return &class{index: index, flows: map[goose.WorkspaceName]*flow{}, sweepAt: sweepMinimum}
}

func (c *class) push(i goose.QueueItem) *flow {
	fl, ok := c.flows[i.Request.Workspace]
	if !ok {
		c.sweep()
		fl = &flow{class: c, workspace: i.Request.Workspace, index: -1}
		c.flows[fl.workspace] = fl
	}
	fl.items = append(fl.items, i)
	fl.backlog += i.Request.Cost()
	c.backlog += i.Request.Cost()
	if fl.index < 0 {
		fl.tag = math.Max(fl.tag, c.virtual)
		heap.Push(&c.heap, fl)
	}
	return fl
}

// sweep forgets idle flows whose tag lies in the past: they would start at the
// virtual time anyway.
func (c *class) sweep() {
	if len(c.flows) < c.sweepAt {
		return
	}
	for w, fl := range c.flows {
		if fl.index < 0 && fl.tag <= c.virtual {
			delete(c.flows, w)
		}
	}
	c.sweepAt = max(sweepMinimum, 2*len(c.flows))
}

func (c *class) remove(fl *flow, k int) goose.QueueItem {
	i := fl.items[k]
	if k == 0 {
		fl.items[0] = goose.QueueItem{}
		fl.items = fl.items[1:]
	} else {
		fl.items = append(fl.items[:k], fl.items[k+1:]...)
	}
	fl.backlog -= i.Request.Cost()
	c.backlog -= i.Request.Cost()
	if len(fl.items) == 0 {
		fl.items = nil
		heap.Remove(&c.heap, fl.index)
		fl.index = -1
	}
	return i
}

// charge advances the flow's tag by the served cost over its weight and the
// class's virtual time to the start tag of the served item.
func (c *class) charge(fl *flow, i goose.QueueItem, start float64) {
	c.virtual = math.Max(c.virtual, start)
	fl.tag += float64(max(1, i.Request.Cost())) / i.Weight
	if fl.index >= 0 {
		heap.Fix(&c.heap, fl.index)
	}
}

// ahead returns the cost in the class with start tags before a new item of w.
func (c *class) ahead(w goose.WorkspaceName) float64 {
	start, own := c.virtual, 0.0
	if fl, ok := c.flows[w]; ok {
		start = math.Max(start, fl.tag)
		if len(fl.items) > 0 {
			start += float64(fl.backlog) / fl.items[0].Weight
			own = float64(fl.backlog)
		}
	}
	sum := own
	for _, fl := range c.heap {
		if fl.workspace == w || fl.tag > start {
			continue
		}
		first := float64(fl.items[0].Request.Cost())
		sum += math.Min(float64(fl.backlog), math.Max(first, (start-fl.tag)*fl.items[0].Weight))
	}
	return sum
}

// flowHeap orders flows by tag, equal tags by workspace name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	fl := x.(*flow)
	fl.index = len(*h)
	*h = append(*h, fl)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	fl := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return fl
}

// node is one item that the search may look at next.
type node struct {
	start float64
	flow  *flow
	item  int
}

// frontier walks the items of a class in order of start tags without changing
// the class: the children of a heap node and the next item of a flow never
// start before the node itself.
type frontier struct{ nodes []node }

func (n node) before(o node) bool {
	if n.start != o.start {
		return n.start < o.start
	}
	return n.flow.workspace < o.flow.workspace
}

// push and pop keep nodes as a binary heap. container/heap would allocate for
// each node, and a search can visit each waiting request.
func (f *frontier) push(n node) {
	f.nodes = append(f.nodes, n)
	for i := len(f.nodes) - 1; i > 0; {
		up := (i - 1) / 2
		if !f.nodes[i].before(f.nodes[up]) {
			return
		}
		f.nodes[i], f.nodes[up] = f.nodes[up], f.nodes[i]
		i = up
	}
}

func (f *frontier) pop() node {
	n, last := f.nodes[0], len(f.nodes)-1
	f.nodes[0] = f.nodes[last]
	f.nodes = f.nodes[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			return n
		}
		if down+1 < last && f.nodes[down+1].before(f.nodes[down]) {
			down++
		}
		if !f.nodes[down].before(f.nodes[i]) {
			return n
		}
		f.nodes[i], f.nodes[down] = f.nodes[down], f.nodes[i]
		i = down
	}
}

// find returns the flow, item index and start tag of the first item that fits.
func (f *frontier) find(c *class, fits func(goose.QueueItem) bool) (*flow, int, float64, bool) {
	f.nodes = append(f.nodes[:0], node{start: c.heap[0].tag, flow: c.heap[0]})
	for len(f.nodes) > 0 {
		n := f.pop()
		i := n.flow.items[n.item]
		if fits(i) {
			return n.flow, n.item, n.start, true
		}
		if n.item+1 < len(n.flow.items) {
			next := n.start + float64(max(1, i.Request.Cost()))/i.Weight
			f.push(node{start: next, flow: n.flow, item: n.item + 1})
		}
		if n.item > 0 {
			continue
		}
		for child := 2*n.flow.index + 1; child <= 2*n.flow.index+2 && child < len(c.heap); child++ {
			f.push(node{start: c.heap[child].tag, flow: c.heap[child]})
		}
	}
	return nil, 0, 0, false
}
