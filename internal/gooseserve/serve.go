// Package gooseserve wires an entry instance together and runs it.
package gooseserve

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseentry"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselease"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseledger"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosemember"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosepeer"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosepermit"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesuspect"
)

// closeTimeout bounds the last steps of a stop, after running requests ended.
const closeTimeout = 5 * time.Second

// instance holds the parts of one entry instance.
type instance struct {
	settings goosesettings.Settings
	log      *slog.Logger
	leaving  atomic.Bool

	store *monitoredStore
	link  *goosepeer.Link
	// certificate is used by renewCertificate alone.
	certificate *certificateFiles
	source      *gooseconfig.Source
	relay       *gooseconfig.Relay
	cluster     *goosemember.Cluster
	suspects    *goosesuspect.Replicator
	manager     *goosedispatch.Manager
	permits     *goosepermit.Holder
	ledger      *gooseledger.Ledger
	commands    *gooseload.Log
	entry       *gooseentry.Entry
	callers     *fiber.App
	operator    *gooseoperator.Server
}

// Run serves until ctx ends, then drains: running requests finish, pools are
// handed over, and nothing new is accepted. It returns an error if the instance
// cannot start or a listener fails.
func Run(ctx context.Context, s goosesettings.Settings, log *slog.Logger) error {
	log = log.With("instance", string(s.Instance), "data-centre", string(s.DataCentre))
	i, err := build(s, log)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrapf(err, "setting listen %q", s.Listen)
	}
	operators, err := net.Listen("tcp", s.OperatorListen)
	if err != nil {
		_ = callers.Close()
		return errors.Wrapf(err, "setting operator-listen %q", s.OperatorListen)
	}
	return i.run(ctx, callers, operators)
}

// build makes the parts in the order of their dependencies.
func build(s goosesettings.Settings, log *slog.Logger) (*instance, error) {
	i := &instance{settings: s, log: log}
	opened, err := goose.NewStore(s.Store.Kind, s.Store.Address)
	if err != nil {
		return nil, errors.Wrap(err, "setting store")
	}
	i.store = monitor(opened)
	tlsConfig, err := readCertificate(s, time.Now())
	if err != nil {
		return nil, err
	}
	i.certificate = newCertificateFiles(s, tlsConfig.Certificates[0], log)
	i.link, err = goosepeer.New(s.PeerListen, tlsConfig.Certificates[0], tlsConfig.RootCAs, log)
	if err != nil {
		return nil, err
	}
	if err := i.buildControl(); err != nil {
		_ = i.link.Close()
		return nil, err
	}
	return i, i.buildServers()
}

// buildControl makes membership, configuration, dispatchers and the ledger.
func (i *instance) buildControl() error {
	s := i.settings
	i.source = gooseconfig.NewSource()
	incarnation := time.Now().UnixNano()
	i.cluster = goosemember.New(goosemember.Options{
		Self: goose.Member{
			Instance: s.Instance, DataCentre: s.DataCentre, Address: i.peerAddress(), Incarnation: incarnation,
		},
		PeerClient: i.link, PeerRouter: i.link, InstanceLister: newInstanceList(s.InstanceList), Seeds: s.Peers,
		Version: func() int64 { return i.source.Current().Version() },
		Pools:   i.holdings,
		Leaving: i.isLeaving,
		Logger:  i.log,
	})
	i.relay = gooseconfig.NewRelay(gooseconfig.RelayOptions{
		Repository: gooseconfig.NewRepository(i.store, s.Fleet), Source: i.source,
		Members: i.cluster, Caller: i.link, Logger: i.log,
	})
	i.relay.Register(i.link)
	i.suspects = goosesuspect.NewReplicator(goose.SystemClock{}, i.cluster, i.link)
	i.suspects.Register(i.link)
	i.commands = gooseload.New(gooseload.Options{
		Store: i.store, Fleet: s.Fleet, LoadRate: func() *goose.WeightStore { return i.source.Current().Configuration().WeightStore },
	})
	protocols := newProtocols()
	var err error
	i.manager, err = goosedispatch.NewManager(goosedispatch.Options{
		Self: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation,
		KeyPrefix:     "/gooseberryhold/" + s.Fleet + "/",
		Configuration: i.source, Membership: i.cluster, PeerClient: i.link, PeerRouter: i.link,
		Campaigner: campaigner{leases: gooselease.New(i.store, s.Instance, s.LeaseTTL, i.log)},
		Protocol:   protocols.lookup,
		Suspects:   i.suspects.Table(),
		Policy:     s.RoutingPolicy, Discipline: s.QueueDiscipline, LongBound: s.LongPrefillBound,
		StoreUnresponsive: i.store.Silent,
		LeaseTTL:          s.LeaseTTL,
		Commands:          i.commands,
		Log:               i.log,
	})
	if err != nil {
		return err
	}
	i.permits = goosepermit.New(goosepermit.Options{
		Self: s.Instance, Membership: i.cluster, PeerClient: i.link, Local: i.manager, Log: i.log,
	})
	i.ledger = gooseledger.New(gooseledger.Options{
		Store: i.store, Fleet: s.Fleet, Self: s.Instance, Incarnation: incarnation,
		Members: i.cluster, PeerClient: i.link, Retention: s.OrderRetention, Logger: i.log,
	})
	i.ledger.Register(i.link)
	i.entry = gooseentry.New(gooseentry.Options{
		Instance: s.Instance, DataCentre: s.DataCentre, Configuration: i.source,
		Permits: i.permits, Ledger: i.ledger, Suspects: i.suspects.Table(), Membership: i.cluster,
		Protocol: protocols.get,
		Limits:   gooseentry.Limits{MaxBodyBytes: s.MaxBodyBytes, BodyBytesInFlight: s.BodyBytesInFlight},
		Logger:   i.log,
	})
	return nil
}

// peerAddress returns the address that other instances dial.
func (i *instance) peerAddress() string {
	if a := i.settings.PeerAdvertise; a != "" {
		return a
	}
	return i.link.Address()
}

// buildServers makes the HTTP servers for callers and operators.
func (i *instance) buildServers() error {
	i.callers = fiber.New(i.entry.FiberConfig())
	i.callers.Use(i.closeWhileLeaving)
	i.entry.Register(i.callers)
	var err error
	i.operator, err = gooseoperator.New(gooseoperator.Options{
		TokenHash:  i.settings.OperatorTokenHash,
		Repository: gooseconfig.NewRepository(i.store, i.settings.Fleet), Source: i.source,
		Refresh: i.relay.Refresh, Members: i.cluster, Ledger: i.ledger,
		Dispatchers: i.manager, CommandEntries: i.commands.Records,
		Ready: i.ready, WriteMetrics: writeMetrics, Running: i.entry.RequestsInFlight, Logger: i.log,
	})
	return err
}

// closeWhileLeaving ends each connection after its answer once the instance is
// stopping. A caller that sent its next request on a connection that is being
// closed would get no answer at all.
func (i *instance) closeWhileLeaving(c fiber.Ctx) error {
	if i.leaving.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

// holdings returns the pools dispatched here; membership asks before the
// manager exists.
func (i *instance) holdings() []goose.DispatchedPool {
	if i.manager == nil {
		return nil
	}
	return i.manager.DispatchedPools()
}

// isLeaving reports whether this instance gets no new work: a planned stop, or
// operators marked it or its data centre as leaving.
func (i *instance) isLeaving() bool {
	if i.leaving.Load() {
		return true
	}
	c := i.source.Current()
	if c.InstanceState(i.settings.Instance) == goose.StateLeaving {
		return true
	}
	dc, ok := c.DataCentre(i.settings.DataCentre)
	return ok && dc.State == goose.StateLeaving
}

// ready tells the balancer whether to send callers here.
func (i *instance) ready() error {
	switch {
	case i.leaving.Load():
		return errors.New("the instance is stopping")
	case i.source.Current().Version() == 0:
		return errors.New("no configuration is in force")
	case i.isLeaving():
		return errors.New("operators marked the instance or its data centre as leaving")
	}
	return nil
}

// run serves until ctx ends or a listener fails, then stops in order.
func (i *instance) run(ctx context.Context, callers, operators net.Listener) error {
	control, stopControl := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	i.link.Start()
	tasks.Go(func() { i.cluster.Run(control) })
	tasks.Go(func() { i.relay.Run(control) })
	tasks.Go(func() { i.suspects.Run(control) })
	tasks.Go(func() { i.manager.Run(control, i.permits) })
	tasks.Go(func() { i.ledger.Run(control) })
	tasks.Go(func() { i.announceReady(control) })
	tasks.Go(func() { i.renewCertificate(control) })
	failed := make(chan error, 2)
	tasks.Go(func() {
		failed <- errors.Wrap(i.callers.Listener(gooseentry.NewListener(callers), fiber.ListenConfig{DisableStartupMessage: true}), "caller API")
	})
	tasks.Go(func() { failed <- i.operator.Serve(operators) })
	gooseevent.InstanceStarted.Log(i.log, "listen", callers.Addr().String(),
		"operator-listen", operators.Addr().String(), "peer-listen", i.link.Address(), "peer-advertise", i.peerAddress())
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	i.stop()
	stopControl()
	tasks.Wait()
	_ = i.link.Close()
	_ = i.store.Close()
	gooseevent.InstanceStopped.Log(i.log)
	return err
}

// announceReady logs once when the instance starts to admit requests.
func (i *instance) announceReady(ctx context.Context) {
	for i.ready() != nil {
		if !goose.Sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	gooseevent.InstanceReady.Log(i.log, "version", i.source.Current().Version())
}

// stop drains the instance. Peers learn that it is leaving by heartbeat, callers
// by the balancer's readiness check; pools are handed over before the running
// requests are waited for, so that other instances wait for no lease to lapse.
func (i *instance) stop() {
	i.leaving.Store(true)
	gooseevent.InstanceDraining.Log(i.log)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	i.manager.Shutdown(ctx)
	goose.Sleep(ctx, i.settings.DrainDelay)
	if err := i.entry.Drain(ctx); err != nil {
		i.log.Warn("drain timeout passed with requests running", "error", err)
	}
	last, cancelLast := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelLast()
	i.permits.Close(last)
	if err := i.ledger.Close(last); err != nil {
		i.log.Warn("order outcomes not recorded", "error", err)
	}
	_ = i.callers.ShutdownWithContext(last)
	_ = i.operator.Shutdown(last)
}
