package masticwire

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticintake"
)

// firstFrameBytes is the size of the first buffer of a frame that is larger than the buffer of its reader, frameGrowth the
// factor by which it grows.
const (
	firstFrameBytes = 64 << 10
	frameGrowth     = 4
)

// checkSize returns the size of a message, and an error of kind bodyTooLarge if that is over the size limit.
func (w *Wire) checkSize(m proto.Message) (int, error) {
	n := proto.Size(m)
	if n > w.maxFrameBytes {
		return n, masticerror.New(masticerror.KindBodyTooLarge, "message of %d bytes is over the limit of %d", n, w.maxFrameBytes)
	}
	return n, nil
}

// writeFrame writes the message, preceded by its length, in a single write.
func (w *Wire) writeFrame(to io.Writer, m proto.Message) error {
	n, err := w.checkSize(m)
	if err != nil {
		return err
	}
	frame := make([]byte, 0, n+protowire.SizeVarint(uint64(n)))
	frame = protowire.AppendVarint(frame, uint64(n))
	frame, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, m)
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "encode a message")
	}
	_, err = to.Write(frame)
	return err
}

// readers are the buffered readers of ended streams: a call takes one on each side, which is most of its memory.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func newReader(from io.Reader) *bufio.Reader {
	r := readers.Get().(*bufio.Reader)
	r.Reset(from)
	return r
}

// freeReader takes back a reader that nothing reads from any more.
func freeReader(r *bufio.Reader) {
	r.Reset(nil)
	readers.Put(r)
}

// readFrame reads a message. Its memory grows with what arrives, whatever length was announced. The error is io.EOF if
// there is no further frame.
func (w *Wire) readFrame(from *bufio.Reader, m proto.Message) error {
	return w.readCountedFrame(from, m, nil)
}

// streamBufferBytes is the memory of the receive buffer of a stream, which yamux fills up to its window and keeps.
const streamBufferBytes = 512 << 10

// frameMemory is the memory of a message that arrives; nil counts nothing.
type frameMemory struct {
	conn  *masticintake.Conn
	taken int64
}

// resize reports whether there is room for a buffer of n bytes, which replaces the one before, of a message of size bytes.
func (f *frameMemory) resize(n, size int) bool {
	if f == nil {
		return true
	}
	more := int64(n) + min(int64(size), streamBufferBytes) - f.taken
	if more > 0 && !f.conn.Grow(more) {
		return false
	}
	f.taken += more
	return true
}

func (f *frameMemory) release() { f.conn.Shrink(f.taken) }

// readCountedFrame is readFrame with the memory of the message counted in memory.
func (w *Wire) readCountedFrame(from *bufio.Reader, m proto.Message, memory *frameMemory) error {
	size, err := binary.ReadUvarint(from)
	if err != nil {
		return err
	}
	if size > uint64(w.maxFrameBytes) {
		return masticerror.New(masticerror.KindBodyTooLarge, "message of %d bytes is over the limit of %d", size, w.maxFrameBytes)
	}
	if size <= uint64(from.Size()) {
		return readBuffered(from, int(size), m)
	}
	b, err := readGrowing(from, int(size), memory)
	if err != nil {
		return truncated(err)
	}
	return proto.Unmarshal(b, m)
}

// readGrowing reads size bytes into a buffer that grows up to that size.
func readGrowing(from io.Reader, size int, memory *frameMemory) ([]byte, error) {
	if !memory.resize(min(size, firstFrameBytes), size) {
		return nil, masticintake.ErrNoRoom
	}
	b := make([]byte, min(size, firstFrameBytes))
	read := 0
	for {
		n, err := io.ReadFull(from, b[read:])
		if err != nil {
			return nil, err
		}
		if read += n; read == size {
			return b, nil
		}
		if !memory.resize(min(size, frameGrowth*read), size) {
			return nil, masticintake.ErrNoRoom
		}
		larger := make([]byte, min(size, frameGrowth*read))
		copy(larger, b)
		b = larger
	}
}

// readBuffered reads a message of size bytes that fits into the buffer of the reader.
func readBuffered(from *bufio.Reader, size int, m proto.Message) error {
	b, err := from.Peek(size)
	if err != nil {
		return truncated(err)
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return err
	}
	_, err = from.Discard(size)
	return err
}

func truncated(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
