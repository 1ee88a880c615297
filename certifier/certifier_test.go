package certifier_test

import (
	"crypto/x509"
	"encoding/pem"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/certifier"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const lifetime = time.Hour

func parseCertificate(g *WithT, pair certifier.Pair) []*x509.Certificate {
	block, _ := pem.Decode(pair.Certificate)
	cert, err := x509.ParseCertificate(block.Bytes)
	g.Expect(err).NotTo(HaveOccurred())
	return []*x509.Certificate{cert}
}

func TestVerifyChecksAuthorityTimeDeploymentAndRole(t *testing.T) {
	g := NewWithT(t)
	now := start
	own, err := certifier.NewAuthority("himal", start, 10*lifetime)
	g.Expect(err).NotTo(HaveOccurred())
	stranger, err := certifier.NewAuthority("himal", start, 10*lifetime)
	g.Expect(err).NotTo(HaveOccurred())
	other, err := certifier.NewAuthority("tafelbaai", start, 10*lifetime)
	g.Expect(err).NotTo(HaveOccurred())

	issue := func(a *certifier.Authority, role certifier.Role) certifier.Pair {
		pair, err := a.Issue(role, "vm-1", start, lifetime)
		g.Expect(err).NotTo(HaveOccurred())
		return pair
	}
	vm := issue(own, certifier.RoleVM)
	ring, err := certifier.NewKeyring("himal", vm, own.Pair().Certificate, func() time.Time { return now })
	g.Expect(err).NotTo(HaveOccurred())

	peer, err := ring.Verify(parseCertificate(g, vm), certifier.RoleVM)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peer).To(Equal(certifier.Identity{Deployment: "himal", Role: certifier.RoleVM, Name: "vm-1"}))

	_, err = ring.Verify(parseCertificate(g, issue(own, certifier.RoleOperator)), certifier.RoleVM)
	g.Expect(err).To(MatchError(ContainSubstring(`role "operator"`)))
	_, err = ring.Verify(parseCertificate(g, issue(other, certifier.RoleVM)), certifier.RoleVM)
	g.Expect(err).To(MatchError(ContainSubstring(`deployment "tafelbaai"`)))
	_, err = ring.Verify(parseCertificate(g, issue(stranger, certifier.RoleVM)), certifier.RoleVM)
	g.Expect(err).To(HaveOccurred())

	now = start.Add(2 * lifetime)
	_, err = ring.Verify(parseCertificate(g, vm), certifier.RoleVM)
	g.Expect(err).To(MatchError(ContainSubstring("expired")))
}

func TestLoadKeepsPreviousKeysOnError(t *testing.T) {
	g := NewWithT(t)
	own, err := certifier.NewAuthority("himal", start, 10*lifetime)
	g.Expect(err).NotTo(HaveOccurred())
	first, err := own.Issue(certifier.RoleVM, "vm-1", start, lifetime)
	g.Expect(err).NotTo(HaveOccurred())
	ring, err := certifier.NewKeyring("himal", first, own.Pair().Certificate, time.Now)
	g.Expect(err).NotTo(HaveOccurred())

	g.Expect(ring.Load(certifier.Pair{}, own.Pair().Certificate)).NotTo(Succeed())
	g.Expect(ring.ExpiresAt()).To(BeTemporally("==", start.Add(lifetime)))

	second, err := own.Issue(certifier.RoleVM, "vm-1", start, 3*lifetime)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ring.Load(second, own.Pair().Certificate)).To(Succeed())
	g.Expect(ring.ExpiresAt()).To(BeTemporally("==", start.Add(3*lifetime)))
}
