package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// Format of a record on disk; integers are big-endian:
//
//	payload length  u32
//	header CRC      u32  CRC-32C of the payload length
//	payload CRC     u32  CRC-32C of the payload
//	payload:
//	  expiry        u64  Unix time in nanoseconds
//	  flags         u8   1 for a deletion
//	  key length    u16
//	  key
//	  value
//
// The expiry of a deletion is the time until which it must be retained: until then,
// a value that it hides may be in a segment that a crash during a compaction left
// behind.
//
// The header has its own CRC to distinguish a truncated record, whose header or
// payload is cut off by the end of the file, from a corrupt one, which has all its
// bytes and fails a CRC. A truncated record may be an unfinished write; a corrupt
// one is data loss.
const (
	headerSize       = 12
	headerCRCOffset  = 4
	payloadCRCOffset = 8

	payloadFixedSize = 11 // size of a payload without its key and value
	flagsOffset      = 8
	keyLengthOffset  = 9

	flagDeleted = 1

	maxKeyBytes     = 1 << 12
	maxPayloadBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a value of a key, or the deletion of the key.
type record struct {
	key       string
	value     []byte
	expiresAt time.Time
	deleted   bool
}

func (r record) payloadSize() int { return payloadFixedSize + len(r.key) + len(r.value) }

// encodedSize returns the record's size on disk.
func (r record) encodedSize() int64 { return int64(headerSize + r.payloadSize()) }

// checkSize returns an error that wraps ErrRecordTooLarge if the record is too large to encode.
func (r record) checkSize() error {
	if len(r.key) > maxKeyBytes {
		return fmt.Errorf("%w: key %.64q... has %d bytes, limit %d", ErrRecordTooLarge, r.key, len(r.key), maxKeyBytes)
	}
	if r.payloadSize() > maxPayloadBytes {
		return fmt.Errorf("%w: payload for key %.64q has %d bytes, limit %d",
			ErrRecordTooLarge, r.key, r.payloadSize(), maxPayloadBytes)
	}
	return nil
}

// appendRecord appends the encoding of a record. The caller has checked the record's size.
func appendRecord(to []byte, r record) []byte {
	start := len(to)
	to = append(to, make([]byte, headerSize)...)
	to = binary.BigEndian.AppendUint64(to, uint64(r.expiresAt.UnixNano()))
	var flags byte
	if r.deleted {
		flags = flagDeleted
	}
	to = append(to, flags)
	to = binary.BigEndian.AppendUint16(to, uint16(len(r.key)))
	to = append(to, r.key...)
	to = append(to, r.value...)

	header, payload := to[start:start+headerSize], to[start+headerSize:]
	binary.BigEndian.PutUint32(header, uint32(len(payload)))
	binary.BigEndian.PutUint32(header[headerCRCOffset:], checksum(header[:headerCRCOffset]))
	binary.BigEndian.PutUint32(header[payloadCRCOffset:], checksum(payload))
	return to
}

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// decodeStatus is the outcome of decodeRecord.
type decodeStatus int

const (
	recordComplete  decodeStatus = iota
	recordTruncated              // the data ends inside the record
	recordCorrupt                // the data is not a valid record
)

// decodeRecord decodes the record at the start of data and returns it with its size
// on disk. The record does not share memory with data.
func decodeRecord(data []byte) (record, int, decodeStatus) {
	if len(data) < headerSize {
		return record{}, 0, recordTruncated
	}
	length := binary.BigEndian.Uint32(data)
	if checksum(data[:headerCRCOffset]) != binary.BigEndian.Uint32(data[headerCRCOffset:]) {
		return record{}, 0, recordCorrupt
	}
	if length < payloadFixedSize || length > maxPayloadBytes {
		return record{}, 0, recordCorrupt
	}
	size := headerSize + int(length)
	if len(data) < size {
		return record{}, 0, recordTruncated
	}
	payload := data[headerSize:size]
	if checksum(payload) != binary.BigEndian.Uint32(data[payloadCRCOffset:]) {
		return record{}, 0, recordCorrupt
	}
	r, ok := decodePayload(payload)
	if !ok {
		return record{}, 0, recordCorrupt
	}
	return r, size, recordComplete
}

func decodePayload(payload []byte) (record, bool) {
	flags := payload[flagsOffset]
	keyEnd := payloadFixedSize + int(binary.BigEndian.Uint16(payload[keyLengthOffset:]))
	if flags > flagDeleted || keyEnd > len(payload) {
		return record{}, false
	}
	return record{
		key:       string(payload[payloadFixedSize:keyEnd]),
		value:     append([]byte(nil), payload[keyEnd:]...),
		expiresAt: time.Unix(0, int64(binary.BigEndian.Uint64(payload))),
		deleted:   flags == flagDeleted,
	}, true
}
