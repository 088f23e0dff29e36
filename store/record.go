package store

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// A record on disk:
//
//	length  u32   of what follows the header
//	hcrc    u32   CRC-32C of length
//	pcrc    u32   CRC-32C of the payload
//	payload       expires u64 (Unix ns), flags u8 (1: a deletion), key length u16, key, value
//
// A deletion's expires is how long it must be kept: until the values that it
// hides, in segments that a compaction cut short may leave behind, expire.
//
// The header's own CRC tells a cut record (its header or payload not all
// there, at the end of the file) from a corrupt one (a header whose CRC fails,
// or a payload whose CRC fails, though all its bytes are there): the first is
// a write that never finished, the second is a loss. Integers are big-endian.
const (
	headerSize      = 12
	maxKeyBytes     = 1 << 12
	maxPayloadBytes = 1 << 20 // of a payload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one key's value as the log keeps it, or its deletion.
type record struct {
	key       string
	value     []byte
	expiresAt time.Time
	deleted   bool
}

// payloadFixedSize is the size of a payload without its key and value.
const payloadFixedSize = 11

// errTooLarge is given for a record over maxRecord, or a key over maxKey.
var errTooLarge = errors.New("record too large")

// appendRecord appends the bytes of a record.
func appendRecord(to []byte, r record) ([]byte, error) {
	if len(r.key) > maxKeyBytes || payloadFixedSize+len(r.key)+len(r.value) > maxPayloadBytes {
		return to, errTooLarge
	}
	start := len(to)
	to = append(to, make([]byte, headerSize)...)
	to = binary.BigEndian.AppendUint64(to, uint64(r.expiresAt.UnixNano()))
	var flags byte
	if r.deleted {
		flags = 1
	}
	to = append(to, flags)
	to = binary.BigEndian.AppendUint16(to, uint16(len(r.key)))
	to = append(to, r.key...)
	to = append(to, r.value...)
	payload := to[start+headerSize:]
	binary.BigEndian.PutUint32(to[start:], uint32(len(payload)))
	binary.BigEndian.PutUint32(to[start+4:], crc32.Checksum(to[start:start+4], castagnoli))
	binary.BigEndian.PutUint32(to[start+8:], crc32.Checksum(payload, castagnoli))
	return to, nil
}

// What reading a record at some place readResult.
type readResult int

const (
	complete  readResult = iota // a record
	truncated                   // the file ends within a record: a write that never finished
	corrupt                     // bytes that are no record
)

// readRecord reads the record at the start of b, and gives its size on disk.
func readRecord(b []byte) (record, int, readResult) {
	if len(b) < headerSize {
		return record{}, 0, truncated
	}
	length := binary.BigEndian.Uint32(b)
	if crc32.Checksum(b[:4], castagnoli) != binary.BigEndian.Uint32(b[4:]) || length < payloadFixedSize || length > maxPayloadBytes {
		return record{}, 0, corrupt
	}
	size := headerSize + int(length)
	if len(b) < size {
		return record{}, 0, truncated
	}
	payload := b[headerSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(b[8:]) {
		return record{}, 0, corrupt
	}
	keyLen := int(binary.BigEndian.Uint16(payload[9:]))
	if payloadFixedSize+keyLen > len(payload) || payload[8] > 1 {
		return record{}, 0, corrupt
	}
	r := record{key: string(payload[payloadFixedSize : payloadFixedSize+keyLen]), value: append([]byte(nil), payload[payloadFixedSize+keyLen:]...),
		expiresAt: time.Unix(0, int64(binary.BigEndian.Uint64(payload))), deleted: payload[8] == 1}
	return r, size, complete
}
