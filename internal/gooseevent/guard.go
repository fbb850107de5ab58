package gooseevent

import (
	"fmt"
	"log/slog"
)

// Guard runs f. If f panics, Guard logs the input that caused it, so that one message or entry
// that f cannot handle ends neither the process nor the goroutine that reads the next one.
func Guard(log *slog.Logger, input string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			InputFailed.Log(log, slog.String("input", input), slog.String("error", fmt.Sprint(p)))
		}
	}()
	f()
}
