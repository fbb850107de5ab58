package gooseevent

import "log/slog"

// Events of leases: part of 3xx.
var (
	LeaseNotRenewed   = define(320, slog.LevelWarn, "lease not renewed", "The lease's deadline passed while the store did not respond; the role continues only with the consent of the peers.")
	LeaseRenewedAgain = define(321, slog.LevelInfo, "lease renewed again", "The store responds again, and the key was held without interruption.")
	LeaseLost         = define(322, slog.LevelWarn, "lease lost", "According to the store, the key no longer exists or is held by another instance.")
)
