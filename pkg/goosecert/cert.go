// Package goosecert creates the fleet's certificate authority and the certificates
// with which instances authenticate to each other.
package goosecert

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// maxClockSkew is how long before its creation a certificate becomes valid, so that
// machines whose clocks are behind accept it.
const maxClockSkew = 5 * time.Minute

// KeyPair is a certificate with its private key, both in PEM form.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns a new certificate authority that expires when the given
// validity has passed since now.
func NewAuthority(fleet string, now time.Time, validity time.Duration) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: fleet + " authority"},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	return issue(template, template, key.Public(), key, key)
}

// NewInstanceCertificate returns a certificate for an instance, signed by the authority. The
// certificate holds the instance's name as a DNS name and the addresses, of which
// there may be none. It expires no later than the authority's certificate.
func NewInstanceCertificate(authority KeyPair, name goose.InstanceID, addresses []net.IP, now time.Time, validity time.Duration) (KeyPair, error) {
	ca, caKey, err := authority.parse()
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "authority")
	}
	if !ca.IsCA {
		return KeyPair{}, errors.Errorf("authority: the certificate of %q cannot sign others", ca.Subject.CommonName)
	}
	if now.After(ca.NotAfter) {
		return KeyPair{}, errors.Errorf("authority: expired at %s", ca.NotAfter.Format(time.RFC3339))
	}
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	notAfter := now.Add(validity)
	if notAfter.After(ca.NotAfter) {
		notAfter = ca.NotAfter
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(name)},
		DNSNames:    []string{string(name)},
		IPAddresses: addresses,
		NotBefore:   now.Add(-maxClockSkew),
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		// Every instance is both a client and a server in peer calls.
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return issue(template, ca, key.Public(), caKey, key)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate key")
}

func issue(template, parent *x509.Certificate, public crypto.PublicKey, signer crypto.Signer, key *ecdsa.PrivateKey) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// parse returns the certificate and a signer with its private key.
func (p KeyPair) parse() (*x509.Certificate, crypto.Signer, error) {
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certificate and key")
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok {
		return nil, nil, errors.New("the key cannot sign")
	}
	return pair.Leaf, signer, nil
}
