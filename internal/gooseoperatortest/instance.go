// Package gooseoperatortest runs the operator API of an instance without the rest of the
// instance, for the tests of the API and of the command line.
package gooseoperatortest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"

	"github.com/pkg/errors"
)

// Token is the operator token of every Instance.
const Token = "type-high"

// Instance serves the operator API of the first of three instances. The second one may have
// an older configuration version, and the third one is silent.
type Instance struct {
	goose.Ledger
	Address string
	Store   *goosestoretest.Store
	// VersionLag is the number of versions by which the second instance is behind.
	VersionLag atomic.Int64
	// CommandResult is the result of the next commands; nil accepts them.
	CommandResult atomic.Pointer[goose.CommandResult]
	// CommandRecords holds the commands of the audit trail, newest first.
	CommandRecords atomic.Pointer[[]gooseload.Record]
	// OrdersUnavailable makes the listing of orders fail as if the store were down.
	OrdersUnavailable atomic.Bool
	orderSettled      atomic.Bool
	source            *gooseconfig.Source
	server            *gooseoperator.Server
	done              chan error
}

// RegisterProtocols registers the protocols "openai" and "http" unless the program has
// already registered them.
func RegisterProtocols() {
	for _, p := range []string{"openai", "http"} {
		if !slices.Contains(goose.ProtocolNames(), p) {
			goose.RegisterProtocol(p, func() goose.Protocol { return nil })
		}
	}
}

// Start serves the API on a free loopback port until Stop.
func Start() (*Instance, error) {
	i := &Instance{Store: goosestoretest.New(), source: gooseconfig.NewSource(), done: make(chan error, 1)}
	repository := gooseconfig.NewRepository(i.Store, "test").WithRetryPause(1)
	sum := sha256.Sum256([]byte(Token))
	var err error
	i.server, err = gooseoperator.New(gooseoperator.Options{
		TokenHash: hex.EncodeToString(sum[:]), Repository: repository, Source: i.source, Members: i, Ledger: i,
		Refresh: func(ctx context.Context) error {
			s, err := repository.Load(ctx, i.source.Snapshot())
			if err == nil {
				i.source.Adopt(s)
			}
			return err
		},
		Dispatchers: i, CommandEntries: i.commandEntries,
		Ready:            i.ready,
		WriteMetrics:     func(w io.Writer) { _, _ = io.WriteString(w, "up 1\n") },
		RequestsInFlight: func() int { return 7 },
		Logger:           slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	i.Address = l.Addr().String()
	go func() { i.done <- i.server.Serve(l) }()
	return i, nil
}

// Stop ends the server.
func (i *Instance) Stop() error {
	if err := i.server.Shutdown(context.Background()); err != nil {
		return err
	}
	return <-i.done
}

// Command implements gooseoperator.Dispatchers. It records the result unless there is
// already a record with the id.
func (i *Instance) Command(_ context.Context, q goose.CommandRequest) goose.CommandResult {
	r := goose.CommandResult{Outcome: goose.CommandAccepted}
	if set := i.CommandResult.Load(); set != nil {
		r = *set
	}
	var all []gooseload.Record
	if old := i.CommandRecords.Load(); old != nil {
		all = *old
	}
	if !slices.ContainsFunc(all, func(e gooseload.Record) bool { return e.ID == q.ID }) {
		e := gooseload.Record{ID: q.ID, Author: q.Author, Time: time.Now(), Replica: q.Replica, Command: q.Command, Force: q.Force, Result: r}
		all = append([]gooseload.Record{e}, all...)
		i.CommandRecords.Store(&all)
	}
	return r
}

// PoolReports returns a pool without a dispatcher, and a pool with two backend servers, one of
// which is loading a model.
func (i *Instance) PoolReports(context.Context) []goosedispatch.PoolReport {
	return []goosedispatch.PoolReport{
		{Status: goosedispatch.Status{Pool: goose.Pool{DataCentre: "dalkeith", Service: "wording-desk"}}, Missing: "no dispatcher is heard"},
		{Dispatcher: "leith-entry-1", Status: goosedispatch.Status{
			Pool: goose.Pool{DataCentre: "leith", Service: "wording-desk"}, Epoch: 9, Mode: goose.ModeLeased,
			Replicas: []goosedispatch.ReplicaStatus{
				{Replica: "leith-engine-1", Process: "p1", Reachable: true, Concurrency: 16, TokenLimit: 200_000, Requests: 3, Tokens: 900},
				{Replica: "leith-engine-2", Process: "p2", Reachable: true, Cold: true, Concurrency: 1, TokenLimit: 8000, Load: "load-model wording-8"},
				{Replica: "leith-engine-3", Process: "p3", Reachable: true, Concurrency: 16, TokenLimit: 200_000, Leaving: true, Paused: true},
			},
		}},
	}
}

func (i *Instance) commandEntries(context.Context, int) ([]gooseload.Record, error) {
	if e := i.CommandRecords.Load(); e != nil {
		return *e, nil
	}
	return nil, nil
}

func (i *Instance) ready() error {
	if i.source.Current().Version() == 0 {
		return errors.New("no configuration yet")
	}
	return nil
}

// Self implements goose.Membership.
func (i *Instance) Self() goose.Member {
	return goose.Member{
		Instance: "leith-entry-1", DataCentre: "leith", Address: "127.0.0.1:7003", Version: i.source.Current().Version(), Live: true,
		Pools: []goose.DispatchedPool{{Pool: goose.Pool{DataCentre: "leith", Service: "order-book"}, Epoch: 5, Mode: goose.ModeLeased}},
	}
}

// Members implements goose.Membership.
func (i *Instance) Members() []goose.Member {
	v := i.source.Current().Version()
	return []goose.Member{
		i.Self(),
		{Instance: "leith-entry-2", DataCentre: "leith", Address: "127.0.0.1:7013", Version: v - i.VersionLag.Load(), Live: true},
		{Instance: "leith-entry-3", DataCentre: "leith", Address: "127.0.0.1:7023"},
	}
}

// Dispatcher implements goose.Membership.
func (i *Instance) Dispatcher(p goose.Pool) (goose.Member, bool) {
	return i.Self(), p.Service == "order-book" && p.DataCentre == "leith"
}

// List returns one order whose outcome is unknown, until that order is settled. It fails if
// OrdersUnavailable is set.
func (i *Instance) List(_ context.Context, state goose.OrderState, _ int) ([]goose.Order, error) {
	if i.OrdersUnavailable.Load() {
		return nil, errors.Wrap(goose.ErrUnavailable, "list orders")
	}
	if state != goose.OrderUnknown && state != "" || i.orderSettled.Load() {
		return []goose.Order{}, nil
	}
	return []goose.Order{{
		Key:   goose.OrderKey{Workspace: "press-room", Service: "order-book", Key: "die-7781"},
		State: goose.OrderUnknown, Instance: "leith-entry-2", Attempt: "a-1",
	}}, nil
}

// Settle settles the order that List returns; it fails if the order is already settled.
func (i *Instance) Settle(context.Context, goose.OrderKey, goose.OrderState, string) error {
	if i.orderSettled.Swap(true) {
		return errors.New("the order is already settled")
	}
	return nil
}
