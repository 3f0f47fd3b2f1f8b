package masticwire

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
)

// checkSize returns an error of kind bodyTooLarge for a message over the size limit.
func (w *Wire) checkSize(m proto.Message) error {
	if n := proto.Size(m); n > w.maxFrameBytes {
		return masticerror.New(masticerror.KindBodyTooLarge, "message of %d bytes is over the limit of %d", n, w.maxFrameBytes)
	}
	return nil
}

// writeFrame writes the message, preceded by its length, in a single write.
func (w *Wire) writeFrame(to io.Writer, m proto.Message) error {
	if err := w.checkSize(m); err != nil {
		return err
	}
	n := proto.Size(m)
	frame := make([]byte, 0, n+protowire.SizeVarint(uint64(n)))
	frame = protowire.AppendVarint(frame, uint64(n))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, m)
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "encode a message")
	}
	_, err = to.Write(frame)
	return err
}

func (w *Wire) readFrame(from *bufio.Reader, m proto.Message) error {
	o := protodelim.UnmarshalOptions{MaxSize: int64(w.maxFrameBytes)}
	return o.UnmarshalFrom(from, m)
}
