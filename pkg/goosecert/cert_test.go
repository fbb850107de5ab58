package goosecert_test

import (
	"crypto/tls"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"

	"github.com/pkg/errors"
)

const year = 365 * 24 * time.Hour

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func newAuthority(t *testing.T, now time.Time) goosecert.KeyPair {
	t.Helper()
	a, err := goosecert.NewAuthority("test", now, year)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newTLSConfig writes the certificate files of an instance and returns the TLS
// configuration read from them.
func newTLSConfig(t *testing.T, a goosecert.KeyPair, name goose.InstanceID, now time.Time, validity time.Duration) (*tls.Config, error) {
	t.Helper()
	p, err := goosecert.NewInstanceCertificate(a, name, loopback, now, validity)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := func(n string) string { return filepath.Join(dir, n) }
	if err := errors.Wrap(firstError(a.Write(file("ca.pem"), file("ca.key"), false), p.Write(file("i.pem"), file("i.key"), false)), "write"); err != nil {
		t.Fatal(err)
	}
	return goosecert.TLSConfig(file("i.pem"), file("i.key"), file("ca.pem"), time.Now())
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against certificates that fail in mutual TLS on loopback, and against
// accepting a peer whose certificate is of another authority or for another name.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	now := time.Now()
	ownCA, otherCA := newAuthority(t, now), newAuthority(t, now)
	tests := map[string]struct {
		client goosecert.KeyPair
		name   string
		want   string
	}{
		"same authority":             {ownCA, "leith-1", ""},
		"client of other authority":  {otherCA, "leith-1", "certificate"},
		"server with other name":     {ownCA, "leith-2", "not leith-2"},
		"server by loopback address": {ownCA, "127.0.0.1", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := newTLSConfig(t, ownCA, "leith-1", now, year)
			if err != nil {
				t.Fatal(err)
			}
			client, err := newTLSConfig(t, tt.client, "leith-3", now, year)
			if err != nil {
				t.Fatal(err)
			}
			client.ServerName = tt.name
			err = handshake(t, server, client)
			if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err != nil {
			_ = a.Close()
		}
		done <- err
	}()
	if err := c.Handshake(); err != nil {
		_ = b.Close()
		return err
	}
	return <-done
}

// Guards against the use of an expired certificate, and against a certificate that
// expires later than its authority.
func TestExpiry(t *testing.T) {
	t.Parallel()
	now := time.Now()
	if _, err := newTLSConfig(t, newAuthority(t, now.Add(-time.Hour)), "leith-1", now.Add(-time.Hour), time.Minute); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("got %v, want an error about expiry", err)
	}
	if _, err := goosecert.NewInstanceCertificate(newAuthority(t, now.Add(-2*year)), "leith-1", nil, now, year); err == nil || !strings.Contains(err.Error(), "authority: expired") {
		t.Errorf("got %v, want an error about the authority's expiry", err)
	}
	if _, err := newTLSConfig(t, newAuthority(t, now), "leith-1", now, 100*year); err != nil {
		t.Errorf("got %v for a certificate that expires with its authority", err)
	}
}

// Guards against keys that other users can read, and against overwritten keys.
func TestWrite(t *testing.T) {
	t.Parallel()
	a := newAuthority(t, time.Now())
	certificate, key := filepath.Join(t.TempDir(), "a.pem"), filepath.Join(t.TempDir(), "a.key")
	if err := os.WriteFile(certificate, []byte("precious"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.Write(certificate, key, false); !errors.Is(err, fs.ErrExist) {
		t.Errorf("got %v, want %v", err, fs.ErrExist)
	}
	if _, err := os.Stat(key); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v, want no key file", err)
	}
	if err := a.Write(certificate, key, true); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(key)
	if err != nil || info.Mode() != 0o600 {
		t.Errorf("got %v, %v, want mode 0600", info.Mode(), err)
	}
	if i, err := goosecert.Inspect(certificate); err != nil || !i.Authority || i.Name != "test authority" {
		t.Errorf("got %+v, %v, want the authority", i, err)
	}
	if _, err := goosecert.Inspect(key); err == nil {
		t.Error("got no error for a key in place of a certificate")
	}
}
