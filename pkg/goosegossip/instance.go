// Package goosegossip registers instances in the platform's store and exchanges
// their load reports over UDP.
package goosegossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// instancePrefix is where instances are registered; the value is the address that
// takes load reports.
const instancePrefix = "gooseberryhold/instances/"

const (
	// leaseTTL is how long a dead instance stays registered, and renewEvery the mean time
	// between renewals. They cost a tenth of a read, and also show whether the store
	// answers while a watch waits.
	leaseTTL   = 15 * time.Second
	renewEvery = 2 * time.Second
	// retryEvery is the pause after a failed registration.
	retryEvery = time.Second
)

// Registry adds the registrations of instances to the registry of a platform.
type Registry struct{ goose.Registry }

// NewRegistry returns a registry that also reads the registrations of instances.
func NewRegistry(platform goose.Registry) Registry { return Registry{Registry: platform} }

// Kinds implements goose.Registry.
func (r Registry) Kinds() map[goose.ChangeKind]string {
	kinds := r.Registry.Kinds()
	kinds[goose.ChangeInstance] = ""
	return kinds
}

// Decode implements goose.Registry.
func (r Registry) Decode(e goose.Entry, deleted bool) (goose.Change, error) {
	name, ok := strings.CutPrefix(e.Key, instancePrefix)
	if !ok {
		return r.Registry.Decode(e, deleted)
	}
	c := goose.Change{Kind: goose.ChangeInstance, Instance: goose.InstanceID(name), Removed: deleted}
	if deleted {
		return c, nil
	}
	address := string(e.Value)
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.Removed = true
		return c, errors.Wrapf(err, "registration of instance %s", name)
	}
	c.Address = address
	return c, nil
}

// Registration keeps an instance registered under a lease.
type Registration struct {
	store    goose.Store
	instance goose.InstanceID
	address  string
	failed   func(error)
	log      *slog.Logger
}

// NewRegistration returns a registration that Run keeps; failed gets the errors of
// renewals that the store has not answered.
func NewRegistration(
	store goose.Store, instance goose.InstanceID, address string, failed func(error), log *slog.Logger,
) *Registration {
	return &Registration{store: store, instance: instance, address: address, failed: failed, log: log}
}

// Run registers the instance and renews its lease until ctx ends; then it ends the
// lease.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			goose.Sleep(ctx, retryEvery)
			continue
		}
		gooseevent.MemberRegistered.Log(r.log, slog.String("address", r.address), slog.Duration("ttl", leaseTTL))
		err = r.renew(ctx, lease)
		if ctx.Err() != nil {
			r.end(lease)
			return
		}
		gooseevent.MemberLost.Log(r.log, slog.Any("error", err))
	}
}

func (r *Registration) register(ctx context.Context) (goose.LeaseID, error) {
	lease, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	put := goose.Put(instancePrefix+string(r.instance), []byte(r.address)).WithLease(lease)
	_, err = r.store.Commit(ctx, goose.Txn{Then: []goose.Op{put}})
	return lease, err
}

// renew returns once the lease is gone or ctx ends. While the store is away the lease
// may pause, so it is renewed until the store says that it is gone.
func (r *Registration) renew(ctx context.Context, lease goose.LeaseID) error {
	// Instances that started together renew at different times, so that one of them
	// notices a short outage.
	for goose.Sleep(ctx, renewEvery/2+rand.N(renewEvery)) {
		_, err := r.store.KeepAlive(ctx, lease)
		switch {
		case errors.Is(err, goose.ErrLeaseGone):
			return err
		case err != nil && ctx.Err() == nil:
			r.failed(err)
		}
	}
	return ctx.Err()
}

func (r *Registration) end(lease goose.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), retryEvery)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		gooseevent.MemberLost.Log(r.log, slog.Any("error", err))
	}
}
