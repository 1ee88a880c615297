package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Keyring holds a process's current certificate and authorities. Load replaces
// them without a restart; only new connections use the new ones. It is safe for
// concurrent use.
type Keyring struct {
	// deployment is the only deployment whose certificates are accepted.
	deployment string
	current    atomic.Pointer[keySet]
	now        func() time.Time
}

type keySet struct {
	cert        tls.Certificate
	authorities *x509.CertPool
}

// NewKeyring returns a keyring with a pair and the PEM certificates of the
// trusted authorities.
func NewKeyring(deployment string, pair Pair, authorities []byte, now func() time.Time) (*Keyring, error) {
	r := &Keyring{deployment: deployment, now: now}
	if err := r.Load(pair, authorities); err != nil {
		return nil, err
	}
	return r, nil
}

// Load replaces the pair and the authorities. On an error the previous ones
// stay in use.
func (r *Keyring) Load(pair Pair, authorities []byte) error {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return errors.Wrap(err, "read the certificate and its key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return errors.New("the PEM text of the authorities contains no certificate")
	}
	holder, err := CertificateIdentity(cert.Leaf)
	if err != nil {
		return err
	}
	if holder.Deployment != r.deployment {
		return errors.Errorf("the certificate is for deployment %q, expected %q", holder.Deployment, r.deployment)
	}
	r.current.Store(&keySet{cert: cert, authorities: pool})
	return nil
}

// Identity returns the holder of the current certificate.
func (r *Keyring) Identity() (Identity, error) {
	return CertificateIdentity(r.current.Load().cert.Leaf)
}

// ExpiresAt returns the time at which the current certificate expires.
func (r *Keyring) ExpiresAt() time.Time {
	return r.current.Load().cert.Leaf.NotAfter
}

// ServerConfig returns a TLS configuration for servers that requires client
// certificates with a role.
func (r *Keyring) ServerConfig(role Role, protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := r.Verify(s.PeerCertificates, role)
			return err
		},
	}
}

// ClientConfig returns a TLS configuration for clients that requires a server
// certificate with a role and, unless name is empty, with that name.
func (r *Keyring) ClientConfig(role Role, name, protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// VerifyConnection verifies the peer by its URI; it has no DNS name.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			peer, err := r.Verify(s.PeerCertificates, role)
			if err != nil {
				return err
			}
			if name != "" && peer.Name != name {
				return errors.Errorf("the peer's certificate is for %q, expected %q", peer.Name, name)
			}
			return nil
		},
	}
}

// Verify checks that a peer's certificate is signed by a trusted authority,
// valid now, and issued for this deployment and for role.
func (r *Keyring) Verify(certs []*x509.Certificate, role Role) (Identity, error) {
	if len(certs) == 0 {
		return Identity{}, errors.New("the peer presented no certificate")
	}
	peer, err := CertificateIdentity(certs[0])
	if err != nil {
		return Identity{}, err
	}
	if peer.Deployment != r.deployment {
		return peer, errors.Errorf("the peer's certificate is for deployment %q, expected %q", peer.Deployment, r.deployment)
	}
	if peer.Role != role {
		return peer, errors.Errorf("the peer's certificate has role %q, expected %q", peer.Role, role)
	}
	_, err = certs[0].Verify(x509.VerifyOptions{
		Roots:       r.current.Load().authorities,
		CurrentTime: r.now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return peer, errors.Wrap(err, "verify the peer's certificate")
}

// PairIdentity returns the holder that a pair's certificate names.
func PairIdentity(pair Pair) (Identity, error) {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "read the certificate and its key")
	}
	return CertificateIdentity(cert.Leaf)
}
