package masticdaemon

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// certificateReloader provides a TLS key pair and reloads it when the certificate file changes.
type certificateReloader struct {
	certificateFile, keyFile string

	mu       sync.Mutex
	modified time.Time
	current  *tls.Certificate
}

// newCertificateReloader loads the key pair, so that an invalid file fails the start-up.
func newCertificateReloader(certificateFile, keyFile string) (*certificateReloader, error) {
	c := &certificateReloader{certificateFile: certificateFile, keyFile: keyFile}
	_, err := c.get(nil)
	return c, err
}

func (c *certificateReloader) config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

// get returns the current key pair, reloaded if the certificate file's modification time changed.
// If reloading fails, the previous key pair stays in use.
func (c *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificateFile)
	if err == nil && (c.current == nil || info.ModTime() != c.modified) {
		err = c.load(info.ModTime())
	}
	if c.current != nil {
		return c.current, nil
	}
	return nil, eris.Wrap(err, "certificate")
}

func (c *certificateReloader) load(modified time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current = &pair
	c.modified = modified
	return nil
}
