package gooseentry

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/gofiber/fiber/v3"
)

// Guards against a refusal that its caller never receives because the
// connection is reset while its body is unread.
func TestRefusalArrivesBeforeBody(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		size       int
		connection string
	}{
		"small body, closing":     {64 << 10, "close"},
		"large body, closing":     {4 << 20, "close"},
		"large body, kept alive":  {4 << 20, "keep-alive"},
		"larger than the maximum": {12 << 20, "keep-alive"},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New((&Entry{}).FiberConfig())
	app.Post("/", func(c fiber.Ctx) error { return c.Status(fiber.StatusUnauthorized).SendString("refused") })
	go func() { _ = app.Listener(NewListener(l, nil, nil), fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", tt.connection, tt.size)
			if _, err := c.Write(append([]byte(head), bytes.Repeat([]byte("a"), tt.size)...)); err != nil {
				t.Fatalf("got %v while the body was sent, want it taken", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("got %v, want the refusal", err)
			}
			_ = resp.Body.Close()
			if got, want := resp.StatusCode, http.StatusUnauthorized; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
		})
	}
}
