package gooseevent

import "log/slog"

// Events of leases: part of 3xx.
var (
	LeaseUnreachable = define(320, slog.LevelWarn, "lease not renewed", "The lease's deadline passed while the store gave no answer; the role goes on only by consent of the peers.")
	LeaseRegained    = define(321, slog.LevelInfo, "lease renewed again", "The store answers and the key was held all the time.")
	LeaseLost        = define(322, slog.LevelWarn, "lease lost", "The store says that the key is gone or held by another instance.")
)
