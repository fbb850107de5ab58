package gooseserve

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
)

const (
	// certificateReadInterval is the time between two reads of the certificate
	// files.
	certificateReadInterval = time.Minute
	// expiryWarningInterval is the time between two warnings about the same
	// certificate.
	expiryWarningInterval = 24 * time.Hour
)

// readCertificate reads the instance's certificate files and checks them.
func readCertificate(s goosesettings.Settings, now time.Time) (*tls.Config, error) {
	c, err := goosecert.TLSConfig(s.Certificate, s.Key, s.Authority, now)
	if err != nil {
		return nil, err
	}
	return c, errors.Wrapf(checkInstanceName(c.Certificates[0].Leaf, s.Instance), "setting certificate %s", s.Certificate)
}

// checkInstanceName rejects a certificate of another instance, because peers
// identify the sender of a call by its certificate.
func checkInstanceName(leaf *x509.Certificate, name goose.InstanceID) error {
	for _, n := range leaf.DNSNames {
		if n == string(name) {
			return nil
		}
	}
	return errors.Errorf("certificate names %v, not instance %q", leaf.DNSNames, name)
}

// certificateFiles detects renewed certificate files while the instance runs.
type certificateFiles struct {
	settings goosesettings.Settings
	log      *slog.Logger
	inUse    *x509.Certificate
	// lastRead holds the files as last read; unchanged files are not checked
	// again.
	lastRead goosecert.KeyPair
	// lastWarning is the time of the last warning about the expiry.
	lastWarning time.Time
}

func newCertificateFiles(s goosesettings.Settings, inUse tls.Certificate, log *slog.Logger) *certificateFiles {
	return &certificateFiles{settings: s, log: log, inUse: inUse.Leaf}
}

// check returns the certificate of the files if it should replace the one in
// use. Files that cannot be used are logged and change nothing: the two files
// are not replaced atomically, so one of them may still be the old one.
func (f *certificateFiles) check(now time.Time) (tls.Certificate, bool) {
	f.warnOfExpiry(now)
	// A file that cannot be read is treated as empty.
	files, _ := goosecert.Read(f.settings.Certificate, f.settings.Key)
	if bytes.Equal(files.Certificate, f.lastRead.Certificate) && bytes.Equal(files.Key, f.lastRead.Key) {
		return tls.Certificate{}, false
	}
	f.lastRead = files
	c, err := readCertificate(f.settings, now)
	if err != nil {
		gooseevent.CertificateUnusable.Log(f.log, "error", err)
		return tls.Certificate{}, false
	}
	leaf := c.Certificates[0].Leaf
	if bytes.Equal(leaf.Raw, f.inUse.Raw) {
		return tls.Certificate{}, false
	}
	f.inUse, f.lastWarning = leaf, time.Time{}
	gooseevent.CertificateRenewed.Log(f.log, "not-after", leaf.NotAfter)
	return c.Certificates[0], true
}

func (f *certificateFiles) warnOfExpiry(now time.Time) {
	left, life := f.inUse.NotAfter.Sub(now), f.inUse.NotAfter.Sub(f.inUse.NotBefore)
	if left > life/10 || now.Sub(f.lastWarning) < expiryWarningInterval {
		return
	}
	f.lastWarning = now
	gooseevent.CertificateExpiresSoon.Log(f.log, "not-after", f.inUse.NotAfter)
}

// watchCertificate reads the certificate files regularly until ctx ends and
// puts a renewed certificate into use.
func (i *instance) watchCertificate(ctx context.Context) {
	for goose.Sleep(ctx, certificateReadInterval) {
		if c, ok := i.certificate.check(time.Now()); ok {
			i.link.SetCertificate(c)
		}
	}
}
