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

// PrefillOrder is the order in which running requests get the prefill tokens of
// a step. Waiting requests always join the batch by priority.
type PrefillOrder string

// Prefill orders. Engines that schedule running requests first behave like
// PrefillByArrival: a short prompt waits for a long one that started earlier.
const (
	PrefillByPriority PrefillOrder = "priority"
	PrefillByArrival  PrefillOrder = "arrival"
)

// EngineConfig describes the simulated hardware of an engine. Durations and
// rates are in simulated time unless a field says otherwise.
type EngineConfig struct {
	Model           string
	MemoryTokens    int
	Concurrency     int
	ColdConcurrency int
	ColdTokens      int
	// WarmAfter is the number of complete responses after which an engine that
	// became cold reports that it is warm. Until the engine has ramped up to
	// Concurrency, more work than the ramp limit still crashes it.
	WarmAfter         int
	PrefixCacheTokens int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
	// PrefillOrder determines which running prompts a step computes first.
	PrefillOrder PrefillOrder
	// AttentionTokens is the context length at which prefill takes twice as long.
	AttentionTokens int
	StepBase        time.Duration
	StepPerStream   time.Duration
	// TimeScale is the simulated time that passes per unit of real time.
	TimeScale      float64
	FencingChecked bool
	// ReportLag delays load reports and cache events, in real time.
	ReportLag time.Duration
	// EarlyOverloadWindow is the real time after a cold-silent fault during which an overload
	// counts as early.
	EarlyOverloadWindow time.Duration
	// RestartDelay is the real time until a crashed process listens again.
	RestartDelay time.Duration
	// Cold makes the engine start cold.
	Cold bool
	// WeightStoreAddress is the address of the weight store; if it is empty, model loads
	// complete immediately.
	WeightStoreAddress string
}

// DefaultEngineConfig returns the rates of a mid-sized engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model: "model", MemoryTokens: 400_000, Concurrency: 32, ColdConcurrency: 1, ColdTokens: 20_000, WarmAfter: 2,
		PrefixCacheTokens: 200_000, PrefillRate: 50_000, PrefillChunk: 1024, PrefillOrder: PrefillByPriority, AttentionTokens: 400_000,
		StepBase: 8 * time.Millisecond, StepPerStream: 200 * time.Microsecond, TimeScale: 1,
		FencingChecked: true, ReportLag: 500 * time.Millisecond, EarlyOverloadWindow: time.Second,
		RestartDelay: 300 * time.Millisecond, Cold: true,
	}
}

// EngineFaults are the fault switches of an engine. Cold, ColdSilent, CrashNow
// and CutStreams act once and are then cleared.
type EngineFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the time of every step; 0 is normal.
	Slow float64 `json:"slow"`
	// Cold restarts the process; the new process is cold.
	Cold bool `json:"cold"`
	// ColdSilent makes the running process cold; its streams continue.
	ColdSilent bool `json:"cold-silent"`
	CrashNow   bool `json:"crash-now"`
	// CutStreams closes every connection; the streams continue.
	CutStreams bool `json:"cut-streams"`
	// Lag replaces the configured lag of load reports and cache events if set.
	Lag Duration `json:"lag"`
	// Gaps is the share of cache events that are dropped.
	Gaps float64 `json:"gaps"`
	// Cross is the share of chunks that are followed by a chunk of another
	// stream, at the offset of the next chunk if that stream has reached it.
	Cross float64 `json:"cross"`
	// CrossEnd is the share of chunks that are followed by a chunk of another
	// stream and an end marker.
	CrossEnd float64 `json:"cross-end"`
	// Swap is the share of chunks that are replaced by a chunk of another stream.
	Swap float64 `json:"swap"`
	// Late is the share of chunks that are sent again after the next chunk.
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
	// Continued counts those of Started that imported KV caches: later parts of
	// a request that started on another engine.
	Continued          int            `json:"requests-continued"`
	Finished           int            `json:"requests-finished"`
	Cancelled          int            `json:"requests-cancelled"`
	Refused            int            `json:"requests-refused"`
	GeneratedTokens    int            `json:"tokens-generated"`
	DeliveredTokens    int            `json:"tokens-delivered"`
	UndeliveredTokens  map[string]int `json:"tokens-undelivered"`
	CancelledTokens    int            `json:"tokens-cancelled"`
	PrefilledTokens    int            `json:"prompt-tokens-computed"`
	CachedPromptTokens int            `json:"prompt-tokens-cached"`
	RunningStreams     int            `json:"streams-running"`
	ListedStreams      int            `json:"streams-listed"`
	KVTokensUsed       int            `json:"kv-in-use"`
	KVHandles          int            `json:"kv-handles"`
	Overloads          int            `json:"overloads"`
	// EarlyOverloads counts those of Overloads that happened so soon after a
	// cold-silent fault that they count as early, see EngineConfig.
	EarlyOverloads int `json:"overloads-early"`
	// RequestsAboveLimit counts the requests that a warm engine received beyond its
	// concurrency or its memory; they wait in the engine's own queue.
	RequestsAboveLimit    int `json:"above-limit"`
	Crashes               int `json:"crashes"`
	CrashMarkCrashes      int `json:"crashes-marked"`
	EventsLost            int `json:"cache-events-lost"`
	Commands              int `json:"commands"`
	AcceptedStaleCommands int `json:"commands-stale-accepted"`
	// OverlappingCommands counts those of Commands that started while another one ran.
	OverlappingCommands int `json:"commands-overlapping"`
	LoadsFailed         int `json:"loads-failed"`
	// RequestsWhileLoading counts the requests that arrived while a command ran.
	RequestsWhileLoading int            `json:"requests-while-loading"`
	FencingRejections    int            `json:"fenced-off"`
	RepeatedStarts       map[string]int `json:"doubles"`
	LastStart            time.Time      `json:"last-start"`
	Process              string         `json:"process"`
	Cold                 bool           `json:"cold"`
	// Ramping is set while the engine's limit is below its full concurrency.
	Ramping bool `json:"ramping"`
}

// Causes for dropping a stream with undelivered tokens.
const (
	causeCancelled = "cancelled"
	causeCrashed   = "crashed"
)

// stream is one request on an engine.
type stream struct {
	id           string
	promptHash   uint64
	promptTokens int
	blocks       []uint64
	// max is the index after the last token to generate.
	max          int
	priority     int
	arrivalOrder int64
	// batchOrder orders streams by the time at which they joined the batch.
	batchOrder int64
	// reserved is the number of tokens of memory that the stream needs.
	reserved int
	// toPrefill is the number of prompt tokens that are neither cached nor
	// imported.
	toPrefill int
	prefilled int
	running   bool
	// firstToken is the index of the first token to generate; generated is the
	// index of the next one.
	firstToken int
	generated  int
	delivered  int
	finished   bool
	// dropCause is why the stream was dropped; empty while it is listed.
	dropCause   string
	crashMarked bool
	// continued is set for a later part of a request that started on another
	// engine.
	continued bool
	chat      bool
	// export is the handle that keeps the KV cache of a prefill call; such a
	// stream does not decode. It is nil for a completion.
	export *export
	// startedSinceCold is set for streams that the engine accepted after it
	// became cold.
	startedSinceCold bool
}

// Engine simulates one model engine with continuous batching.
type Engine struct {
	cfg    EngineConfig
	log    *slog.Logger
	srv    *server
	faults *faults[EngineFaults]

	mu        sync.Mutex
	processID string
	model     string
	epoch     int64
	commands  commandState
	ramping   bool
	coldSince time.Time
	// completedSinceCold counts complete responses since the engine became cold.
	completedSinceCold int
	// silentCold is set if a cold-silent fault made the engine cold.
	silentCold bool
	// rampLimit and rampTokens bound the requests and the tokens at the same time
	// while ramping is set; rampSuccesses counts complete responses since the
	// limits last doubled.
	rampLimit     int
	rampTokens    int
	rampSuccesses int
	lastOrder     int64
	streams       map[string]*stream
	exports       map[string]*export
	kvUsed        int
	cache         *lru.Cache[uint64, struct{}]
	cacheLog      cacheLog
	totals        EngineCounters
	startsByID    map[string]int
	// stepDone is closed after each step that computed something, and replaced.
	stepDone chan struct{}
	work     chan struct{}
	reports  []loadReport
	stopping chan struct{}
}

// NewEngine returns an engine that listens on address once it is started.
// control is the address of its control port; empty means none.
func NewEngine(cfg EngineConfig, address, control string, log *slog.Logger) *Engine {
	e := &Engine{
		cfg: cfg, log: log, model: cfg.Model, startsByID: map[string]int{},
		stepDone: make(chan struct{}), work: make(chan struct{}, 1), stopping: make(chan struct{}),
	}
	e.totals.UndeliveredTokens = map[string]int{}
	e.srv = newServer(address, control, log)
	e.faults = newFaults(e.applyFaults)
	e.replaceProcess(cfg.Cold)
	addControls(e.srv, e.faults, func() any { return e.Counters() })
	e.addRoutes()
	return e
}

// replaceProcess replaces the simulated process by a new one. The caller holds
// the lock or is the only user of the engine.
func (e *Engine) replaceProcess(cold bool) {
	e.processID = fmt.Sprintf("p%016x", rand.Uint64())
	e.streams = map[string]*stream{}
	e.exports = map[string]*export{}
	e.kvUsed = 0
	e.epoch, e.commands = 0, commandState{}
	e.cache, _ = lru.New[uint64, struct{}](max(1, e.cfg.PrefixCacheTokens/BlockTokens))
	e.setCold(cold, false)
}

func (e *Engine) setCold(cold, silent bool) {
	e.ramping, e.silentCold, e.coldSince, e.completedSinceCold = cold, silent, time.Now(), 0
	e.rampLimit, e.rampTokens, e.rampSuccesses = e.cfg.ColdConcurrency, e.cfg.ColdTokens, 0
	for _, s := range e.streams {
		s.startedSinceCold = false
	}
}

// warmUp records a complete response; one that started before the engine became
// cold does not count. The ramp limit doubles after as many complete responses
// as its current value, and the ramp ends at the full concurrency.
func (e *Engine) warmUp(s *stream) {
	if !e.ramping || !s.startedSinceCold {
		return
	}
	e.completedSinceCold++
	e.rampSuccesses++
	if e.rampSuccesses < e.rampLimit {
		return
	}
	e.rampSuccesses = 0
	e.rampLimit *= 2
	e.rampTokens *= 2
	if e.rampLimit >= e.cfg.Concurrency || e.rampLimit <= 0 {
		e.ramping = false
		e.log.Info("engine warm", "process", e.processID)
	}
}

// cold reports whether the engine reports itself as cold.
func (e *Engine) cold() bool {
	return e.commands.running > 0 || e.ramping && e.completedSinceCold < e.cfg.WarmAfter
}

// overloaded reports whether one more request with this many tokens exceeds the
// ramp limits of a cold engine.
func (e *Engine) overloaded(tokens int) bool {
	if !e.ramping {
		return false
	}
	n := 1
	for _, s := range e.streams {
		if s.startedSinceCold && !s.finished {
			n++
			tokens += s.reserved
		}
	}
	return n > e.rampLimit || tokens > e.rampTokens
}

// aboveLimit reports whether one more request with this many tokens is more
// than a warm engine can run at the same time.
func (e *Engine) aboveLimit(tokens int) bool {
	if e.ramping {
		return false
	}
	n := 1
	for _, s := range e.streams {
		if !s.finished {
			n++
			tokens += s.reserved
		}
	}
	return n > e.cfg.Concurrency || tokens > e.cfg.MemoryTokens
}

// crash ends the simulated process and starts a cold one. The caller holds the
// lock.
func (e *Engine) crash(reason string) {
	e.totals.Crashes++
	e.log.Warn("engine crashed", "reason", reason, "process", e.processID, "streams", len(e.streams))
	for _, s := range e.streams {
		e.drop(s, causeCrashed)
	}
	e.srv.processNumber.Add(1)
	e.replaceProcess(true)
	e.notifyStep()
	go e.restart()
}

// restart keeps the port closed for the configured restart time. Without a
// control port or a restart time, it only closes the connections.
func (e *Engine) restart() {
	if e.faults.get().Down || e.cfg.RestartDelay <= 0 || e.srv.controlAddr() == "" {
		e.srv.dropConnections()
		return
	}
	e.srv.setDown(true)
	time.Sleep(e.cfg.RestartDelay)
	e.srv.setDown(e.faults.get().Down)
}

// drop removes a stream and frees its memory. The caller holds the lock.
func (e *Engine) drop(s *stream, cause string) {
	if s.dropCause != "" {
		return
	}
	s.dropCause = cause
	delete(e.streams, s.id)
	if s.running {
		e.kvUsed -= s.reserved
	}
	if undelivered := s.generated - s.delivered; undelivered > 0 {
		e.totals.UndeliveredTokens[cause] += undelivered
		if cause == causeCancelled {
			e.totals.CancelledTokens += undelivered
		}
	}
}

// notifyStep wakes every goroutine that waits in awaitStep.
func (e *Engine) notifyStep() {
	close(e.stepDone)
	e.stepDone = make(chan struct{})
}

// Counters returns a snapshot of the totals.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.totals
	c.UndeliveredTokens = map[string]int{}
	for k, v := range e.totals.UndeliveredTokens {
		c.UndeliveredTokens[k] = v
	}
	c.RepeatedStarts = map[string]int{}
	for id, n := range e.startsByID {
		if n > 1 {
			c.RepeatedStarts[id] = n
		}
	}
	for _, s := range e.streams {
		if !s.finished {
			c.RunningStreams++
		}
	}
	c.ListedStreams, c.KVTokensUsed, c.KVHandles = len(e.streams), e.kvUsed, len(e.exports)
	c.Process, c.Cold, c.Ramping = e.processID, e.cold(), e.ramping
	return c
}

func (e *Engine) applyFaults(f EngineFaults) EngineFaults {
	e.srv.setDown(f.Down)
	e.mu.Lock()
	if f.Cold || f.CrashNow {
		e.crash("fault")
	}
	if f.ColdSilent {
		e.setCold(true, true)
	}
	e.mu.Unlock()
	if f.CutStreams {
		e.srv.dropConnections()
	}
	f.Cold, f.ColdSilent, f.CrashNow, f.CutStreams = false, false, false, false
	return f
}

// unfinishedStreams returns the listed streams that are not finished, most
// urgent first.
func (e *Engine) unfinishedStreams() []*stream {
	streams := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		if !s.finished {
			streams = append(streams, s)
		}
	}
	sort.Slice(streams, func(i, j int) bool {
		if streams[i].priority != streams[j].priority {
			return streams[i].priority < streams[j].priority
		}
		return streams[i].arrivalOrder < streams[j].arrivalOrder
	})
	return streams
}
