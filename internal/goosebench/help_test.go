package goosebench

import (
	"log/slog"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

var quiet = slog.New(slog.DiscardHandler)

// fastEngine is warm from the start and computes much faster than real ones.
func fastEngine() goosestand.EngineConfig {
	c := goosestand.DefaultEngineConfig()
	c.Cold, c.Scale, c.Lag = false, 50, 0
	return c
}
