package gooseevent

import "log/slog"

// Events of the distribution of configuration: 22x.
var (
	ConfigurationStoreLost     = define(220, slog.LevelWarn, "configuration store lost", "The store does not respond; the version in force is kept, and newer versions come only from peers.")
	ConfigurationStoreBack     = define(221, slog.LevelInfo, "configuration store back", "The store responds again after an outage.")
	ConfigurationFetchFailed   = define(222, slog.LevelWarn, "configuration fetch failed", "A peer announced a newer version but did not deliver it; the fetch is retried.")
	ConfigurationPublished     = define(223, slog.LevelInfo, "configuration published", "A change that an operator made through this instance became the next version.")
	ConfigurationConfirmed     = define(225, slog.LevelInfo, "configuration confirmed after a pause", "An instance that ran during the pause has reported its version. If the field confirmed is false, no instance confirmed the version in time, and the version in force on this instance is used.")
	ConfigurationChangeRefused = define(224, slog.LevelInfo, "configuration change refused", "An operator's change was not published; the field error states why.")
)
