package goosestand

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// PrefillOrder names how running prompts share the prefill tokens of a step.
// Waiting requests always join the batch by priority.
type PrefillOrder string

// Orders of prefill. Engines that schedule running requests first behave like
// PrefillByArrival: a short prompt waits for a long one that began before it.
const (
	PrefillByPriority PrefillOrder = "priority"
	PrefillByArrival  PrefillOrder = "arrival"
)

// EngineConfig sets the simulated hardware of an engine. Durations and rates
// are simulated; Scale divides simulated time to get real time.
type EngineConfig struct {
	Model           string
	MemoryTokens    int
	Concurrency     int
	ColdConcurrency int
	ColdTokens      int
	// WarmAfter is the number of whole answers after a cold turn from which on
	// the engine no longer calls itself cold. Until it has ramped up to its
	// concurrency, more work than the ramp allows still crashes it.
	WarmAfter   int
	CacheTokens int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
	// PrefillOrder tells which running prompts a step computes first.
	PrefillOrder PrefillOrder
	// AttentionTokens is the context length at which prefill takes twice as long.
	AttentionTokens int
	StepBase        time.Duration
	StepPerStream   time.Duration
	Scale           float64
	FencingChecked  bool
	// Lag delays load reports and cache events, in real time.
	Lag time.Duration
	// Notice is the real time after a silent cold turn in which an overload
	// counts as early.
	Notice time.Duration
	// Restart is the real time that a crashed process needs to listen again.
	Restart time.Duration
	// Cold makes the engine start cold.
	Cold bool
	// Weights is the address of the weight store; without it loads end at once.
	Weights string
}

// DefaultEngineConfig returns the rates of a mid-sized engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model: "model", MemoryTokens: 400_000, Concurrency: 32, ColdConcurrency: 1, ColdTokens: 20_000, WarmAfter: 2,
		CacheTokens: 200_000, PrefillRate: 50_000, PrefillChunk: 1024, PrefillOrder: PrefillByPriority, AttentionTokens: 400_000,
		StepBase: 8 * time.Millisecond, StepPerStream: 200 * time.Microsecond, Scale: 1,
		FencingChecked: true, Lag: 500 * time.Millisecond, Notice: time.Second,
		Restart: 300 * time.Millisecond, Cold: true,
	}
}

// EngineFaults are the fault switches of an engine. Cold, ColdSilent, CrashNow
// and CutStreams act once.
type EngineFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the time of every step; 0 is normal.
	Slow float64 `json:"slow"`
	// Cold restarts the process; it comes back cold.
	Cold bool `json:"cold"`
	// ColdSilent makes the running process cold; its streams go on.
	ColdSilent bool `json:"cold-silent"`
	CrashNow   bool `json:"crash-now"`
	// CutStreams breaks every connection; the streams go on.
	CutStreams bool `json:"cut-streams"`
	// Lag replaces the configured lag of reports and cache events if set.
	Lag Duration `json:"lag"`
	// Gaps is the share of cache events that are lost.
	Gaps float64 `json:"gaps"`
	// Cross is the share of chunks after which a chunk of another stream follows,
	// at the offset of the next chunk if that stream has it.
	Cross float64 `json:"cross"`
	// CrossEnd is the share of chunks after which another stream ends: a chunk of
	// it and its end marker follow.
	CrossEnd float64 `json:"cross-end"`
	// Swap is the share of chunks in whose place one of another stream is sent.
	Swap float64 `json:"swap"`
	// Late is the share of chunks that are sent again after a later chunk.
	Late float64 `json:"late"`
	// Hold delays every chunk by up to this real time.
	Hold Duration `json:"hold"`
	// Repeat is the share of chunks that are sent twice.
	Repeat float64 `json:"repeat"`
}

// EngineCounters are the totals of an engine since its start; crashes of the
// simulated process do not reset them.
type EngineCounters struct {
	Started int `json:"requests-started"`
	// Continued are those of Started that ran behind imported caches: parts of
	// a request that had begun elsewhere.
	Continued    int            `json:"requests-continued"`
	Finished     int            `json:"requests-finished"`
	Cancelled    int            `json:"requests-cancelled"`
	Refused      int            `json:"requests-refused"`
	Generated    int            `json:"tokens-generated"`
	Delivered    int            `json:"tokens-delivered"`
	Undelivered  map[string]int `json:"tokens-undelivered"`
	CancelledTok int            `json:"tokens-cancelled"`
	Prefilled    int            `json:"prompt-tokens-computed"`
	CacheHits    int            `json:"prompt-tokens-cached"`
	Streams      int            `json:"streams-running"`
	Listed       int            `json:"streams-listed"`
	KVUsed       int            `json:"kv-in-use"`
	Exports      int            `json:"kv-handles"`
	Overloads    int            `json:"overloads"`
	// OverloadsEarly are those of Overloads within the notice time of a silent
	// cold turn.
	OverloadsEarly int `json:"overloads-early"`
	// AboveLimit are the requests that a warm engine got beyond its concurrency
	// or its memory; they wait in its own queue.
	AboveLimit    int `json:"above-limit"`
	Crashes       int `json:"crashes"`
	MarkedCrashes int `json:"crashes-marked"`
	EventsLost    int `json:"cache-events-lost"`
	Commands      int `json:"commands"`
	StaleCommands int `json:"commands-stale-accepted"`
	// Overlapping are those of Commands that began while another one ran.
	Overlapping int `json:"commands-overlapping"`
	LoadsFailed int `json:"loads-failed"`
	// WhileLoading are requests that arrived while a command ran.
	WhileLoading int            `json:"requests-while-loading"`
	FencedOff    int            `json:"fenced-off"`
	Doubles      map[string]int `json:"doubles"`
	LastStart    time.Time      `json:"last-start"`
	Process      string         `json:"process"`
	Cold         bool           `json:"cold"`
	// Ramping is set while the engine bears less than its full concurrency.
	Ramping bool `json:"ramping"`
}

// Causes of undelivered tokens.
const (
	causeCancelled = "cancelled"
	causeCrashed   = "crashed"
)

// stream is one request on an engine.
type stream struct {
	id       string
	hash     uint64
	prompt   int
	blocks   []uint64
	max      int
	priority int
	order    int64
	// joined is the place in the order in which streams joined the batch.
	joined   int64
	reserved int
	// toPrefill is the prompt length that is neither cached nor imported.
	toPrefill int
	prefilled int
	running   bool
	// start is the index of the first token to generate, made the index behind
	// the last generated one.
	start     int
	made      int
	delivered int
	done      bool
	// gone tells why the stream was dropped; empty while it is listed.
	gone   string
	marked bool
	// continued marks a part of a request that began on another engine.
	continued bool
	chat      bool
	// export keeps the KV cache under a handle instead of decoding.
	export *export
	// afterTurn marks streams given to the engine since it turned cold.
	afterTurn bool
}

// Engine simulates one model engine with continuous batching.
type Engine struct {
	cfg    EngineConfig
	log    *slog.Logger
	srv    *server
	faults *faults[EngineFaults]

	mu       sync.Mutex
	process  string
	model    string
	epoch    int64
	commands commandState
	ramping  bool
	turned   time.Time
	// answers counts whole answers since the cold turn.
	answers  int
	silent   bool
	bear     int
	bearTok  int
	success  int
	order    int64
	streams  map[string]*stream
	exports  map[string]*export
	kvUsed   int
	cache    *lru.Cache[uint64, struct{}]
	events   cacheLog
	count    EngineCounters
	starts   map[string]int
	tick     chan struct{}
	work     chan struct{}
	reports  []timedReport
	stopping chan struct{}
}

// NewEngine returns an engine that listens on address once it is started.
// control is the address of its control port; empty for none.
func NewEngine(cfg EngineConfig, address, control string, log *slog.Logger) *Engine {
	e := &Engine{
		cfg: cfg, log: log, model: cfg.Model, starts: map[string]int{},
		tick: make(chan struct{}), work: make(chan struct{}, 1), stopping: make(chan struct{}),
	}
	e.count.Undelivered = map[string]int{}
	e.srv = newServer(address, control, log)
	e.faults = newFaults(e.applyFaults)
	e.freshProcess(cfg.Cold)
	addControls(e.srv, e.faults, func() any { return e.Counters() })
	e.addRoutes()
	return e
}

// freshProcess replaces the simulated process; the caller holds the lock or is
// the only user.
func (e *Engine) freshProcess(cold bool) {
	e.process = fmt.Sprintf("p%016x", rand.Uint64())
	e.streams = map[string]*stream{}
	e.exports = map[string]*export{}
	e.kvUsed = 0
	e.epoch, e.commands = 0, commandState{}
	e.cache, _ = lru.New[uint64, struct{}](max(1, e.cfg.CacheTokens/BlockTokens))
	e.turnCold(cold, false)
}

func (e *Engine) turnCold(cold, silent bool) {
	e.ramping, e.silent, e.turned, e.answers = cold, silent, time.Now(), 0
	e.bear, e.bearTok, e.success = e.cfg.ColdConcurrency, e.cfg.ColdTokens, 0
	for _, s := range e.streams {
		s.afterTurn = false
	}
}

// warmUp notes a whole answer; one begun before the cold turn does not count. The limit doubles after as many successes as its
// present value; the engine is warm when it bears its full concurrency.
func (e *Engine) warmUp(s *stream) {
	if !e.ramping || !s.afterTurn {
		return
	}
	e.answers++
	e.success++
	if e.success < e.bear {
		return
	}
	e.success = 0
	e.bear *= 2
	e.bearTok *= 2
	if e.bear >= e.cfg.Concurrency || e.bear <= 0 {
		e.ramping = false
		e.log.Info("engine warm", "process", e.process)
	}
}

// cold reports whether the engine calls itself cold.
func (e *Engine) cold() bool {
	return e.commands.running > 0 || e.ramping && e.answers < e.cfg.WarmAfter
}

// overloaded reports whether one more request of this size is too much for a
// cold engine.
func (e *Engine) overloaded(tokens int) bool {
	if !e.ramping {
		return false
	}
	n := 1
	for _, s := range e.streams {
		if s.afterTurn && !s.done {
			n++
			tokens += s.reserved
		}
	}
	return n > e.bear || tokens > e.bearTok
}

// aboveLimit reports whether one more request of this size is more than a warm
// engine can run at once.
func (e *Engine) aboveLimit(tokens int) bool {
	if e.ramping {
		return false
	}
	n := 1
	for _, s := range e.streams {
		if !s.done {
			n++
			tokens += s.reserved
		}
	}
	return n > e.cfg.Concurrency || tokens > e.cfg.MemoryTokens
}

// crash ends the simulated process. The caller holds the lock.
func (e *Engine) crash(reason string) {
	e.count.Crashes++
	e.log.Warn("engine crashed", "reason", reason, "process", e.process, "streams", len(e.streams))
	for _, s := range e.streams {
		e.drop(s, causeCrashed)
	}
	e.srv.process.Add(1)
	e.freshProcess(true)
	e.broadcast()
	go e.restart()
}

// restart keeps the port closed for the restart time.
func (e *Engine) restart() {
	if e.faults.get().Down || e.cfg.Restart <= 0 || e.srv.controlAddr() == "" {
		e.srv.dropConnections()
		return
	}
	e.srv.setDown(true)
	time.Sleep(e.cfg.Restart)
	e.srv.setDown(e.faults.get().Down)
}

// drop removes a stream and frees its memory. The caller holds the lock.
func (e *Engine) drop(s *stream, cause string) {
	if s.gone != "" {
		return
	}
	s.gone = cause
	delete(e.streams, s.id)
	if s.running {
		e.kvUsed -= s.reserved
	}
	if lost := s.made - s.delivered; lost > 0 {
		e.count.Undelivered[cause] += lost
		if cause == causeCancelled {
			e.count.CancelledTok += lost
		}
	}
}

func (e *Engine) broadcast() {
	close(e.tick)
	e.tick = make(chan struct{})
}

// Counters returns a snapshot of the totals.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.count
	c.Undelivered = map[string]int{}
	for k, v := range e.count.Undelivered {
		c.Undelivered[k] = v
	}
	c.Doubles = map[string]int{}
	for id, n := range e.starts {
		if n > 1 {
			c.Doubles[id] = n
		}
	}
	for _, s := range e.streams {
		if !s.done {
			c.Streams++
		}
	}
	c.Listed, c.KVUsed, c.Exports = len(e.streams), e.kvUsed, len(e.exports)
	c.Process, c.Cold, c.Ramping = e.process, e.cold(), e.ramping
	return c
}

func (e *Engine) applyFaults(f EngineFaults) EngineFaults {
	e.srv.setDown(f.Down)
	e.mu.Lock()
	if f.Cold || f.CrashNow {
		e.crash("fault")
	}
	if f.ColdSilent {
		e.turnCold(true, true)
	}
	e.mu.Unlock()
	if f.CutStreams {
		e.srv.dropConnections()
	}
	f.Cold, f.ColdSilent, f.CrashNow, f.CutStreams = false, false, false, false
	return f
}

// queue returns the listed streams that still compute, most urgent first.
func (e *Engine) queue() []*stream {
	q := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		if !s.done {
			q = append(q, s)
		}
	}
	sort.Slice(q, func(i, j int) bool {
		if q[i].priority != q[j].priority {
			return q[i].priority < q[j].priority
		}
		return q[i].order < q[j].order
	})
	return q
}
