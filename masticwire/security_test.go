package masticwire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticerror"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	key := newKey(t)
	template := certificateTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	requireNoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	requireNoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// write writes the authority's certificate and a new host certificate and key into folder.
func (a *authority) write(t *testing.T, folder string) (authorityFile, certificateFile, keyFile string) {
	key := newKey(t)
	template := certificateTemplate("host")
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	requireNoError(t, err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	requireNoError(t, err)
	authorityFile = writePEM(t, folder, "authority.pem", "CERTIFICATE", a.certificate.Raw)
	certificateFile = writePEM(t, folder, "host.pem", "CERTIFICATE", der)
	keyFile = writePEM(t, folder, "host.key", "PRIVATE KEY", keyBytes)
	return authorityFile, certificateFile, keyFile
}

func testSecurity(t *testing.T, name string) *Security {
	s, err := NewSecurity(newAuthority(t, name).write(t, t.TempDir()))
	requireNoError(t, err)
	return s
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(t, err)
	return key
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func writePEM(t *testing.T, folder, name, kind string, der []byte) string {
	path := filepath.Join(folder, name)
	requireNoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newSilentListener returns the address of a listener that accepts connections and sends nothing.
func newSilentListener(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func TestPeerWithoutFleetCertificateIsRejected(t *testing.T) {
	c := quicktest.New(t)
	fleet := newAuthority(t, "fleet")
	security, err := NewSecurity(fleet.write(t, t.TempDir()))
	c.Assert(err, quicktest.IsNil)
	w := New(WithSecurity(security))
	s, e := serve(t, w)

	member, err := NewSecurity(fleet.write(t, t.TempDir()))
	c.Assert(err, quicktest.IsNil)
	_, err = connect(t, New(WithSecurity(member)), s.Address()).Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(e.calls.Load(), quicktest.Equals, int64(1))

	for _, untrustedWire := range []*Wire{New(), New(WithSecurity(testSecurity(t, "other")))} {
		_, err := connect(t, untrustedWire, s.Address()).Call(withTimeout(t, testTimeout), namedRequest("one"))
		c.Assert(err, quicktest.IsNotNil)
	}
	foreign := testSecurity(t, "other")
	impostor := &Security{
		authorityFile:   security.authorityFile,
		certificateFile: foreign.certificateFile,
		keyFile:         foreign.keyFile,
	}
	_, err = connect(t, New(WithSecurity(impostor)), s.Address()).Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(e.calls.Load(), quicktest.Equals, int64(1))

	untrustedServer, _ := serve(t, New(WithSecurity(foreign)))
	_, err = connect(t, w, untrustedServer.Address()).Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNoQuorum)
}

func TestChangedCertificatesAreReloaded(t *testing.T) {
	c := quicktest.New(t)
	folder := t.TempDir()
	security, err := NewSecurity(newAuthority(t, "old").write(t, folder))
	c.Assert(err, quicktest.IsNil)
	w := New(WithSecurity(security))
	s, _ := serve(t, w)

	next := newAuthority(t, "new")
	next.write(t, folder)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"authority.pem", "host.pem", "host.key"} {
		c.Assert(os.Chtimes(filepath.Join(folder, name), later, later), quicktest.IsNil)
	}
	member, err := NewSecurity(next.write(t, t.TempDir()))
	c.Assert(err, quicktest.IsNil)
	_, err = connect(t, New(WithSecurity(member)), s.Address()).Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(err, quicktest.IsNil)
}
