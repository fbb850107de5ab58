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

// NewSuspects returns a table without crashes.
func NewSuspects() *SuspectTracker {
	return &SuspectTracker{Crashes: map[goose.Fingerprint]int{}, noted: map[string]bool{}}
}

// Grade implements goose.SuspectTracker.
func (f *SuspectTracker) Grade(fp goose.Fingerprint) goose.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return [...]goose.Suspicion{goose.SuspicionNone, goose.SuspicionSuspect, goose.SuspicionCondemned}[min(f.Crashes[fp], 2)]
}

// RecordCrash implements goose.SuspectTracker.
func (f *SuspectTracker) RecordCrash(id goose.ReplicaID, process string, all []goose.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Processes = append(f.Processes, process)
	for _, fp := range all {
		if k := string(id) + process + fp.String(); !f.noted[k] {
			f.noted[k] = true
			f.Crashes[fp]++
		}
	}
}

// Clear implements goose.SuspectTracker.
func (f *SuspectTracker) Clear(fp goose.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Clearances++
	delete(f.Crashes, fp)
}

// BeginTrial implements goose.SuspectTracker.
func (f *SuspectTracker) BeginTrial(_ context.Context, fp goose.Fingerprint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Crashes[fp] != 1 {
		return false
	}
	f.Trials++
	return true
}

// EndTrial implements goose.SuspectTracker.
func (*SuspectTracker) EndTrial(goose.Fingerprint) {}
