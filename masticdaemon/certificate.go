package masticdaemon

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// certificate is a key pair that is read again when its file changes.
type certificate struct {
	certificateFile, keyFile string

	mu       sync.Mutex
	modified time.Time
	current  *tls.Certificate
}

// newCertificate reads the key pair once, so that a wrong file is an error at the start.
func newCertificate(certificateFile, keyFile string) (*certificate, error) {
	c := &certificate{certificateFile: certificateFile, keyFile: keyFile}
	_, err := c.get(nil)
	return c, err
}

func (c *certificate) config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

// get returns the newest key pair. A file that cannot be read leaves the former one in use.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificateFile)
	if err == nil && (c.current == nil || info.ModTime() != c.modified) {
		err = c.read(info.ModTime())
	}
	if c.current != nil {
		return c.current, nil
	}
	return nil, eris.Wrap(err, "certificate")
}

func (c *certificate) read(modified time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current = &pair
	c.modified = modified
	return nil
}
