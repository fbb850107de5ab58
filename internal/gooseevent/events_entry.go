package gooseevent

import "log/slog"

// Events of requests on their way to backend servers: 52x.
var (
	StreamCancelUnconfirmed = define(510, slog.LevelWarn, "stream cancel not confirmed", "A backend server did not confirm that it stopped a stream; the permit was released, and the dispatcher cancels the stream if it still runs.")
	HandleNotDeleted        = define(511, slog.LevelWarn, "KV handle not deleted", "A backend server did not confirm the deletion of an exported KV cache.")
)
