package masticwire

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"masticladder/masticproto"
)

// TestAnnouncedFrameTakesMemory: a frame took as much memory as its length said before any of it had arrived.
func TestAnnouncedFrameTakesMemory(t *testing.T) {
	c := quicktest.New(t)
	w := New()
	start := append(protowire.AppendVarint(nil, DefaultMaxFrameBytes), "begin"...)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			err := w.readFrame(bufio.NewReader(bytes.NewReader(start)), new(masticproto.PeerRequest))
			if err != io.ErrUnexpectedEOF {
				b.Fatal(err)
			}
		}
	})
	c.Assert(result.AllocedBytesPerOp() < 1<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", result.AllocedBytesPerOp()))
}

// TestFramesOfAllSizes checks that frames are read one after the other, and how their end is told from a truncation.
func TestFramesOfAllSizes(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithMaxFrameBytes(1 << 20))
	var wire bytes.Buffer
	sizes := []int{0, 10, 4070, 4096, 5000, 70_000, 1_000_000, 3}
	for _, n := range sizes {
		c.Assert(w.writeFrame(&wire, namedRequest(strings.Repeat("x", n))), quicktest.IsNil)
	}
	whole := wire.Bytes()
	reader := bufio.NewReader(bytes.NewReader(whole))
	for _, n := range sizes {
		q := new(masticproto.PeerRequest)
		c.Assert(w.readFrame(reader, q), quicktest.IsNil)
		c.Assert(q.String(), quicktest.Equals, namedRequest(strings.Repeat("x", n)).String())
	}
	c.Assert(w.readFrame(reader, new(masticproto.PeerRequest)), quicktest.Equals, io.EOF)
	c.Assert(w.readFrame(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, 1<<20+1))), new(masticproto.PeerRequest)), quicktest.IsNotNil)
}
