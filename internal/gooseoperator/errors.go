package gooseoperator

import (
	"context"
	"net/http"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

func refusal(code goose.RefusalCode, message string) *APIError {
	return &APIError{Status: code.Status(), Code: code, Message: message, Run: goose.RunStateNotRun}
}

// answerError sends an error as JSON.
func (s *Server) answerError(c fiber.Ctx, err error) error {
	e := apiError(err, c.Method() == fiber.MethodGet || c.Method() == fiber.MethodHead)
	return c.Status(e.Status).JSON(errorBody{Error: e})
}

// apiError gives an error its code and status. A call that only reads is not
// told that nothing was changed.
func apiError(err error, reads bool) *APIError {
	var known *APIError
	var invalid *gooseconfig.InvalidError
	var http1 *fiber.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &invalid):
		e := refusal(goose.CodeBadRequest, "the configuration is not valid")
		e.Problems = invalid.Problems
		return e
	case errors.As(err, &http1):
		return &APIError{Status: http1.Code, Code: goose.CodeForStatus(http1.Code), Message: http1.Message, Run: goose.RunStateNotRun}
	case errors.Is(err, gooseconfig.ErrConflict):
		return refusal(goose.CodeConflict, err.Error())
	case errors.Is(err, gooseconfig.ErrNotFound):
		return &APIError{Status: http.StatusNotFound, Code: goose.CodeNotFound, Message: err.Error(), Run: goose.RunStateNotRun}
	case errors.Is(err, gooseconfig.ErrUnsettled):
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeUnsettled, Message: err.Error(), Run: goose.RunStateUnknown}
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, goose.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		message := "the store does not answer; nothing was changed: "
		if reads {
			message = "the store does not answer: "
		}
		return refusal(goose.CodeStoreUnavailable, message+err.Error())
	}
	return refusal(goose.CodeBadRequest, err.Error())
}

// settleError gives the error of a settlement its code. A lost answer may hide
// a settlement; repeating it is safe.
func settleError(err error) error {
	switch {
	case errors.Is(err, goose.ErrOutcomeUnknown):
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeUnsettled, Message: err.Error(), Run: goose.RunStateUnknown}
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return refusal(goose.CodeStoreUnavailable, err.Error())
	}
	return refusal(goose.CodeConflict, err.Error())
}
