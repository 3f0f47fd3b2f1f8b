package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticadmin"
	"masticladder/masticproto"
)

// largeAnswerBytes is more than the buffers of two connections hold.
const largeAnswerBytes = 24 << 20

// largeAnswers answers each call with largeAnswerBytes.
type largeAnswers struct{}

func (largeAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswerBytes))
}

// TestPlannedStopCutsSlowCallers: a caller that reads its answer slowly must get all of it from a host that is being stopped.
func TestPlannedStopCutsSlowCallers(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "tls"}[secure], func(t *testing.T) {
			c := qt.New(t)
			b := &backends{change: testChange()}
			b.serve(t, "orders-1", largeAnswers{}, "service")
			b.change.Services = []*masticproto.Service{{Name: "orders", Servers: []string{"orders-1"}, Repeatable: true}}
			p := newFleet(t, 1)[0]
			scheme, authority, dial := "http://", newAuthority(t), net.Dial
			if secure {
				scheme, p.tls = "https://", authority.settings()
				p.writeSettings(0, []*process{p})
				pool := x509.NewCertPool()
				pool.AddCert(authority.certificate)
				dial = func(network, address string) (net.Conn, error) {
					return tls.Dial(network, address, &tls.Config{RootCAs: pool})
				}
			}
			p.start()
			admin := masticadmin.NewClient(scheme+p.admin, masticadmin.WithAuthority(authority.file("authority.pem")))
			waitFor(t, "the first change", func() bool {
				_, err := admin.Publish(t.Context(), &masticproto.Publish{RequestId: "first", Change: b.change})
				return err == nil
			})
			waitFor(t, "the lease", func() bool {
				status, err := admin.Status(t.Context())
				return err == nil && time.Now().Before(status.LeaseUntil)
			})
			conn, err := dial("tcp", p.listen)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			_, err = io.WriteString(conn, "GET /services/orders/large HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
			c.Assert(err, qt.IsNil)
			head := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(conn, head)
			c.Assert(err, qt.IsNil)
			c.Assert(string(head), qt.Equals, "HTTP/1.1 200")
			p.signal(syscall.SIGTERM)
			waitFor(t, "the refusals", func() bool { return strings.Contains(p.log.String(), "drain: refusing") })
			// Longer than the time that the server has to shut down.
			time.Sleep(closeSeconds * time.Second)
			rest, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			_, body, _ := strings.Cut(string(rest), "\r\n\r\n")
			c.Assert(len(body), qt.Equals, largeAnswerBytes)
			c.Assert(p.command.Wait(), qt.IsNil)
		})
	}
}

// closeSeconds is longer than a host waits for the end of answers that it no longer counts.
const closeSeconds = 4
