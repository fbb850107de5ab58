// Package gooseserve assembles and runs an entry instance.
package gooseserve

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseentry"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehead"
	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselease"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseledger"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosemember"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosepeer"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosepermit"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesuspect"
)

// closeTimeout bounds the last steps of a stop, after the running requests have
// ended.
const closeTimeout = 5 * time.Second

// listenerDrainTimeout bounds the time in which connections that the kernel has accepted are
// taken over when the listener closes.
const listenerDrainTimeout = time.Second

// instance holds the components of one entry instance.
type instance struct {
	settings goosesettings.Settings
	log      *slog.Logger
	leaving  atomic.Bool
	// stopAt is nil unless the instance drains.
	stopAt atomic.Pointer[time.Time]

	store *monitoredStore
	link  *goosepeer.Link
	// certificate is used by watchCertificate only.
	certificate    *certificateFiles
	source         *gooseconfig.Source
	distributor    *gooseconfig.Distributor
	cluster        *goosemember.Cluster
	suspects       *goosesuspect.Replicator
	crashRecords   *goosequarantine.Replicator
	manager        *goosedispatch.Manager
	permits        *goosepermit.Holder
	ledger         *gooseledger.Ledger
	commandLog     *gooseload.Log
	entry          *gooseentry.Entry
	callerServer   *fiber.App
	operatorServer *gooseoperator.Server
}

// Run serves requests until ctx ends and then drains: running requests finish,
// pools are handed over, and no new requests are accepted. It returns an error
// if the instance cannot start or a listener fails.
func Run(ctx context.Context, s goosesettings.Settings, log *slog.Logger) error {
	log = log.With("instance", string(s.Instance), "data-centre", string(s.DataCentre))
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(goosememory.CollectorLimit(s.MemoryBytes))
	}
	i, err := build(s, log)
	if err != nil {
		return err
	}
	callerListener, err := gooselisten.Listen("tcp", s.Listen, gooselisten.Options{MaxConns: gooselisten.MaxConns(0, s.MemoryBytes), MakeRoom: i.entry.CutSlowest, Log: log})
	if err != nil {
		return errors.Wrapf(err, "setting listen %q", s.Listen)
	}
	operatorListener, err := net.Listen("tcp", s.OperatorListen)
	if err != nil {
		_ = callerListener.Close()
		return errors.Wrapf(err, "setting operator-listen %q", s.OperatorListen)
	}
	return i.run(ctx, callerListener, operatorListener)
}

// build creates the components in the order of their dependencies.
func build(s goosesettings.Settings, log *slog.Logger) (*instance, error) {
	i := &instance{settings: s, log: log}
	store, err := goose.NewStore(s.Store.Kind, s.Store.Address)
	if err != nil {
		return nil, errors.Wrap(err, "setting store")
	}
	i.store = newMonitoredStore(store)
	tlsConfig, err := readCertificate(s, time.Now())
	if err != nil {
		return nil, err
	}
	i.certificate = newCertificateFiles(s, tlsConfig.Certificates[0], log)
	i.link, err = goosepeer.New(s.PeerListen, tlsConfig.Certificates[0], tlsConfig.RootCAs, log)
	if err != nil {
		return nil, err
	}
	if err := i.buildControlPlane(); err != nil {
		_ = i.link.Close()
		return nil, err
	}
	return i, i.buildServers()
}

// buildControlPlane creates membership, configuration, dispatchers, the ledger
// and the caller API.
func (i *instance) buildControlPlane() error {
	s := i.settings
	i.source = gooseconfig.NewSource()
	incarnation := time.Now().UnixNano()
	i.cluster = goosemember.New(goosemember.Options{
		Self: goose.Member{
			Instance: s.Instance, DataCentre: s.DataCentre, Address: i.peerAddress(), Incarnation: incarnation,
		},
		PeerClient: i.link, PeerRouter: i.link, InstanceLister: newInstanceList(s.InstanceList), Seeds: s.Peers,
		Version: func() int64 { return i.source.Current().Version() },
		Pools:   i.dispatchedPools,
		Leaving: i.isLeaving,
		Logger:  i.log,
	})
	i.distributor = gooseconfig.NewDistributor(gooseconfig.DistributorOptions{
		Repository: gooseconfig.NewRepository(i.store, s.Fleet), Source: i.source,
		Members: i.cluster, PeerClient: i.link, Logger: i.log,
	})
	i.distributor.Register(i.link)
	i.suspects = goosesuspect.NewReplicator(goose.SystemClock{}, i.cluster, i.link)
	i.suspects.Register(i.link)
	quarantine := goosequarantine.New(i.log)
	i.crashRecords = goosequarantine.NewReplicator(quarantine, goose.SystemClock{}, i.cluster, i.link)
	i.crashRecords.Register(i.link)
	i.commandLog = gooseload.New(gooseload.Options{
		Store: i.store, Fleet: s.Fleet, LoadRate: func() *goose.WeightStore { return i.source.Current().Configuration().WeightStore },
	})
	protocols := newProtocols()
	var err error
	i.manager, err = goosedispatch.NewManager(goosedispatch.Options{
		Self: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation,
		KeyPrefix:     "/gooseberryhold/" + s.Fleet + "/",
		Configuration: i.source, Membership: i.cluster, PeerClient: i.link, PeerRouter: i.link,
		Campaigner: campaigner{leases: gooselease.New(i.store, s.Instance, s.LeaseTTL, i.log)},
		Protocol:   protocols.clientOrNil,
		Suspects:   i.suspects.Table(),
		Policy:     s.RoutingPolicy, Discipline: s.QueueDiscipline, LongPrefillBound: s.LongPrefillBound,
		StoreUnresponsive: i.store.Unresponsive,
		LeaseTTL:          s.LeaseTTL,
		Commands:          i.commandLog,
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
		Permits: i.permits, Ledger: i.ledger, Suspects: i.suspects.Table(), Quarantine: quarantine, Membership: i.cluster,
		Protocol: protocols.get,
		StopAt:   i.stopTime,
		Limits:   gooseentry.Limits{MaxBodyBytes: s.MaxBodyBytes, MaxBodyBytesInFlight: s.MaxBodyBytesInFlight},
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

// buildServers creates the HTTP servers for callers and operators.
func (i *instance) buildServers() error {
	i.callerServer = fiber.New(i.entry.FiberConfig())
	i.callerServer.Use(i.closeWhileLeaving)
	i.entry.Register(i.callerServer)
	var err error
	i.operatorServer, err = gooseoperator.New(gooseoperator.Options{
		TokenHash:  i.settings.OperatorTokenHash,
		Repository: gooseconfig.NewRepository(i.store, i.settings.Fleet), Source: i.source,
		Refresh: i.distributor.Refresh, Members: i.cluster, Ledger: i.ledger,
		Dispatchers: i.manager, CommandEntries: i.commandLog.Records,
		Ready: i.checkReady, WriteMetrics: writeMetrics, RequestsInFlight: i.entry.RequestsInFlight, Logger: i.log,
	})
	return err
}

// closeWhileLeaving closes each connection after its response once the instance
// is stopping. A caller that sends its next request on a connection that is
// being closed would get no response.
func (i *instance) closeWhileLeaving(c fiber.Ctx) error {
	if i.leaving.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

// dispatchedPools returns the pools that this instance dispatches. Membership
// calls it before the manager exists.
func (i *instance) dispatchedPools() []goose.DispatchedPool {
	if i.manager == nil {
		return nil
	}
	return i.manager.DispatchedPools()
}

// isLeaving reports whether this instance should get no new work: it is
// stopping, or operators have marked it or its data centre as leaving.
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

// checkReady returns an error if the load balancer should not send callers to
// this instance.
func (i *instance) checkReady() error {
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

// run serves requests until ctx ends or a listener fails, and then stops the
// components in order.
func (i *instance) run(ctx context.Context, callerListener *gooselisten.Listener, operatorListener net.Listener) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	i.link.Start()
	tasks.Go(func() { i.cluster.Run(controlCtx) })
	tasks.Go(func() { i.distributor.Run(controlCtx) })
	tasks.Go(func() { i.suspects.Run(controlCtx) })
	tasks.Go(func() { i.crashRecords.Run(controlCtx) })
	tasks.Go(func() { i.manager.Run(controlCtx, i.permits) })
	tasks.Go(func() { i.ledger.Run(controlCtx) })
	tasks.Go(func() { i.logWhenReady(controlCtx) })
	tasks.Go(func() { i.watchCertificate(controlCtx) })
	failed := make(chan error, 2)
	tasks.Go(func() {
		failed <- errors.Wrap(i.callerServer.Listener(gooseentry.NewListener(callerListener, goosehead.NewMemory(i.settings.MemoryBytes), i.log), fiber.ListenConfig{DisableStartupMessage: true}), "caller API")
	})
	tasks.Go(func() { failed <- i.operatorServer.Serve(operatorListener) })
	gooseevent.InstanceStarted.Log(i.log, "listen", callerListener.Addr().String(),
		"operator-listen", operatorListener.Addr().String(), "peer-listen", i.link.Address(), "peer-advertise", i.peerAddress())
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	i.stop(callerListener)
	stopControl()
	tasks.Wait()
	_ = i.link.Close()
	_ = i.store.Close()
	gooseevent.InstanceStopped.Log(i.log)
	return err
}

// logWhenReady logs once when the instance starts to admit requests.
func (i *instance) logWhenReady(ctx context.Context) {
	for i.checkReady() != nil {
		if !goose.Sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	gooseevent.InstanceReady.Log(i.log, "version", i.source.Current().Version())
}

// stopTime returns when requests that still run are ended; zero unless the instance drains.
func (i *instance) stopTime() time.Time {
	if at := i.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// stop drains the instance. Peers learn by heartbeat that it is leaving, and
// callers are directed away by the load balancer's readiness check. Pools are
// handed over before the running requests have ended, so that other instances
// need not wait for a lease to expire.
func (i *instance) stop(callers *gooselisten.Listener) {
	stopAt := time.Now().Add(i.settings.DrainTimeout)
	i.stopAt.Store(&stopAt)
	i.leaving.Store(true)
	gooseevent.InstanceDraining.Log(i.log)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	i.manager.Shutdown(ctx)
	goose.Sleep(ctx, i.settings.DrainDelay)
	callers.Drain(listenerDrainTimeout)
	if err := i.entry.Drain(ctx); err != nil {
		i.log.Warn("drain timeout passed with requests running", "error", err)
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	i.permits.Close(closeCtx)
	if err := i.ledger.Close(closeCtx); err != nil {
		i.log.Warn("order outcomes not recorded", "error", err)
	}
	_ = i.callerServer.ShutdownWithContext(closeCtx)
	_ = i.operatorServer.Shutdown(closeCtx)
}
