package goosebench

import (
	"log/slog"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

var discardLogger = slog.New(slog.DiscardHandler)

// fastEngineConfig configures an engine that is warm from the start and 50 times
// faster than a real one.
func fastEngineConfig() goosestand.EngineConfig {
	c := goosestand.DefaultEngineConfig()
	c.Cold, c.TimeScale, c.ReportLag = false, 50, 0
	return c
}
