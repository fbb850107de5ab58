package gooseevent

import "log/slog"

// Events of a pool's dispatcher: 32x and 42x.
var (
	PoolTakeover       = define(330, slog.LevelInfo, "pool takeover complete", "Every known instance has told the new dispatcher which permits it holds.")
	PermitFreed        = define(331, slog.LevelWarn, "permit of a lost holder freed", "An instance died, restarted or did not know the permit, or was silent; its streams were cancelled or have ended, and the capacity is free again.")
	PoolHandedOut      = define(332, slog.LevelInfo, "pool handed over", "A planned stop passed the state of the pool to its successor.")
	ReplicaCommand     = define(333, slog.LevelInfo, "backend server commanded", "An operator's command went through this dispatcher; outcome tells whether the backend server began it.")
	CommandNotRecorded = define(334, slog.LevelWarn, "outcome of a command not recorded", "The store did not answer; the audit trail shows the command as unknown, this line tells its outcome.")
	CommandEnded       = define(335, slog.LevelInfo, "command ended", "The backend server has ended a command and takes requests within its cold limit; error tells whether it failed.")
	LongBoundChanged   = define(336, slog.LevelInfo, "long-prefill bound changed", "Short requests beside long prefills wait so much longer, or no longer so much, that the dispatcher allows long prefills on fewer or more replicas.")
	ReplicaLost        = define(420, slog.LevelWarn, "replica unreachable", "The backend server does not answer its load poll; it gets no work until it does.")
)
