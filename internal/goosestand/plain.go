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

// PlainConfig sets a plain service.
type PlainConfig struct {
	Name string
	// Latency is the time between arrival and effect; each call takes between
	// half and one and a half times as long.
	Latency         time.Duration
	Concurrency     int
	ColdConcurrency int
	// WarmAfter is the number of calls after a cold turn from which on the
	// service no longer calls itself cold.
	WarmAfter int
	Cold      bool
	// Restart is the time that a crashed process needs to listen again.
	Restart time.Duration
	// Journal is a file that keeps the executions when the process of the
	// simulator itself is killed; empty for none.
	Journal string
}

// PlainFaults are the fault switches of a plain service. Cold and CrashNow act
// once.
type PlainFaults struct {
	Down bool `json:"down"`
	// Slow multiplies the latency; 0 is normal.
	Slow float64 `json:"slow"`
	// LoseAnswer breaks the connection after the effect, for this many calls.
	LoseAnswer int `json:"lose-answer"`
	// FailAnswer answers 500 before the effect, for this many calls.
	FailAnswer int `json:"fail-answer"`
	// CrossAnswer answers with the id and the body of another call after the
	// effect, for this many calls.
	CrossAnswer int  `json:"cross-answer"`
	Cold        bool `json:"cold"`
	CrashNow    bool `json:"crash-now"`
}

// PlainCounters are the totals of a plain service.
type PlainCounters struct {
	Started   int            `json:"requests-started"`
	Executed  int            `json:"requests-executed"`
	Running   int            `json:"requests-running"`
	Lost      int            `json:"answers-lost"`
	Overloads int            `json:"overloads"`
	Crashes   int            `json:"crashes"`
	Doubles   map[string]int `json:"doubles"`
	LastStart time.Time      `json:"last-start"`
	Process   string         `json:"process"`
	Cold      bool           `json:"cold"`
	// Ramping is set while the service bears less than its full concurrency.
	Ramping bool `json:"ramping"`
}

// Execution is what a plain service did for one body.
type Execution struct {
	Count int `json:"count"`
	// Requests are the X-Request-Id values in order.
	Requests []string `json:"request-ids"`
	Path     string   `json:"path"`
}

// Plain simulates an order or stock service that records what it executed.
type Plain struct {
	cfg    PlainConfig
	log    *slog.Logger
	srv    *server
	faults *faults[PlainFaults]

	mu       sync.Mutex
	process  string
	ramping  bool
	answers  int
	bear     int
	success  int
	running  int
	count    PlainCounters
	executed map[string]*Execution
	// journal is nil without one.
	journal *os.File
	starts  map[string]int
}

// NewPlain returns a plain service that listens on address once it runs.
func NewPlain(cfg PlainConfig, address, control string, log *slog.Logger) *Plain {
	p := &Plain{cfg: cfg, log: log, executed: map[string]*Execution{}, starts: map[string]int{}}
	p.srv = newServer(address, control, log)
	p.faults = newFaults(p.applyFaults)
	p.freshProcess(cfg.Cold)
	addControls(p.srv, p.faults, func() any { return p.Counters() })
	list := func(c fiber.Ctx) error { return c.JSON(p.Executed()) }
	p.srv.app.Get("/executed", list)
	p.srv.controls.Get("/executed", list)
	p.srv.app.Use(p.call)
	return p
}

// Run serves until ctx ends.
func (p *Plain) Run(ctx context.Context) error {
	if err := p.openJournal(); err != nil {
		return err
	}
	defer p.closeJournal()
	return p.srv.run(ctx)
}

func (p *Plain) freshProcess(cold bool) {
	p.process = fmt.Sprintf("p%016x", rand.Uint64())
	p.ramping, p.answers, p.bear, p.success, p.running = cold, 0, p.cfg.ColdConcurrency, 0, 0
}

// crash ends the simulated process; running calls have no effect and no answer.
// The caller holds the lock.
func (p *Plain) crash(reason string) {
	p.count.Crashes++
	p.log.Warn("plain service crashed", "reason", reason, "running", p.running)
	p.freshProcess(true)
	go func() {
		if p.srv.controlAddr() == "" || p.cfg.Restart <= 0 || p.faults.get().Down {
			p.srv.dropConnections()
			return
		}
		p.srv.setDown(true)
		time.Sleep(p.cfg.Restart)
		p.srv.setDown(p.faults.get().Down)
	}()
}

func (p *Plain) applyFaults(f PlainFaults) PlainFaults {
	p.srv.setDown(f.Down)
	if f.Cold || f.CrashNow {
		p.mu.Lock()
		p.crash("fault")
		p.mu.Unlock()
	}
	f.Cold, f.CrashNow = false, false
	return f
}

// begin counts a call in; ok is false if it crashed a cold process.
func (p *Plain) begin(c fiber.Ctx, id string) (process string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count.Started++
	p.count.LastStart = time.Now()
	if id != "" {
		p.starts[id]++
	}
	if p.ramping && p.running+1 > p.bear {
		p.count.Overloads++
		p.crash("more work than the cold limit")
		return "", false
	}
	p.running++
	c.Set("X-Process-Id", p.process)
	c.Set("X-Cold", fmt.Sprint(p.cold()))
	return p.process, true
}

// end records the effect of a call; false if its process has crashed meanwhile.
func (p *Plain) end(process, path, id string, body []byte, effect bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != process {
		return false
	}
	p.running--
	if !effect {
		return true
	}
	p.count.Executed++
	h := BodyHash(body)
	p.note(h, id, path)
	p.record(h, id, path)
	p.warmUp()
	return true
}

// note remembers an execution.
func (p *Plain) note(hash, id, path string) {
	x := p.executed[hash]
	if x == nil {
		x = &Execution{Path: path}
		p.executed[hash] = x
	}
	x.Count++
	x.Requests = append(x.Requests, id)
}

func (p *Plain) warmUp() {
	if !p.ramping {
		return
	}
	p.answers++
	p.success++
	if p.success < p.bear {
		return
	}
	p.success, p.bear = 0, p.bear*2
	p.ramping = p.bear < p.cfg.Concurrency && p.bear > 0
}

// cold reports whether the service calls itself cold.
func (p *Plain) cold() bool { return p.ramping && p.answers < p.cfg.WarmAfter }

// BodyHash is the hash under which a plain service lists executions of a body.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (p *Plain) call(c fiber.Ctx) error {
	id := strings.Clone(c.Get("X-Request-Id"))
	path := strings.Clone(c.Path())
	process, ok := p.begin(c, id)
	if !ok {
		return breakOff(c)
	}
	time.Sleep(p.latency())
	if p.take(func(f *PlainFaults) *int { return &f.FailAnswer }) {
		p.end(process, path, id, c.Body(), false)
		return c.Status(fiber.StatusInternalServerError).SendString("failed before the effect")
	}
	if !p.end(process, path, id, c.Body(), true) {
		return breakOff(c)
	}
	if p.take(func(f *PlainFaults) *int { return &f.LoseAnswer }) {
		p.mu.Lock()
		p.count.Lost++
		p.mu.Unlock()
		return breakOff(c)
	}
	if p.take(func(f *PlainFaults) *int { return &f.CrossAnswer }) {
		c.Set("X-Request-Id", id+"-other")
		return c.JSON(fiber.Map{"executed": BodyHash([]byte(id)), "service": p.cfg.Name})
	}
	return c.JSON(fiber.Map{"executed": BodyHash(c.Body()), "service": p.cfg.Name})
}

func (p *Plain) latency() time.Duration {
	f := 0.5 + rand.Float64()
	if slow := p.faults.get().Slow; slow > 0 {
		f *= slow
	}
	return time.Duration(float64(p.cfg.Latency) * f)
}

// take uses up one of a counted fault.
func (p *Plain) take(field func(*PlainFaults) *int) bool {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	f := p.faults.get()
	n := field(&f)
	if *n <= 0 {
		return false
	}
	*n--
	p.faults.value.Store(&f)
	return true
}

// Counters returns a snapshot of the totals.
func (p *Plain) Counters() PlainCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.count
	c.Doubles = map[string]int{}
	for id, n := range p.starts {
		if n > 1 {
			c.Doubles[id] = n
		}
	}
	c.Running, c.Process, c.Cold, c.Ramping = p.running, p.process, p.cold(), p.ramping
	return c
}

// Executed returns the executions by BodyHash.
func (p *Plain) Executed() map[string]Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Execution, len(p.executed))
	for h, x := range p.executed {
		out[h] = Execution{Count: x.Count, Requests: append([]string(nil), x.Requests...), Path: x.Path}
	}
	return out
}
