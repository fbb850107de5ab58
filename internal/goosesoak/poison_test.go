package goosesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// poisonBody is the request body that crashes every replica that runs it.
	poisonBody = "poison"
	// poisonPart is the part of prompts that crashes every replica that runs one with it,
	// whatever its body.
	poisonPart = "dead"
)

const (
	// maxResendPause bounds the pause before the caller sends the poison request again.
	maxResendPause = 700 * time.Millisecond
	// maxReachedAfterFaults is how often a poison request may still reach a replica after
	// the faults. The check ends once refusedRounds rounds in a row, each with a request to
	// every instance, have reached no replica.
	maxReachedAfterFaults = 3
	refusedRounds         = 3
)

// poisonCaller is a caller whose requests crash every replica that runs them: one request that
// it sends again, or different ones with one part of their prompts in common.
type poisonCaller struct {
	*caller
	kind kind
	// reached counts how often the request has reached a replica.
	reached int
}

// newPoisonCallers returns a caller for each kind of request with retry rules of its own.
func newPoisonCallers(seed uint64, j *journal) []*poisonCaller {
	var all []*poisonCaller
	for _, k := range []kind{kindLookup, kindOrder, kindResumableStream} {
		c := newCaller("poison-"+string(k), seed, j)
		c.body = poisonBody
		all = append(all, &poisonCaller{caller: c, kind: k})
	}
	for _, k := range []kind{kindOrder, kindResumableStream} {
		c := newCaller("poison-part-"+string(k), seed, j)
		c.part = poisonPart + string(k)
		all = append(all, &poisonCaller{caller: c, kind: k})
	}
	return all
}

// send sends the request again and returns how many replicas it has reached.
func (p *poisonCaller) send(to *instance) int {
	r := p.caller.send(context.Background(), to, p.kind, fmt.Sprintf("/%s/poison", p.kind), "k1", 0)
	reached := 0
	p.journal.withLock(func() { reached = len(r.runs) })
	p.reached += reached
	return reached
}

// resend sends the request to randomly chosen instances until ctx ends.
func (p *poisonCaller) resend(ctx context.Context, instances []*instance) {
	defer p.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		p.send(instances[p.random.IntN(len(instances))])
		time.Sleep(rand.N(maxResendPause))
	}
}

// checkRefused checks that all instances refuse the request once the faults are over.
func (p *poisonCaller) checkRefused(t testing.TB, instances []*instance) {
	t.Helper()
	t.Logf("%s sent its request %d times during the faults and reached replicas %d times", p.name, p.sent, p.reached)
	total, refused := 0, 0
	for refused < refusedRounds && total <= maxReachedAfterFaults {
		reached := 0
		for _, i := range instances {
			reached += p.send(i)
		}
		refused++
		if reached > 0 {
			total, refused = total+reached, 0
			time.Sleep(crashRestartDelay)
		}
	}
	if total > maxReachedAfterFaults {
		p.journal.violate("poison", "%s reached replicas %d times after the faults", p.name, total)
	}
}
