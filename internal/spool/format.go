package spool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// The file format, version 1. All numbers are little-endian. Later versions keep the layout of the segment header, so
// that a segment of a newer version can be told from a damaged one.
//
//	segment  = "RWSPOOL\x00" version:u16 owner-length:u16 owner crc32c:u32 record...
//	record   = mark:u32 length:u32 crc32c:u32 seq:u64 at:i64 key:u64 seq-at:u16 worth:u8 moves:u8 route-length:u8 route message
//	done     = "RWSDONE\x00" entry...           beside its segment
//	entry    = first:u64 count:u32 crc32c:u32
//	numbers  = "RWSNEXT\x00" next:u64 crc32c:u32
//
// length is the number of bytes after the checksum, and the checksum covers those bytes. Each record begins with a
// mark so that the next record can be found after a damaged one.
const (
	formatVersion    = 1
	segmentMagic     = "RWSPOOL\x00"
	doneMagic        = "RWSDONE\x00"
	nextMagic        = "RWSNEXT\x00"
	recordMark       = 0x52535752
	recordHeaderSize = 12
	recordFixedSize  = 29
	maxRecordSize    = 64 << 10 // bytes of a whole record; messages are far shorter
	doneEntrySize    = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one log message as it is stored, with what its queue needs to send it later.
type Record struct {
	Seq   uint64        // number in the collector's stream, from 1
	At    time.Duration // when the record was made, on the gateway's clock
	Key   uint64        // by which a route spreads records over collectors
	SeqAt int           // offset of the sequenceId in Msg
	Worth uint8         // priority: lower ones are dropped first
	Moves uint8         // how often it was moved between collectors
	Route string        // the route's name, truncated to 255 bytes
	Msg   []byte
}

func appendHeader(b []byte, owner string) []byte {
	from := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	owner = owner[:min(len(owner), maxOwnerSize)]
	b = binary.LittleEndian.AppendUint16(b, uint16(len(owner)))
	b = append(b, owner...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// VersionError is returned for a folder with a segment of another format version, which a newer release wrote.
type VersionError struct {
	File string
	Has  int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s is of version %d, want %d at most: it is left untouched", e.File, e.Has, formatVersion)
}

// OwnerError is returned for a folder that belongs to another gateway or another collector.
type OwnerError struct{ File, Has, Want string }

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s belongs to %q, want %q: it is left untouched", e.File, e.Has, e.Want)
}

const maxOwnerSize = 1024

// errDamagedHeader is returned for a segment whose header is damaged.
var errDamagedHeader = errors.New("the header is rotten")

// parseHeader reads a segment's header; n is its length in bytes. short reports that the header was not written
// completely.
func parseHeader(name string, b []byte) (owner string, n int, short bool, err error) {
	if len(b) < 12 {
		return "", 0, true, nil
	}
	if string(b[:8]) != segmentMagic {
		return "", 0, false, errDamagedHeader
	}
	n = 12 + int(binary.LittleEndian.Uint16(b[10:]))
	if n > 12+maxOwnerSize {
		return "", 0, false, errDamagedHeader
	}
	if len(b) < n+4 {
		return "", 0, true, nil
	}
	if crc32.Checksum(b[:n], castagnoli) != binary.LittleEndian.Uint32(b[n:]) {
		return "", 0, false, errDamagedHeader
	}
	if v := int(binary.LittleEndian.Uint16(b[8:])); v != formatVersion {
		return "", 0, false, &VersionError{name, v}
	}
	return string(b[12:n]), n + 4, false, nil
}

func appendRecord(b []byte, r *Record) []byte {
	route := r.Route[:min(len(r.Route), 255)]
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, recordMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(recordFixedSize+len(route)+len(r.Msg)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.At))
	b = binary.LittleEndian.AppendUint64(b, r.Key)
	b = binary.LittleEndian.AppendUint16(b, uint16(r.SeqAt))
	b = append(b, r.Worth, r.Moves, byte(len(route)))
	b = append(append(b, route...), r.Msg...)
	binary.LittleEndian.PutUint32(b[from+8:], crc32.Checksum(b[from+recordHeaderSize:], castagnoli))
	return b
}

// parseRecord reads the record at the start of b into r and returns its length in bytes, or 0 if b does not start
// with a complete record that matches its checksum. r.Msg refers to b.
func parseRecord(b []byte, r *Record) (n int) {
	if len(b) < recordHeaderSize+recordFixedSize || binary.LittleEndian.Uint32(b) != recordMark {
		return 0
	}
	n = recordHeaderSize + int(binary.LittleEndian.Uint32(b[4:]))
	if n < recordHeaderSize+recordFixedSize || n > maxRecordSize || n > len(b) {
		return 0
	}
	body := b[recordHeaderSize:n]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0
	}
	route := recordFixedSize + int(body[28])
	if route > len(body) {
		return 0
	}
	r.Seq, r.At = binary.LittleEndian.Uint64(body), time.Duration(binary.LittleEndian.Uint64(body[8:]))
	r.Key, r.SeqAt = binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint16(body[24:]))
	r.Worth, r.Moves, r.Route, r.Msg = body[26], body[27], string(body[recordFixedSize:route]), body[route:]
	if r.Seq == 0 || r.SeqAt > len(r.Msg) {
		return 0
	}
	return n
}

var markBytes = binary.LittleEndian.AppendUint32(nil, recordMark)

// nextRecord returns the offset of the first valid record in b, or len(b) if there is none.
func nextRecord(b []byte) int {
	var r Record
	for at := 0; ; at++ {
		i := bytes.Index(b[at:], markBytes)
		if i < 0 {
			return len(b)
		}
		if at += i; parseRecord(b[at:], &r) > 0 {
			return at
		}
	}
}

func appendDone(b []byte, first uint64, count uint32) []byte {
	from := len(b)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint32(b, count)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// parseDone calls each for the entries of a done file that match their checksums, and skips the others.
func parseDone(b []byte, each func(first uint64, count uint32)) {
	if len(b) < 8 || string(b[:8]) != doneMagic {
		return
	}
	for b = b[8:]; len(b) >= doneEntrySize; b = b[doneEntrySize:] {
		if crc32.Checksum(b[:12], castagnoli) == binary.LittleEndian.Uint32(b[12:]) {
			each(binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint32(b[8:]))
		}
	}
}

func formatNext(next uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(nextMagic), next)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func parseNext(b []byte) (uint64, bool) {
	if len(b) != 20 || string(b[:8]) != nextMagic || crc32.Checksum(b[:16], castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, false
	}
	return binary.LittleEndian.Uint64(b[8:]), true
}
