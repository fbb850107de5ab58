package goosecommand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"

	"github.com/pkg/errors"
)

// maxLogLineBytes bounds the length of one log line.
const maxLogLineBytes = 1 << 20

func explainCommand() command {
	return command{
		name: "explain", usage: "<request id> [log file...]", short: "show from logs what became of a request",
		long:     "Reads the logs of any number of instances, from files or standard input, and prints what they\nsay about one request in the order of time, with the cause of its end last. Anything before\nthe first brace of a line is passed over.",
		examples: []string{"explain 9c41d07be2a35f68 edge-leith-1.log edge-leith-2.log", "explain 9c41d07be2a35f68 < all.log"},
		flags: func(f *flag.FlagSet) runFunc {
			output := outputFlag(f)
			return func(_ context.Context, a *App, args []string) error {
				if len(args) == 0 {
					return usagef("give the id of a request")
				}
				return a.explain(args[0], args[1:], *output)
			}
		},
	}
}

// logLine is a log line about a request. Fields that the line's event does not have are
// empty.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Event    int       `json:"event"`
	Request  string    `json:"request"`

	// Fingerprint identifies equal requests: it is the same each time a caller sends the
	// request.
	Fingerprint string               `json:"fingerprint,omitempty"`
	Route       string               `json:"route,omitempty"`
	Service     string               `json:"service,omitempty"`
	Workspace   string               `json:"workspace,omitempty"`
	Version     int64                `json:"version,omitempty"`
	Code        string               `json:"code,omitempty"`
	Run         string               `json:"run,omitempty"`
	Reason      string               `json:"reason,omitempty"`
	Explanation string               `json:"message,omitempty"`
	Outcome     string               `json:"outcome,omitempty"`
	After       time.Duration        `json:"after,omitempty"`
	RetryAfter  time.Duration        `json:"retry-after,omitempty"`
	Attempt     *gooseevent.Attempt  `json:"attempt,omitempty"`
	Attempts    []gooseevent.Attempt `json:"attempts,omitempty"`
}

func describeAttempt(a gooseevent.Attempt) string {
	s := fmt.Sprintf("replica %s: %s after %s", a.Replica, a.Outcome, a.Duration)
	if a.Status != 0 {
		s += fmt.Sprintf(", status %d", a.Status)
	}
	s += fmt.Sprintf("; it had %d requests", a.RequestsBefore)
	if a.ExpectedTimeToFirst != "" {
		s += ", first event expected after " + a.ExpectedTimeToFirst
	}
	if a.TimeToFirst != "" {
		s += ", came after " + a.TimeToFirst
	}
	if len(a.Helpers) > 0 {
		s += fmt.Sprintf(", prompt read with %d helpers", len(a.Helpers))
	}
	if a.FaultAt != "" {
		s += ", fault at " + a.FaultAt
	}
	if a.Error != "" {
		s += "; " + a.Error
	}
	if a.Process != "" {
		s += "; its process: " + a.Process
	}
	return s
}

// explanation contains the log lines about a request and the cause of its end.
type explanation struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	Cause   string    `json:"cause"`
}

func (a *App) explain(id string, files []string, output string) error {
	var lines []logLine
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		fileLines, err := a.requestLines(id, name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line about request %s in %s; the instance that received it may have crashed before the request ended", id, strings.Join(files, ", "))
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	e := explanation{Request: id, Lines: lines, Cause: causeOf(lines[len(lines)-1])}
	return a.print(output, e, func(w io.Writer) {
		for _, l := range e.Lines {
			fmt.Fprintf(w, "%s %s: %s\n", l.Time.Format("15:04:05.000"), l.Instance, describeLine(l))
		}
		fmt.Fprintf(w, "cause: %s\n", e.Cause)
	})
}

func (a *App) requestLines(id, file string) ([]logLine, error) {
	in := a.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		var l logLine
		if err := json.Unmarshal(scanner.Bytes()[start:], &l); err == nil && l.Request == id {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", file)
}

func describeLine(l logLine) string {
	switch l.Event {
	case gooseevent.AttemptFailed.Number:
		if l.Attempt != nil {
			return "attempt failed, " + describeAttempt(*l.Attempt)
		}
	case gooseevent.RequestForwarded.Number:
		return fmt.Sprintf("answered (%s) after %s, route %s, service %s, routing version %d", l.Outcome, l.After, l.Route, l.Service, l.Version)
	case gooseevent.RequestFailed.Number:
		s := fmt.Sprintf("refused with code %s, %s, after %s, route %s, service %s, routing version %d", l.Code, l.Run, l.After, l.Route, l.Service, l.Version)
		if l.RetryAfter > 0 {
			s += fmt.Sprintf(", may come back after %s", l.RetryAfter.Round(time.Millisecond))
		}
		return s
	}
	return l.Message
}

// causeOf describes why the request ended, from the last log line about it.
func causeOf(l logLine) string {
	if l.Event == gooseevent.RequestForwarded.Number {
		if n := len(l.Attempts); n > 1 {
			return fmt.Sprintf("answered by the last of %d replicas; before it, %s", n, describeAttempt(l.Attempts[n-2]))
		}
		if len(l.Attempts) == 1 {
			return describeAttempt(l.Attempts[0])
		}
		return l.Outcome
	}
	s := l.Explanation
	if s == "" {
		s = l.Message
	}
	if l.Reason != "" {
		s += " (" + l.Reason + ")"
	}
	if n := len(l.Attempts); n > 0 {
		s += "; last attempt, " + describeAttempt(l.Attempts[n-1])
	}
	return s
}
