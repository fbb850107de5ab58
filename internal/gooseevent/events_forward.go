package gooseevent

import "log/slog"

// Events of an instance that forwards routed requests: 7xx.
var (
	StoreLost            = define(701, slog.LevelWarn, "store lost", "The platform's store does not respond; the routing and the replicas that were last read stay in use.")
	StoreBack            = define(702, slog.LevelInfo, "store back", "The platform's store responds again; replicas whose entries have expired are kept for a limited time, since they may register again.")
	StoreEntryUnreadable = define(703, slog.LevelWarn, "store entry unreadable", "An entry of the store cannot be decoded; if it is a replica, the replica is not used, and if it is a routing version, the version is not applied.")
	RoutingInForce       = define(704, slog.LevelInfo, "routing in force", "A newer version of routes, services and workspaces is used from now on.")
	ReplicaChanged       = define(705, slog.LevelInfo, "replica changed", "A replica registered, changed its state or left.")
	EvacuationChanged    = define(706, slog.LevelInfo, "evacuation changed", "Operators have taken a data centre's replicas out of service or brought them back.")
	WatchRenewed         = define(707, slog.LevelInfo, "watch renewed", "Peers have read a newer revision of the store, or have detected an outage of the store; the watch may be stalled and is restarted.")
	RelayBegun           = define(708, slog.LevelInfo, "store relay begun", "This instance reads the changes of the platform's store for the other instances of its data centre from now on.")
	RelayEnded           = define(709, slog.LevelInfo, "store relay ended", "This instance no longer reads the changes of the platform's store for others: the field reason states whether the store did not respond, the machine was suspended, or another instance does so.")
	RelayFollowed        = define(718, slog.LevelInfo, "store relay followed", "The changes of the platform's store are received from another instance of the data centre, and no longer read here.")
	RelayLost            = define(719, slog.LevelInfo, "store relay lost", "No recent message of the relay was received; the changes of the platform's store are read here until another relay is heard.")
	RequestForwarded     = define(710, slog.LevelInfo, "request forwarded", "A caller has received its response; the field attempts lists the attempts in order, each with its replica and outcome.")
	RequestFailed        = define(711, slog.LevelWarn, "request failed", "A caller received no complete response of a replica; the fields code, run and attempts state why and what ran.")
	AttemptFailed        = define(712, slog.LevelInfo, "attempt failed", "An attempt at a replica was declined or failed; the field attempt contains the outcome and the error.")
	ReplicaSuspended     = define(713, slog.LevelWarn, "replica suspended", "Consecutive attempts at a replica failed; it gets no requests for the time in the field pause, unless no other replica is left.")
	QuarantineBegun      = define(714, slog.LevelError, "request in quarantine", "Replicas crashed one after the other while they ran this request; all instances refuse it for ten minutes. The lines 710 to 712 with the same fingerprint show who sends it and which replicas crashed.")
	QuarantineEnded      = define(715, slog.LevelInfo, "request out of quarantine", "A replica has run the request without a crash, or the record of the request was deleted from the store.")
	CrashRecordNotSaved  = define(716, slog.LevelWarn, "crash record not saved", "The record of a request that crashes replicas could not be written to the platform's store; the write is retried.")
	CrashNoted           = define(717, slog.LevelInfo, "crash noted", "A replica was lost while it ran this request, on this instance or on the instance that reported it; the field weight is the current weight of the evidence against the request.")
	PeerSeen             = define(720, slog.LevelInfo, "peer seen", "Another instance reports its load from now on.")
	PeerSilent           = define(721, slog.LevelWarn, "peer silent", "Another instance has not reported its load recently; its requests no longer count.")
	InstanceRegistered   = define(722, slog.LevelInfo, "instance registered", "The instance is listed in the platform's store under its lease.")
	RegistrationLost     = define(723, slog.LevelWarn, "registration lost", "The instance's entry in the platform's store could not be renewed; it is written again.")
	InputFailed          = define(732, slog.LevelError, "input failed", "A message of another instance or an entry of the store caused an internal error and was dropped; the fields input and error describe it. This is a bug.")
	RoutineLinesLeftOut  = define(731, slog.LevelWarn, "routine log lines left out", "There were more lines about served requests than the limit per second; the field count is the number of lines left out since the last such line. Lines about failures are not left out.")
	LogLinesDropped      = define(730, slog.LevelWarn, "log lines dropped", "Standard output did not accept the lines in time, or there were more lines than the limit; the field count is the number of lines dropped since the last such line.")
)
