package goosecert

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Modes of written files.
const (
	keyFileMode         fs.FileMode = 0o600
	certificateFileMode fs.FileMode = 0o644
)

// Read reads a certificate and its key from their files.
func Read(certificateFile, keyFile string) (KeyPair, error) {
	certificate, err := os.ReadFile(certificateFile)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "key")
	}
	return KeyPair{Certificate: certificate, Key: key}, nil
}

// Write writes the certificate and the key to their files. Only the owner can read
// the key file. Unless force is set, Write writes nothing if one of the files exists.
func (p KeyPair) Write(certificateFile, keyFile string, force bool) error {
	if !force {
		for _, f := range []string{certificateFile, keyFile} {
			if _, err := os.Lstat(f); err == nil {
				return errors.Wrapf(fs.ErrExist, "%s", f)
			} else if !errors.Is(err, fs.ErrNotExist) {
				return errors.Wrap(err, "check for an existing file")
			}
		}
	}
	if err := writeFile(keyFile, p.Key, keyFileMode, force); err != nil {
		return err
	}
	return writeFile(certificateFile, p.Certificate, certificateFileMode, force)
}

// writeFile creates the file atomically, so that an interrupted run leaves no
// partly written key.
func writeFile(name string, data []byte, mode fs.FileMode, force bool) error {
	temp, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+"-*")
	if err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	_, err = temp.Write(data)
	err = firstError(err, temp.Chmod(mode), temp.Sync(), temp.Close())
	if err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	if force {
		return errors.Wrapf(os.Rename(temp.Name(), name), "write %s", name)
	}
	// Unlike a rename, a hard link fails if the file was created in the meantime.
	return errors.Wrapf(os.Link(temp.Name(), name), "write %s", name)
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Info describes a certificate.
type Info struct {
	Name      string    `json:"name" yaml:"name"`
	Authority bool      `json:"authority" yaml:"authority"`
	Issuer    string    `json:"issuer" yaml:"issuer"`
	DNSNames  []string  `json:"dns-names,omitempty" yaml:"dns-names,omitempty"`
	Addresses []string  `json:"addresses,omitempty" yaml:"addresses,omitempty"`
	NotBefore time.Time `json:"not-before" yaml:"not-before"`
	NotAfter  time.Time `json:"not-after" yaml:"not-after"`
}

// Inspect describes the certificate in a PEM file.
func Inspect(file string) (Info, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Info{}, errors.Wrap(err, "certificate")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return Info{}, errors.Errorf("%s: holds no certificate in PEM form", file)
	}
	c, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return Info{}, errors.Wrap(err, file)
	}
	info := Info{
		Name: c.Subject.CommonName, Authority: c.IsCA, Issuer: c.Issuer.CommonName,
		DNSNames: c.DNSNames, NotBefore: c.NotBefore, NotAfter: c.NotAfter,
	}
	for _, ip := range c.IPAddresses {
		info.Addresses = append(info.Addresses, ip.String())
	}
	return info, nil
}

// TLSConfig returns the configuration of mutual TLS between instances: both sides
// must present a certificate that the authority has signed. A client must set
// ServerName to the name of the instance that it calls.
func TLSConfig(certificateFile, keyFile, authorityFile string, now time.Time) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", certificateFile, keyFile)
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s: holds no certificate in PEM form", authorityFile)
	}
	_, err = pair.Leaf.Verify(x509.VerifyOptions{
		Roots: roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s is not valid under authority %s", certificateFile, authorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: roots, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
