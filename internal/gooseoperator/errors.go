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

// sendError sends an error response as JSON.
func (s *Server) sendError(c fiber.Ctx, err error) error {
	e := apiError(err, c.Method() == fiber.MethodGet || c.Method() == fiber.MethodHead)
	return c.Status(e.Status).JSON(errorBody{Error: e})
}

// apiError returns the error response for err. If readOnly is set, the message does not say
// that nothing was changed.
func apiError(err error, readOnly bool) *APIError {
	var apiErr *APIError
	var invalid *gooseconfig.InvalidError
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &invalid):
		e := refusal(goose.CodeBadRequest, "the configuration is not valid")
		e.Problems = invalid.Problems
		return e
	case errors.As(err, &fiberErr):
		return &APIError{Status: fiberErr.Code, Code: goose.CodeForStatus(fiberErr.Code), Message: fiberErr.Message, Run: goose.RunStateNotRun}
	case errors.Is(err, gooseconfig.ErrConflict):
		return refusal(goose.CodeConflict, err.Error())
	case errors.Is(err, gooseconfig.ErrNotFound):
		return &APIError{Status: http.StatusNotFound, Code: goose.CodeNotFound, Message: err.Error(), Run: goose.RunStateNotRun}
	case errors.Is(err, gooseconfig.ErrChangeOutcomeUnknown):
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeOutcomeUnknown, Message: err.Error(), Run: goose.RunStateUnknown}
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, goose.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		message := "the store does not answer; nothing was changed: "
		if readOnly {
			message = "the store does not answer: "
		}
		return refusal(goose.CodeStoreUnavailable, message+err.Error())
	}
	return refusal(goose.CodeBadRequest, err.Error())
}

// settleError returns the error response for an order that was not settled. If the store's
// response was lost, the order may be settled; repeating the request is safe.
func settleError(err error) error {
	switch {
	case errors.Is(err, goose.ErrOutcomeUnknown):
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeOutcomeUnknown, Message: err.Error(), Run: goose.RunStateUnknown}
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return refusal(goose.CodeStoreUnavailable, err.Error())
	}
	return refusal(goose.CodeConflict, err.Error())
}
