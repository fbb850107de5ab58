package gooseserve

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
)

// Guards against an instance that keeps an expired certificate although its
// files were renewed, and against one that starts to use files with which peers
// would reject it.
func TestCertificateFiles(t *testing.T) {
	t.Parallel()
	now := time.Now()
	authority, err := goosecert.NewAuthority("test", now, 1000*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := goosesettings.Settings{
		Instance: "leith-1", Certificate: filepath.Join(dir, "i.pem"), Key: filepath.Join(dir, "i.key"), Authority: filepath.Join(dir, "ca.pem"),
	}
	if err := authority.Write(s.Authority, filepath.Join(dir, "ca.key"), false); err != nil {
		t.Fatal(err)
	}
	issue := func(name goose.InstanceID, from time.Time, valid time.Duration) {
		p, err := goosecert.NewInstanceCertificate(authority, name, []net.IP{net.IPv4(127, 0, 0, 1)}, from, valid)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Write(s.Certificate, s.Key, true); err != nil {
			t.Fatal(err)
		}
	}
	issue("leith-1", now, 100*time.Hour)
	c, err := readCertificate(s, now)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	f := newCertificateFiles(s, c.Certificates[0], slog.New(slog.NewTextHandler(&log, nil)))
	steps := []struct {
		name   string
		change func()
		at     time.Duration
		want   bool
		event  string
	}{
		{"unchanged", func() {}, 0, false, ""},
		{"expires soon", func() {}, 95 * time.Hour, false, "event=108"},
		{"already warned", func() {}, 96 * time.Hour, false, ""},
		{"a day later", func() {}, 120 * time.Hour, false, "event=108"},
		{"certificate of another instance", func() { issue("leith-2", now, 300*time.Hour) }, 121 * time.Hour, false, "event=107"},
		{"key file truncated", func() { _ = os.Truncate(s.Key, 0) }, 122 * time.Hour, false, "event=107"},
		{"renewed", func() { issue("leith-1", now, 400*time.Hour) }, 123 * time.Hour, true, "event=106"},
		{"already in use", func() {}, 124 * time.Hour, false, ""},
	}
	for _, tt := range steps {
		log.Reset()
		tt.change()
		if _, got := f.check(now.Add(tt.at)); got != tt.want || !strings.Contains(log.String(), tt.event) || tt.event == "" && log.Len() > 0 {
			t.Errorf("%s: got %v and %q, want %v and %q", tt.name, got, log.String(), tt.want, tt.event)
		}
	}
}
