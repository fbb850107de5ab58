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
func (c *PermitClient) Acquire(ctx context.Context, r goose.PermitRequest) (*goose.Permit, *goose.Refusal) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.Requests = append(c.Requests, r)
	if c.HoldRequests {
		c.Mu.Unlock()
		<-ctx.Done()
		c.Mu.Lock()
		return nil, &goose.Refusal{Code: goose.CodeDeadline, Run: goose.RunStateNotRun, Message: "abandoned"}
	}
	if c.Refuse != nil {
		if ref := c.Refuse(r); ref != nil {
			return nil, ref
		}
	}
	c.seq++
	life, ok := c.Lifetime[c.seq]
	if !ok {
		life = goose.PermitLifetime
	}
	p := &goose.Permit{
		ID: goose.PermitID(fmt.Sprintf("permit-%d", c.seq)), Request: r.Request, Pool: r.Pool,
		Epoch: 7, Expires: time.Now().Add(life),
	}
	for _, b := range c.Servers.Allowed("", r.Pool) {
		if !c.GiantPermits && (len(p.Replicas) > 0 || slices.Contains(r.Avoid, b.Name)) {
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
func (c *PermitClient) Asked() int {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return len(c.Requests)
}

// ReportStarted implements goose.PermitClient.
func (c *PermitClient) ReportStarted(goose.Permit) {}

// ReportPrefilled records that a first token arrived.
func (c *PermitClient) ReportPrefilled(goose.Permit) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.prefills++
}

// Prefills counts the attempts with a first token.
func (c *PermitClient) Prefills() int {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return c.prefills
}

// Release implements goose.PermitClient.
func (c *PermitClient) Release(r goose.PermitReport) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.reports = append(c.reports, r)
}

// Outcomes returns the released outcomes in order.
func (c *PermitClient) Outcomes() string {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	var out []string
	for _, r := range c.reports {
		out = append(out, string(r.Outcome))
	}
	return strings.Join(out, " ")
}

// Reports returns the released reports in order.
func (c *PermitClient) Reports() []goose.PermitReport {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return slices.Clone(c.reports)
}
