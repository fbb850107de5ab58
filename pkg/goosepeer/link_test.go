package goosepeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"
)

// authority is a certificate authority for tests.
type authority struct {
	goosecert.KeyPair
	pool *x509.CertPool
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	p, err := goosecert.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(p.Certificate)
	return authority{KeyPair: p, pool: pool}
}

func (a authority) issue(t testing.TB, name string) tls.Certificate {
	t.Helper()
	p, err := goosecert.NewInstanceCertificate(a.KeyPair, goose.InstanceID(name), nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newLink(t testing.TB, a authority, name string) *Link {
	t.Helper()
	l, err := New("127.0.0.1:0", a.issue(t, name), a.pool, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.Handle("echo", func(_ context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
		var s string
		if err := decode(&s); err != nil {
			return nil, err
		}
		if s == "fail" {
			return nil, errors.New("asked to fail")
		}
		return string(from) + ":" + s, nil
	})
	l.Handle("wait", func(ctx context.Context, _ goose.InstanceID, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	l.Start()
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// Guards against replies to the wrong caller and against errors that are lost.
func TestCall(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	a, b := newLink(t, ca, "a"), newLink(t, ca, "b")
	tests := map[string]struct {
		kind, body, want, wantErr string
	}{
		"reply names the caller": {"echo", "hello", "a:hello", ""},
		"handler error":          {"echo", "fail", "", "asked to fail"},
		"unknown kind":           {"nothing", "", "", `unknown kind "nothing"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got string
			err := a.Call(testContext(t), b.Address(), tt.kind, tt.body, &got)
			if tt.wantErr == "" {
				if err != nil || got != tt.want {
					t.Errorf("got %q, %v, want %q", got, err, tt.want)
				}
				return
			}
			var remote *RemoteError
			if !errors.As(err, &remote) || remote.Message != tt.wantErr {
				t.Errorf("got error %v, want %q", err, tt.wantErr)
			}
		})
	}
}

// Guards against peer calls from or to a process outside the fleet.
func TestForeignCertificateRejected(t *testing.T) {
	t.Parallel()
	ca, other := newAuthority(t), newAuthority(t)
	a, foreign := newLink(t, ca, "a"), newLink(t, other, "x")
	if err := foreign.Call(testContext(t), a.Address(), "echo", "hello", nil); err == nil {
		t.Error("got a reply to a call with a foreign certificate, want an error")
	}
	if err := a.Call(testContext(t), foreign.Address(), "echo", "hello", nil); err == nil {
		t.Error("got a reply from an instance with a foreign certificate, want an error")
	}
}

// Guards against a link that does not present its renewed certificate on new
// connections, both as the caller and as the called instance.
func TestSetCertificate(t *testing.T) {
	t.Parallel()
	ca, other := newAuthority(t), newAuthority(t)
	a, b := newLink(t, ca, "a"), newLink(t, ca, "b")
	a.SetCertificate(other.issue(t, "a"))
	for from, to := range map[*Link]*Link{a: b, b: a} {
		if err := from.Call(testContext(t), to.Address(), "echo", "hello", nil); err == nil {
			t.Error("got a reply although one certificate is of a foreign authority")
		}
	}
	a.SetCertificate(ca.issue(t, "a2"))
	for from, to := range map[*Link]*Link{a: b, b: a} {
		for ctx := testContext(t); from.Call(ctx, to.Address(), "echo", "hello", nil) != nil; {
			if ctx.Err() != nil {
				t.Fatal("got no reply after the certificate was renewed")
			}
			time.Sleep(dialTimeout / 10) // a failed connection is not tried again at once
		}
	}
}

// Guards against handlers that continue after the caller has cancelled the call.
func TestCancelReachesHandler(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	a, b := newLink(t, ca, "a"), newLink(t, ca, "b")
	started, ended := make(chan struct{}), make(chan struct{})
	b.Handle("cancelled", func(ctx context.Context, _ goose.InstanceID, _ func(any) error) (any, error) {
		defer close(ended)
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan error, 1)
	go func() { done <- a.Call(ctx, b.Address(), "cancelled", nil, nil) }()
	select {
	case <-started:
	case <-testContext(t).Done():
		t.Error("handler did not start")
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	select {
	case <-ended:
	case <-testContext(t).Done():
		t.Error("handler did not end after the call was cancelled")
	}
}

// Guards against a link that cannot call an instance again after the instance has
// restarted.
func TestRedialAfterRestart(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	a, b := newLink(t, ca, "a"), newLink(t, ca, "b")
	ctx := testContext(t)
	if err := a.Call(ctx, b.Address(), "echo", "one", nil); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	_ = b.Close()
	if err := a.Call(ctx, address, "echo", "two", nil); err == nil {
		t.Error("got a reply from a closed link")
	}
	restarted, err := New(address, ca.issue(t, "b"), ca.pool, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = restarted.Close() }()
	restarted.Handle("echo", func(context.Context, goose.InstanceID, func(any) error) (any, error) { return "back", nil })
	restarted.Start()
	var got string
	for ctx.Err() == nil && got == "" {
		_ = a.Call(ctx, address, "echo", "three", &got)
		time.Sleep(50 * time.Millisecond)
	}
	if want := "back"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

var messageSeed, _ = cbor.Marshal(callRequest{Kind: "echo", Body: cbor.RawMessage{0x61, 0x61}})

// Guards against a decoder that panics on bytes from the network.
var messagesTarget = goosefuzz.Target{
	Runs:  500_000,
	Seeds: [][]any{{messageSeed}, {[]byte{0xff}}},
	Check: func(_ *testing.T, b []byte) {
		var req callRequest
		if cbor.Unmarshal(b, &req) == nil {
			var heartbeat goose.Member
			_ = cbor.Unmarshal(req.Body, &heartbeat)
		}
		var reply callReply
		if cbor.Unmarshal(b, &reply) == nil {
			var permit goose.PermitReply
			_ = cbor.Unmarshal(reply.Body, &permit)
		}
	},
}

func FuzzMessages(f *testing.F)     { messagesTarget.Fuzz(f) }
func TestFuzzMessages(t *testing.T) { messagesTarget.Test(t) }

// Guards against idle connections between all instances, whose keep-alives cost more
// than an instance may spend on control work, and against closing a connection on
// which a call waits.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	a, b, c := newLink(t, ca, "a"), newLink(t, ca, "b"), newLink(t, ca, "c")
	ctx, cancel := context.WithCancel(testContext(t))
	var reply string
	for _, to := range []*Link{b, c} {
		if err := a.Call(ctx, to.Address(), "echo", "hello", &reply); err != nil {
			t.Fatal(err)
		}
	}
	conn, release, err := a.dial(ctx, c.Address())
	if err != nil {
		t.Fatal(err)
	}
	a.closeUnusedConns(time.Now().Add(time.Second))
	if got := conn.Context().Err(); got != nil {
		t.Errorf("got %v for a connection in use, want it open", got)
	}
	a.connMu.Lock()
	connCount := len(a.conns)
	a.connMu.Unlock()
	if got, want := connCount, 1; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	release()
	a.closeUnusedConns(time.Now().Add(time.Second))
	if conn.Context().Err() == nil {
		t.Error("the unused connection is still open")
	}
	cancel()
	if err := a.Call(testContext(t), b.Address(), "echo", "again", &reply); err != nil || reply != "a:again" {
		t.Errorf("got %q, %v after a close, want a new connection", reply, err)
	}
}
