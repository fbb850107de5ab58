package gooseentry

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
)

// headsCut counts the connections that were closed because there was no memory for a head.
var headsCut = metrics.GetOrCreateCounter("gooseberryhold_caller_heads_cut_total")

// preloadedBodyBytes is how much of a body the HTTP server has read when it calls a handler.
const preloadedBodyBytes = 8 << 10

// boundHead marks the end of the head of a request, whose bytes the connection has counted, and the
// begin of the next one. The server keeps the memory of a head for as long as its connection is open,
// so that a connection closes after a head that counts.
func (e *Entry) boundHead(c fiber.Ctx) error {
	conn, ok := c.RequestCtx().Conn().(*lingerConn)
	if !ok {
		return c.Next()
	}
	if isFree := conn.endHead(); !isFree {
		c.RequestCtx().SetConnectionClose()
	}
	err := c.Next()
	if n := c.Request().Header.ContentLength(); c.Response().StatusCode() >= fiber.StatusBadRequest && (n < 0 || n > preloadedBodyBytes) {
		// A part of the body may be unread, which is no head.
		c.RequestCtx().SetConnectionClose()
	}
	if !c.Response().ConnectionClose() {
		conn.beginHead()
	}
	return err
}
