package goosedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
)

// BenchmarkGrant measures one release and one grant while 1,000 requests wait: a permit
// is released, the first request that fits is granted, and a new request joins the
// queue. All other capacity of the replicas is in use.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{27, 1400} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) { benchmarkGrant(b, n) })
	}
}

func benchmarkGrant(b *testing.B, replicas int) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	c := &fakeCatalogue{version: 1, service: goose.ServiceSpec{Name: testPool.Service, Kind: goose.KindModel}}
	for i := range replicas {
		c.servers = append(c.servers, server(fmt.Sprintf("r%04d", i)))
	}
	discipline, err := goose.NewDiscipline("fair")
	if err != nil {
		b.Fatal(err)
	}
	p := New(Dependencies{
		Pool: testPool, Self: "i1", Epoch: 7, Configuration: &fakeSource{c: c},
		Authority:  func(time.Time) Authority { return Authority{Mode: goose.ModeLeased} },
		Policy:     gooseroute.NewAffinity(clock),
		Discipline: discipline, Clock: clock,
	})
	p.finishCollect(p.takeover.startedAt, true)
	for _, r := range p.replicas {
		r.reachable, r.inspected, r.commandKnown = true, true, true
		r.limiter.RestoreRamp(0)
	}
	n := 0
	var held []goose.Permit
	polls := map[goose.RequestID]chan goose.PermitReply{}
	arrive := func() {
		n++
		q := request(fmt.Sprint(n), 5000+n%3000)
		q.Workspace, q.PrefixHashes = goose.WorkspaceName(fmt.Sprint("w", n%200)), []uint64{uint64(n % 500), uint64(n)}
		q.TimeLeft = time.Hour
		if ch, _, done := p.beginPoll(clock.now, q); !done {
			polls[q.Request] = ch
		}
	}
	collect := func() {
		for id, ch := range polls {
			select {
			case reply := <-ch:
				held = append(held, reply.Permit)
				delete(polls, id)
			default:
			}
		}
	}
	for len(p.waiting) < 1000 {
		arrive()
	}
	collect()
	b.ReportAllocs()
	for b.Loop() {
		g := held[0]
		held = held[1:]
		p.Report(goose.PermitReport{
			Permit: g.ID, Instance: "i1", Phase: goose.PhaseReleased, Outcome: goose.OutcomeFinished,
			Replica: g.Replicas[0].Replica, Process: g.Replicas[0].Process,
		})
		arrive()
		if len(held) == 0 {
			b.StopTimer()
			collect()
			b.StartTimer()
		}
	}
}
