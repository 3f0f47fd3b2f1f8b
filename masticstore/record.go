package masticstore

import (
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// A record is a mark, the length of its protobuf message and a CRC-32C, each of
	// four bytes in little-endian order, and the message.
	recordMark        = 0x6d737472
	recordHeaderBytes = 12
	maxRecordBytes    = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// place is where a record belongs. It is part of the checksum, so that bytes which
// look like a record elsewhere, for instance in a caller's data, are not one.
type place struct {
	storage string
	file    string
	offset  int64
}

func (p place) checksum(message []byte) uint32 {
	b := []byte(p.storage + "/" + p.file + "/" + strconv.FormatInt(p.offset, 10) + "/" + strconv.Itoa(len(message)))
	return crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, message)
}

// encodeRecord returns the bytes of m as a record at p.
func encodeRecord(p place, m proto.Message) ([]byte, error) {
	b := make([]byte, recordHeaderBytes, recordHeaderBytes+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, eris.Wrap(err, "encode a record")
	}
	message := b[recordHeaderBytes:]
	if len(message) > maxRecordBytes {
		return nil, eris.Errorf("a record of %d bytes is over the limit of %d", len(message), maxRecordBytes)
	}
	binary.LittleEndian.PutUint32(b, recordMark)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(message)))
	binary.LittleEndian.PutUint32(b[8:], p.checksum(message))
	return b, nil
}

// decodeRecord returns the message of the record at the beginning of b, if it is whole.
func decodeRecord(p place, b []byte) ([]byte, bool) {
	if len(b) < recordHeaderBytes || binary.LittleEndian.Uint32(b) != recordMark {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxRecordBytes || int64(n) > int64(len(b)-recordHeaderBytes) {
		return nil, false
	}
	message := b[recordHeaderBytes : recordHeaderBytes+int(n)]
	return message, binary.LittleEndian.Uint32(b[8:]) == p.checksum(message)
}

// scan calls read with each record of a file and returns the length of the readable part.
// Only the record that was being written at a crash can be unreadable: with a whole
// record behind it, it is damaged.
func scan(storage, file string, content []byte, read func(message []byte) error) (int64, error) {
	p := place{storage: storage, file: file}
	for p.offset < int64(len(content)) {
		message, ok := decodeRecord(p, content[p.offset:])
		if !ok {
			return p.offset, laterRecord(p, content)
		}
		if err := read(message); err != nil {
			return p.offset, &DamageError{File: file, Offset: p.offset, Reason: err.Error()}
		}
		p.offset += int64(recordHeaderBytes + len(message))
	}
	return p.offset, nil
}

// laterRecord returns an error if a whole record stands behind the unreadable one at p.
func laterRecord(p place, content []byte) error {
	bad := p.offset
	for p.offset++; p.offset < int64(len(content)); p.offset++ {
		if _, ok := decodeRecord(p, content[p.offset:]); ok {
			return &DamageError{File: p.file, Offset: bad, Reason: "an unreadable record before a whole one"}
		}
	}
	return nil
}
