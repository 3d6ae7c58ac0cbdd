package spool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// The format, version 1. All numbers are little-endian. A later version keeps the form of the segment's header, so
// that a newer one can be told from a rotten one.
//
//	segment  = "RWSPOOL\x00" version:u16 owner-length:u16 owner crc32c:u32 record...
//	record   = mark:u32 length:u32 crc32c:u32 seq:u64 at:i64 key:u64 seq-at:u16 worth:u8 moves:u8 route-length:u8 route message
//	done     = "RWSDONE\x00" entry...           beside its segment
//	entry    = first:u64 count:u32 crc32c:u32
//	numbers  = "RWSNEXT\x00" next:u64 crc32c:u32
//
// length counts what follows the checksum, and the checksum covers it. A record begins with a mark so that the
// next can be found behind one that is rotten.
const (
	version     = 1
	segMagic    = "RWSPOOL\x00"
	doneMagic   = "RWSDONE\x00"
	nextMagic   = "RWSNEXT\x00"
	mark        = 0x52535752
	recordHead  = 12
	recordFixed = 29
	recordMost  = 64 << 10 // of a whole record; messages are far shorter
	doneSize    = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is what the spool keeps.
type Record struct {
	Seq   uint64
	At    time.Duration
	Key   uint64
	SeqAt int
	Worth uint8
	Moves uint8
	Route string // cut at 255 bytes
	Msg   []byte
}

func appendHeader(b []byte, owner string) []byte {
	from := len(b)
	b = append(b, segMagic...)
	b = binary.LittleEndian.AppendUint16(b, version)
	owner = owner[:min(len(owner), ownerMost)]
	b = binary.LittleEndian.AppendUint16(b, uint16(len(owner)))
	b = append(b, owner...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// VersionError is returned for a folder that a newer version has written.
type VersionError struct {
	File string
	Has  int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s is of version %d, want %d at most: it is left untouched", e.File, e.Has, version)
}

// OwnerError is returned for a folder that is not this gateway's or this collector's.
type OwnerError struct{ File, Has, Want string }

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s belongs to %q, want %q: it is left untouched", e.File, e.Has, e.Want)
}

const ownerMost = 1024

// errHeader is returned for a segment whose header is not as it was written.
var errHeader = errors.New("the header is rotten")

// parseHeader reads a segment's header. short tells that it was never written whole.
func parseHeader(name string, b []byte) (owner string, n int, short bool, err error) {
	if len(b) < 12 {
		return "", 0, true, nil
	}
	if string(b[:8]) != segMagic {
		return "", 0, false, errHeader
	}
	n = 12 + int(binary.LittleEndian.Uint16(b[10:]))
	if n > 12+ownerMost {
		return "", 0, false, errHeader
	}
	if len(b) < n+4 {
		return "", 0, true, nil
	}
	if crc32.Checksum(b[:n], castagnoli) != binary.LittleEndian.Uint32(b[n:]) {
		return "", 0, false, errHeader
	}
	if v := int(binary.LittleEndian.Uint16(b[8:])); v != version {
		return "", 0, false, &VersionError{name, v}
	}
	return string(b[12:n]), n + 4, false, nil
}

func appendRecord(b []byte, r *Record) []byte {
	route := r.Route[:min(len(r.Route), 255)]
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, mark)
	b = binary.LittleEndian.AppendUint32(b, uint32(recordFixed+len(route)+len(r.Msg)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.At))
	b = binary.LittleEndian.AppendUint64(b, r.Key)
	b = binary.LittleEndian.AppendUint16(b, uint16(r.SeqAt))
	b = append(b, r.Worth, r.Moves, byte(len(route)))
	b = append(append(b, route...), r.Msg...)
	binary.LittleEndian.PutUint32(b[from+8:], crc32.Checksum(b[from+recordHead:], castagnoli))
	return b
}

// parseRecord reads the record at the start of b. n is its length, 0 where there is no whole and sound one.
func parseRecord(b []byte, r *Record) (n int) {
	if len(b) < recordHead+recordFixed || binary.LittleEndian.Uint32(b) != mark {
		return 0
	}
	n = recordHead + int(binary.LittleEndian.Uint32(b[4:]))
	if n < recordHead+recordFixed || n > recordMost || n > len(b) {
		return 0
	}
	body := b[recordHead:n]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0
	}
	route := recordFixed + int(body[28])
	if route > len(body) {
		return 0
	}
	r.Seq, r.At = binary.LittleEndian.Uint64(body), time.Duration(binary.LittleEndian.Uint64(body[8:]))
	r.Key, r.SeqAt = binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint16(body[24:]))
	r.Worth, r.Moves, r.Route, r.Msg = body[26], body[27], string(body[recordFixed:route]), body[route:]
	if r.Seq == 0 || r.SeqAt > len(r.Msg) {
		return 0
	}
	return n
}

var markBytes = binary.LittleEndian.AppendUint32(nil, mark)

// nextRecord finds the first sound record in b, len(b) if there is none.
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

// parseDone calls each for the sound entries of a done file, and skips others.
func parseDone(b []byte, each func(first uint64, count uint32)) {
	if len(b) < 8 || string(b[:8]) != doneMagic {
		return
	}
	for b = b[8:]; len(b) >= doneSize; b = b[doneSize:] {
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
