package goosedispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// coldModel is the expected state of one replica: the successes of permits granted
// since the dispatcher last learned that the replica is cold.
type coldModel struct {
	currentProcess int
	knownProcess   int
	coldPeriod     int
	successes      int
	permits        map[goose.PermitID]int
}

// Guards against an order of polls, crashes, reports, lost connections and
// configuration changes after which a replica gets more requests than its cold limit
// plus the successes granted since the dispatcher learned that it is cold.
func TestPoolKeepsColdLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		h := newHarness(t, func(_ *harness, d *Dependencies) { d.Clock = clock }, "a", "b")
		p, models, held := h.pool, map[goose.ReplicaID]*coldModel{}, []goose.Permit{}
		for _, id := range []goose.ReplicaID{"a", "b"} {
			models[id] = &coldModel{permits: map[goose.PermitID]int{}}
		}
		p.finishCollect(p.takeover.startedAt, true)
		resetToCold := func(m *coldModel) { m.coldPeriod, m.successes = m.coldPeriod+1, 0 }
		load := func(id goose.ReplicaID, cold bool, err error) {
			m, c := models[id], p.replicas[id]
			l := goose.LoadReport{Process: fmt.Sprint(m.currentProcess), Cold: cold}
			if cold || err != nil || m.knownProcess != m.currentProcess {
				resetToCold(m)
			}
			if err == nil {
				m.knownProcess = m.currentProcess
			}
			if p.applyLoadReport(pollTarget{replica: c, address: c.spec.Address, processChanges: c.processChanges}, l, err) {
				p.reconcile(c, c.spec.Address, nil)
			}
		}
		draw := func(t *rapid.T) goose.ReplicaID {
			return rapid.SampledFrom([]goose.ReplicaID{"a", "b"}).Draw(t, "replica")
		}
		n := 0
		acquire := func(t *rapid.T) {
			n++
			q := request(fmt.Sprint(n), rapid.IntRange(1, 6000).Draw(t, "tokens"))
			ch, _, done := p.beginPoll(clock.now, q)
			if done {
				return
			}
			reply := p.endPoll(q.Request, ch)
			if reply.Status != goose.PermitGranted {
				p.Abandon(q.Request)
				return
			}
			id := reply.Permit.Replicas[0].Replica
			m := models[id]
			m.permits[reply.Permit.ID] = m.coldPeriod
			held = append(held, reply.Permit)
			if got, want := len(m.permits), min(4, 1+m.successes); got > want {
				t.Fatalf("permits on %s: got %d, want at most %d", id, got, want)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"acquire": acquire,
			"acquire some": func(t *rapid.T) {
				for range 3 {
					acquire(t)
				}
			},
			"poll":      func(t *rapid.T) { load(draw(t), false, nil) },
			"cold poll": func(t *rapid.T) { load(draw(t), true, nil) },
			"lost":      func(t *rapid.T) { load(draw(t), false, goose.ErrDisconnected) },
			"restart":   func(t *rapid.T) { models[draw(t)].currentProcess++ },
			"recollect": func(*rapid.T) { p.RestartTakeover(); p.finishCollect(p.takeover.startedAt, true) },
			"report": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				k := rapid.IntRange(0, len(held)-1).Draw(t, "permit")
				g := held[k]
				held = slices.Delete(held, k, k+1)
				id := g.Replicas[0].Replica
				m := models[id]
				o := rapid.SampledFrom([]goose.AttemptOutcome{
					goose.OutcomeFinished, goose.OutcomeFinished, goose.OutcomeFailed, goose.OutcomeCrashed, goose.OutcomeCancelled,
				}).Draw(t, "outcome")
				cold := rapid.Bool().Draw(t, "cold") && rapid.Bool().Draw(t, "really")
				switch {
				case o == goose.OutcomeCrashed && g.Replicas[0].Process == fmt.Sprint(m.knownProcess):
					resetToCold(m)
				case cold && o != goose.OutcomeCrashed && m.permits[g.ID] == m.coldPeriod && g.Replicas[0].Process == fmt.Sprint(m.knownProcess):
					resetToCold(m)
				case o == goose.OutcomeFinished && !cold && m.permits[g.ID] == m.coldPeriod:
					m.successes++
				}
				delete(m.permits, g.ID)
				h.release(g, func(x *goose.PermitReport) { x.Outcome, x.Cold = o, cold })
			},
			"time": func(t *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"change limits": func(*rapid.T) {
				h.source.change(func(c *fakeCatalogue) { c.servers[0].Concurrency = 4 })
			},
		})
	})
}
