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

// Guards against an instance that drops out when its certificate expires
// although the files were renewed, and against one that takes files which would
// cut it off.
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
		p, err := goosecert.NewInstance(authority, name, []net.IP{net.IPv4(127, 0, 0, 1)}, from, valid)
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
		{"ends soon", func() {}, 95 * time.Hour, false, "event=108"},
		{"warned already", func() {}, 96 * time.Hour, false, ""},
		{"a day later", func() {}, 120 * time.Hour, false, "event=108"},
		{"certificate of another instance", func() { issue("leith-2", now, 300*time.Hour) }, 121 * time.Hour, false, "event=107"},
		{"half replaced", func() { _ = os.Truncate(s.Key, 0) }, 122 * time.Hour, false, "event=107"},
		{"renewed", func() { issue("leith-1", now, 400*time.Hour) }, 123 * time.Hour, true, "event=106"},
		{"in use", func() {}, 124 * time.Hour, false, ""},
	}
	for _, tt := range steps {
		log.Reset()
		tt.change()
		if _, got := f.check(now.Add(tt.at)); got != tt.want || !strings.Contains(log.String(), tt.event) || tt.event == "" && log.Len() > 0 {
			t.Errorf("%s: got %v and %q, want %v and %q", tt.name, got, log.String(), tt.want, tt.event)
		}
	}
}
