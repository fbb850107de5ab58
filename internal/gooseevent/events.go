package gooseevent

import "log/slog"

// Events of the instance: 1xx.
var (
	InstanceStarted        = define(101, slog.LevelInfo, "instance started", "The instance listens for callers, operators and peers.")
	InstanceReady          = define(102, slog.LevelInfo, "instance ready", "A configuration is in force; requests are admitted.")
	InstanceDraining       = define(103, slog.LevelInfo, "instance draining", "A graceful shutdown has begun; requests in flight are finished.")
	InstanceStopped        = define(104, slog.LevelInfo, "instance stopped", "All work has ended.")
	CertificateRenewed     = define(106, slog.LevelInfo, "certificate renewed", "The certificate files changed; new connections to other instances use the new certificate.")
	CertificateUnusable    = define(107, slog.LevelError, "certificate files unusable", "The certificate files changed, but cannot be used; the previous certificate stays in use.")
	CertificateExpiresSoon = define(108, slog.LevelWarn, "certificate expires soon", "Less than a tenth of the certificate's lifetime remains; renew the files.")
	ProcessResumed         = define(109, slog.LevelWarn, "process resumed after a pause", "The process did not run for the time in the field pause: it was stopped, or its machine was or is overloaded. Its dispatchers grant no permits until the configuration is confirmed.")
	ConnectionsCut         = define(110, slog.LevelWarn, "connections cut at the end of a stop", "Connections of callers were still in use when the stop timeout passed; the fields count them by what they waited for: the end of a response, the rest of a request's head, a first or a further request.")
	AcceptFailed           = define(111, slog.LevelWarn, "connections of callers not accepted", "The kernel gave an error for a new connection of a caller, for example because the process has no free descriptor. The instance tries again after a short pause; new connections wait.")
	SettingsInvalid        = define(105, slog.LevelError, "settings invalid", "The settings file has an error; the field error names the file and the setting.")
)

// Events of configuration: 2xx.
var (
	ConfigurationInForce  = define(201, slog.LevelInfo, "configuration in force", "A newer configuration version is used from now on.")
	ConfigurationRejected = define(202, slog.LevelWarn, "configuration rejected", "A version was older than the version in force or failed its checks; the version in force is kept.")
)

// Events of pools: 3xx.
var (
	PoolAcquired    = define(301, slog.LevelInfo, "pool acquired", "This instance dispatches the pool from now on.")
	PoolLost        = define(302, slog.LevelWarn, "pool lost", "This instance no longer dispatches the pool.")
	PoolModeChanged = define(303, slog.LevelInfo, "pool mode changed", "The authority under which the pool is dispatched changed.")
)

// Events of replicas: 4xx.
var (
	ReplicaCold           = define(401, slog.LevelWarn, "replica cold", "The backend server is in a cold start; only its cold limit is used.")
	ReplicaWarm           = define(402, slog.LevelInfo, "replica warm", "The backend server reached its full limits.")
	ReplicaCrashed        = define(403, slog.LevelWarn, "replica crashed", "A backend server crashed while it had requests in flight; these requests are now suspected of causing the crash.")
	OrphanHandleDeleted   = define(405, slog.LevelInfo, "orphan KV handle deleted", "An exported KV cache without an owner was deleted at its backend server.")
	OrphanStreamCancelled = define(404, slog.LevelInfo, "orphan stream cancelled", "A stream without an owner was cancelled at its backend server.")
)

// Events of requests and orders: 5xx.
var (
	RequestRefused      = define(501, slog.LevelInfo, "request refused", "A caller received a refusal; the fields code and run state the reason and whether the request ran.")
	OrderOutcomeUnknown = define(502, slog.LevelWarn, "order outcome unknown", "An order may or may not have run; settle it with 'gooseberryhold orders'.")
)

// Events of members: 6xx.
var (
	MemberLive   = define(601, slog.LevelInfo, "member live", "Heartbeats of an instance arrive.")
	MemberSilent = define(602, slog.LevelWarn, "member silent", "No heartbeat of an instance has arrived within the failure timeout.")
)
