// Package spool stores the waiting log records of one collector on disk, in
// append-only segment files. Beside each segment a done file lists the records
// that are no longer needed. A Spool must be used by one goroutine at a time;
// every call may block for as long as the disk does.
//
// Durability: after Append and Sync, the next Open finds a record, whatever
// happens to the process, until Done names it or Trim drops it. A partly written
// record is cut off, and one that does not match its checksum is skipped and
// counted; neither is ever returned. Done files are not synced: after a crash,
// Open may find records that were already handed over.
package spool

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options configure Open.
type Options struct {
	Owner    string        // written into each segment; a folder with another owner is refused; empty accepts any
	Most     int64         // bytes of all segments; beyond it Trim removes the oldest segment
	Age      time.Duration // Trim removes a segment whose newest record is older; 0 = never
	Segment  int64         // bytes of one segment; 0 = an eighth of Most, at most 16 MB
	Reserve  uint64        // numbers reserved at a time; 0 = 65536
	ReadOnly bool          // change nothing: no lock, no truncation, no new segment
}

const (
	maxDefaultSegment = 16 << 20 // bytes
	defaultReserve    = 1 << 16  // record numbers
)

// Spool is an open spool folder. Open returns it.
type Spool struct {
	fs            FS
	opts          Options
	unlock        func()
	segments      []*segment
	lastID        uint64
	bytes         int64
	writeBuf      []byte
	reservedBelow uint64 // record numbers below it are reserved
	cursor        struct {
		seg uint64 // id of the segment that Read reads next
		at  int64  // offset in the segment's file
		rec int    // index in the segment's seqs
	}
}

type segment struct {
	id           uint64
	file         File
	done         File // nil until a record of the segment is done
	size         int64
	recordsStart int64    // offset of the first record, -1 without a usable header
	seqs         []uint64 // record numbers, ascending
	goneBits     []uint64 // one bit per record: set once it is done or dropped
	pending      int      // records that are not gone
	newest       time.Duration
	sealed       bool // accepts no more records
	unsynced     bool // written to since the last sync
}

func (s *segment) isGone(i int) bool { return s.goneBits[i>>6]>>(i&63)&1 == 1 }

func (s *segment) add(r *Record) {
	if len(s.seqs)&63 == 0 {
		s.goneBits = append(s.goneBits, 0)
	}
	s.seqs = append(s.seqs, r.Seq)
	s.pending++
	s.newest = max(s.newest, r.At)
}

// markGone marks a record as gone and reports whether it was pending in this segment.
func (s *segment) markGone(seq uint64) bool {
	i, found := slices.BinarySearch(s.seqs, seq)
	if !found || s.isGone(i) {
		return false
	}
	s.goneBits[i>>6] |= 1 << (i & 63)
	s.pending--
	return true
}

func (s *segment) name() string     { return fmt.Sprintf("%016x.seg", s.id) }
func (s *segment) doneName() string { return fmt.Sprintf("%016x.done", s.id) }

// Found describes the state in which Open found the folder.
type Found struct {
	Records  int    // pending records
	Rotten   int    // places where records did not match their checksums
	Torn     int    // segments with an incomplete tail
	Next     uint64 // lowest record number that is certain to be unused
	Bytes    int64
	Segments int
}

// Open locks a folder for this process and reads which records are pending in it. ErrLocked, *VersionError and
// *OwnerError are permanent, and after them the folder is unchanged; other errors may be retried.
func Open(fs FS, o Options) (*Spool, Found, error) {
	if o.Segment == 0 {
		o.Segment = min(maxDefaultSegment, o.Most/8)
	}
	o.Segment = max(o.Segment, maxRecordSize)
	if o.Reserve == 0 {
		o.Reserve = defaultReserve
	}
	s := &Spool{fs: fs, opts: o, unlock: func() {}}
	var found Found
	if !o.ReadOnly {
		unlock, err := fs.Lock()
		if err != nil {
			return nil, found, err
		}
		s.unlock = unlock
	}
	err := s.recover(&found)
	if err != nil {
		s.closeFiles()
		return nil, found, err
	}
	return s, found, nil
}

// closeFiles closes all files and releases the lock.
func (s *Spool) closeFiles() {
	for _, g := range s.segments {
		g.close()
	}
	s.segments = nil
	s.unlock()
}

func (s *segment) close() {
	if s.file != nil {
		_ = s.file.Close()
	}
	if s.done != nil {
		_ = s.done.Close()
	}
	s.file, s.done = nil, nil
}

func (s *Spool) recover(found *Found) error {
	names, err := s.fs.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names { // the headers of all segments are checked before record data is changed
		base, ok := strings.CutSuffix(name, ".seg")
		id, err := strconv.ParseUint(base, 16, 64)
		if !ok || err != nil || len(base) != 16 {
			continue
		}
		f, size, err := s.fs.Open(name)
		if err != nil {
			return err
		}
		g := &segment{id: id, file: f, size: size, sealed: true}
		s.segments = append(s.segments, g)
		s.lastID = max(s.lastID, id)
		head := make([]byte, min(size, 12+1<<16+4))
		if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		owner, n, short, err := parseHeader(name, head)
		switch {
		case errors.Is(err, errDamagedHeader): // nothing in it can be trusted, not even its owner: it is renamed and left
			found.Rotten++
			g.recordsStart = -1
			if !s.opts.ReadOnly {
				if err := s.fs.Rename(name, name+".bad"); err != nil {
					return err
				}
			}
			continue
		case err != nil:
			return err
		case short:
			found.Torn++
			g.recordsStart = -1
		case owner != s.opts.Owner[:min(len(s.opts.Owner), maxOwnerSize)] && s.opts.Owner != "":
			return &OwnerError{name, owner, s.opts.Owner}
		}
		if !short {
			g.recordsStart = int64(n)
		}
	}
	high := uint64(1)
	seen := map[uint64]*segment{}
	for _, g := range s.segments {
		if g.recordsStart < 0 {
			continue
		}
		if err := s.scan(g, found); err != nil {
			return err
		}
		for _, q := range g.seqs {
			high = max(high, q+1)
			if was := seen[q]; was != nil { // saved twice: the later copy counts
				was.markGone(q)
			}
			seen[q] = g
		}
		if b, err := s.readAll(g.doneName()); err == nil {
			parseDone(b, func(first uint64, count uint32) {
				for i := range uint64(min(count, 1<<20)) {
					g.markGone(first + i)
				}
			})
		}
		found.Records += g.pending
	}
	if b, err := s.readAll("numbers"); err == nil {
		if n, ok := parseNext(b); ok {
			high = max(high, n)
		}
	}
	found.Next, s.reservedBelow = high, high
	found.Records = 0
	s.segments = slices.DeleteFunc(s.segments, func(g *segment) bool {
		found.Records += g.pending
		if g.pending > 0 || s.opts.ReadOnly {
			s.bytes += g.size
			return false
		}
		s.remove(g)
		return true
	})
	found.Bytes, found.Segments = s.bytes, len(s.segments)
	return nil
}

func (s *Spool) readAll(name string) ([]byte, error) {
	f, size, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b := make([]byte, size)
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

const scanBufferSize = 4 << 20

// scan indexes the records of a segment and truncates an incomplete tail.
func (s *Spool) scan(g *segment, found *Found) error {
	var r Record
	buf := make([]byte, 0, min(scanBufferSize, g.size)+maxRecordSize)
	at, sound := g.recordsStart, g.recordsStart // at: file offset of buf[0]; sound: end of the last valid record
	bad := false
	for {
		want := min(int64(cap(buf)-len(buf)), g.size-at-int64(len(buf)))
		if want > 0 {
			n, err := g.file.ReadAt(buf[len(buf):len(buf)+int(want)], at+int64(len(buf)))
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			buf = buf[:len(buf)+n]
		}
		last := at+int64(len(buf)) >= g.size || want <= 0
		i := 0
		for i < len(buf) {
			if n := parseRecord(buf[i:], &r); n > 0 {
				if bad {
					found.Rotten++
				}
				g.add(&r)
				i += n
				sound, bad = at+int64(i), false
				continue
			}
			if !last && len(buf)-i < maxRecordSize { // the record may continue beyond the buffer
				break
			}
			bad = true
			i++
			next := nextRecord(buf[i:])
			if !last && i+next >= len(buf)-maxRecordSize {
				next = max(0, len(buf)-maxRecordSize-i)
			}
			i += next
		}
		copy(buf, buf[i:])
		buf = buf[:len(buf)-i]
		at += int64(i)
		if last {
			break
		}
	}
	if sound < g.size {
		found.Torn++
		if !s.opts.ReadOnly {
			if err := g.file.Truncate(sound); err != nil {
				return err
			}
			g.size = sound
		}
	}
	return nil
}

// remove deletes a segment without pending records, with its done file.
func (s *Spool) remove(g *segment) {
	g.close()
	_ = s.fs.Remove(g.name())
	_ = s.fs.Remove(g.doneName())
}

// NextNumber returns a record number that is certain to be unused if every writer called Reserve. It reads no
// segment. ok reports that the folder has a valid reservation file, or holds no segments yet.
func NextNumber(fs FS) (next uint64, ok bool) {
	s := Spool{fs: fs}
	if b, err := s.readAll("numbers"); err == nil {
		return parseNext(b)
	}
	names, err := fs.Names()
	for _, n := range names {
		if strings.HasSuffix(n, ".seg") {
			return 1, false
		}
	}
	return 1, err == nil || errors.Is(err, os.ErrNotExist)
}

// Bytes returns the size of all segments in bytes.
func (s *Spool) Bytes() int64 { return s.bytes }

// Reserve makes it safe to use record numbers below next: the number that the next Open finds is at least next, even
// after a crash.
func (s *Spool) Reserve(next uint64) error {
	if next < s.reservedBelow {
		return nil
	}
	to := next + s.opts.Reserve
	_ = s.fs.Remove("numbers.new")
	f, err := s.fs.Create("numbers.new")
	if err != nil {
		return err
	}
	_, err = f.Write(formatNext(to))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = s.fs.Rename("numbers.new", "numbers")
	}
	if err == nil {
		err = s.fs.Sync()
	}
	if err == nil {
		s.reservedBelow = to
	}
	return err
}

// Append sorts records by number in place and writes them after all others. On an error none of them counts as
// written; the spool stays usable and continues in a new segment.
//
// Within a segment, numbers only grow. A record that is saved again goes to a new segment, because the done file of
// the old segment may already list it.
func (s *Spool) Append(records []Record) error {
	if len(records) == 0 {
		return nil
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) })
	g, err := s.active(records[0].Seq)
	if err != nil {
		return err
	}
	s.writeBuf = s.writeBuf[:0]
	for i := range records {
		s.writeBuf = appendRecord(s.writeBuf, &records[i])
	}
	g.unsynced = true
	if _, err := g.file.Write(s.writeBuf); err != nil {
		g.sealed = true
		if e := g.file.Truncate(g.size); e != nil { // the next Open truncates what was partly written
			return fmt.Errorf("%w; %w", err, e)
		}
		return err
	}
	g.size += int64(len(s.writeBuf))
	s.bytes += int64(len(s.writeBuf))
	for i := range records {
		g.add(&records[i])
	}
	return nil
}

// active returns the segment for records numbered first and up, and creates it if needed.
func (s *Spool) active(first uint64) (*segment, error) {
	if n := len(s.segments); n > 0 {
		if g := s.segments[n-1]; !g.sealed && g.size < s.opts.Segment && (len(g.seqs) == 0 || g.seqs[len(g.seqs)-1] < first) {
			return g, nil
		}
	}
	if n := len(s.segments); n > 0 {
		s.segments[n-1].sealed = true
	}
	g := &segment{id: s.lastID + 1}
	f, err := s.fs.Create(g.name())
	if err != nil {
		return nil, err
	}
	s.lastID = g.id
	head := appendHeader(nil, s.opts.Owner)
	if _, err := f.Write(head); err != nil {
		_ = f.Close()
		_ = s.fs.Remove(g.name())
		return nil, err
	}
	if err := s.fs.Sync(); err != nil {
		_ = f.Close()
		_ = s.fs.Remove(g.name())
		return nil, err
	}
	g.file, g.size, g.recordsStart = f, int64(len(head)), int64(len(head))
	s.segments = append(s.segments, g)
	s.bytes += g.size
	return g, nil
}

// Sync makes all appended records durable.
func (s *Spool) Sync() error {
	for _, g := range s.segments { // a segment sealed after an error may hold records written before the error
		if g.unsynced {
			if err := g.file.Sync(); err != nil {
				return err
			}
			g.unsynced = false
		}
	}
	return nil
}

// Gone reports whether the folder or the newest segment was removed: what is appended would be lost.
func (s *Spool) Gone() bool {
	if len(s.segments) == 0 {
		return false
	}
	f, _, err := s.fs.Open(s.segments[len(s.segments)-1].name())
	if err == nil {
		_ = f.Close()
	}
	return err != nil
}

// Done marks records as no longer needed, sorting seqs in place, and removes full segments without pending records.
// After an error the next Open may find some of these records again.
func (s *Spool) Done(seqs []uint64) error {
	if len(seqs) == 0 {
		return nil
	}
	slices.Sort(seqs)
	var failed error
	for _, g := range s.segments {
		if len(g.seqs) == 0 {
			continue
		}
		var out []byte
		first, count := uint64(0), uint32(0)
		for _, q := range seqs {
			if !g.markGone(q) {
				continue
			}
			if count > 0 && q == first+uint64(count) {
				count++
				continue
			}
			if count > 0 {
				out = appendDone(out, first, count)
			}
			first, count = q, 1
		}
		if count > 0 {
			out = appendDone(out, first, count)
		}
		if len(out) > 0 && g.pending > 0 {
			if err := g.writeDone(s.fs, out); err != nil {
				failed = err
			}
		}
	}
	s.removeFinished()
	return failed
}

func (s *segment) writeDone(fs FS, out []byte) (err error) {
	if s.done == nil {
		f, size, err := fs.Open(s.doneName())
		if err != nil {
			f, err = fs.Create(s.doneName())
		} else if torn := (size - int64(len(doneMagic))) % doneEntrySize; size >= int64(len(doneMagic)) && torn != 0 {
			err = f.Truncate(size - torn)
		}
		if err != nil {
			return err
		}
		if s.done = f; size < int64(len(doneMagic)) {
			out = append([]byte(doneMagic), out...)
		}
	}
	_, err = s.done.Write(out)
	return err
}

// removeFinished removes segments without pending records, except the one that is appended to.
func (s *Spool) removeFinished() {
	s.segments = slices.DeleteFunc(s.segments, func(g *segment) bool {
		if g.pending > 0 || !g.sealed && g.size < s.opts.Segment {
			return false
		}
		s.bytes -= g.size
		s.remove(g)
		return true
	})
}

// Trim removes the oldest segments while the size limit is exceeded, and all segments beyond the age limit. It calls
// dropped with the records that were pending in each; aged reports that the reason was age.
func (s *Spool) Trim(now time.Duration, dropped func(aged bool, seqs []uint64)) {
	for i := 0; i < len(s.segments); {
		g := s.segments[i]
		aged := s.opts.Age > 0 && len(g.seqs) > 0 && now-g.newest > s.opts.Age
		if !aged && (s.bytes <= s.opts.Most || i > 0) {
			i++
			continue
		}
		var seqs []uint64
		for k, q := range g.seqs {
			if !g.isGone(k) {
				seqs = append(seqs, q)
			}
		}
		s.bytes -= g.size
		s.segments = slices.Delete(s.segments, i, i+1)
		s.remove(g)
		if len(seqs) > 0 {
			dropped(aged, seqs)
		}
	}
}

// Pending calls each for every pending record.
func (s *Spool) Pending(each func(seq uint64)) {
	for _, g := range s.segments {
		for k, q := range g.seqs {
			if !g.isGone(k) {
				each(q)
			}
		}
	}
}

// Read returns pending records that want accepts, up to about most bytes, continuing where the last Read ended. No
// records means that the end was reached; the next Read starts from the beginning. Damaged records are dropped, and
// rotten lists their numbers.
func (s *Spool) Read(most int, want func(seq uint64) bool) (records []Record, rotten []uint64, err error) {
	for _, g := range s.segments {
		if g.id < s.cursor.seg || g.pending == 0 {
			continue
		}
		if g.id > s.cursor.seg {
			s.cursor.seg, s.cursor.at, s.cursor.rec = g.id, g.recordsStart, 0
		}
		for s.cursor.at < g.size {
			buf := make([]byte, min(int64(max(most, maxRecordSize)), g.size-s.cursor.at))
			n, err := g.file.ReadAt(buf, s.cursor.at)
			if err != nil && !errors.Is(err, io.EOF) {
				return records, rotten, err
			}
			buf = buf[:n]
			at := 0
			for at < len(buf) && most > 0 {
				var r Record
				n := parseRecord(buf[at:], &r)
				if n == 0 {
					if int64(len(buf)) < g.size-s.cursor.at && len(buf)-at < maxRecordSize && at > 0 {
						break // the rest is read in the next iteration
					}
					at++
					at += nextRecord(buf[at:])
					continue
				}
				at += n
				// index entries skipped before this record's belong to records that could not be read
				for s.cursor.rec < len(g.seqs) && g.seqs[s.cursor.rec] != r.Seq {
					if k := s.cursor.rec; !g.isGone(k) {
						g.goneBits[k>>6] |= 1 << (k & 63)
						g.pending--
						rotten = append(rotten, g.seqs[k])
					}
					s.cursor.rec++
				}
				k := s.cursor.rec
				s.cursor.rec++
				if k < len(g.seqs) && !g.isGone(k) && want(r.Seq) {
					records = append(records, r)
					most -= n
				}
			}
			s.cursor.at += int64(at)
			if most <= 0 {
				return records, rotten, nil
			}
			if n == 0 {
				break
			}
		}
		for ; s.cursor.at >= g.size && s.cursor.rec < len(g.seqs); s.cursor.rec++ { // the end of the segment could not be read
			if k := s.cursor.rec; !g.isGone(k) {
				g.goneBits[k>>6] |= 1 << (k & 63)
				g.pending--
				rotten = append(rotten, g.seqs[k])
			}
		}
	}
	if len(records) == 0 {
		s.cursor.seg, s.cursor.at, s.cursor.rec = 0, 0, 0
	}
	return records, rotten, nil
}

// Close closes all files and unlocks the folder. It does not sync: unsynced data is left to the operating system.
func (s *Spool) Close() { s.closeFiles() }
