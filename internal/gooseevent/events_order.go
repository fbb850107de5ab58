package gooseevent

import "log/slog"

// Events of orders: part of 5xx.
var (
	OrderOutcomeConflict      = define(520, slog.LevelError, "order outcome contradicts its record", "The record was settled or replaced before the outcome was written. An order that ran is recorded as done; otherwise the record stays.")
	OrderOutcomeWriteRepeated = define(521, slog.LevelWarn, "order outcome write repeated", "The store does not respond; the write of the outcome is retried until it succeeds.")
	OrderRecordUnreadable     = define(522, slog.LevelError, "order record unreadable", "A record of the store cannot be decoded; the outcome of the order counts as unknown.")
	OrderSettled              = define(523, slog.LevelInfo, "order settled", "An operator settled an order of unknown outcome.")
	OrderOutcomesNotWritten   = define(524, slog.LevelError, "order outcomes not written", "The instance stopped before the store accepted these outcomes; the outcomes of the claimed orders become unknown.")
)
