package goosequarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Parts of prompts. The requests of a test have numbers above these.
const (
	deadly goose.Fingerprint = 11
	shared goose.Fingerprint = 12
	sound  goose.Fingerprint = 13
	other  goose.Fingerprint = 14
)

// firstRequest is the number of the first request of a test.
const firstRequest goose.Fingerprint = 1000

// prompts sends requests of which no two are equal.
type prompts struct {
	*tables
	sent     goose.Fingerprint
	replicas int
}

func newPrompts(instances int) *prompts {
	return &prompts{tables: newTables(instances), sent: firstRequest}
}

// next returns the subjects of a further request.
func (p *prompts) next(parts ...goose.Fingerprint) goose.CrashSubjects {
	p.sent++
	return goose.CrashSubjects{Request: p.sent, Parts: parts}
}

// crash loses requests at an instance with one further replica, each unless it is quarantined.
func (p *prompts) crash(at int, all ...goose.CrashSubjects) {
	p.replicas++
	var attempts []Attempt
	for _, s := range all {
		if _, held := p.all[at].Quarantined(s, p.now); !held {
			attempts = append(attempts, p.all[at].Observe(s, p.now))
		}
	}
	for _, a := range attempts {
		p.all[at].RecordLost(a, numberedCrash(p.replicas), goose.EvidenceCrash, p.now)
	}
	p.exchange()
}

// serve runs a request at an instance until its replica has begun to respond.
func (p *prompts) serve(at int, s goose.CrashSubjects) {
	p.all[at].RecordResponding(p.all[at].Observe(s, p.now), p.now)
	p.exchange()
}

// Guards against requests that go on crashing replicas because no two of them are equal, and
// against sound requests that are refused because they have something in common with them.
func TestPartIsQuarantined(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances int
		run       func(p *prompts)
		// deadly, shared and both tell whether a new request with these parts is quarantined at
		// every instance.
		deadly, shared, both bool
	}{
		"two crashes": {instances: 2, run: func(p *prompts) {
			p.crash(0, p.next(deadly))
			p.crash(1, p.next(deadly))
		}},
		"three crashes": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for n := range 3 {
				p.crash(n%2, p.next(deadly))
			}
		}},
		"a part that only such requests have beside it": {instances: 2, both: true, run: func(p *prompts) {
			for n := range 3 {
				p.crash(n%2, p.next(shared, deadly))
			}
		}},
		"a shared part that sound requests have too": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for n := range 3 {
				p.crash(n%2, p.next(shared, deadly))
				p.serve(1, p.next(shared))
			}
		}},
		"a shared part that is served after all crashes": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for n := range 4 {
				p.crash(n%2, p.next(shared, deadly))
			}
			p.serve(1, p.next(shared))
		}},
		"a shared part with earlier evidence of another crash": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			p.crash(0, p.next(shared))
			p.crash(0, p.next(shared, deadly))
			p.crash(1, p.next(shared, deadly))
			p.serve(1, p.next(shared))
			p.crash(0, p.next(shared, deadly))
		}},
		"lost again and again right after a response": {instances: 2, run: func(p *prompts) {
			p.crash(0, p.next(deadly))
			p.serve(1, p.next(deadly))
			for n := range 6 {
				p.crash(n%2, p.next(deadly))
			}
		}},
		"begins to crash replicas after a response": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			p.crash(0, p.next(deadly))
			p.serve(1, p.next(deadly))
			p.now = p.now.Add(respondedMemory)
			for n := range 3 {
				p.crash(n%2, p.next(deadly))
			}
		}},
		"lost with requests that crash replicas themselves": {instances: 2, run: func(p *prompts) {
			for range 2 {
				culprit := p.next()
				p.crash(0, culprit, p.next(shared, deadly))
				p.crash(1, culprit, p.next(shared, deadly))
			}
		}},
		"each crash beside a request lost twice": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for range 4 {
				unlucky := p.next()
				p.crash(0, unlucky, p.next(shared, deadly))
				p.crash(1, unlucky, p.next(shared, deadly))
			}
			p.serve(0, p.next(shared))
		}},
		"each request lost at two replicas": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for range 3 {
				culprit := p.next(shared, deadly)
				p.crash(0, culprit)
				p.crash(1, culprit)
			}
			p.serve(0, p.next(shared))
		}},
		"sound requests lost while others are served": {instances: 1, deadly: true, both: true, run: func(p *prompts) {
			p.serve(0, p.next(shared))
			for range 4 {
				p.crash(0, p.next(shared, deadly))
			}
		}},
		"sound requests lost with each replica": {instances: 3, deadly: true, both: true, run: func(p *prompts) {
			for n := range 4 {
				p.crash(n%3, p.next(shared, deadly), p.next(shared), p.next(shared, sound))
			}
			p.serve(2, p.next(shared, sound))
		}},
		"all replicas crash at once": {instances: 3, run: func(p *prompts) {
			var attempts []Attempt
			for n := range 12 {
				attempts = append(attempts, p.all[n%3].Observe(p.next(shared, deadly), p.now))
			}
			for n, a := range attempts {
				p.all[n%3].RecordLost(a, numberedCrash(n), goose.EvidenceCrash, p.now)
			}
			p.exchange()
		}},
		"crashes of other causes, requests served between": {instances: 2, run: func(p *prompts) {
			for n := range 10 {
				p.crash(n%2, p.next(shared, deadly))
				p.serve(0, p.next(shared, deadly))
			}
		}},
		"responses that break off at live replicas": {instances: 1, run: func(p *prompts) {
			for n := range 12 {
				p.all[0].RecordLost(p.all[0].Observe(p.next(deadly), p.now), numberedCrash(n), goose.EvidenceInterrupted, p.now)
			}
		}},
		"lost long after the response began": {instances: 1, run: func(p *prompts) {
			for n := range 12 {
				a := p.all[0].RecordResponding(p.all[0].Observe(p.next(deadly), p.now), p.now)
				p.all[0].RecordLost(a, numberedCrash(n), goose.EvidenceLost, p.now)
			}
		}},
		"a second part after more crashes than a record keeps": {instances: 2, deadly: true, both: true, run: func(p *prompts) {
			for n := range 3 * goose.MaxCrashes {
				a := p.all[n%2]
				a.RecordLost(a.Observe(p.next(other), p.now), numberedCrash(100+n), goose.EvidenceCrash, p.now)
			}
			p.exchange()
			for n := range 8 {
				p.crash(n%2, p.next(shared, deadly), p.next(sound))
				p.serve(0, p.next(shared, sound))
			}
		}},
		"served once after it was quarantined": {instances: 2, run: func(p *prompts) {
			for n := range 3 {
				p.crash(n%2, p.next(deadly))
			}
			p.serve(0, p.next(deadly))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPrompts(tc.instances)
			tc.run(p)
			for n, table := range p.all {
				for what, c := range map[string]struct {
					parts []goose.Fingerprint
					want  bool
				}{
					"deadly part": {[]goose.Fingerprint{deadly}, tc.deadly},
					"shared part": {[]goose.Fingerprint{shared}, tc.shared},
					"both parts":  {[]goose.Fingerprint{shared, deadly}, tc.both},
					"sound part":  {[]goose.Fingerprint{sound}, false},
				} {
					if _, got := table.Quarantined(p.next(c.parts...), p.now); got != c.want {
						t.Errorf("got %s quarantined %t at instance %d, want %t", what, got, n, c.want)
					}
				}
			}
		})
	}
}

// Guards against many requests with a suspect part that run at once at one instance, each on
// a replica of its own, and against sound requests that wait for one that responds.
func TestSuspectPartRunsOneAtATime(t *testing.T) {
	t.Parallel()
	p := newPrompts(1)
	p.crash(0, p.next(deadly))
	p.crash(0, p.next(deadly))
	first, ok := p.all[0].BeginAttempt(p.next(deadly), p.now)
	if !ok {
		t.Fatal("got no attempt for a suspect part that nobody runs")
	}
	if _, ok := p.all[0].BeginAttempt(p.next(deadly), p.now); ok {
		t.Error("got a second attempt beside one that shows whether the part crashes replicas")
	}
	if _, ok := p.all[0].BeginAttempt(p.next(sound), p.now); !ok {
		t.Error("got no attempt for a request without the part")
	}
	first = p.all[0].RecordResponding(first, p.now)
	if _, ok := p.all[0].BeginAttempt(p.next(deadly), p.now); !ok {
		t.Error("got no attempt after a replica has begun to respond to the part")
	}
	p.all[0].EndAttempt(first)
}

// Guards against a part that stays quarantined although it no longer crashes replicas, and
// against trials that all instances run at once.
func TestTrialOfPart(t *testing.T) {
	t.Parallel()
	p := newPrompts(3)
	// begin tries to send an attempt at each instance in turn, and returns the first that may.
	begin := func() (at int, a Attempt, ok bool) {
		for n, table := range p.all {
			a, ok := table.BeginAttempt(p.next(shared, deadly), p.now)
			if !ok {
				continue
			}
			if a, ok = table.BeginSending(a, p.now); ok {
				p.exchange()
				return n, a, true
			}
			table.EndAttempt(a)
		}
		return 0, Attempt{}, false
	}
	for n := range 3 {
		p.crash(n%2, p.next(deadly))
	}
	delay := partTrialDelay
	for range 3 {
		p.now = p.now.Add(delay - time.Millisecond)
		if at, _, ok := begin(); ok {
			t.Fatalf("got a trial at instance %d before %s", at, delay)
		}
		p.now = p.now.Add(time.Millisecond)
		at, a, ok := begin()
		if !ok {
			t.Fatalf("got no trial after %s", delay)
		}
		if other, _, ok := begin(); ok {
			t.Fatalf("got a second trial at instance %d beside one", other)
		}
		p.replicas++
		p.all[at].RecordLost(a, numberedCrash(p.replicas), goose.EvidenceCrash, p.now)
		p.all[at].EndAttempt(a)
		p.exchange()
		delay *= trialBackoff
	}
	p.now = p.now.Add(delay)
	at, a, ok := begin()
	if !ok {
		t.Fatalf("got no trial after %s", delay)
	}
	p.all[at].EndAttempt(p.all[at].RecordResponding(a, p.now))
	p.exchange()
	for n, table := range p.all {
		if _, held := table.Quarantined(p.next(shared, deadly), p.now); held {
			t.Errorf("got the part quarantined at instance %d after a served trial", n)
		}
	}
}

// Guards against a trial that is used up by a request for which no replica has room, so that
// the part stays quarantined for longer, and against sending what was quarantined meanwhile.
func TestTrialBeginsWithSending(t *testing.T) {
	t.Parallel()
	p := newPrompts(2)
	for range 3 {
		p.crash(0, p.next(deadly))
	}
	p.now = p.now.Add(partTrialDelay)
	refused, ok := p.all[0].BeginAttempt(p.next(shared, deadly), p.now)
	if !ok || !refused.OnTrial() {
		t.Fatal("got no trial when it was due")
	}
	p.all[0].EndAttempt(refused)
	p.exchange()
	first, ok := p.all[0].BeginAttempt(p.next(shared, deadly), p.now)
	if !ok {
		t.Fatal("got no trial after a request that was not sent")
	}
	second, ok := p.all[1].BeginAttempt(p.next(shared, deadly), p.now)
	if !ok {
		t.Fatal("got no trial at an instance that knows of no other")
	}
	if first, ok = p.all[0].BeginSending(first, p.now); !ok {
		t.Error("got the first trial not sent")
	}
	if _, ok := p.all[0].BeginSending(first, p.now); !ok {
		t.Error("got the first trial refused when it is sent once more")
	}
	p.exchange()
	if _, ok := p.all[1].BeginSending(second, p.now); ok {
		t.Error("got a second trial sent beside the first")
	}
}

// Guards against a common part that stays quarantined for long although replicas have always
// responded to it: for a while all replicas crash for other reasons.
func TestProvenPartIsTriedSoon(t *testing.T) {
	t.Parallel()
	p := newPrompts(1)
	p.serve(0, p.next(shared))
	p.now = p.now.Add(respondedMemory)
	for range 3 {
		p.crash(0, p.next(shared))
	}
	if _, held := p.all[0].Quarantined(p.next(shared), p.now); !held {
		t.Fatal("got a part allowed that was lost three times since its last response")
	}
	p.now = p.now.Add(provenTrialDelay)
	if _, held := p.all[0].Quarantined(p.next(shared), p.now); held {
		t.Errorf("got no trial %s after the last crash", provenTrialDelay)
	}
}

// Guards against a restarted instance that knows nothing of a part that crashes replicas, and
// against a part that stays quarantined after an operator has deleted its record.
func TestPartSurvivesRestart(t *testing.T) {
	t.Parallel()
	begun := time.Unix(1_800_000_000, 0)
	store := goosestoretest.New()
	a := newInstance(t, store, begun)
	for n := range 3 {
		s := goose.CrashSubjects{Request: firstRequest + goose.Fingerprint(n), Parts: []goose.Fingerprint{deadly}}
		a.table.RecordLost(a.table.Observe(s, a.clock.now), numberedCrash(n), goose.EvidenceCrash, a.clock.now)
	}
	a.mustSave()
	request := goose.CrashSubjects{Request: 1, Parts: []goose.Fingerprint{shared, deadly}}
	b := newInstance(t, store, begun)
	if _, held := b.table.Quarantined(request, begun); !held {
		t.Fatal("got no quarantine at an instance that has read the store")
	}
	if got := b.table.QuarantinedCount(goose.SubjectPart, begun); got != 1 {
		t.Errorf("got %d parts in quarantine, want 1", got)
	}
	if _, err := store.Commit(context.Background(), goose.Txn{Then: []goose.Op{goose.Delete(key(deadly))}}); err != nil {
		t.Fatal(err)
	}
	b.relist()
	if _, held := b.table.Quarantined(request, begun); held {
		t.Error("got the part quarantined after its record was deleted")
	}
}

// Guards against instances of a large fleet that each need crashes of their own before they
// know a part, and against sound parts that a crash of many replicas quarantines.
func TestPartInLargeFleet(t *testing.T) {
	t.Parallel()
	const instances, replicas = 300, 200
	p := newPrompts(instances)
	// Every instance loses a request with its own sound part and a common one at once.
	for n := range instances {
		a := p.all[n]
		a.RecordLost(a.Observe(p.next(shared, 100+goose.Fingerprint(n%40)), p.now), numberedCrash(n%replicas), goose.EvidenceCrash, p.now)
	}
	spread := func(from int) {
		records := p.all[from].Report(MaxRecords, 1<<30, p.now).All()
		for n, to := range p.all {
			if n != from {
				to.Merge(records, SourcePeer, p.now)
			}
		}
	}
	p.replicas = 1000
	for n := range 3 {
		s := p.next(shared, deadly)
		p.replicas++
		p.all[7*n].RecordLost(p.all[7*n].Observe(s, p.now), numberedCrash(p.replicas), goose.EvidenceCrash, p.now)
		spread(7 * n)
	}
	p.all[50].RecordResponding(p.all[50].Observe(p.next(shared), p.now), p.now)
	spread(50)
	for n, table := range p.all {
		if _, held := table.Quarantined(p.next(deadly), p.now); !held {
			t.Errorf("got the part allowed at instance %d after three crashes", n)
		}
		for part := range goose.Fingerprint(40) {
			if _, held := table.Quarantined(p.next(shared, 100+part), p.now); held {
				t.Errorf("got sound part %s quarantined at instance %d", fmt.Sprint(100+part), n)
			}
		}
	}
}
