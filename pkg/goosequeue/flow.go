package goosequeue

import (
	"container/heap"
	"math"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// flow is the queue of one workspace inside a class.
type flow struct {
	class     *classQueue
	workspace goose.WorkspaceName
	items     []goose.QueueItem
	// startTag is the virtual start time of the first item.
	startTag float64
	backlog  int
	// index is the position in the class's heap; -1 if the flow has no items.
	index int
}

// classQueue holds the flows of one length class. Flows with items are in a heap by
// start tag; flows without items are kept until virtual time has passed their start
// tag.
type classQueue struct {
	index          int
	virtualTime    float64
	backlog        int
	heap           flowHeap
	flows          map[goose.WorkspaceName]*flow
	sweepThreshold int
}

// minSweepThreshold is the smallest number of flows at which idle flows are swept. It
// keeps sweeps rare when there are few workspaces.
const minSweepThreshold = 1024

func newClassQueue(index int) *classQueue {
	return &classQueue{index: index, flows: map[goose.WorkspaceName]*flow{}, sweepThreshold: minSweepThreshold}
}

func (c *classQueue) push(item goose.QueueItem) *flow {
	fl, ok := c.flows[item.Request.Workspace]
	if !ok {
		c.sweep()
		fl = &flow{class: c, workspace: item.Request.Workspace, index: -1}
		c.flows[fl.workspace] = fl
	}
	fl.items = append(fl.items, item)
	fl.backlog += item.Request.Cost()
	c.backlog += item.Request.Cost()
	if fl.index < 0 {
		fl.startTag = math.Max(fl.startTag, c.virtualTime)
		heap.Push(&c.heap, fl)
	}
	return fl
}

// sweep deletes idle flows whose start tag is not after the virtual time: a new flow
// of the same workspace would start at the virtual time as well.
func (c *classQueue) sweep() {
	if len(c.flows) < c.sweepThreshold {
		return
	}
	for w, fl := range c.flows {
		if fl.index < 0 && fl.startTag <= c.virtualTime {
			delete(c.flows, w)
		}
	}
	c.sweepThreshold = max(minSweepThreshold, 2*len(c.flows))
}

func (c *classQueue) remove(fl *flow, k int) goose.QueueItem {
	item := fl.items[k]
	if k == 0 {
		fl.items[0] = goose.QueueItem{}
		fl.items = fl.items[1:]
	} else {
		fl.items = append(fl.items[:k], fl.items[k+1:]...)
	}
	fl.backlog -= item.Request.Cost()
	c.backlog -= item.Request.Cost()
	if len(fl.items) == 0 {
		fl.items = nil
		heap.Remove(&c.heap, fl.index)
		fl.index = -1
	}
	return item
}

// charge advances the flow's start tag by the served cost divided by its weight, and
// the class's virtual time to the start tag of the served item.
func (c *classQueue) charge(fl *flow, item goose.QueueItem, start float64) {
	c.virtualTime = math.Max(c.virtualTime, start)
	fl.startTag += float64(max(1, item.Request.Cost())) / item.Weight
	if fl.index >= 0 {
		heap.Fix(&c.heap, fl.index)
	}
}

// costAhead returns the cost in the class with start tags before that of a new item of
// workspace w.
func (c *classQueue) costAhead(w goose.WorkspaceName) float64 {
	start, own := c.virtualTime, 0.0
	if fl, ok := c.flows[w]; ok {
		start = math.Max(start, fl.startTag)
		if len(fl.items) > 0 {
			start += float64(fl.backlog) / fl.items[0].Weight
			own = float64(fl.backlog)
		}
	}
	sum := own
	for _, fl := range c.heap {
		if fl.workspace == w || fl.startTag > start {
			continue
		}
		first := float64(fl.items[0].Request.Cost())
		sum += math.Min(float64(fl.backlog), math.Max(first, (start-fl.startTag)*fl.items[0].Weight))
	}
	return sum
}

// flowHeap orders flows by start tag, and flows with equal tags by workspace name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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

// node is an item that the search may visit next, with its start tag.
type node struct {
	start     float64
	flow      *flow
	itemIndex int
}

// frontier is the frontier of a best-first search over the items of a class. It visits
// them in order of start tags without changing the class, because the children of a
// heap node and the next item of a flow never have an earlier start tag than the node
// itself.
type frontier struct{ nodes []node }

func (n node) before(o node) bool {
	if n.start != o.start {
		return n.start < o.start
	}
	return n.flow.workspace < o.flow.workspace
}

// push and pop maintain nodes as a binary heap. container/heap would allocate for each
// node, and a search can visit every waiting request.
func (f *frontier) push(n node) {
	f.nodes = append(f.nodes, n)
	for i := len(f.nodes) - 1; i > 0; {
		parent := (i - 1) / 2
		if !f.nodes[i].before(f.nodes[parent]) {
			return
		}
		f.nodes[i], f.nodes[parent] = f.nodes[parent], f.nodes[i]
		i = parent
	}
}

func (f *frontier) pop() node {
	n, last := f.nodes[0], len(f.nodes)-1
	f.nodes[0] = f.nodes[last]
	f.nodes = f.nodes[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return n
		}
		if child+1 < last && f.nodes[child+1].before(f.nodes[child]) {
			child++
		}
		if !f.nodes[child].before(f.nodes[i]) {
			return n
		}
		f.nodes[i], f.nodes[child] = f.nodes[child], f.nodes[i]
		i = child
	}
}

// find returns the flow, item index and start tag of the first item for which fits
// returns true.
func (f *frontier) find(c *classQueue, fits func(goose.QueueItem) bool) (*flow, int, float64, bool) {
	f.nodes = append(f.nodes[:0], node{start: c.heap[0].startTag, flow: c.heap[0]})
	for len(f.nodes) > 0 {
		n := f.pop()
		item := n.flow.items[n.itemIndex]
		if fits(item) {
			return n.flow, n.itemIndex, n.start, true
		}
		if n.itemIndex+1 < len(n.flow.items) {
			next := n.start + float64(max(1, item.Request.Cost()))/item.Weight
			f.push(node{start: next, flow: n.flow, itemIndex: n.itemIndex + 1})
		}
		if n.itemIndex > 0 {
			continue
		}
		for child := 2*n.flow.index + 1; child <= 2*n.flow.index+2 && child < len(c.heap); child++ {
			f.push(node{start: c.heap[child].startTag, flow: c.heap[child]})
		}
	}
	return nil, 0, 0, false
}
