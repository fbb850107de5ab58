package gooseoperator

import (
	"context"
	"net/http"
	"strings"
	"unicode"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"
)

// maxCommandTextBytes bounds the length of each name in a command.
const maxCommandTextBytes = 200

func (s *Server) handleCommand(c fiber.Ctx) error {
	var q CommandRequest
	if err := decodeBody(c, &q, &q.ChangeID, &q.Author); err != nil {
		return err
	}
	if err := q.check(); err != nil {
		return refusal(goose.CodeBadRequest, err.Error())
	}
	if _, ok := s.Source.Snapshot().BackendServer(q.Replica); !ok {
		err := errors.Wrapf(gooseconfig.ErrNotFound, "backend-server/%s", q.Replica)
		return &APIError{Status: http.StatusNotFound, Code: goose.CodeNotFound, Message: err.Error(), Run: goose.RunStateNotRun}
	}
	ctx, cancel := context.WithTimeout(c.Context(), commandTimeout)
	defer cancel()
	r := s.Dispatchers.Command(ctx, goose.CommandRequest{
		ID: q.ChangeID, Author: q.Author, Replica: q.Replica, Command: q.command(), Force: q.Force,
	})
	return c.JSON(CommandResponse{ChangeID: q.ChangeID, Replica: q.Replica, Command: q.command().String(), CommandResult: r})
}

// check returns an error for a request that no backend server can understand.
func (q CommandRequest) check() error {
	switch q.Kind {
	case goose.CommandLoadModel, goose.CommandLoadAdapter, goose.CommandSetRole:
	default:
		return errors.Errorf("kind is %.80q; must be %s, %s or %s", q.Kind, goose.CommandLoadModel, goose.CommandLoadAdapter, goose.CommandSetRole)
	}
	if q.Name == "" {
		return errors.New("a command names a model, an adapter or a role")
	}
	for _, text := range []string{q.Name, q.Model, q.Version, q.ChangeID} {
		hasBadRune := strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
		if hasBadRune || len(text) > maxCommandTextBytes {
			return errors.Errorf("%.80q must have at most %d bytes and no spaces", text, maxCommandTextBytes)
		}
	}
	return nil
}

// auditTrail returns the newest changes and commands, newest first.
func (s *Server) auditTrail(ctx context.Context, limit int) ([]gooseconfig.AuditEntry, error) {
	changes, err := s.Repository.Audit(ctx, limit)
	if err != nil {
		return nil, err
	}
	commands, err := s.CommandEntries(ctx, limit)
	if err != nil {
		return nil, err
	}
	out := make([]gooseconfig.AuditEntry, 0, len(changes)+len(commands))
	// Changes stay in the order of their versions even if clocks differ.
	for len(changes)+len(commands) > 0 && len(out) < limit {
		if len(commands) == 0 || len(changes) > 0 && !changes[0].Time.Before(commands[0].Time) {
			out, changes = append(out, changes[0]), changes[1:]
			continue
		}
		out, commands = append(out, commandEntry(commands[0])), commands[1:]
	}
	return out, nil
}

func commandEntry(e gooseload.Record) gooseconfig.AuditEntry {
	text := e.Command.String() + " on backend-server/" + string(e.Replica)
	if e.Force {
		text += ", forced"
	}
	return gooseconfig.AuditEntry{
		ChangeID: e.ID, Author: e.Author, Time: e.Time, Summary: []string{text + ": " + e.Result.String()},
		Outcome: string(e.Result.Outcome), Reason: e.Result.Reason,
	}
}
