package gooseentry

import (
	"context"
	"fmt"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// pools returns the pools to ask in order: the own data centre, then those of
// its region, then the others; pools without a live dispatcher come last.
// They are read anew for each attempt, as a data centre may have left meanwhile.
func (e *Entry) pools(q *request) []goose.Pool {
	cat := e.config.Current()
	q.catalogue = cat
	own, _ := cat.DataCentre(e.dataCentre)
	var ranks [6][]goose.Pool
	for _, dc := range cat.DataCentresFor(q.workspace, q.service.Name) {
		p := goose.Pool{DataCentre: dc, Service: q.service.Name}
		rank := 2
		if spec, ok := cat.DataCentre(dc); dc == e.dataCentre {
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
		// Spread over equal pools, so that the first one in the list does not
		// take all that overflows.
		for i := range pools {
			out = append(out, pools[(i+int(q.fingerprint%uint64Len(pools)))%len(pools)])
		}
	}
	return out
}

func uint64Len(p []goose.Pool) goose.Fingerprint { return goose.Fingerprint(len(p)) }

// elsewhere reports whether another pool may still take what this one refused.
func elsewhere(r *goose.Refusal) bool {
	switch r.Code {
	case goose.CodeOverloaded, goose.CodeLeaving, goose.CodeNotReady, goose.CodeDeadline,
		goose.CodePromptTooLong, goose.CodeNoRoute:
		return true
	}
	return false
}

// acquire asks the pools in turn and returns the first refusal if all refuse:
// it is the own data centre's, to which the caller will come back.
func (e *Entry) acquire(ctx context.Context, q *request, avoid []goose.ReplicaID) (*goose.Permit, *goose.Refusal) {
	suspicion := e.suspects.Grade(q.fingerprint)
	if suspicion == goose.SuspicionCondemned {
		return nil, crashes()
	}
	q.suspect = suspicion == goose.SuspicionSuspect || suspicion == goose.SuspicionOnTrial
	var first *goose.Refusal
	for _, pool := range e.pools(q) {
		q.asked++
		p, r := e.permits.Acquire(ctx, goose.PermitRequest{
			Request:      goose.RequestID(fmt.Sprintf("%s.%d", q.id, q.asked)),
			Pool:         pool,
			Instance:     e.instance,
			PromptTokens: q.promptTokens,
			OutputTokens: q.outputTokens,
			Class:        q.class,
			Prefix:       q.prefix,
			Workspace:    q.workspace,
			TimeLeft:     q.deadline.Sub(e.clock.Now()),
			Fingerprint:  q.fingerprint,
			Suspicion:    suspicion,
			Avoid:        avoid,
		})
		if p != nil {
			return p, nil
		}
		if first == nil {
			first = r
		}
		if ctx.Err() != nil || !elsewhere(r) {
			return nil, r
		}
	}
	if first == nil {
		first = noRoute(q)
	}
	return nil, first
}
