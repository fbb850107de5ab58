package gooseplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// Prompts of very different lengths share the replicas of a service. A long prefill delays
// every stream of its replica. Long prompts are therefore prefilled on a separate pool of
// replicas, and each of them on several replicas in parallel, so that no replica is blocked
// for long.
const (
	// shortPrefill is the longest prefill of a short prompt. Together with one engine pass
	// it delays the other streams by less than the shortest pause that callers tolerate,
	// about 250 ms.
	shortPrefill = 190 * time.Millisecond
	// shortPartPrefill is the longest part of a short prompt that one replica prefills. Two
	// parts fit into one pass alongside streams that tolerate shortPrefill.
	shortPartPrefill = 90 * time.Millisecond
	// shortPause is the upper limit of the longest pause of streams that any long prefill
	// makes late.
	shortPause = 400 * time.Millisecond
	// mediumPause is the upper limit of the longest pause of streams that only parts above
	// mediumPartPrefill make late.
	mediumPause       = 700 * time.Millisecond
	mediumPartPrefill = 400 * time.Millisecond
	// longPartPrefill is the longest part of a long prompt that one replica prefills, as long
	// as the prompt has at most maxParts parts.
	longPartPrefill = 200 * time.Millisecond
	// maxParts is the largest number of replicas that prefill one prompt.
	maxParts = 17
	// shortUtilisation is the target utilisation by prefills of the replicas for short prompts.
	shortUtilisation = 0.2
	// streamsPerShortReplica is the target number of short streams on each replica.
	streamsPerShortReplica = 7
	// minHugePrefill and hugePrefillPerReplica define a huge prompt: its prefill exceeds the
	// first, and also the second times the number of replicas of the service. Only idle
	// replicas prefill a huge prompt. If all replicas did, it would delay the other requests
	// for a long time.
	minHugePrefill        = 5 * time.Second
	hugePrefillPerReplica = 220 * time.Millisecond
	// hugeShare is the part of the idle replicas for long prompts that one huge prompt
	// may use.
	hugeShare = 0.6
	// maxIdlePrefill is the longest pending prefill of a replica that counts as idle.
	maxIdlePrefill = 60 * time.Millisecond
	// objectiveShare and deadlineShare are the parts of the objective and of the time left
	// that the prefill of a huge prompt may take.
	objectiveShare = 0.6
	deadlineShare  = 0.45
)

func isShort(prefill time.Duration) bool { return prefill <= shortPrefill }

// longPool returns the pool of replicas for long prompts. Instances that know the same
// replicas and the same offered load compute the same pool. If the data centres report sums,
// each has a pool of its own, since its instances use its own replicas first.
func (pl *Placer) longPool(s goose.RoutedService, replicas []goosedirectory.Replica, now time.Time) map[goose.ReplicaID]bool {
	pool := map[goose.ReplicaID]bool{}
	if s.Engine == nil {
		return pool
	}
	own := pl.table.offered(s.Name)
	if m, ok := pl.offered[s.Name]; ok {
		own = own.plus(m.rate(now))
	}
	if !pl.table.split() {
		pl.addLongPool(pool, own, replicas, now)
		return pool
	}
	byDataCentre := map[goose.DataCentre][]goosedirectory.Replica{}
	for _, r := range replicas {
		byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], r)
	}
	for dc, of := range byDataCentre {
		offered := own
		if dc != pl.opts.DataCentre {
			offered = pl.table.dataCentres[dc].report.OfferedLoad[s.Name]
		}
		pl.addLongPool(pool, offered, of, now)
	}
	return pool
}

// addLongPool adds those of the replicas to the pool that the offered load of short prompts
// does not need.
func (pl *Placer) addLongPool(pool map[goose.ReplicaID]bool, offered OfferedLoad, replicas []goosedirectory.Replica, now time.Time) {
	if len(replicas) < 2 {
		return
	}
	ranked := make([]rankedReplica, len(replicas))
	streams := 0
	for i, r := range replicas {
		ranked[i] = rankedReplica{id: r.ID, rank: rank(r.ID)}
		streams += pl.load(r.ID, now).ShortPauseStreams
	}
	slices.SortFunc(ranked, func(a, b rankedReplica) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range ranked[:longPoolSize(offered, streams, len(ranked))] {
		pool[r.id] = true
	}
}

// rankedReplica is a replica with its sort key.
type rankedReplica struct {
	id   goose.ReplicaID
	rank uint64
}

// rank returns the sort key of a replica. The order is the same on every instance and does
// not depend on data centres.
func rank(id goose.ReplicaID) uint64 { return xxhash.Sum64String(string(id)) }

// longPoolSize returns how many of n replicas form the pool for long prompts: all that short
// prompts do not need. The size follows from the short prompts because there are many of
// them, so that their number changes more slowly than the load of a few long prompts.
func longPoolSize(offered OfferedLoad, streams, n int) int {
	short := max(int(math.Ceil(offered.Short/shortUtilisation)), (streams+streamsPerShortReplica-1)/streamsPerShortReplica, (n+3)/4)
	return max(n-short, 1)
}

// longPartCount returns the number of replicas that prefill a long prompt.
func longPartCount(all []candidate, prefill time.Duration) int {
	return min(int((prefill+longPartPrefill-1)/longPartPrefill), maxParts, len(all), max(countInLongPool(all), 1))
}

// shortPartCount returns the number of replicas that prefill a short prompt. One of the longest
// short prompts on a single replica would make all streams of that replica pause too long
// as soon as another prompt arrives. Replicas of the pool for long prompts are not used as
// helpers because they would delay the prompt.
func shortPartCount(all []candidate, prefill time.Duration) int {
	n := 1
	for n < len(all) && !all[n].inLongPool && time.Duration(n)*shortPartPrefill < prefill {
		n++
	}
	return n
}

// idleForHuge returns the idle replicas that may prefill a huge prompt: as many as are
// needed to meet its objective, or otherwise its deadline. It returns nil if that needs
// more idle replicas than a huge prompt may use, since other requests would have to wait
// for it.
func idleForHuge(d Demand, all []candidate, prefill time.Duration) []candidate {
	var idle []candidate
	for _, c := range all {
		if c.inLongPool && c.load.Prefill <= maxIdlePrefill {
			idle = append(idle, c)
		}
	}
	limit := min(int(hugeShare*float64(len(idle))), maxParts)
	for _, within := range []time.Duration{
		time.Duration(objectiveShare * float64(d.Objective)), time.Duration(deadlineShare * float64(d.TimeLeft)),
	} {
		if within <= 0 {
			continue
		}
		if n := int((prefill + within - 1) / within); n <= limit {
			return idle[:n]
		}
	}
	return nil
}

// placement is the set of replicas of one request.
type placement struct {
	// replicas are the replicas of the request. The first one responds.
	replicas []candidate
	// reservedTokens is the memory to reserve on each replica, in tokens; nil if the first
	// replica holds all of it.
	reservedTokens []int
	// expected is the estimated time to the first event; zero for plain requests.
	expected time.Duration
}

// plan picks the replicas of a request to an engine. all must be ordered by cost.
func plan(d Demand, all []candidate, prefill time.Duration, short bool) (placement, Obstacle) {
	e := *d.Service.Engine
	need := d.PromptTokens + d.OutputTokens
	if short && need <= e.MemoryTokens {
		return placement{replicas: all[:shortPartCount(all, prefill)]}, ObstacleNone
	}
	if prefill > max(minHugePrefill, hugePrefillPerReplica*time.Duration(len(all))) {
		if all = idleForHuge(d, all, prefill); len(all) == 0 {
			return placement{}, ObstacleHuge
		}
		if i := mostFreeMemory(all, e, need); i >= 0 {
			all[0], all[i] = all[i], all[0]
			return placement{replicas: all}, ObstacleNone
		}
		return reserveAcross(all, e, need, len(all))
	}
	n := longPartCount(all, prefill)
	chosen := append([]candidate(nil), all[:n]...)
	if i := mostFreeMemory(chosen, e, need); i >= 0 {
		chosen[0], chosen[i] = chosen[i], chosen[0]
		return placement{replicas: chosen}, ObstacleNone
	}
	if need <= e.MemoryTokens {
		if i := mostFreeMemory(all, e, need); i >= 0 {
			ordered := append([]candidate{all[i]}, without(all, i)...)
			return placement{replicas: ordered[:n]}, ObstacleNone
		}
	}
	return reserveAcross(all, e, need, n)
}

// countInLongPool returns how many of the candidates belong to the pool for long prompts.
func countInLongPool(all []candidate) int {
	n := 0
	for _, c := range all {
		if c.inLongPool {
			n++
		}
	}
	return n
}

// freeTokens returns the memory of a replica that no request uses, in tokens.
func freeTokens(c candidate, e goose.EngineProfile) int { return max(e.MemoryTokens-c.load.Tokens, 0) }

// mostFreeMemory returns the index of the replica with the most free memory, or -1 if that is
// less than need.
func mostFreeMemory(all []candidate, e goose.EngineProfile, need int) int {
	best := -1
	for i, c := range all {
		if freeTokens(c, e) >= need && (best < 0 || freeTokens(c, e) > freeTokens(all[best], e)) {
			best = i
		}
	}
	return best
}

// without returns a copy of the candidates without the i-th one.
func without(all []candidate, i int) []candidate {
	rest := make([]candidate, 0, len(all)-1)
	rest = append(rest, all[:i]...)
	return append(rest, all[i+1:]...)
}

// reserveShare is the part of a replica's free memory that one prompt may reserve. The rest
// is a margin for requests of peers that have not been reported yet.
const reserveShare = 0.85

// reserveAcross distributes the memory of a prompt over at least n replicas. If their free
// memory is not enough, it reserves none.
func reserveAcross(all []candidate, e goose.EngineProfile, need, n int) (placement, Obstacle) {
	var p placement
	available := 0
	for _, c := range all {
		if len(p.replicas) == maxParts {
			break
		}
		p.replicas = append(p.replicas, c)
		available += int(reserveShare * float64(freeTokens(c, e)))
		if available >= need && len(p.replicas) >= n {
			break
		}
	}
	if available < need || len(p.replicas) < 2 {
		return placement{}, ObstacleMemory
	}
	p.reservedTokens = make([]int, len(p.replicas))
	for i, c := range p.replicas {
		p.reservedTokens[i] = int(float64(need) * reserveShare * float64(freeTokens(c, e)) / float64(available))
	}
	return p, ObstacleNone
}
