// Package spool keeps records of one collector on disk: segments that are only
// appended to, each with a file beside it that names what was handed over since.
// A Spool is used by one goroutine at a time; every call may take as long as the
// disk does.
//
// What survives: after Append and Sync, a record is found by the next Open,
// whatever happens to the process, until Done names it or Trim drops it. A record
// that was written in part is cut off, one that does not match its checksum is
// skipped and counted; neither is ever returned. Done is not synced: after a crash
// some records may be found that were handed over already.
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

// Options are what Open is told.
type Options struct {
	Owner    string        // written into each segment; a folder with another is refused
	Most     int64         // bytes of all segments; the oldest goes for more
	Age      time.Duration // a segment whose newest record is older goes; 0 = never
	Segment  int64         // bytes of one segment; 0 = an eighth of Most, at most 16 MB
	Reserve  uint64        // numbers reserved at a time; 0 = 65536
	ReadOnly bool          // change nothing: no lock, no cutting off, no new segment
}

const (
	segmentMost = 16 << 20
	reserve     = 1 << 16
)

// Spool is an open folder.
type Spool struct {
	fs     FS
	o      Options
	unlock func()
	segs   []*segment
	lastID uint64
	bytes  int64
	out    []byte
	next   uint64 // numbers below are reserved
	cursor struct {
		seg uint64 // id of the segment that Read is in
		at  int64
		rec int
	}
}

type segment struct {
	id      uint64
	f       File
	done    File // nil until something is
	size    int64
	head    int64    // where records begin
	seqs    []uint64 // in order
	gone    []uint64 // a bit for each record that is handed over or dropped
	pending int
	newest  time.Duration
	closed  bool // takes no more
	dirty   bool // written to since it was synced
}

func (s *segment) isGone(i int) bool { return s.gone[i>>6]>>(i&63)&1 == 1 }

func (s *segment) add(r *Record) {
	if len(s.seqs)&63 == 0 {
		s.gone = append(s.gone, 0)
	}
	s.seqs = append(s.seqs, r.Seq)
	s.pending++
	s.newest = max(s.newest, r.At)
}

// forget marks a record as gone and tells whether it was pending here.
func (s *segment) forget(seq uint64) bool {
	i, found := slices.BinarySearch(s.seqs, seq)
	if !found || s.isGone(i) {
		return false
	}
	s.gone[i>>6] |= 1 << (i & 63)
	s.pending--
	return true
}

func (s *segment) name() string     { return fmt.Sprintf("%016x.seg", s.id) }
func (s *segment) doneName() string { return fmt.Sprintf("%016x.done", s.id) }

// Found is what Open found.
type Found struct {
	Records  int    // pending
	Rotten   int    // places where records did not match their checksums
	Torn     int    // segments whose tail was cut off
	Next     uint64 // first number that was surely never used
	Bytes    int64
	Segments int
}

// Open takes a folder for this process and finds what is pending in it. Errors that last are ErrLocked,
// *VersionError and *OwnerError; the folder is then as it was.
func Open(fs FS, o Options) (*Spool, Found, error) {
	if o.Segment == 0 {
		o.Segment = min(segmentMost, o.Most/8)
	}
	o.Segment = max(o.Segment, recordMost)
	if o.Reserve == 0 {
		o.Reserve = reserve
	}
	s := &Spool{fs: fs, o: o, unlock: func() {}}
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
		s.abandon()
		return nil, found, err
	}
	return s, found, nil
}

// abandon closes all files.
func (s *Spool) abandon() {
	for _, g := range s.segs {
		g.close()
	}
	s.segs = nil
	s.unlock()
}

func (s *segment) close() {
	if s.f != nil {
		_ = s.f.Close()
	}
	if s.done != nil {
		_ = s.done.Close()
	}
	s.f, s.done = nil, nil
}

func (s *Spool) recover(found *Found) error {
	names, err := s.fs.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names { // all are looked at before any is changed
		base, ok := strings.CutSuffix(name, ".seg")
		id, err := strconv.ParseUint(base, 16, 64)
		if !ok || err != nil || len(base) != 16 {
			continue
		}
		f, size, err := s.fs.Open(name)
		if err != nil {
			return err
		}
		g := &segment{id: id, f: f, size: size, closed: true}
		s.segs = append(s.segs, g)
		s.lastID = max(s.lastID, id)
		head := make([]byte, min(size, 12+1<<16+4))
		if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		owner, n, short, err := parseHeader(name, head)
		switch {
		case errors.Is(err, errHeader): // nothing in it can be trusted, not even whose it is: it is set aside
			found.Rotten++
			g.head = -1
			if !s.o.ReadOnly {
				if err := s.fs.Rename(name, name+".bad"); err != nil {
					return err
				}
			}
			continue
		case err != nil:
			return err
		case short:
			found.Torn++
			g.head = -1
		case owner != s.o.Owner[:min(len(s.o.Owner), ownerMost)] && s.o.Owner != "":
			return &OwnerError{name, owner, s.o.Owner}
		}
		if !short {
			g.head = int64(n)
		}
	}
	high := uint64(1)
	seen := map[uint64]*segment{}
	for _, g := range s.segs {
		if g.head < 0 {
			continue
		}
		if err := s.scan(g, found); err != nil {
			return err
		}
		for _, q := range g.seqs {
			high = max(high, q+1)
			if was := seen[q]; was != nil { // saved twice: the later one holds
				was.forget(q)
			}
			seen[q] = g
		}
		if b, err := s.readAll(g.doneName()); err == nil {
			parseDone(b, func(first uint64, count uint32) {
				for i := range uint64(min(count, 1<<20)) {
					g.forget(first + i)
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
	found.Next, s.next = high, high
	found.Records = 0
	s.segs = slices.DeleteFunc(s.segs, func(g *segment) bool {
		found.Records += g.pending
		if g.pending > 0 || s.o.ReadOnly {
			s.bytes += g.size
			return false
		}
		s.remove(g)
		return true
	})
	found.Bytes, found.Segments = s.bytes, len(s.segs)
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

const scanSize = 4 << 20

// scan finds the records of a segment and cuts off a torn tail.
func (s *Spool) scan(g *segment, found *Found) error {
	var r Record
	buf := make([]byte, 0, min(scanSize, g.size)+recordMost)
	at, sound := g.head, g.head // at: file offset of buf[0]
	bad := false
	for {
		want := min(int64(cap(buf)-len(buf)), g.size-at-int64(len(buf)))
		if want > 0 {
			n, err := g.f.ReadAt(buf[len(buf):len(buf)+int(want)], at+int64(len(buf)))
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
			if !last && len(buf)-i < recordMost { // perhaps only not read whole
				break
			}
			bad = true
			i++
			next := nextRecord(buf[i:])
			if !last && i+next >= len(buf)-recordMost {
				next = max(0, len(buf)-recordMost-i)
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
		if !s.o.ReadOnly {
			if err := g.f.Truncate(sound); err != nil {
				return err
			}
			g.size = sound
		}
	}
	return nil
}

// remove deletes a segment that nothing is wanted of.
func (s *Spool) remove(g *segment) {
	g.close()
	_ = s.fs.Remove(g.name())
	_ = s.fs.Remove(g.doneName())
}

// NextNumber is a number that was surely never used by those who kept to Reserve, read without looking at any
// segment. ok tells that the folder names one, or is new.
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

// Bytes is what all segments take.
func (s *Spool) Bytes() int64 { return s.bytes }

// Reserve makes sure that numbers below next may be used: the next Open begins above them.
func (s *Spool) Reserve(next uint64) error {
	if next < s.next {
		return nil
	}
	to := next + s.o.Reserve
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
		s.next = to
	}
	return err
}

// Append writes records behind all others, and sorts them. On an error none of them counts as written; the spool
// may be used on, and goes on in a new segment.
//
// Within a segment numbers only grow: what is saved again goes to a new one, as the file beside an old one may say
// that it was done with then.
func (s *Spool) Append(records []Record) error {
	if len(records) == 0 {
		return nil
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) })
	g, err := s.active(records[0].Seq)
	if err != nil {
		return err
	}
	s.out = s.out[:0]
	for i := range records {
		s.out = appendRecord(s.out, &records[i])
	}
	g.dirty = true
	if _, err := g.f.Write(s.out); err != nil {
		g.closed = true
		if e := g.f.Truncate(g.size); e != nil { // what is half written is cut off by the next Open
			return fmt.Errorf("%w; %w", err, e)
		}
		return err
	}
	g.size += int64(len(s.out))
	s.bytes += int64(len(s.out))
	for i := range records {
		g.add(&records[i])
	}
	return nil
}

// active is the segment to append to, from a number on.
func (s *Spool) active(first uint64) (*segment, error) {
	if n := len(s.segs); n > 0 {
		if g := s.segs[n-1]; !g.closed && g.size < s.o.Segment && (len(g.seqs) == 0 || g.seqs[len(g.seqs)-1] < first) {
			return g, nil
		}
	}
	if n := len(s.segs); n > 0 {
		s.segs[n-1].closed = true
	}
	g := &segment{id: s.lastID + 1}
	f, err := s.fs.Create(g.name())
	if err != nil {
		return nil, err
	}
	s.lastID = g.id
	head := appendHeader(nil, s.o.Owner)
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
	g.f, g.size, g.head = f, int64(len(head)), int64(len(head))
	s.segs = append(s.segs, g)
	s.bytes += g.size
	return g, nil
}

// Sync makes what was appended last.
func (s *Spool) Sync() error {
	for _, g := range s.segs { // one that an error closed may hold records that were written before it
		if g.dirty {
			if err := g.f.Sync(); err != nil {
				return err
			}
			g.dirty = false
		}
	}
	return nil
}

// Gone tells whether the folder has been taken away: what is appended would go nowhere.
func (s *Spool) Gone() bool {
	if len(s.segs) == 0 {
		return false
	}
	f, _, err := s.fs.Open(s.segs[len(s.segs)-1].name())
	if err == nil {
		_ = f.Close()
	}
	return err != nil
}

// Done tells that records are wanted no longer. Segments of which none is go. Errors only mean that records may
// be found again.
func (s *Spool) Done(seqs []uint64) error {
	if len(seqs) == 0 {
		return nil
	}
	slices.Sort(seqs)
	var failed error
	for _, g := range s.segs {
		if len(g.seqs) == 0 {
			continue
		}
		var out []byte
		first, count := uint64(0), uint32(0)
		for _, q := range seqs {
			if !g.forget(q) {
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
	s.sweep()
	return failed
}

func (s *segment) writeDone(fs FS, out []byte) (err error) {
	if s.done == nil {
		f, size, err := fs.Open(s.doneName())
		if err != nil {
			f, err = fs.Create(s.doneName())
		} else if torn := (size - int64(len(doneMagic))) % doneSize; size >= int64(len(doneMagic)) && torn != 0 {
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

// sweep removes segments without pending records, but for the one that is appended to.
func (s *Spool) sweep() {
	s.segs = slices.DeleteFunc(s.segs, func(g *segment) bool {
		if g.pending > 0 || !g.closed && g.size < s.o.Segment {
			return false
		}
		s.bytes -= g.size
		s.remove(g)
		return true
	})
}

// Trim drops the oldest segments for room and all that are too old, and calls dropped for what was pending in
// them.
func (s *Spool) Trim(now time.Duration, dropped func(aged bool, seqs []uint64)) {
	for i := 0; i < len(s.segs); {
		g := s.segs[i]
		aged := s.o.Age > 0 && len(g.seqs) > 0 && now-g.newest > s.o.Age
		if !aged && (s.bytes <= s.o.Most || i > 0) {
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
		s.segs = slices.Delete(s.segs, i, i+1)
		s.remove(g)
		if len(seqs) > 0 {
			dropped(aged, seqs)
		}
	}
}

// Pending calls each for all that is pending.
func (s *Spool) Pending(each func(seq uint64)) {
	for _, g := range s.segs {
		for k, q := range g.seqs {
			if !g.isGone(k) {
				each(q)
			}
		}
	}
}

// Read returns pending records that want asks for, from where the last Read ended on, up to about so many
// bytes. None means that the end is reached; the next Read begins anew. Rotten ones are dropped and given by
// their numbers.
func (s *Spool) Read(most int, want func(seq uint64) bool) (records []Record, rotten []uint64, err error) {
	for _, g := range s.segs {
		if g.id < s.cursor.seg || g.pending == 0 {
			continue
		}
		if g.id > s.cursor.seg {
			s.cursor.seg, s.cursor.at, s.cursor.rec = g.id, g.head, 0
		}
		for s.cursor.at < g.size {
			buf := make([]byte, min(int64(max(most, recordMost)), g.size-s.cursor.at))
			n, err := g.f.ReadAt(buf, s.cursor.at)
			if err != nil && !errors.Is(err, io.EOF) {
				return records, rotten, err
			}
			buf = buf[:n]
			at := 0
			for at < len(buf) && most > 0 {
				var r Record
				n := parseRecord(buf[at:], &r)
				if n == 0 {
					if int64(len(buf)) < g.size-s.cursor.at && len(buf)-at < recordMost && at > 0 {
						break // the rest comes with the next piece
					}
					at++
					at += nextRecord(buf[at:])
					continue
				}
				at += n
				// the record's place in the index tells of those between that could not be read
				for s.cursor.rec < len(g.seqs) && g.seqs[s.cursor.rec] != r.Seq {
					if k := s.cursor.rec; !g.isGone(k) {
						g.gone[k>>6] |= 1 << (k & 63)
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
		for ; s.cursor.at >= g.size && s.cursor.rec < len(g.seqs); s.cursor.rec++ { // its tail could not be read
			if k := s.cursor.rec; !g.isGone(k) {
				g.gone[k>>6] |= 1 << (k & 63)
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

// Close gives the folder back. What is not synced is left to the operating system.
func (s *Spool) Close() { s.abandon() }
