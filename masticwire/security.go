package masticwire

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"masticladder/masticerror"
)

// Security provides the TLS credentials of this host. The files are reloaded when their
// modification times change. If that fails, the credentials loaded before stay in use.
type Security struct {
	authorityFile, certificateFile, keyFile string

	mutex       sync.Mutex
	loadedTimes [3]time.Time
	loaded      *credentials
}

type credentials struct {
	authority   *x509.CertPool
	certificate tls.Certificate
}

// NewSecurity loads the fleet's certificate authority and this host's certificate and key from
// PEM files.
func NewSecurity(authorityFile, certificateFile, keyFile string) (*Security, error) {
	s := &Security{authorityFile: authorityFile, certificateFile: certificateFile, keyFile: keyFile}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return s, nil
}

// current returns the latest credentials that were loaded successfully.
func (s *Security) current() (*credentials, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times, err := s.fileTimes()
	if err == nil && s.loaded != nil && times == s.loadedTimes {
		return s.loaded, nil
	}
	var fresh *credentials
	if err == nil {
		fresh, err = s.read()
	}
	if err != nil {
		if s.loaded != nil {
			return s.loaded, nil
		}
		return nil, masticerror.Wrap(err, masticerror.KindInternal, "read the fleet's certificates")
	}
	s.loaded, s.loadedTimes = fresh, times
	return fresh, nil
}

func (s *Security) fileTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, name := range []string{s.authorityFile, s.certificateFile, s.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (s *Security) read() (*credentials, error) {
	pem, err := os.ReadFile(s.authorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, masticerror.New(masticerror.KindBadRequest, "%s holds no certificate", s.authorityFile)
	}
	pair, err := tls.LoadX509KeyPair(s.certificateFile, s.keyFile)
	if err != nil {
		return nil, err
	}
	return &credentials{authority: pool, certificate: pair}, nil
}

// config returns the TLS configuration for either side of a connection. Hosts are authenticated
// by the fleet's certificate authority and not by name, so verify replaces the verification of
// the standard library, which checks names.
func (s *Security) config(usage x509.ExtKeyUsage) (*tls.Config, error) {
	current, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{current.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, current.authority, usage)
		},
	}, nil
}

// verify checks that the peer's certificate is signed by the authority for the given usage.
func verify(state tls.ConnectionState, authority *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return masticerror.New(masticerror.KindUnauthenticated, "the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
