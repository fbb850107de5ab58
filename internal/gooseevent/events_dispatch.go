package gooseevent

import "log/slog"

// Events of a pool's dispatcher: 32x and 42x.
var (
	PoolTakeoverComplete      = define(330, slog.LevelInfo, "pool takeover complete", "Every known instance has reported to the new dispatcher which permits it holds.")
	LostHolderPermitFreed     = define(331, slog.LevelWarn, "permit of a lost holder freed", "The permit holder crashed, restarted, had no record of the permit or was silent; its streams were cancelled or have ended, and the capacity is free again.")
	PoolHandedOver            = define(332, slog.LevelInfo, "pool handed over", "During a graceful shutdown, the state of the pool was handed over to the next dispatcher.")
	BackendServerCommanded    = define(333, slog.LevelInfo, "backend server commanded", "This dispatcher handled an operator's command; the field outcome states whether the backend server started it.")
	CommandOutcomeNotRecorded = define(334, slog.LevelWarn, "outcome of a command not recorded", "The store did not respond; the audit trail shows the outcome of the command as unknown, and this line states the actual outcome.")
	CommandEnded              = define(335, slog.LevelInfo, "command ended", "The backend server has finished a command and accepts requests within its cold limit; the field error is empty if the command succeeded.")
	LongPrefillBoundChanged   = define(336, slog.LevelInfo, "long-prefill bound changed", "Long prefills delay short requests more or less than before, so the dispatcher allows long prefills on fewer or more replicas.")
	ReplicaUnreachable        = define(420, slog.LevelWarn, "replica unreachable", "The backend server does not respond to load polls; it gets no requests until it responds.")
)
