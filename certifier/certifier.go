// Package certifier makes and checks the keys that VMs and operators show
// each other.
//
// A certificate names its holder in one URI:
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

// Role is what the holder of a certificate may do.
type Role string

// The roles of certificates.
const (
	RoleVM       Role = "vm"
	RoleOperator Role = "operator"
)

// Identity is the holder named by a certificate.
type Identity struct {
	Deployment string
	Role       Role
	Name       string
}

const (
	scheme = "figtrack"
	// clockSkew is how far a certificate's start lies before its making.
	clockSkew = 5 * time.Minute
	// serialBits is the length of a certificate's serial number.
	serialBits = 120
)

// Pair is a certificate with its private key, both PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs certificates of one deployment.
type Authority struct {
	deployment string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	pair       Pair
}

// NewAuthority makes an authority that is valid from now for life.
func NewAuthority(deployment string, now time.Time, life time.Duration) (*Authority, error) {
	template, err := newTemplate(now, life)
	if err != nil {
		return nil, err
	}
	template.Subject = pkix.Name{CommonName: deployment + " authority"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(deployment, pair)
}

// LoadAuthority reads an authority from its PEM pair.
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

// Issue makes a certificate for a VM or an operator.
func (a *Authority) Issue(role Role, name string, now time.Time, life time.Duration) (Pair, error) {
	template, err := newTemplate(now, life)
	if err != nil {
		return Pair{}, err
	}
	template.Subject = pkix.Name{CommonName: name}
	template.URIs = []*url.URL{{Scheme: scheme, Host: a.deployment, Path: "/" + string(role) + "/" + name}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make a key")
	}
	return sign(template, a.cert, key, a.key)
}

func newTemplate(now time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign a certificate")
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

// IdentityOf reads the holder from a certificate.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	if len(cert.URIs) != 1 || cert.URIs[0].Scheme != scheme {
		return Identity{}, errors.New("the certificate names no holder")
	}
	parts := strings.Split(strings.TrimPrefix(cert.URIs[0].Path, "/"), "/")
	if len(parts) != 2 {
		return Identity{}, errors.Errorf("the certificate's holder %s is not ROLE/NAME", cert.URIs[0])
	}
	return Identity{
		Deployment: cert.URIs[0].Host,
		Role:       Role(parts[0]),
		Name:       parts[1],
	}, nil
}
