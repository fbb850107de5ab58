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

// instancePrefix is the key prefix of registered instances. The value of a key is the
// address that receives load reports and, after a space, the data centre.
const instancePrefix = "gooseberryhold/instances/"

const (
	// leaseTTL is how long a dead instance stays registered. renewInterval is the mean time
	// between renewals. A renewal costs a tenth of a read, and also shows whether the store
	// responds while a watch has nothing to deliver.
	leaseTTL      = 15 * time.Second
	renewInterval = 2 * time.Second
	// followerRenewInterval is the mean time between renewals of an instance that receives the
	// changes of the store from a relay, so that nothing waits for it to notice an outage.
	followerRenewInterval = 4 * time.Second
	// retryDelay is the pause after a failed registration.
	retryDelay = time.Second
	// maxRewriteDelay bounds the random delay before the registration is written again after a
	// rollback of the store, so that the instances of a large fleet do not all write at once.
	maxRewriteDelay = 300 * time.Millisecond
)

// errEraChanged means that the store was restored from an older copy: the lease may be gone, and
// its id may be that of another instance's lease.
var errEraChanged = errors.New("the store was restored from a copy")

// StoreDecoder decodes the registrations of instances and leaves all other entries to the
// platform's decoder that it embeds.
type StoreDecoder struct{ goose.StoreDecoder }

// NewStoreDecoder adds the registrations of instances to a platform's decoder.
func NewStoreDecoder(platform goose.StoreDecoder) StoreDecoder {
	return StoreDecoder{StoreDecoder: platform}
}

// KindPrefixes implements goose.StoreDecoder.
func (d StoreDecoder) KindPrefixes() map[goose.ChangeKind]string {
	kinds := d.StoreDecoder.KindPrefixes()
	kinds[goose.ChangeInstance] = ""
	return kinds
}

// Decode implements goose.StoreDecoder.
func (d StoreDecoder) Decode(e goose.Entry, deleted bool) (goose.StoreChange, error) {
	name, ok := strings.CutPrefix(e.Key, instancePrefix)
	if !ok {
		return d.StoreDecoder.Decode(e, deleted)
	}
	c := goose.StoreChange{Kind: goose.ChangeInstance, Instance: goose.InstanceID(name), Removed: deleted}
	if deleted {
		return c, nil
	}
	address, dc, _ := strings.Cut(string(e.Value), " ")
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.Removed = true
		return c, errors.Wrapf(err, "registration of instance %s", name)
	}
	c.Address, c.DataCentre = address, goose.DataCentre(dc)
	return c, nil
}

// Registration keeps an instance registered under a lease.
type Registration struct {
	store    goose.Store
	instance goose.InstanceID
	// value is the value of the instance's key.
	value     string
	onFailure func(error)
	following func() bool
	era       goose.EraTracker
	// eraChanged gets a value after each change of the era.
	eraChanged <-chan struct{}
	log        *slog.Logger
}

// NewRegistration returns a registration; Run keeps it. onFailure is called with the error
// of each renewal to which the store did not respond. following reports whether the changes
// of the store come from a relay. era knows the era of the store.
func NewRegistration(
	store goose.Store, instance goose.InstanceID, at goose.RegisteredInstance, onFailure func(error), following func() bool, era goose.EraTracker, log *slog.Logger,
) *Registration {
	value := at.Address
	if at.DataCentre != "" {
		value += " " + string(at.DataCentre)
	}
	return &Registration{
		store: store, instance: instance, value: value, onFailure: onFailure, following: following, era: era, eraChanged: era.Subscribe(), log: log,
	}
}

// renewPause returns the time until the next renewal. Instances that started together renew
// at different times, so that one of them detects a short outage.
func (r *Registration) renewPause() time.Duration {
	interval := renewInterval
	if r.following() {
		interval = followerRenewInterval
	}
	return interval/2 + rand.N(interval)
}

// Run registers the instance and renews its lease until ctx ends; then it revokes the
// lease.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// A lease of an older era is of no use, and one of a newer era is only replaced.
		era := r.era.Current()
		lease, err := r.register(ctx)
		if err != nil {
			goose.Sleep(ctx, retryDelay)
			continue
		}
		if r.era.Current() != era {
			continue
		}
		gooseevent.InstanceRegistered.Log(r.log, slog.String("address", r.value), slog.Duration("ttl", leaseTTL))
		err = r.renew(ctx, lease, era)
		if ctx.Err() != nil {
			r.revoke(lease, era)
			return
		}
		gooseevent.RegistrationLost.Log(r.log, slog.Any("error", err))
		if errors.Is(err, errEraChanged) {
			goose.Sleep(ctx, rand.N(maxRewriteDelay))
		}
	}
}

func (r *Registration) register(ctx context.Context) (goose.LeaseID, error) {
	lease, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	put := goose.Put(instancePrefix+string(r.instance), []byte(r.value)).WithLease(lease)
	_, err = r.store.Commit(ctx, goose.Txn{Then: []goose.Op{put}})
	return lease, err
}

// renew returns once the lease no longer exists, its era has ended or ctx ends. While the store is
// unavailable the expiry of the lease may be suspended, so it is renewed until the store
// reports that it does not exist.
func (r *Registration) renew(ctx context.Context, lease goose.LeaseID, era goose.StoreEra) error {
	for r.waitForRenewal(ctx, era) {
		_, err := r.store.KeepAlive(ctx, lease)
		switch {
		case errors.Is(err, goose.ErrLeaseNotFound):
			return err
		case err != nil && ctx.Err() == nil:
			r.onFailure(err)
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return errEraChanged
}

// waitForRenewal waits until the lease is due for renewal. It returns false if ctx or the era of
// the lease has ended.
func (r *Registration) waitForRenewal(ctx context.Context, era goose.StoreEra) bool {
	t := time.NewTimer(r.renewPause())
	defer t.Stop()
	for ctx.Err() == nil && r.era.Current() == era {
		select {
		case <-t.C:
			return ctx.Err() == nil && r.era.Current() == era
		case <-r.eraChanged:
		case <-ctx.Done():
		}
	}
	return false
}

// revoke ends the lease, unless its id may be that of another lease of a newer era.
func (r *Registration) revoke(lease goose.LeaseID, era goose.StoreEra) {
	if r.era.Current() != era {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryDelay)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		gooseevent.RegistrationLost.Log(r.log, slog.Any("error", err))
	}
}
