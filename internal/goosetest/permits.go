package goosetest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// PermitClient grants the servers of a pool in turn, except those to avoid.
type PermitClient struct {
	goose.PermitClient
	// Mu guards the fields below.
	Mu      sync.Mutex
	Servers *Catalogue
	seq     int
	// Requests are those of all polls.
	Requests []goose.PermitRequest
	reports  []goose.PermitReport
	prefills int
	// Lifetime of the n-th grant; the default is goose.PermitLifetime.
	Lifetime map[int]time.Duration
	// Refuse is returned instead of a grant; nil grants.
	Refuse func(goose.PermitRequest) *goose.Refusal
	// HoldRequests lets Acquire wait until its context ends.
	HoldRequests bool
	// GiantPermits grants all servers of the pool together.
	GiantPermits bool
}

// Acquire implements goose.PermitClient.
func (f *PermitClient) Acquire(ctx context.Context, r goose.PermitRequest) (*goose.Permit, *goose.Refusal) {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	f.Requests = append(f.Requests, r)
	if f.HoldRequests {
		f.Mu.Unlock()
		<-ctx.Done()
		f.Mu.Lock()
		return nil, &goose.Refusal{Code: goose.CodeDeadline, Run: goose.RunStateNotRun, Message: "abandoned"}
	}
	if f.Refuse != nil {
		if ref := f.Refuse(r); ref != nil {
			return nil, ref
		}
	}
	f.seq++
	life, ok := f.Lifetime[f.seq]
	if !ok {
		life = goose.PermitLifetime
	}
	p := &goose.Permit{
		ID: goose.PermitID(fmt.Sprintf("permit-%d", f.seq)), Request: r.Request, Pool: r.Pool,
		Epoch: 7, Expires: time.Now().Add(life),
	}
	for _, b := range f.Servers.Allowed("", r.Pool) {
		if !f.GiantPermits && (len(p.Replicas) > 0 || slices.Contains(r.Avoid, b.Name)) {
			continue
		}
		p.Replicas = append(p.Replicas, goose.ReplicaGrant{Replica: b.Name, Address: b.Address, Tokens: b.MemoryTokens})
	}
	if len(p.Replicas) == 0 {
		return nil, &goose.Refusal{Code: goose.CodeOverloaded, Run: goose.RunStateNotRun, Message: "no replica", RetryAfter: time.Second}
	}
	return p, nil
}

// Asked counts the polls.
func (f *PermitClient) Asked() int {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	return len(f.Requests)
}

// ReportStarted implements goose.PermitClient.
func (f *PermitClient) ReportStarted(goose.Permit) {}

// ReportPrefilled records that a first token arrived.
func (f *PermitClient) ReportPrefilled(goose.Permit) {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	f.prefills++
}

// Prefills counts the attempts with a first token.
func (f *PermitClient) Prefills() int {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	return f.prefills
}

// Release implements goose.PermitClient.
func (f *PermitClient) Release(r goose.PermitReport) {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	f.reports = append(f.reports, r)
}

// Outcomes returns the released outcomes in order.
func (f *PermitClient) Outcomes() string {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	var out []string
	for _, r := range f.reports {
		out = append(out, string(r.Outcome))
	}
	return strings.Join(out, " ")
}
