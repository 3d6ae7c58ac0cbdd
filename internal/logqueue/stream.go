// Package logqueue queues the log records that wait for one collector. It numbers
// records, bounds their memory, and decides which records are dropped, which are
// kept on disk only, which are sent next, and which are sent again after a broken
// connection. It does no I/O and reads no clock, and is not safe for concurrent use.
//
// Each record takes one number of the stream, even if it is dropped at once. At
// any time
//
//	numbers taken = handed over + dropped, by cause + waiting in memory + waiting on disk only
//
// A record is handed over once the collector's kernel has confirmed it. Because
// that does not mean that the collector itself has read it, the last ResendBytes
// confirmed are kept and sent again after a broken connection.
package logqueue

import (
	"slices"
	"time"

	"reachwind/internal/logroute"
	"reachwind/internal/syslog"
)

// Time is a time on the gateway's monotonic clock, or a duration.
type Time = time.Duration

// Cause is the reason why a record was dropped.
type Cause uint8

// The causes.
const (
	Rate    Cause = iota // above its route's rate limit
	Memory               // no memory left, and no waiting record had a lower priority
	Disk                 // the spool was full
	Age                  // too old
	Rotten               // could not be read back
	Size                 // does not fit a message of the maximum size
	Moved                // moved to another collector
	Removed              // its collector was removed from the configuration
	Lost                 // numbered before a restart, and not found afterwards
	Inbox                // dropped before it was numbered: records came faster than they were routed
	NumCauses
)

// CauseNames are the names of the causes in gap records.
var CauseNames = [NumCauses]string{"rate", "memory", "disk", "age", "rotten", "size", "moved", "removed", "restart", "inbox"}

// Config holds a stream's limits.
type Config struct {
	MemoryBytes int     // limit for messages and EntryOverhead, in bytes
	ResendBytes int     // confirmed bytes kept to be sent again, at most a quarter of MemoryBytes
	CatchUpRate float64 // records per second of what was queued before the collector came back; 0 = unlimited
	GapInterval Time    // minimum time between two gap records of one cause
	Spooled     bool    // there is a spool: the caller uses Unsaved and Saved
}

// EntryOverhead is the number of bytes that an entry counts in addition to its message.
const EntryOverhead = 160

// Entry is a waiting record. After Push only the stream changes its fields.
type Entry struct {
	Seq   uint64            // number in the stream, from 1
	Worth logroute.Priority // priority: lower ones are dropped first
	Moves uint8             // how often it was moved between collectors
	Route int               // index of its route, -1 for none
	Key   uint64            // by which a route spreads records over collectors
	At    Time              // when its record was made
	SeqAt int               // offset of the sequenceId in Msg
	Msg   []byte

	list           *list
	end            uint64 // in the window: bytes written on the connection up to its end
	state          entryState
	saved          bool // on disk
	saving         bool
	mayHaveArrived bool // was written on a connection that broke, so the collector may have it
	copied         bool // also queued for another collector
	handedOver     bool // counted as handed over
}

type entryState uint8

const (
	waiting entryState = iota
	inWindow
	released // confirmed, dropped or on disk only
)

func (e *Entry) size() int { return len(e.Msg) + EntryOverhead }

// SequenceID returns the RFC 5424 sequenceId of a record number: it counts from 1 to 2^31-1 and then from 1 again.
func SequenceID(seq uint64) uint32 { return uint32((seq-1)%syslog.MaxSeq) + 1 }

// list is a FIFO queue of entries in the order of their numbers.
type list struct {
	entries []*Entry
	head    int
}

func (l *list) len() int { return len(l.entries) - l.head }
func (l *list) first() *Entry {
	if l.len() == 0 {
		return nil
	}
	return l.entries[l.head]
}

func (l *list) push(e *Entry) {
	if l.head > 64 && l.head*2 > len(l.entries) {
		l.entries = append(l.entries[:0], l.entries[l.head:]...)
		clear(l.entries[len(l.entries):cap(l.entries)])
		l.head = 0
	}
	l.entries = append(l.entries, e)
	e.list = l
}

func (l *list) pop() *Entry {
	e := l.entries[l.head]
	l.entries[l.head] = nil
	l.head++
	if l.head == len(l.entries) {
		l.entries, l.head = l.entries[:0], 0
	}
	return e
}

// Drop counts what was dropped for one cause since the last gap record.
type Drop struct {
	Count       uint64
	First, Last uint64
	reportedAt  Time
}

// entryRef refers to an entry while it still holds the record seq: entries are reused.
type entryRef struct {
	e   *Entry
	seq uint64
}

// Stream is the queue of one collector.
type Stream struct {
	config           Config
	next             uint64 // next record number
	bytes            int
	fresh            [logroute.NumPriorities]list // queued since the connection is up
	backlog          [logroute.NumPriorities]list // queued before
	resend           list                         // of a connection that broke
	loaded           list                         // read back from disk
	window           list                         // written; the first may be confirmed
	confirmedCount   int                          // confirmed entries at the start of the window
	confirmedBytes   int                          // their size in bytes, with overhead
	unconfirmedBytes int                          // message bytes of the rest of the window
	unsaved          []entryRef                   // to be saved, in the order pushed
	free             []*Entry                     // for Get
	done             []uint64                     // saved records that are no longer needed
	onDisk           int                          // waiting on disk only
	savedBySeq       map[uint64]*Entry            // entries both in memory and on disk; nil if listed in done
	drops            [NumCauses]Drop
	tokens           float64
	tokensAt         Time

	Made, HandedOver, Resent uint64
	Dropped                  [NumCauses]uint64
}

// New returns an empty stream whose first record number is first, at least 1.
func New(c Config, first uint64) *Stream {
	c.ResendBytes = min(c.ResendBytes, c.MemoryBytes/4)
	return &Stream{config: c, next: max(1, first), tokensAt: -1, savedBySeq: map[uint64]*Entry{}}
}

// SetConfig changes the limits. Records beyond them are dropped at the next Push.
func (s *Stream) SetConfig(c Config) {
	c.ResendBytes = min(c.ResendBytes, c.MemoryBytes/4)
	s.config = c
}

// Next returns the number that the next Push or Skip takes.
func (s *Stream) Next() uint64 { return s.next }

// Bytes returns the memory that the stream's entries use, with overhead.
func (s *Stream) Bytes() int { return s.bytes }

// Waiting counts the records that are not handed over: those in memory, and those on disk only.
func (s *Stream) Waiting() (memory, disk int) {
	n := s.resend.len() + s.loaded.len() + s.window.len() - s.confirmedCount
	for i := range s.backlog {
		n += s.backlog[i].len() + s.fresh[i].len()
	}
	return n, s.onDisk
}

// Skip takes a number for a record that is dropped before it is queued.
func (s *Stream) Skip(cause Cause) {
	s.Made++
	s.drop(cause, s.next, 1)
	s.next++
}

func (s *Stream) drop(cause Cause, seq, count uint64) {
	s.Dropped[cause] += count
	d := &s.drops[cause]
	if d.Count == 0 || seq < d.First {
		d.First = seq
	}
	d.Count += count
	d.Last = max(d.Last, seq)
}

// DropUnnumbered counts records that were dropped before they were numbered.
func (s *Stream) DropUnnumbered(cause Cause, count uint64) {
	s.drops[cause].Count += count
}

const maxFreeEntries = 256

// Get returns an empty entry to fill in for Push, reusing the buffer of a released one if possible.
func (s *Stream) Get() *Entry {
	if n := len(s.free); n > 0 {
		e := s.free[n-1]
		s.free = s.free[:n-1]
		return e
	}
	return new(Entry)
}

// recycle keeps an entry that is no longer used for Get.
func (s *Stream) recycle(e *Entry) {
	if !e.saving && len(s.free) < maxFreeEntries {
		*e = Entry{Msg: e.Msg[:0]}
		s.free = append(s.free, e)
	}
}

// queueSave schedules an entry to be written to disk.
func (s *Stream) queueSave(e *Entry) {
	if s.config.Spooled {
		s.unsaved = append(s.unsaved, entryRef{e, e.Seq})
	}
}

// Push queues an entry under the next number, which its message must already contain. It makes room by releasing
// saved entries and dropping those of no higher priority, and drops e itself if that is not enough.
func (s *Stream) Push(e *Entry) {
	e.Seq = s.next
	s.next++
	s.Made++
	e.state = waiting
	for s.bytes+e.size() > s.config.MemoryBytes && e.Worth != logroute.GapRecord {
		if s.releaseOldestSaved() {
			continue
		}
		v := s.victim(e.Worth)
		if v == nil {
			s.drop(Memory, e.Seq, 1)
			e.state = released
			s.recycle(e)
			return
		}
		s.drop(Memory, v.Seq, 1)
		s.remove(v)
		s.recycle(v)
	}
	s.bytes += e.size()
	s.fresh[e.Worth].push(e)
	s.queueSave(e)
}

// releaseOldestSaved releases the oldest entry that is also on disk from memory and reports whether there was one.
// Entries that may have arrived stay, see victim.
func (s *Stream) releaseOldestSaved() bool {
	var best *Entry
	look := func(l *list) {
		if e := l.first(); e != nil && e.saved && e.Worth != logroute.GapRecord && (best == nil || e.Seq < best.Seq) {
			best = e
		}
	}
	look(&s.loaded)
	for i := range s.backlog {
		look(&s.backlog[i])
		look(&s.fresh[i])
	}
	if best == nil {
		return false
	}
	best.list.pop()
	best.state = released
	s.untrackSaved(best)
	s.bytes -= best.size()
	s.onDisk++
	s.recycle(best)
	return true
}

// victim returns the oldest waiting entry of the lowest priority, if that is at most w. Entries that may have arrived
// are kept: were they dropped, a gap record could report records that did arrive. They use at most half of the memory.
func (s *Stream) victim(w logroute.Priority) *Entry {
	for i := range min(int(w)+1, int(logroute.GapRecord)) {
		if e := s.backlog[i].first(); e != nil {
			return e
		}
		if e := s.loaded.first(); e != nil && int(e.Worth) == i { // a short list of mixed priorities
			return e
		}
		if e := s.fresh[i].first(); e != nil {
			return e
		}
	}
	return nil
}

// remove removes e, which must be the first of its list, from memory.
func (s *Stream) remove(e *Entry) {
	e.list.pop()
	s.bytes -= e.size()
	s.release(e)
}

// release ends an entry; its copy on disk is no longer needed.
func (s *Stream) release(e *Entry) {
	e.state = released
	s.discardSaved(e)
}

// discardSaved records that an entry's copy on disk is no longer needed.
func (s *Stream) discardSaved(e *Entry) {
	if e.saved {
		e.saved = false
		s.done = append(s.done, e.Seq)
		s.savedBySeq[e.Seq] = nil
	}
}

func (s *Stream) trackSaved(e *Entry) {
	e.saved = true
	s.savedBySeq[e.Seq] = e
}

func (s *Stream) untrackSaved(e *Entry) {
	e.saved = false
	delete(s.savedBySeq, e.Seq)
}

// Holds reports whether a record on disk is also in memory, or no longer needed.
func (s *Stream) Holds(seq uint64) bool {
	_, held := s.savedBySeq[seq]
	return held
}

// Gaps returns the drops that are due to be reported, or with all every unreported drop, and counts them as reported:
// the caller must push a gap record for each.
func (s *Stream) Gaps(now Time, all bool) (gaps []syslog.Gap) {
	for c := range s.drops {
		d := &s.drops[c]
		if d.Count == 0 || !all && d.reportedAt > 0 && now-d.reportedAt < s.config.GapInterval {
			continue
		}
		g := syslog.Gap{Cause: CauseNames[c], Count: d.Count}
		if d.First > 0 {
			g.First, g.Last = SequenceID(d.First), SequenceID(d.Last)
		}
		gaps = append(gaps, g)
		*d = Drop{reportedAt: now}
	}
	return gaps
}

// HasUnreportedDrops reports whether there are drops that no gap record covers yet.
func (s *Stream) HasUnreportedDrops() bool {
	return slices.ContainsFunc(s.drops[:], func(d Drop) bool { return d.Count > 0 })
}

// Batch appends to out the entries to be written next, up to about most bytes: fresh entries first and, with backlog,
// as many older ones as the catch-up rate allows. The caller must then call MarkWritten or ConnectionEnded.
func (s *Stream) Batch(now Time, most int, backlog bool, out []*Entry) []*Entry {
	for n := 0; n < most && s.unconfirmedBytes < s.config.MemoryBytes/2; {
		e := lowest(s.fresh[:], nil)
		if e == nil && backlog && s.allowBacklog(now) {
			if e = lowest(s.backlog[:], s.resend.first(), s.loaded.first()); e != nil {
				s.tokens--
			}
		}
		if e == nil {
			break
		}
		out = append(out, s.moveToWindow(e))
		n += len(e.Msg)
	}
	if backlog && s.allowBacklog(now) { // in addition to fresh records, so that these cannot starve the backlog
		if e := lowest(s.backlog[:], s.resend.first(), s.loaded.first()); e != nil {
			s.tokens--
			out = append(out, s.moveToWindow(e))
		}
	}
	return out
}

func (s *Stream) moveToWindow(e *Entry) *Entry {
	e.list.pop()
	e.state = inWindow
	e.end = 1<<64 - 1
	s.window.push(e)
	s.unconfirmedBytes += len(e.Msg)
	return e
}

// allowBacklog reports whether the catch-up rate allows one more backlog entry now.
func (s *Stream) allowBacklog(now Time) bool {
	if s.config.CatchUpRate <= 0 {
		s.tokens = 1
		return true
	}
	if s.tokensAt >= 0 && now > s.tokensAt {
		s.tokens = min(max(1, s.config.CatchUpRate/10), s.tokens+s.config.CatchUpRate*(now-s.tokensAt).Seconds())
	}
	s.tokensAt = max(s.tokensAt, now)
	return s.tokens >= 1
}

// BacklogDelay returns the time until the next backlog entry may be sent: 0 if one may be sent now, -1 if there is no
// backlog.
func (s *Stream) BacklogDelay(now Time) Time {
	if lowest(s.backlog[:], s.resend.first(), s.loaded.first()) == nil {
		return -1
	}
	if s.allowBacklog(now) {
		return 0
	}
	return Time((1-s.tokens)/s.config.CatchUpRate*float64(time.Second)) + time.Millisecond
}

// lowest returns the entry with the lowest number among the heads of lists and others, or nil.
func lowest(lists []list, others ...*Entry) (best *Entry) {
	for i := range lists {
		if e := lists[i].first(); e != nil && (best == nil || e.Seq < best.Seq) {
			best = e
		}
	}
	for _, e := range others {
		if e != nil && (best == nil || e.Seq < best.Seq) {
			best = e
		}
	}
	return best
}

// MarkWritten records that the entries returned by Batch since the last call are written; end is the total number of
// bytes written on the connection.
func (s *Stream) MarkWritten(end uint64) {
	for i := len(s.window.entries) - 1; i >= s.window.head && s.window.entries[i].end == 1<<64-1; i-- {
		s.window.entries[i].end = end
	}
}

// Confirm records that the first end bytes written on the connection have reached the collector's kernel.
func (s *Stream) Confirm(end uint64) {
	for s.confirmedCount < s.window.len() {
		e := s.window.entries[s.window.head+s.confirmedCount]
		if e.end > end {
			break
		}
		s.confirmedCount++
		s.confirmedBytes += e.size()
		s.unconfirmedBytes -= len(e.Msg)
		e.handedOver = true
		s.HandedOver++
		if e.mayHaveArrived {
			s.Resent++
		}
		s.discardSaved(e)
	}
	for s.confirmedCount > 0 && s.confirmedBytes > s.config.ResendBytes {
		s.releaseConfirmed()
	}
}

// releaseConfirmed releases the first confirmed entry.
func (s *Stream) releaseConfirmed() {
	e := s.window.pop()
	s.confirmedCount--
	s.confirmedBytes -= e.size()
	s.bytes -= e.size()
	e.state = released
	s.recycle(e)
}

// Unconfirmed returns the message bytes that are in the window and not confirmed.
func (s *Stream) Unconfirmed() int { return s.unconfirmedBytes }

// ConnectionEnded records that the connection ended. Unless the end was orderly and everything was confirmed, the
// unconfirmed entries and the ResendBytes confirmed before them are sent again.
func (s *Stream) ConnectionEnded(orderly bool) {
	if orderly && s.confirmedCount == s.window.len() {
		for s.confirmedCount > 0 {
			s.releaseConfirmed()
		}
	}
	var back []*Entry
	for s.window.len() > 0 {
		e := s.window.pop()
		e.state, e.mayHaveArrived = waiting, true
		back = append(back, e)
		if e.handedOver { // it waits again
			e.handedOver = false
			s.HandedOver--
			if _, held := s.savedBySeq[e.Seq]; held { // it is still on disk, and is needed there again
				s.trackSaved(e)
			} else if !e.saved && !e.saving {
				s.queueSave(e)
			}
		}
	}
	s.confirmedCount, s.confirmedBytes, s.unconfirmedBytes = 0, 0, 0
	for s.resend.len() > 0 {
		back = append(back, s.resend.pop())
	}
	slices.SortFunc(back, bySeq)
	for _, e := range back {
		s.resend.push(e)
	}
	for i := range s.fresh { // they are backlog when the collector comes back
		for s.fresh[i].len() > 0 {
			s.backlog[i].push(s.fresh[i].pop())
		}
	}
}

func bySeq(a, b *Entry) int {
	if a.Seq < b.Seq {
		return -1
	}
	return 1
}

// Renumberer returns a copy of an entry whose message has the number seq of another stream.
type Renumberer func(e *Entry, seq uint64) *Entry

// MoveTo moves waiting entries to other streams: to returns the stream for a record, or nil to keep it here. Entries
// that may have arrived are copied and also stay here. Entries that were moved movesMost times stay.
func (s *Stream) MoveTo(to func(route int, key uint64) *Stream, renumber Renumberer, movesMost uint8) {
	each := func(l *list) {
		keep := list{}
		for l.len() > 0 {
			e := l.pop()
			var t *Stream
			if e.Moves < movesMost && e.Worth != logroute.GapRecord && !e.copied {
				t = to(e.Route, e.Key)
			}
			if t == nil {
				keep.push(e)
				continue
			}
			c := renumber(e, t.next)
			c.Moves = e.Moves + 1
			t.Push(c)
			if e.mayHaveArrived {
				e.copied = true
				keep.push(e)
				continue
			}
			s.bytes -= e.size()
			s.release(e)
			s.drop(Moved, e.Seq, 1)
		}
		for keep.len() > 0 {
			l.push(keep.pop())
		}
	}
	for i := range s.backlog {
		each(&s.backlog[i])
		each(&s.fresh[i])
	}
	each(&s.resend)
}

// Unsaved appends to out the entries that are to be written to disk and were made up to the time before, up to about
// most bytes. The caller must pass them to Saved.
func (s *Stream) Unsaved(before Time, most int, out []*Entry) []*Entry {
	n := 0
	for _, p := range s.unsaved {
		e := p.e
		if e.Seq == p.seq && e.At > before || most <= 0 {
			break
		}
		n++
		if e.Seq != p.seq || e.state == released || e.handedOver || e.saved || e.saving || e.Worth == logroute.GapRecord {
			continue
		}
		e.saving = true
		out = append(out, e)
		most -= len(e.Msg)
	}
	s.unsaved = append(s.unsaved[:0], s.unsaved[n:]...)
	clear(s.unsaved[len(s.unsaved):cap(s.unsaved)])
	return out
}

// Saved reports the result of writing entries returned by Unsaved. Unsaved returns them again if ok is false.
func (s *Stream) Saved(entries []*Entry, ok bool) {
	var again []entryRef
	for _, e := range entries {
		e.saving = false
		switch {
		case e.state == released || e.handedOver:
			if ok {
				e.saved = true
				s.discardSaved(e)
			}
		case ok:
			s.trackSaved(e)
		default:
			again = append(again, entryRef{e, e.Seq})
		}
	}
	if len(again) > 0 {
		s.unsaved = append(again, s.unsaved...)
	}
}

// RemovedFromDisk records that the spool no longer has some records, because of its limits or a failure. Those that
// were on disk only are counted as dropped.
func (s *Stream) RemovedFromDisk(cause Cause, seqs []uint64) {
	for _, seq := range seqs {
		e, held := s.savedBySeq[seq]
		if e != nil {
			s.untrackSaved(e)
			s.queueSave(e)
		}
		if held {
			continue
		}
		s.onDisk--
		s.drop(cause, seq, 1)
	}
}

// Done appends to out the numbers of records that are no longer needed on disk, and clears that list.
func (s *Stream) Done(out []uint64) []uint64 {
	for _, seq := range s.done {
		if e, held := s.savedBySeq[seq]; held && e == nil { // otherwise it waits again, see ConnectionEnded
			delete(s.savedBySeq, seq)
			out = append(out, seq)
		}
	}
	s.done = s.done[:0]
	return out
}

// AddFound adds n records found on disk after a restart, with numbers below the stream's first.
func (s *Stream) AddFound(n int) {
	s.onDisk += n
	s.Made += uint64(n)
}

// DropOnDisk drops all records that should wait on disk only and cannot be found there, and returns how many.
func (s *Stream) DropOnDisk(cause Cause) (n int) {
	n, s.onDisk = s.onDisk, 0
	s.Dropped[cause] += uint64(n)
	s.drops[cause].Count += uint64(n)
	return n
}

// OnDisk counts the records that wait on disk only.
func (s *Stream) OnDisk() int { return s.onDisk }

// WantsLoad returns how many bytes, at most most, may be read back from disk now.
func (s *Stream) WantsLoad(most int) int {
	if s.onDisk == 0 || s.loaded.len() > 0 {
		return 0
	}
	return max(0, min(most, s.config.MemoryBytes/2-(s.bytes-s.confirmedBytes))) // confirmed entries kept for resending must not prevent loading
}

// Load queues entries read back from disk, lowest numbers first, as far as memory allows. The others stay on disk.
func (s *Stream) Load(entries []*Entry) {
	slices.SortFunc(entries, bySeq)
	for _, e := range entries {
		if s.bytes+e.size() > s.config.MemoryBytes {
			return
		}
		e.state = waiting
		s.trackSaved(e)
		s.bytes += e.size()
		s.loaded.push(e)
		s.onDisk--
	}
}

// ReleaseSaved releases from memory all entries that are also on disk, for the end of the process.
func (s *Stream) ReleaseSaved() {
	each := func(l *list) {
		keep := list{}
		for l.len() > 0 {
			e := l.pop()
			if !e.saved {
				keep.push(e)
				continue
			}
			s.untrackSaved(e)
			s.bytes -= e.size()
			e.state = released
			s.onDisk++
		}
		for keep.len() > 0 {
			l.push(keep.pop())
		}
	}
	for i := range s.backlog {
		each(&s.backlog[i])
		each(&s.fresh[i])
	}
	each(&s.resend)
	each(&s.loaded)
}

// DropAll drops everything that waits in memory, for a removed collector, and returns the number of dropped records.
// With keepSaved, entries that are also on disk are kept there.
func (s *Stream) DropAll(cause Cause, keepSaved bool) (dropped int) {
	s.ConnectionEnded(false)
	if keepSaved {
		s.ReleaseSaved()
	}
	each := func(l *list) {
		for l.len() > 0 {
			e := l.first()
			s.remove(e)
			s.drop(cause, e.Seq, 1)
			dropped++
		}
	}
	for i := range s.backlog {
		each(&s.backlog[i])
		each(&s.fresh[i])
	}
	each(&s.resend)
	each(&s.loaded)
	return dropped
}

// RemapRoutes updates the route indexes of all entries: route i becomes to[i], -1 if it no longer exists.
func (s *Stream) RemapRoutes(to []int) {
	each := func(l *list) {
		for _, e := range l.entries[l.head:] {
			if e.Route >= 0 && e.Route < len(to) {
				e.Route = to[e.Route]
			}
		}
	}
	for i := range s.backlog {
		each(&s.backlog[i])
		each(&s.fresh[i])
	}
	each(&s.resend)
	each(&s.loaded)
	each(&s.window)
}
