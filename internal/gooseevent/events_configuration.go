package gooseevent

import "log/slog"

// Events of the distribution of configuration: 22x.
var (
	ConfigurationStoreLost   = define(220, slog.LevelWarn, "configuration store lost", "The store does not answer; the version in force stays and newer ones come from peers only.")
	ConfigurationStoreBack   = define(221, slog.LevelInfo, "configuration store back", "The store answers again after an outage.")
	ConfigurationFetchFailed = define(222, slog.LevelWarn, "configuration fetch failed", "A peer shows a newer version but did not deliver it; it is asked again.")
	ConfigurationPublished   = define(223, slog.LevelInfo, "configuration published", "An operator's change through this instance became the next version.")
	ConfigurationConfirmed   = define(225, slog.LevelInfo, "configuration confirmed after a pause", "An instance that ran during the pause has shown its version; with confirmed false none did in time, and the version in force here is used.")
	ConfigurationRefused     = define(224, slog.LevelInfo, "configuration change refused", "An operator's change was not published; the error tells why.")
)
