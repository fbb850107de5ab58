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
	// certificateInterval is the time between two reads of the certificate files.
	certificateInterval = time.Minute
	// expiryWarning is the time between two warnings of one certificate.
	expiryWarning = 24 * time.Hour
)

// readCertificate reads the instance's certificate files and checks them.
func readCertificate(s goosesettings.Settings, now time.Time) (*tls.Config, error) {
	c, err := goosecert.TLSConfig(s.Certificate, s.Key, s.Authority, now)
	if err != nil {
		return nil, err
	}
	return c, errors.Wrapf(certifies(c.Certificates[0].Leaf, s.Instance), "setting certificate %s", s.Certificate)
}

// certifies rejects a certificate of another instance: peers know the sender of
// a call by its certificate.
func certifies(leaf *x509.Certificate, name goose.InstanceID) error {
	for _, n := range leaf.DNSNames {
		if n == string(name) {
			return nil
		}
	}
	return errors.Errorf("certificate names %v, not instance %q", leaf.DNSNames, name)
}

// certificateFiles notices renewed certificate files while the instance runs.
type certificateFiles struct {
	settings goosesettings.Settings
	log      *slog.Logger
	inUse    *x509.Certificate
	// judged are the files as last read; unchanged files are not judged again.
	judged goosecert.Pair
	// warned is when the expiry was last logged.
	warned time.Time
}

func newCertificateFiles(s goosesettings.Settings, inUse tls.Certificate, log *slog.Logger) *certificateFiles {
	return &certificateFiles{settings: s, log: log, inUse: inUse.Leaf}
}

// check returns the certificate of the files if it is to replace the one in use.
// Files that cannot be used are logged and change nothing: the two files are not
// replaced in one step.
func (f *certificateFiles) check(now time.Time) (tls.Certificate, bool) {
	f.warnOfExpiry(now)
	// A file that cannot be read counts as an empty one.
	files, _ := goosecert.Read(f.settings.Certificate, f.settings.Key)
	if bytes.Equal(files.Certificate, f.judged.Certificate) && bytes.Equal(files.Key, f.judged.Key) {
		return tls.Certificate{}, false
	}
	f.judged = files
	c, err := readCertificate(f.settings, now)
	if err != nil {
		gooseevent.CertificateUnusable.Log(f.log, "error", err)
		return tls.Certificate{}, false
	}
	leaf := c.Certificates[0].Leaf
	if bytes.Equal(leaf.Raw, f.inUse.Raw) {
		return tls.Certificate{}, false
	}
	f.inUse, f.warned = leaf, time.Time{}
	gooseevent.CertificateRenewed.Log(f.log, "not-after", leaf.NotAfter)
	return c.Certificates[0], true
}

func (f *certificateFiles) warnOfExpiry(now time.Time) {
	left, life := f.inUse.NotAfter.Sub(now), f.inUse.NotAfter.Sub(f.inUse.NotBefore)
	if left > life/10 || now.Sub(f.warned) < expiryWarning {
		return
	}
	f.warned = now
	gooseevent.CertificateExpires.Log(f.log, "not-after", f.inUse.NotAfter)
}

// renewCertificate follows the certificate files until ctx ends.
func (i *instance) renewCertificate(ctx context.Context) {
	for goose.Sleep(ctx, certificateInterval) {
		if c, ok := i.certificate.check(time.Now()); ok {
			i.link.Renew(c)
		}
	}
}
