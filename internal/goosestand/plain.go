package goosestand

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
)

// PlainConfig configures a plain service.
type PlainConfig struct {
	Name string
	// Latency is the mean time between the arrival of a call and its effect; each
	// call takes between 0.5 and 1.5 times as long.
	Latency         time.Duration
	Concurrency     int
	ColdConcurrency int
	// WarmAfter is the number of calls after which a service that became cold
	// reports that it is warm.
	WarmAfter int
	Cold      bool
	// RestartDelay is the time until a crashed process listens again.
	RestartDelay time.Duration
	// Journal is a file that preserves the executions when the simulator itself
	// is killed; empty means none.
	Journal string
}

// PlainFaults are the fault switches of a plain service. Cold and CrashNow act
// once and are then cleared.
type PlainFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the latency; 0 is normal.
	Slow float64 `json:"slow"`
	// LoseAnswer is the number of calls whose connection is closed after the
	// effect, without a response.
	LoseAnswer int `json:"lose-answer"`
	// FailAnswer is the number of calls that get status 500 and have no effect.
	FailAnswer int `json:"fail-answer"`
	// CrossAnswer is the number of calls that get, after their effect, a response
	// with the id and the body of another call.
	CrossAnswer int  `json:"cross-answer"`
	Cold        bool `json:"cold"`
	CrashNow    bool `json:"crash-now"`
}

// PlainCounters are the totals of a plain service.
type PlainCounters struct {
	Started        int            `json:"requests-started"`
	Executed       int            `json:"requests-executed"`
	Running        int            `json:"requests-running"`
	ResponsesLost  int            `json:"answers-lost"`
	Overloads      int            `json:"overloads"`
	Crashes        int            `json:"crashes"`
	RepeatedStarts map[string]int `json:"doubles"`
	LastStart      time.Time      `json:"last-start"`
	Process        string         `json:"process"`
	Cold           bool           `json:"cold"`
	// Ramping is set while the service's limit is below its full concurrency.
	Ramping bool `json:"ramping"`
}

// Execution describes how often a plain service executed calls with one body.
type Execution struct {
	Count int `json:"count"`
	// Requests are the X-Request-Id values in the order of execution.
	Requests []string `json:"request-ids"`
	Path     string   `json:"path"`
}

// PlainService simulates a plain HTTP service, such as one for orders or stock, that
// records what it executed.
type PlainService struct {
	cfg    PlainConfig
	log    *slog.Logger
	srv    *server
	faults *faults[PlainFaults]

	mu        sync.Mutex
	processID string
	ramping   bool
	// completedSinceCold counts effects since the service became cold.
	completedSinceCold int
	// rampLimit bounds the concurrent calls while ramping is set; rampSuccesses
	// counts effects since the limit last doubled.
	rampLimit     int
	rampSuccesses int
	running       int
	totals        PlainCounters
	executed      map[string]*Execution
	// journal is nil if none is configured.
	journal    *os.File
	startsByID map[string]int
}

// NewPlainService returns a plain service that listens on address when Run is called.
func NewPlainService(cfg PlainConfig, address, control string, log *slog.Logger) *PlainService {
	p := &PlainService{cfg: cfg, log: log, executed: map[string]*Execution{}, startsByID: map[string]int{}}
	p.srv = newServer(address, control, log)
	p.faults = newFaults(p.applyFaults)
	p.replaceProcess(cfg.Cold)
	addControls(p.srv, p.faults, func() any { return p.Counters() })
	listExecuted := func(c fiber.Ctx) error { return c.JSON(p.Executed()) }
	p.srv.app.Get("/executed", listExecuted)
	p.srv.controlApp.Get("/executed", listExecuted)
	p.srv.app.Use(p.handleCall)
	return p
}

// Run serves until ctx is done.
func (p *PlainService) Run(ctx context.Context) error {
	if err := p.openJournal(); err != nil {
		return err
	}
	defer p.closeJournal()
	return p.srv.run(ctx)
}

func (p *PlainService) replaceProcess(cold bool) {
	p.processID = fmt.Sprintf("p%016x", rand.Uint64())
	p.ramping, p.completedSinceCold, p.rampLimit, p.rampSuccesses, p.running = cold, 0, p.cfg.ColdConcurrency, 0, 0
}

// crash replaces the simulated process by a cold one. Running calls have no
// effect and no response. The caller holds the lock.
func (p *PlainService) crash(reason string) {
	p.totals.Crashes++
	p.log.Warn("plain service crashed", "reason", reason, "running", p.running)
	p.replaceProcess(true)
	go func() {
		if p.srv.controlAddr() == "" || p.cfg.RestartDelay <= 0 || p.faults.get().Down {
			p.srv.dropConnections()
			return
		}
		p.srv.setDown(true)
		time.Sleep(p.cfg.RestartDelay)
		p.srv.setDown(p.faults.get().Down)
	}()
}

func (p *PlainService) applyFaults(f PlainFaults) PlainFaults {
	p.srv.setDown(f.Down)
	if f.Cold || f.CrashNow {
		p.mu.Lock()
		p.crash("fault")
		p.mu.Unlock()
	}
	f.Cold, f.CrashNow = false, false
	return f
}

// beginCall counts a call as running and returns the id of its process; ok is
// false if the call crashed a cold process.
func (p *PlainService) beginCall(c fiber.Ctx, id string) (processID string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.Started++
	p.totals.LastStart = time.Now()
	if id != "" {
		p.startsByID[id]++
	}
	if p.ramping && p.running+1 > p.rampLimit {
		p.totals.Overloads++
		p.crash("more work than the cold limit")
		return "", false
	}
	p.running++
	c.Set("X-Process-Id", p.processID)
	c.Set("X-Cold", fmt.Sprint(p.cold()))
	return p.processID, true
}

// endCall ends a call and records its effect, if any. It returns false if the
// process has crashed since the call began.
func (p *PlainService) endCall(processID, path, id string, body []byte, effect bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.processID != processID {
		return false
	}
	p.running--
	if !effect {
		return true
	}
	p.totals.Executed++
	hash := BodyHash(body)
	p.addExecution(hash, id, path)
	p.appendJournal(hash, id, path)
	p.warmUp()
	return true
}

// addExecution records an execution in memory. The caller holds the lock.
func (p *PlainService) addExecution(hash, id, path string) {
	execution := p.executed[hash]
	if execution == nil {
		execution = &Execution{Path: path}
		p.executed[hash] = execution
	}
	execution.Count++
	execution.Requests = append(execution.Requests, id)
}

func (p *PlainService) warmUp() {
	if !p.ramping {
		return
	}
	p.completedSinceCold++
	p.rampSuccesses++
	if p.rampSuccesses < p.rampLimit {
		return
	}
	p.rampSuccesses, p.rampLimit = 0, p.rampLimit*2
	p.ramping = p.rampLimit < p.cfg.Concurrency && p.rampLimit > 0
}

// cold reports whether the service reports itself as cold.
func (p *PlainService) cold() bool { return p.ramping && p.completedSinceCold < p.cfg.WarmAfter }

// BodyHash returns the hash under which a plain service lists the executions of
// calls with this body.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (p *PlainService) handleCall(c fiber.Ctx) error {
	id := strings.Clone(c.Get("X-Request-Id"))
	path := strings.Clone(c.Path())
	processID, ok := p.beginCall(c, id)
	if !ok {
		return abortConnection(c)
	}
	time.Sleep(p.latency())
	if p.takeFault(func(f *PlainFaults) *int { return &f.FailAnswer }) {
		p.endCall(processID, path, id, c.Body(), false)
		return c.Status(fiber.StatusInternalServerError).SendString("failed before the effect")
	}
	if !p.endCall(processID, path, id, c.Body(), true) {
		return abortConnection(c)
	}
	if p.takeFault(func(f *PlainFaults) *int { return &f.LoseAnswer }) {
		p.mu.Lock()
		p.totals.ResponsesLost++
		p.mu.Unlock()
		return abortConnection(c)
	}
	if p.takeFault(func(f *PlainFaults) *int { return &f.CrossAnswer }) {
		c.Set("X-Request-Id", id+"-other")
		return c.JSON(fiber.Map{"executed": BodyHash([]byte(id)), "service": p.cfg.Name})
	}
	return c.JSON(fiber.Map{"executed": BodyHash(c.Body()), "service": p.cfg.Name})
}

func (p *PlainService) latency() time.Duration {
	factor := 0.5 + rand.Float64()
	if slow := p.faults.get().Slow; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(p.cfg.Latency) * factor)
}

// takeFault decrements a counted fault and reports whether it was above zero.
func (p *PlainService) takeFault(field func(*PlainFaults) *int) bool {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	f := p.faults.get()
	remaining := field(&f)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	p.faults.value.Store(&f)
	return true
}

// Counters returns a snapshot of the totals.
func (p *PlainService) Counters() PlainCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.totals
	c.RepeatedStarts = map[string]int{}
	for id, n := range p.startsByID {
		if n > 1 {
			c.RepeatedStarts[id] = n
		}
	}
	c.Running, c.Process, c.Cold, c.Ramping = p.running, p.processID, p.cold(), p.ramping
	return c
}

// Executed returns the executions by the BodyHash of the calls.
func (p *PlainService) Executed() map[string]Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Execution, len(p.executed))
	for h, execution := range p.executed {
		out[h] = Execution{Count: execution.Count, Requests: append([]string(nil), execution.Requests...), Path: execution.Path}
	}
	return out
}
