package gooseplacement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// Prompts of very unlike lengths share the replicas of a service. A long prefill
// holds up every stream of its replica, so long prompts are read on replicas of
// their own, and each on several at once, so that none is blocked for long.
const (
	// shortPrefill is the longest prefill that delays streams beside it by less than
	// the shortest pause that callers bear, about 250 ms, with a pass of the engine.
	shortPrefill = 190 * time.Millisecond
	// shortPart is the part of a short prompt that one replica reads: two of them fit
	// into a pass beside streams that bear shortPrefill.
	shortPart = 90 * time.Millisecond
	// tightPause is the longest pause of a stream that a long prefill makes late.
	tightPause = 400 * time.Millisecond
	// mediumPause is the longest pause of a stream that parts above mediumPart make
	// late.
	mediumPause = 700 * time.Millisecond
	mediumPart  = 400 * time.Millisecond
	// partPrefill is the part of a long prompt that one replica reads.
	partPrefill = 200 * time.Millisecond
	// maxParts is the largest number of replicas that read one prompt.
	maxParts = 17
	// shortUse is the share of their time that the replicas for short prompts are meant
	// to read.
	shortUse = 0.2
	// shortStreams is the number of short streams that a replica is meant to have.
	shortStreams = 7
	// A prompt is huge, and is read by idle replicas alone, if its prefill is above
	// leastHuge and above hugePerReplica for each replica of the service: read by all at
	// once, it would hold up the others for long.
	leastHuge      = 5 * time.Second
	hugePerReplica = 220 * time.Millisecond
	// hugeShare is the part of the idle replicas for long prompts that one huge prompt
	// may take.
	hugeShare = 0.6
	// idlePrefill is the prefill of a replica that counts as idle.
	idlePrefill = 60 * time.Millisecond
	// objectiveShare and deadlineShare are the parts of the objective and of the time
	// left in which a huge prompt is read.
	objectiveShare = 0.6
	deadlineShare  = 0.45
)

func isShort(prefill time.Duration) bool { return prefill <= shortPrefill }

// longPool returns the replicas that read long prompts. Every instance finds the
// same ones if it knows the same replicas and work.
func (b *Board) longPool(s goose.RoutedService, replicas []goosedirectory.Replica, now time.Time) map[goose.ReplicaID]bool {
	if s.Engine == nil || len(replicas) < 2 {
		return nil
	}
	var w Work
	if m, ok := b.work[s.Name]; ok {
		w = m.rate(now)
	}
	for _, p := range b.peers {
		w.Short += p.report.Work[s.Name].Short
		w.Long += p.report.Work[s.Name].Long
	}
	ids := make([]goose.ReplicaID, len(replicas))
	streams := 0
	for i, r := range replicas {
		ids[i] = r.ID
		streams += b.load(r.ID, now).Tight
	}
	sort.Slice(ids, func(i, j int) bool { return rank(ids[i]) < rank(ids[j]) })
	pool := map[goose.ReplicaID]bool{}
	for _, id := range ids[:longPoolSize(w, streams, len(ids))] {
		pool[id] = true
	}
	return pool
}

// rank orders replicas alike on every instance and independently of data centres.
func rank(id goose.ReplicaID) uint64 { return xxhash.Sum64String(string(id)) }

// longPoolSize is the number of n replicas that read long prompts: all that short
// ones do not need. There are many short streams, so that their number changes more
// slowly than the work of a few long prompts.
func longPoolSize(w Work, streams, n int) int {
	short := max(int(math.Ceil(w.Short/shortUse)), (streams+shortStreams-1)/shortStreams, (n+3)/4)
	return max(n-short, 1)
}

// width is the number of replicas that read a prompt.
func width(all []candidate, prefill time.Duration) int {
	return min(int((prefill+partPrefill-1)/partPrefill), maxParts, len(all), max(countLong(all), 1))
}

// shortWidth is the number of replicas that read a short prompt. The longest of the
// short ones, read by one replica, make all its streams pause too long as soon as
// another prompt comes; replicas for long prompts do not help, they would hold it up.
func shortWidth(all []candidate, prefill time.Duration) int {
	n := 1
	for n < len(all) && !all[n].long && time.Duration(n)*shortPart < prefill {
		n++
	}
	return n
}

// idle returns the replicas that may read a huge prompt: enough of the idle ones to
// answer it within its objective, else before its deadline, and none if others would
// have to wait for it.
func idle(d Demand, all []candidate, prefill time.Duration) []candidate {
	var free []candidate
	for _, c := range all {
		if c.long && c.load.Prefill <= idlePrefill {
			free = append(free, c)
		}
	}
	room := min(int(hugeShare*float64(len(free))), maxParts)
	for _, within := range []time.Duration{
		time.Duration(objectiveShare * float64(d.Objective)), time.Duration(deadlineShare * float64(d.TimeLeft)),
	} {
		if within <= 0 {
			continue
		}
		if n := int((prefill + within - 1) / within); n <= room {
			return free[:n]
		}
	}
	return nil
}

// placement are the replicas of one request with the memory to reserve on each;
// tokens is nil if the first one holds everything.
type placement struct {
	replicas []candidate
	tokens   []int
	// expected is the estimated time to the first event; zero for plain requests.
	expected time.Duration
}

// plan picks the replicas of a request; all are ordered by cost.
func plan(d Demand, all []candidate, prefill time.Duration, short bool) (placement, Obstacle) {
	e := *d.Service.Engine
	need := d.PromptTokens + d.OutputTokens
	if short && need <= e.MemoryTokens {
		return placement{replicas: all[:shortWidth(all, prefill)]}, ObstacleNone
	}
	if prefill > max(leastHuge, hugePerReplica*time.Duration(len(all))) {
		if all = idle(d, all, prefill); len(all) == 0 {
			return placement{}, ObstacleHuge
		}
		if i := roomiest(all, e, need); i >= 0 {
			all[0], all[i] = all[i], all[0]
			return placement{replicas: all}, ObstacleNone
		}
		return spread(all, e, need, len(all))
	}
	n := width(all, prefill)
	chosen := append([]candidate(nil), all[:n]...)
	if i := roomiest(chosen, e, need); i >= 0 {
		chosen[0], chosen[i] = chosen[i], chosen[0]
		return placement{replicas: chosen}, ObstacleNone
	}
	if need <= e.MemoryTokens {
		if i := roomiest(all, e, need); i >= 0 {
			rest := append([]candidate{all[i]}, without(all, i)...)
			return placement{replicas: rest[:n]}, ObstacleNone
		}
	}
	return spread(all, e, need, n)
}

func countLong(all []candidate) int {
	n := 0
	for _, c := range all {
		if c.long {
			n++
		}
	}
	return n
}

// free is the memory of a replica that no request uses.
func free(c candidate, e goose.EngineProfile) int { return max(e.MemoryTokens-c.load.Tokens, 0) }

// roomiest returns the replica with the most free memory if it holds need, else -1.
func roomiest(all []candidate, e goose.EngineProfile, need int) int {
	best := -1
	for i, c := range all {
		if free(c, e) >= need && (best < 0 || free(c, e) > free(all[best], e)) {
			best = i
		}
	}
	return best
}

func without(all []candidate, i int) []candidate {
	rest := make([]candidate, 0, len(all)-1)
	rest = append(rest, all[:i]...)
	return append(rest, all[i+1:]...)
}

// reserveShare is the part of a replica's free memory that one prompt may reserve:
// what is known of the others' requests lags.
const reserveShare = 0.85

// spread reserves the memory of a prompt on at least n replicas, all or nothing.
func spread(all []candidate, e goose.EngineProfile, need, n int) (placement, Obstacle) {
	var p placement
	room := 0
	for _, c := range all {
		if len(p.replicas) == maxParts {
			break
		}
		p.replicas = append(p.replicas, c)
		room += int(reserveShare * float64(free(c, e)))
		if room >= need && len(p.replicas) >= n {
			break
		}
	}
	if room < need || len(p.replicas) < 2 {
		return placement{}, ObstacleMemory
	}
	p.tokens = make([]int, len(p.replicas))
	for i, c := range p.replicas {
		p.tokens[i] = int(float64(need) * reserveShare * float64(free(c, e)) / float64(room))
	}
	return p, ObstacleNone
}
