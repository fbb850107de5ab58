package goosetest

import (
	"context"
	"sync"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// SuspectTracker condemns what was in flight on two crashed processes.
type SuspectTracker struct {
	mu sync.Mutex
	// Crashes counts the processes that crashed with a request in flight.
	Crashes map[goose.Fingerprint]int
	noted   map[string]bool
	// Trials counts the suspects that were tried.
	Trials int
	// Clearances counts the calls of Clear.
	Clearances int
	// Processes are those of the crashes that were recorded.
	Processes []string
}

// NewSuspectTracker returns a table without crashes.
func NewSuspectTracker() *SuspectTracker {
	return &SuspectTracker{Crashes: map[goose.Fingerprint]int{}, noted: map[string]bool{}}
}

// Grade implements goose.SuspectTracker.
func (t *SuspectTracker) Grade(fp goose.Fingerprint) goose.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return [...]goose.Suspicion{goose.SuspicionNone, goose.SuspicionSuspect, goose.SuspicionCondemned}[min(t.Crashes[fp], 2)]
}

// RecordCrash implements goose.SuspectTracker.
func (t *SuspectTracker) RecordCrash(id goose.ReplicaID, process string, all []goose.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Processes = append(t.Processes, process)
	for _, fp := range all {
		if k := string(id) + process + fp.String(); !t.noted[k] {
			t.noted[k] = true
			t.Crashes[fp]++
		}
	}
}

// Clear implements goose.SuspectTracker.
func (t *SuspectTracker) Clear(fp goose.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Clearances++
	delete(t.Crashes, fp)
}

// BeginTrial implements goose.SuspectTracker.
func (t *SuspectTracker) BeginTrial(_ context.Context, fp goose.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Crashes[fp] != 1 {
		return false
	}
	t.Trials++
	return true
}

// EndTrial implements goose.SuspectTracker.
func (*SuspectTracker) EndTrial(goose.Fingerprint) {}
