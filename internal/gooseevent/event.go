// Package gooseevent defines the numbered log events of gooseberryhold. All events are
// listed in docs/events.md.
package gooseevent

import (
	"context"
	"log/slog"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique and never reused.
	Number  int
	Level   slog.Level
	Message string
	// Meaning states, for operators, what happened and what to do.
	Meaning string
}

var catalogue []Event

// define adds an event to the catalogue; it panics if the number is taken.
func define(number int, level slog.Level, message, meaning string) Event {
	for _, e := range catalogue {
		if e.Number == number {
			panic("gooseevent: number defined twice: " + e.Message + ", " + message)
		}
	}
	e := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log logs the event with its attributes.
func (e Event) Log(l *slog.Logger, args ...any) {
	l.Log(context.Background(), e.Level, e.Message, append([]any{slog.Int("event", e.Number)}, args...)...)
}
