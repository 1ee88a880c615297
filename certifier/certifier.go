// Package certifier issues and verifies the certificates by which VMs and
// operators authenticate to each other.
//
// A certificate names its holder by one URI:
// figtrack://DEPLOYMENT/ROLE/NAME.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Role determines what the holder of a certificate may do.
type Role string

// The roles of certificates.
const (
	RoleVM       Role = "vm"
	RoleOperator Role = "operator"
)

// Identity is the holder that a certificate names.
type Identity struct {
	Deployment string
	Role       Role
	Name       string
}

const (
	uriScheme = "figtrack"
	// clockSkew is how long before its issue a certificate becomes valid, so
	// that VMs with a clock behind the issuer's accept it.
	clockSkew = 5 * time.Minute
	// serialBits is the size of the random serial number of a certificate.
	serialBits = 120
)

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority is a certificate authority of one deployment.
type Authority struct {
	deployment string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	pair       Pair
}

// NewAuthority creates an authority with a self-signed certificate that is
// valid from now for lifetime.
func NewAuthority(deployment string, now time.Time, lifetime time.Duration) (*Authority, error) {
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return nil, err
	}
	template.Subject = pkix.Name{CommonName: deployment + " authority"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	pair, err := signCertificate(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(deployment, pair)
}

// LoadAuthority returns the authority with the certificate and key of pair.
func LoadAuthority(deployment string, pair Pair) (*Authority, error) {
	block, _ := pem.Decode(pair.Certificate)
	if block == nil {
		return nil, errors.New("the authority's certificate is not PEM")
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	block, _ = pem.Decode(pair.Key)
	if block == nil {
		return nil, errors.New("the authority's key is not PEM")
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's key")
	}
	return &Authority{deployment: deployment, cert: cert, key: key, pair: pair}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue creates a key and a certificate for a VM or an operator, valid from now
// for lifetime.
func (a *Authority) Issue(role Role, name string, now time.Time, lifetime time.Duration) (Pair, error) {
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.Subject = pkix.Name{CommonName: name}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: a.deployment, Path: "/" + string(role) + "/" + name}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "generate the key of %s %q", role, name)
	}
	return signCertificate(template, a.cert, key, a.key)
}

func newTemplate(now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func signCertificate(template, parent *x509.Certificate, key, signerKey *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signerKey)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "sign the certificate of %q", template.Subject.CommonName)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}),
	}, nil
}

// CertificateIdentity returns the holder that a certificate names.
func CertificateIdentity(cert *x509.Certificate) (Identity, error) {
	if len(cert.URIs) != 1 || cert.URIs[0].Scheme != uriScheme {
		return Identity{}, errors.Errorf("the certificate of %q has no URI figtrack://DEPLOYMENT/ROLE/NAME that names its holder", cert.Subject.CommonName)
	}
	parts := strings.Split(strings.TrimPrefix(cert.URIs[0].Path, "/"), "/")
	if len(parts) != 2 {
		return Identity{}, errors.Errorf("the certificate names its holder by %s, expected figtrack://DEPLOYMENT/ROLE/NAME", cert.URIs[0])
	}
	return Identity{
		Deployment: cert.URIs[0].Host,
		Role:       Role(parts[0]),
		Name:       parts[1],
	}, nil
}
