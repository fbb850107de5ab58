package gooseroute

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// loadBound is the load of a replica, relative to the mean, above which its
	// cached prefixes no longer attract requests.
	loadBound = 1.25
	// maxBlocksPerReplica bounds the index. With it, 1,400 replicas take at most
	// about 100 MB over the fleet's dispatchers, one pool of 27 replicas about 2 MB.
	maxBlocksPerReplica = 1024
	// entryLifetime is how long an index entry is valid without a new placement or
	// event. It is limited because eviction events can be lost.
	entryLifetime = 10 * time.Minute
	// gapLifetime replaces entryLifetime for entries older than a gap in the events,
	// and counts from the gap.
	gapLifetime = time.Minute
)

// prefixCache is the known content of one replica's prefix cache.
type prefixCache struct {
	// blocks maps each block to the time at which it was last placed.
	blocks   *simplelru.LRU[uint64, time.Time]
	sequence int64
	gapAt    time.Time
}

// Affinity chooses the replica that caches the longest prefix of the request among
// those whose load does not exceed the bound. If there is none, it chooses the least
// loaded replica.
type Affinity struct {
	clock  goose.Clock
	caches map[goose.ReplicaID]*prefixCache
	// holders maps each block to the replicas that cache it: the inverse of caches.
	holders map[uint64]map[goose.ReplicaID]struct{}
	mean    float64
	meanSet bool
	matches map[goose.ReplicaID]int
}

// NewAffinity returns a policy with an empty index.
func NewAffinity(c goose.Clock) *Affinity {
	return &Affinity{
		clock:   c,
		caches:  map[goose.ReplicaID]*prefixCache{},
		holders: map[uint64]map[goose.ReplicaID]struct{}{},
		matches: map[goose.ReplicaID]int{},
	}
}

// SetMeanTokens sets the mean of outstanding tokens over the usable replicas
// of the pool. Without it the mean over the candidates is used, which leaves
// out the replicas that are full.
func (a *Affinity) SetMeanTokens(mean float64) { a.mean, a.meanSet = mean, true }

// Choose implements goose.RoutingPolicy.
func (a *Affinity) Choose(r goose.PermitRequest, cs []goose.Candidate) int {
	a.matchPrefix(r.PrefixHashes)
	bound := loadBound * a.meanTokens(cs)
	best, least := -1, 0
	for i := range cs {
		if memoryShare(cs[i].Tokens, cs[i]) < memoryShare(cs[least].Tokens, cs[least]) {
			least = i
		}
		m := a.matches[cs[i].Replica]
		if m == 0 || float64(cs[i].Tokens) > bound {
			continue
		}
		if best < 0 || m > a.matches[cs[best].Replica] ||
			m == a.matches[cs[best].Replica] && cs[i].Tokens < cs[best].Tokens {
			best = i
		}
	}
	if best < 0 {
		return least
	}
	return best
}

func (a *Affinity) meanTokens(cs []goose.Candidate) float64 {
	if a.meanSet {
		return a.mean
	}
	sum := 0
	for i := range cs {
		sum += cs[i].Tokens
	}
	return float64(sum) / float64(len(cs))
}

// matchPrefix fills matches with the number of leading blocks that each replica caches.
func (a *Affinity) matchPrefix(prefix []uint64) {
	clear(a.matches)
	if len(prefix) == 0 {
		return
	}
	now := a.clock.Now()
	for id := range a.holders[prefix[0]] {
		n := 0
		for _, b := range prefix {
			if !a.holds(id, b, now) {
				break
			}
			n++
		}
		if n > 0 {
			a.matches[id] = n
		}
	}
}

func (a *Affinity) holds(id goose.ReplicaID, block uint64, now time.Time) bool {
	c := a.caches[id]
	if c == nil {
		return false
	}
	at, ok := c.blocks.Peek(block)
	if !ok {
		return false
	}
	if now.Sub(at) > entryLifetime || at.Before(c.gapAt) && now.Sub(c.gapAt) > gapLifetime {
		c.blocks.Remove(block)
		return false
	}
	return true
}

func (a *Affinity) ensureCache(id goose.ReplicaID) *prefixCache {
	if c, ok := a.caches[id]; ok {
		return c
	}
	evicted := func(block uint64, _ time.Time) {
		delete(a.holders[block], id)
		if len(a.holders[block]) == 0 {
			delete(a.holders, block)
		}
	}
	// NewLRU only fails for a size that is not positive.
	blocks, _ := simplelru.NewLRU(maxBlocksPerReplica, evicted)
	c := &prefixCache{blocks: blocks}
	a.caches[id] = c
	return c
}

func (a *Affinity) add(id goose.ReplicaID, block uint64, at time.Time) {
	a.ensureCache(id).blocks.Add(block, at)
	h := a.holders[block]
	if h == nil {
		h = map[goose.ReplicaID]struct{}{}
		a.holders[block] = h
	}
	h[id] = struct{}{}
}

// RecordPlacement implements goose.RoutingPolicy. The blocks are added from the last to the
// first, so that the index drops the end of a prefix before its start.
func (a *Affinity) RecordPlacement(r goose.PermitRequest, id goose.ReplicaID) {
	now := a.clock.Now()
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		a.add(id, r.PrefixHashes[i], now)
	}
}

// ObserveCacheEvent implements goose.RoutingPolicy. It ignores repeated and older
// events, and an eviction that happened before the block was last placed.
func (a *Affinity) ObserveCacheEvent(id goose.ReplicaID, e goose.CacheEvent) {
	c := a.ensureCache(id)
	if c.sequence > 0 && e.Sequence <= c.sequence {
		return
	}
	if c.sequence > 0 && e.Sequence > c.sequence+1 {
		c.gapAt = a.clock.Now()
	}
	c.sequence = e.Sequence
	if !e.Evicted {
		at := e.Time
		if now := a.clock.Now(); at.After(now) {
			at = now
		}
		a.add(id, e.Block, at)
		return
	}
	if at, ok := c.blocks.Peek(e.Block); ok && !at.After(e.Time) {
		c.blocks.Remove(e.Block)
	}
}

// Forget implements goose.RoutingPolicy.
func (a *Affinity) Forget(id goose.ReplicaID) {
	if c, ok := a.caches[id]; ok {
		c.blocks.Purge()
		delete(a.caches, id)
	}
}
