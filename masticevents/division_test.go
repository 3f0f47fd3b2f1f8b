package masticevents

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcache"
	"masticladder/masticview"
)

type nullSink struct{}

func (nullSink) PartEvents(string, bool, []masticcache.PartEvent) {}

type nullSource struct{}

func (nullSource) CacheEvents(context.Context, Server, uint64, time.Duration) (Page, error) {
	return Page{}, ErrUnsupported
}

// readersOver returns readers over a view, which are not started.
func readersOver(v masticview.View) *Readers {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New("h0", func() masticview.View { return v }, nullSource{}, nullSink{}, log)
}

// TestUnchangedViewIsDividedAgain guards against hosts that sort and hash all servers and hosts of a large site twice a second.
func TestUnchangedViewIsDividedAgain(t *testing.T) {
	c := qt.New(t)
	r := readersOver(viewOf(c, 4, 100, 4))
	ctx, cancel := context.WithCancel(context.Background())
	r.assign(ctx)
	c.Check(len(r.readers) > 0, qt.IsTrue)
	c.Check(testing.AllocsPerRun(10, func() { r.assign(ctx) }), qt.Equals, 0.0)
	cancel()
	r.group.Wait()
}

// BenchmarkDivision measures one division at the size of 450 hosts and 5,400 engines.
func BenchmarkDivision(b *testing.B) {
	r := readersOver(viewOf(qt.New(b), 450, 5400, 4))
	ctx, cancel := context.WithCancel(context.Background())
	defer r.group.Wait()
	defer cancel()
	for b.Loop() {
		r.revision = 0
		r.assign(ctx)
	}
}
