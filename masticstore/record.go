package masticstore

import (
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// A record is a magic number, the length of its protobuf message and a CRC-32C, each of
	// four bytes in little-endian order, and the message.
	recordMagic       = 0x6d737472
	recordHeaderBytes = 12
	maxRecordBytes    = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position is the location of a record: storage incarnation, file and offset. The checksum covers
// it, so that bytes that look like a record elsewhere, for instance in a caller's data, are not
// taken for one.
type position struct {
	storage string
	file    string
	offset  int64
}

func (p position) checksum(message []byte) uint32 {
	b := []byte(p.storage + "/" + p.file + "/" + strconv.FormatInt(p.offset, 10) + "/" + strconv.Itoa(len(message)))
	return crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, message)
}

// encodeRecord returns m encoded as a record at position p.
func encodeRecord(p position, m proto.Message) ([]byte, error) {
	b := make([]byte, recordHeaderBytes, recordHeaderBytes+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, eris.Wrap(err, "encode a record")
	}
	message := b[recordHeaderBytes:]
	if len(message) > maxRecordBytes {
		return nil, eris.Errorf("a record of %d bytes exceeds the limit of %d bytes", len(message), maxRecordBytes)
	}
	binary.LittleEndian.PutUint32(b, recordMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(message)))
	binary.LittleEndian.PutUint32(b[8:], p.checksum(message))
	return b, nil
}

// decodeRecord returns the message of the record at the start of b, and false if the record is
// truncated or corrupted.
func decodeRecord(p position, b []byte) ([]byte, bool) {
	if len(b) < recordHeaderBytes || binary.LittleEndian.Uint32(b) != recordMagic {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxRecordBytes || int64(n) > int64(len(b)-recordHeaderBytes) {
		return nil, false
	}
	message := b[recordHeaderBytes : recordHeaderBytes+int(n)]
	return message, binary.LittleEndian.Uint32(b[8:]) == p.checksum(message)
}

// scan calls read with the message of each record of a file and returns the length of the readable
// part in bytes. Only the last record can be torn by a crash: an unreadable record with a valid one
// after it is a DamageError.
func scan(storage, file string, content []byte, read func(message []byte) error) (int64, error) {
	p := position{storage: storage, file: file}
	for p.offset < int64(len(content)) {
		message, ok := decodeRecord(p, content[p.offset:])
		if !ok {
			return p.offset, checkNoLaterRecord(p, content)
		}
		if err := read(message); err != nil {
			return p.offset, &DamageError{File: file, Offset: p.offset, Reason: err.Error()}
		}
		p.offset += int64(recordHeaderBytes + len(message))
	}
	return p.offset, nil
}

// checkNoLaterRecord returns an error if a valid record follows the unreadable one at p.
func checkNoLaterRecord(p position, content []byte) error {
	badOffset := p.offset
	for p.offset++; p.offset < int64(len(content)); p.offset++ {
		if _, ok := decodeRecord(p, content[p.offset:]); ok {
			return &DamageError{File: p.file, Offset: badOffset, Reason: "unreadable record before a valid one"}
		}
	}
	return nil
}
