package masticdaemon

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticadmin"
)

var update = flag.Bool("update", false, "write the golden files anew")

// metricValues matches the values on a page, which differ between runs.
var metricValues = regexp.MustCompile(`(?m) -?[0-9.e+]+$`)

// TestMetricsPageMatchesGoldenFiles: an entry host and a control host serve the metric names and
// types that docs/OPERATIONS.md lists; scripts of operators read them.
func TestMetricsPageMatchesGoldenFiles(t *testing.T) {
	for _, x := range []struct {
		name     string
		settings NodeSettings
	}{
		{"entry", NodeSettings{Peer: "127.0.0.1:0", Seeds: []string{"127.0.0.1:1"}, CallerAddress: "127.0.0.1:0"}},
		{"control", NodeSettings{Peer: "127.0.0.1:0", Seeds: []string{"127.0.0.1:0"}, Bootstrap: true, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, ViewLeaseLifetime: time.Second}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			if x.name == "control" {
				x.settings.Folder = t.TempDir()
			}
			log := logrus.New()
			log.SetLevel(logrus.ErrorLevel)
			n, err := NewNode(x.settings, Protocols{}, log)
			c.Assert(err, qt.IsNil)
			n.End()
			c.Assert(n.Run(), qt.IsNil)
			w := httptest.NewRecorder()
			masticadmin.Metrics(n.registry).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			page := metricValues.ReplaceAllString(w.Body.String(), " VALUE")
			golden := "testdata/metrics-" + x.name + ".txt"
			if *update {
				c.Assert(os.WriteFile(golden, []byte(page), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			c.Assert(err, qt.IsNil)
			c.Assert(page, qt.Equals, string(want))
		})
	}
}
