// Package goosehost builds and runs an entry instance for the users' platform. The
// instance reads the routing, the replicas and its peers from the platform's store and
// forwards callers' requests accordingly.
package goosehost

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseforward"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehead"
	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
	"github.com/gooseberryhold/gooseberryhold/internal/gooselog"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosegossip"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooserelay"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseretry"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

const (
	// headerTimeout and idleTimeout are above the timeouts that callers have to observe, so
	// that the instance never closes a connection that a caller may still use.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 32 << 10
	// retryBudgetShare is the part of the retry budget that is used.
	retryBudgetShare = 0.7
	// maintenanceInterval is the time between two rounds of maintenance.
	maintenanceInterval = time.Second
)

// host contains the components of one instance.
type host struct {
	settings     gooseplatform.Settings
	log          *slog.Logger
	logWriter    *gooselog.Writer
	logHandler   *gooselog.Handler
	clock        goose.Clock
	store        goose.Store
	era          *gooseera.Tracker
	relay        *gooserelay.Relay
	directory    *goosedirectory.Directory
	follower     *goosedirectory.Follower
	placer       *gooseplacement.Placer
	quarantine   *goosequarantine.Table
	storeSync    *goosequarantine.StoreSync
	gossip       *goosegossip.Gossip
	registration *goosegossip.Registration
	forwarder    *gooseforward.Forwarder
	metrics      *metrics.Set
	// droppedLines counts the log lines that were not written.
	droppedLines *metrics.Counter
	// stopAt is when requests that still run get their final response; nil unless the
	// instance drains. draining ends once it is set, and stopping at that time.
	stopAt             atomic.Pointer[time.Time]
	draining, stopping context.Context
	beginDrain         context.CancelFunc
	endWork            context.CancelFunc
}

// Run serves until ctx ends, and then drains: the load balancer removes the instance, and
// running requests finish. Run returns an error if the instance cannot start or a listener
// fails. Log lines are written to out, and metrics are served on metricsPort.
func Run(ctx context.Context, s gooseplatform.Settings, metricsPort int, out io.Writer) error {
	debug.SetMemoryLimit(goosememory.CollectorLimit(s.MemoryBytes))
	logWriter := gooselog.NewWriter(out)
	defer logWriter.Close(stopMargin / 3)
	logHandler := gooselog.NewHandler(slog.NewJSONHandler(logWriter, nil))
	log := slog.New(logHandler).With(slog.String("instance", string(s.Instance)), slog.String("data-centre", string(s.DataCentre)))
	h, err := newHost(s, logWriter, logHandler, log)
	if err != nil {
		return err
	}
	return h.run(ctx, metricsPort)
}

// newHost builds the components in the order of their dependencies.
func newHost(s gooseplatform.Settings, logWriter *gooselog.Writer, logHandler *gooselog.Handler, log *slog.Logger) (*host, error) {
	h := &host{settings: s, era: gooseera.New(log), log: log, logWriter: logWriter, logHandler: logHandler, clock: goose.SystemClock{}, metrics: metrics.NewSet()}
	h.draining, h.beginDrain = context.WithCancel(context.Background())
	h.stopping, h.endWork = context.WithCancel(context.Background())
	store, err := gooseplatform.NewStore(s.StoreAddress)
	if err != nil {
		return nil, errors.Wrap(err, "setting platform.addr")
	}
	watchPause := gooseplatform.WatchPause(s.ChangeBound)
	store = store.WithWatchPause(watchPause).WithMaxPollWait(gooseplatform.MaxPollWait(s.ChangeBound)).WithEraCheck(h.era.BeginCall).WithObserver(func(path string, status int, d time.Duration) {
		h.metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberryhold_store_call_seconds{call=%q,status="%d"}`, path, status)).Update(d.Seconds())
	})
	if err := h.buildRelay(store, watchPause); err != nil {
		return nil, err
	}
	h.droppedLines = h.metrics.NewCounter("gooseberryhold_log_lines_dropped_total")
	h.registerGauges()
	h.directory = goosedirectory.New()
	h.quarantine = goosequarantine.New(log)
	h.storeSync = goosequarantine.NewStoreSync(h.quarantine, h.store, h.era, log, h.clock)
	decoder := goosequarantine.NewStoreDecoder(goosegossip.NewStoreDecoder(gooseplatform.NewStoreDecoder(s.DataCentres)), h.clock)
	h.follower = goosedirectory.NewFollower(goosedirectory.FollowOptions{
		Store: h.store, StoreDecoder: decoder, Directory: h.directory, CrashRecords: h.storeSync,
		ReregistrationGrace: s.ReregistrationGrace, WatchPause: watchPause, Log: log, Clock: h.clock,
		Relayed: h.relayedRevision, Era: h.era,
		PeerStoreReachableFor: func(now time.Time) time.Duration { return h.gossip.PeerStoreReachableFor(now) },
	})
	h.placer = gooseplacement.New(gooseplacement.Options{
		DataCentre: s.DataCentre, ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack, Registered: h.registeredInstances,
	})
	h.quarantine.SetInstances(h.placer.Instances)
	h.forwarder = gooseforward.New(gooseforward.Options{
		Directory: h.directory, Placer: h.placer, Quarantine: h.quarantine, HeaderCodec: gooseplatform.HeaderCodec{},
		Budget: gooseretry.New(gooseretry.Options{
			Window: s.Retry.Window, Ratio: s.Retry.Ratio, Burst: s.Retry.Burst, Instances: h.placer.Instances, UsableShare: retryBudgetShare,
		}),
		StopAt: h.stopTime, Draining: h.draining, Stopping: h.stopping, MemoryBytes: s.MemoryBytes, MaxReservationTTL: s.MaxReservationTTL,
		Metrics: gooseforward.NewMetrics(h.metrics), Log: log, Clock: h.clock,
	})
	return h, h.buildGossip()
}

// buildRelay opens the socket for the changes of the store on the second internal port. With
// a single port, each instance reads the store itself.
func (h *host) buildRelay(store *gooseplatform.Store, watchPause time.Duration) error {
	h.store = store
	if h.settings.LastPort == h.settings.FirstPort {
		return nil
	}
	address := net.JoinHostPort(h.settings.Address, strconv.Itoa(h.settings.FirstPort+1))
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "setting internal-ports: %s", address)
	}
	h.relay = gooserelay.New(gooserelay.Options{
		Instance: h.settings.Instance, Store: store, Conn: conn, Neighbours: h.neighbourRelays,
		Instances:   func(now time.Time) int { return h.placer.Instances(now) },
		ChangeBound: h.settings.ChangeBound, WatchPause: watchPause, MaxPollWait: gooseplatform.MaxPollWait(h.settings.ChangeBound),
		Era: h.era, Log: h.log, Clock: h.clock,
	})
	h.store = h.relay
	return nil
}

// neighbourRelays returns the addresses at which the other instances of the data centre
// receive the changes of the store. The ports are the same on all machines.
func (h *host) neighbourRelays(now time.Time) []net.Addr {
	addresses := h.gossip.Neighbours(now)
	for i, a := range addresses {
		if udp, ok := a.(*net.UDPAddr); ok {
			addresses[i] = &net.UDPAddr{IP: udp.IP, Port: udp.Port + 1}
		}
	}
	return addresses
}

// registeredInstances returns the number of instances that the store lists.
func (h *host) registeredInstances() gooseplacement.Registered {
	s := h.directory.Current()
	return gooseplacement.Registered{Own: s.InstancesIn(h.settings.DataCentre), All: len(s.Instances())}
}

// relayedRevision returns the revision up to which another instance delivers the changes of the
// store, or false if none does.
func (h *host) relayedRevision(now time.Time) (goose.StoreRevision, bool) {
	if h.relay == nil {
		return goose.StoreRevision{}, false
	}
	return h.relay.Relayed(now)
}

// followingRelay reports whether the changes of the store come from another instance.
func (h *host) followingRelay() bool { return h.relay != nil && h.relay.Following(h.clock.Now()) }

// onRenewalFailure reads the store again after a renewal of the lease without a response,
// unless a relay shows that the store responds to others.
func (h *host) onRenewalFailure(err error) {
	if !h.followingRelay() {
		h.follower.RestartWatches(err)
	}
}

// buildGossip opens the socket for load reports on the first internal port and builds the
// components that use it.
func (h *host) buildGossip() error {
	address := net.JoinHostPort(h.settings.Address, strconv.Itoa(h.settings.FirstPort))
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "setting internal-ports: %s", address)
	}
	h.gossip = goosegossip.New(goosegossip.Options{
		Instance: h.settings.Instance, DataCentre: h.settings.DataCentre, Incarnation: time.Now().UnixNano(), Conn: conn,
		Instances: func() map[goose.InstanceID]goose.RegisteredInstance { return h.directory.Current().Instances() },
		Placer:    h.placer, StoreView: h.follower.View, OnPeerView: h.follower.ObservePeer, Quarantine: h.quarantine, Log: h.log, Clock: h.clock,
	})
	at := goose.RegisteredInstance{Address: address, DataCentre: h.settings.DataCentre}
	h.registration = goosegossip.NewRegistration(h.store, h.settings.Instance, at, h.onRenewalFailure, h.followingRelay, h.era, h.log)
	return nil
}

// run serves until ctx ends and the instance has drained.
func (h *host) run(ctx context.Context, metricsPort int) error {
	conns := newConnTracker()
	listener, err := gooselisten.Listen("tcp4", h.settings.CallerAddress, gooselisten.Options{
		MaxConns: gooselisten.MaxConns(h.settings.MaxDescriptors, h.settings.MemoryBytes), MakeRoom: h.makeRoom(conns), Log: h.log,
	})
	if err != nil {
		return errors.Wrap(err, "setting listen.front")
	}
	callers := callerListener{listener, &callerLimits{
		headMemory: goosehead.NewMemory(h.settings.MemoryBytes), headsCut: h.metrics.NewCounter("gooseberryhold_caller_heads_cut_total"), log: h.log,
	}}
	readyListener, err := net.Listen("tcp4", h.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "setting listen.ready-addr")
	}
	metricsAddress := net.JoinHostPort(h.settings.Address, strconv.Itoa(metricsPort))
	metricsListener, err := net.Listen("tcp4", metricsAddress)
	if err != nil {
		return errors.Wrapf(err, "metrics address %s", metricsAddress)
	}
	gooseevent.InstanceStarted.Log(h.log, slog.String("listen", h.settings.CallerAddress), slog.String("store", h.settings.StoreAddress))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { h.follower.Run(background) })
	wg.Go(func() { h.gossip.Run(background) })
	if h.relay != nil {
		wg.Go(func() { h.relay.Run(background) })
	}
	wg.Go(func() { h.storeSync.Run(background) })
	wg.Go(func() { h.maintain(background) })
	// The registration uses ctx, so that it ends when the shutdown begins and not after the
	// last request.
	wg.Go(func() { h.registration.Run(ctx) })
	server := &http.Server{
		Handler: h.forwarder, ConnState: conns.handleState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: connContext,
		// net/http would answer "OPTIONS *" itself, with a success that no replica has given.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	failed := make(chan error, 3)
	go func() { failed <- errors.Wrap(server.Serve(callers), "callers' listener") }()
	go func() { failed <- errors.Wrap(http.Serve(readyListener, h.readinessHandler()), "readiness listener") }()
	go func() { failed <- errors.Wrap(http.Serve(metricsListener, h.metricsHandler()), "metrics listener") }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	h.drain(server, callers, conns)
	stop()
	wg.Wait()
	gooseevent.InstanceStopped.Log(h.log)
	return nil
}

// makeRoom returns a function that makes room for the connections of other callers: idle ones are
// closed, or the slowest body or reader is cut.
func (h *host) makeRoom(conns *connTracker) func() bool {
	return func() bool { return conns.closeLongestIdle() || h.forwarder.CutSlowest() }
}

// ready reports whether the instance should receive new callers.
func (h *host) ready() bool {
	s := h.directory.Current()
	return h.stopAt.Load() == nil && s.Table != nil && h.follower.Synced()
}

func (h *host) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// maintain removes expired state and refills the log's budget at a fixed interval.
func (h *host) maintain(ctx context.Context) {
	for goose.Sleep(ctx, maintenanceInterval) {
		s := h.directory.Current()
		h.placer.RemoveUnlisted(func(id goose.ReplicaID) bool {
			_, ok := s.Lookup(id)
			return ok
		}, h.clock.Now())
		h.quarantine.RemoveExpired(h.clock.Now())
		h.logWriter.Refill(maintenanceInterval)
		h.logHandler.Refill(maintenanceInterval)
		if n := h.logWriter.Dropped(); n > 0 {
			h.droppedLines.Add(int(n))
			gooseevent.LogLinesDropped.Log(h.log, slog.Int64("count", n))
		}
		if n := h.logHandler.Dropped(); n > 0 {
			h.droppedLines.Add(int(n))
			gooseevent.RoutineLinesLeftOut.Log(h.log, slog.Int64("count", n))
		}
	}
}
