package gooseentry

import (
	"context"
	"fmt"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// orderedPools returns the pools in the order in which they are asked: the pool
// of this instance's data centre, then those of its region, then the others.
// Pools without a live dispatcher come last. The catalogue is read again for
// each attempt, because a data centre may have left in the meantime.
func (e *Entry) orderedPools(req *request) []goose.Pool {
	catalogue := e.config.Current()
	req.catalogue = catalogue
	own, _ := catalogue.DataCentre(e.dataCentre)
	var ranks [6][]goose.Pool
	for _, dc := range catalogue.DataCentresFor(req.workspace, req.service.Name) {
		p := goose.Pool{DataCentre: dc, Service: req.service.Name}
		rank := 2
		if spec, ok := catalogue.DataCentre(dc); dc == e.dataCentre {
			rank = 0
		} else if ok && spec.Region == own.Region {
			rank = 1
		}
		if _, ok := e.membership.Dispatcher(p); !ok {
			rank += 3
		}
		ranks[rank] = append(ranks[rank], p)
	}
	var out []goose.Pool
	for _, pools := range ranks {
		// Requests start at different pools of equal rank, so that the first one
		// in the list does not receive all overflow.
		for i := range pools {
			out = append(out, pools[(i+int(req.fingerprint%poolCount(pools)))%len(pools)])
		}
	}
	return out
}

func poolCount(p []goose.Pool) goose.Fingerprint { return goose.Fingerprint(len(p)) }

// mayRunElsewhere reports whether another pool may still accept a request that
// was refused with r.
func mayRunElsewhere(r *goose.Refusal) bool {
	switch r.Code {
	case goose.CodeOverloaded, goose.CodeLeaving, goose.CodeNotReady, goose.CodeDeadline,
		goose.CodePromptTooLong, goose.CodeNoRoute:
		return true
	}
	return false
}

// acquirePermit asks the pools in turn. If all refuse, it returns the first
// refusal: it usually comes from this instance's data centre, where the caller
// will retry.
func (e *Entry) acquirePermit(ctx context.Context, req *request, avoid []goose.ReplicaID) (*goose.Permit, *goose.Refusal) {
	suspicion := e.suspects.Grade(req.fingerprint)
	if suspicion == goose.SuspicionCondemned {
		return nil, condemnedRefusal()
	}
	req.isSuspect = suspicion == goose.SuspicionSuspect || suspicion == goose.SuspicionOnTrial
	var first *goose.Refusal
	for _, pool := range e.orderedPools(req) {
		req.permitRequests++
		p, r := e.permits.Acquire(ctx, goose.PermitRequest{
			Request:      goose.RequestID(fmt.Sprintf("%s.%d", req.id, req.permitRequests)),
			Pool:         pool,
			Instance:     e.instance,
			PromptTokens: req.promptTokens,
			OutputTokens: req.outputTokens,
			Class:        req.class,
			PrefixHashes: req.prefixHashes,
			Workspace:    req.workspace,
			TimeLeft:     req.deadline.Sub(e.clock.Now()),
			Fingerprint:  req.fingerprint,
			Suspicion:    suspicion,
			Avoid:        avoid,
		})
		if p != nil {
			return p, nil
		}
		if first == nil {
			first = r
		}
		if ctx.Err() != nil || !mayRunElsewhere(r) {
			return nil, r
		}
	}
	if first == nil {
		first = noRouteRefusal(req)
	}
	return nil, first
}
