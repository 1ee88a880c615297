package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Keyring holds a process's present certificate and authorities. Load
// replaces them without a restart; connections made afterwards use the new
// ones.
type Keyring struct {
	// Deployment is the only deployment whose certificates are accepted.
	deployment string
	keys       atomic.Pointer[keys]
	now        func() time.Time
}

type keys struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// NewKeyring returns a keyring with a first pair and authorities, both PEM.
func NewKeyring(deployment string, pair Pair, authorities []byte, now func() time.Time) (*Keyring, error) {
	r := &Keyring{deployment: deployment, now: now}
	if err := r.Load(pair, authorities); err != nil {
		return nil, err
	}
	return r, nil
}

// Load replaces the pair and the authorities. On an error the earlier ones
// stay in use.
func (r *Keyring) Load(pair Pair, authorities []byte) error {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return errors.Wrap(err, "read the certificate and its key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return errors.New("no authority's certificate found in the PEM text")
	}
	holder, err := IdentityOf(cert.Leaf)
	if err != nil {
		return err
	}
	if holder.Deployment != r.deployment {
		return errors.Errorf("the certificate is for deployment %q, this is %q", holder.Deployment, r.deployment)
	}
	r.keys.Store(&keys{cert: cert, pool: pool})
	return nil
}

// Identity returns the holder of the present certificate.
func (r *Keyring) Identity() (Identity, error) {
	return IdentityOf(r.keys.Load().cert.Leaf)
}

// Expires returns the end of the present certificate.
func (r *Keyring) Expires() time.Time {
	return r.keys.Load().cert.Leaf.NotAfter
}

// Server returns a configuration that demands a certificate of role.
func (r *Keyring) Server(role Role, protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.keys.Load().cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := r.Verify(s.PeerCertificates, role)
			return err
		},
	}
}

// Client returns a configuration that demands a server of a role and name.
func (r *Keyring) Client(role Role, name, protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// The peer is verified below by its URI; it has no DNS name.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.keys.Load().cert, nil
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

// Verify checks a peer's certificates against the authorities, the time, the
// deployment and the role.
func (r *Keyring) Verify(certs []*x509.Certificate, role Role) (Identity, error) {
	if len(certs) == 0 {
		return Identity{}, errors.New("the peer shows no certificate")
	}
	peer, err := IdentityOf(certs[0])
	if err != nil {
		return Identity{}, err
	}
	if peer.Deployment != r.deployment {
		return peer, errors.Errorf("the peer's certificate is for deployment %q, this is %q", peer.Deployment, r.deployment)
	}
	if peer.Role != role {
		return peer, errors.Errorf("the peer's certificate has role %q, %q is needed here", peer.Role, role)
	}
	_, err = certs[0].Verify(x509.VerifyOptions{
		Roots:       r.keys.Load().pool,
		CurrentTime: r.now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return peer, errors.Wrap(err, "the peer's certificate")
}

// HolderOf reads the holder from a pair's certificate.
func HolderOf(pair Pair) (Identity, error) {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "read the certificate and its key")
	}
	return IdentityOf(cert.Leaf)
}
