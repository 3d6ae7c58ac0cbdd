// Package logqueue keeps what waits for one collector: it numbers records, bounds
// them in memory, decides what is dropped and what is only on disk, which goes
// next, and what must go again after a connection broke. It does no I/O and reads
// no clock, and is not safe for concurrent use.
//
// Each record takes one number of the stream, also one that is dropped at once.
// At any time
//
//	numbers taken = handed over + dropped, by causes + waiting in memory + waiting on disk only
//
// A record is handed over once the collector's kernel has confirmed it. As that
// is no word of the collector's own, the last Resend bytes confirmed are kept and
// go again after a broken connection.
package logqueue

import (
	"slices"
	"time"

	"reachwind/internal/logroute"
	"reachwind/internal/syslog"
)

// Time is a point on the gateway's clock, or a span on it.
type Time = time.Duration

// Cause tells why a record was dropped.
type Cause uint8

// The causes.
const (
	Rate    Cause = iota // beyond its route's rate
	Memory               // no room, and none less worthy
	Disk                 // the spool was full
	Age                  // too old
	Rotten               // could not be read back
	Size                 // no message within the limit holds it
	Moved                // given to another collector
	Removed              // its collector was taken out of the configuration
	Lost                 // its number was taken before a restart, and nothing of it was found
	Inbox                // lost before it had a number: the gateway was too busy
	Causes
)

// Names are the names of the causes, as gap records have them.
var Names = [Causes]string{"rate", "memory", "disk", "age", "rotten", "size", "moved", "removed", "restart", "inbox"}

// Config holds a stream's bounds.
type Config struct {
	Memory  int     // bytes, of messages with their overhead
	Resend  int     // bytes confirmed that are kept to go again, at most a quarter of Memory
	CatchUp float64 // records a second of what was queued before the collector came back
	GapTime Time    // between two gap records of one cause
	Disk    bool    // Unsaved and Saved are called
}

// Overhead is what an entry is counted with on top of its message.
const Overhead = 160

// Entry is a record that waits. Its fields are not changed once it was pushed, but by the stream.
type Entry struct {
	Seq   uint64 // number in the stream, from 1
	Worth logroute.Priority
	Moves uint8
	Route int
	Key   uint64 // that a route spreads by
	At    Time   // when its record was made
	SeqAt int    // where in Msg the sequenceId begins
	Msg   []byte

	list   *list
	end    uint64 // in the window: bytes written on the connection with it
	state  where
	saved  bool // on disk
	saving bool
	again  bool // was written on a connection that broke: may have arrived
	copied bool // given to another collector too
	handed bool // counted as handed over
}

type where uint8

const (
	waiting where = iota
	window
	left // confirmed, dropped or only on disk
)

func (e *Entry) size() int { return len(e.Msg) + Overhead }

// Wire is the sequenceId of a number: RFC 5424 has it from 1 to 2^31-1, then from 1 again.
func Wire(seq uint64) uint32 { return uint32((seq-1)%syslog.MaxSeq) + 1 }

// list is a queue of entries in the order of their numbers.
type list struct {
	e    []*Entry
	from int
}

func (l *list) len() int { return len(l.e) - l.from }
func (l *list) first() *Entry {
	if l.len() == 0 {
		return nil
	}
	return l.e[l.from]
}

func (l *list) push(e *Entry) {
	if l.from > 64 && l.from*2 > len(l.e) {
		l.e = append(l.e[:0], l.e[l.from:]...)
		clear(l.e[len(l.e):cap(l.e)])
		l.from = 0
	}
	l.e = append(l.e, e)
	e.list = l
}

func (l *list) pop() *Entry {
	e := l.e[l.from]
	l.e[l.from] = nil
	l.from++
	if l.from == len(l.e) {
		l.e, l.from = l.e[:0], 0
	}
	return e
}

// Drop counts what was dropped for one cause since the last gap record.
type Drop struct {
	Count       uint64
	First, Last uint64
	told        Time
}

// pushed names an entry as long as it is that record's: entries are used again.
type pushed struct {
	e   *Entry
	seq uint64
}

// Stream is what waits for one collector.
type Stream struct {
	c       Config
	next    uint64 // number not yet taken
	bytes   int
	fresh   [logroute.NumPriorities]list // queued since the connection is up
	old     [logroute.NumPriorities]list // queued before
	again   list                         // of a connection that broke
	loaded  list                         // read back from disk
	window  list                         // written; the first may be confirmed
	conf    int                          // how many of the window are confirmed
	confLen int                          // their bytes
	outLen  int                          // bytes of the rest of the window
	unsaved []pushed                     // in the order pushed
	free    []*Entry                     // for Get
	done    []uint64                     // saved ones that need be kept no longer
	onDisk  int                          // waiting on disk only
	held    map[uint64]*Entry            // in memory and on disk; nil: in done
	drops   [Causes]Drop
	tokens  float64
	at      Time

	Made, Handed, Repeated uint64
	Dropped                [Causes]uint64
}

// New returns a stream whose first number is first.
func New(c Config, first uint64) *Stream {
	c.Resend = min(c.Resend, c.Memory/4)
	return &Stream{c: c, next: max(1, first), at: -1, held: map[uint64]*Entry{}}
}

// SetConfig changes the bounds. What is over them goes with the next Push.
func (s *Stream) SetConfig(c Config) {
	c.Resend = min(c.Resend, c.Memory/4)
	s.c = c
}

// Next is the number that Push or Skip takes.
func (s *Stream) Next() uint64 { return s.next }

// Bytes is what the stream holds in memory.
func (s *Stream) Bytes() int { return s.bytes }

// Waiting counts what is not handed over: in memory, and on disk only.
func (s *Stream) Waiting() (memory, disk int) {
	n := s.again.len() + s.loaded.len() + s.window.len() - s.conf
	for i := range s.old {
		n += s.old[i].len() + s.fresh[i].len()
	}
	return n, s.onDisk
}

// Skip takes a number for a record that is dropped at once.
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

// Uncounted notes records that were dropped without a number.
func (s *Stream) Uncounted(cause Cause, count uint64) {
	s.drops[cause].Count += count
}

const freeMost = 256

// Get returns an entry to fill in for Push, with room from one that has left.
func (s *Stream) Get() *Entry {
	if n := len(s.free); n > 0 {
		e := s.free[n-1]
		s.free = s.free[:n-1]
		return e
	}
	return new(Entry)
}

// recycle keeps an entry that nobody holds any more for Get.
func (s *Stream) recycle(e *Entry) {
	if !e.saving && len(s.free) < freeMost {
		*e = Entry{Msg: e.Msg[:0]}
		s.free = append(s.free, e)
	}
}

// unsave notes that an entry is to be written to disk.
func (s *Stream) unsave(e *Entry) {
	if s.c.Disk {
		s.unsaved = append(s.unsaved, pushed{e, e.Seq})
	}
}

// Push queues an entry under the next number, which its message bears already, and makes room for it.
func (s *Stream) Push(e *Entry) {
	e.Seq = s.next
	s.next++
	s.Made++
	e.state = waiting
	for s.bytes+e.size() > s.c.Memory && e.Worth != logroute.GapRecord {
		if s.shelve() {
			continue
		}
		v := s.victim(e.Worth)
		if v == nil {
			s.drop(Memory, e.Seq, 1)
			e.state = left
			s.recycle(e)
			return
		}
		s.drop(Memory, v.Seq, 1)
		s.remove(v)
		s.recycle(v)
	}
	s.bytes += e.size()
	s.fresh[e.Worth].push(e)
	s.unsave(e)
}

// shelve lets the oldest entry that is on disk go from memory and tells whether there was one. What may have
// arrived already stays, see victim.
func (s *Stream) shelve() bool {
	var best *Entry
	look := func(l *list) {
		if e := l.first(); e != nil && e.saved && e.Worth != logroute.GapRecord && (best == nil || e.Seq < best.Seq) {
			best = e
		}
	}
	look(&s.loaded)
	for i := range s.old {
		look(&s.old[i])
		look(&s.fresh[i])
	}
	if best == nil {
		return false
	}
	best.list.pop()
	best.state = left
	s.unhold(best)
	s.bytes -= best.size()
	s.onDisk++
	s.recycle(best)
	return true
}

// victim is the oldest of the least worthy that wait, if it is no worthier than w. What may have arrived already
// is kept: were it dropped, the gap record would tell of records that came. It is half of the memory at most.
func (s *Stream) victim(w logroute.Priority) *Entry {
	for i := range min(int(w)+1, int(logroute.GapRecord)) {
		if e := s.old[i].first(); e != nil {
			return e
		}
		if e := s.loaded.first(); e != nil && int(e.Worth) == i { // mixed, and few
			return e
		}
		if e := s.fresh[i].first(); e != nil {
			return e
		}
	}
	return nil
}

// remove takes the first of a list out of the memory.
func (s *Stream) remove(e *Entry) {
	e.list.pop()
	s.bytes -= e.size()
	s.leave(e)
}

// leave ends an entry; on disk it need be kept no longer.
func (s *Stream) leave(e *Entry) {
	e.state = left
	s.unwanted(e)
}

// unwanted notes that a record need be kept on disk no longer.
func (s *Stream) unwanted(e *Entry) {
	if e.saved {
		e.saved = false
		s.done = append(s.done, e.Seq)
		s.held[e.Seq] = nil
	}
}

func (s *Stream) hold(e *Entry) {
	e.saved = true
	s.held[e.Seq] = e
}

func (s *Stream) unhold(e *Entry) {
	e.saved = false
	delete(s.held, e.Seq)
}

// Holds tells whether a record that is on disk is in memory too, or wanted no more.
func (s *Stream) Holds(seq uint64) bool {
	_, held := s.held[seq]
	return held
}

// Gaps returns what is to be told of drops by now, which is then told: the caller pushes a record for each.
func (s *Stream) Gaps(now Time, all bool) (gaps []syslog.Gap) {
	for c := range s.drops {
		d := &s.drops[c]
		if d.Count == 0 || !all && d.told > 0 && now-d.told < s.c.GapTime {
			continue
		}
		g := syslog.Gap{Cause: Names[c], Count: d.Count}
		if d.First > 0 {
			g.First, g.Last = Wire(d.First), Wire(d.Last)
		}
		gaps = append(gaps, g)
		*d = Drop{told: now}
	}
	return gaps
}

// Untold tells whether there are drops that no gap record tells of.
func (s *Stream) Untold() bool {
	return slices.ContainsFunc(s.drops[:], func(d Drop) bool { return d.Count > 0 })
}

// Batch appends what is to be written next, up to so many bytes: what is fresh first and, with backlog, of
// what is old as much as the rate for catching up allows. The caller owes Wrote or Broken for it.
func (s *Stream) Batch(now Time, most int, backlog bool, out []*Entry) []*Entry {
	for n := 0; n < most && s.outLen < s.c.Memory/2; {
		e := lowest(s.fresh[:], nil)
		if e == nil && backlog && s.allow(now) {
			if e = lowest(s.old[:], s.again.first(), s.loaded.first()); e != nil {
				s.tokens--
			}
		}
		if e == nil {
			break
		}
		out = append(out, s.take(e))
		n += len(e.Msg)
	}
	if backlog && s.allow(now) { // beside fresh records, however many there are
		if e := lowest(s.old[:], s.again.first(), s.loaded.first()); e != nil {
			s.tokens--
			out = append(out, s.take(e))
		}
	}
	return out
}

func (s *Stream) take(e *Entry) *Entry {
	e.list.pop()
	e.state = window
	e.end = 1<<64 - 1
	s.window.push(e)
	s.outLen += len(e.Msg)
	return e
}

// allow tells whether the rate for catching up leaves room for one more.
func (s *Stream) allow(now Time) bool {
	if s.c.CatchUp <= 0 {
		s.tokens = 1
		return true
	}
	if s.at >= 0 && now > s.at {
		s.tokens = min(max(1, s.c.CatchUp/10), s.tokens+s.c.CatchUp*(now-s.at).Seconds())
	}
	s.at = max(s.at, now)
	return s.tokens >= 1
}

// Wait is how long nothing more can go than what is fresh, 0 if there is old to be sent now, -1 if there is none.
func (s *Stream) Wait(now Time) Time {
	if lowest(s.old[:], s.again.first(), s.loaded.first()) == nil {
		return -1
	}
	if s.allow(now) {
		return 0
	}
	return Time((1-s.tokens)/s.c.CatchUp*float64(time.Second)) + time.Millisecond
}

// lowest is the entry of the lowest number at the head of some lists, or among others.
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

// Wrote tells that what Batch gave since is written, with it so many bytes on the connection in all.
func (s *Stream) Wrote(end uint64) {
	for i := len(s.window.e) - 1; i >= s.window.from && s.window.e[i].end == 1<<64-1; i-- {
		s.window.e[i].end = end
	}
}

// Confirm tells that so many bytes on the connection have reached the collector's kernel.
func (s *Stream) Confirm(end uint64) {
	for s.conf < s.window.len() {
		e := s.window.e[s.window.from+s.conf]
		if e.end > end {
			break
		}
		s.conf++
		s.confLen += e.size()
		s.outLen -= len(e.Msg)
		e.handed = true
		s.Handed++
		if e.again {
			s.Repeated++
		}
		s.unwanted(e)
	}
	for s.conf > 0 && s.confLen > s.c.Resend {
		s.forget()
	}
}

// forget drops the first confirmed entry.
func (s *Stream) forget() {
	e := s.window.pop()
	s.conf--
	s.confLen -= e.size()
	s.bytes -= e.size()
	e.state = left
	s.recycle(e)
}

// Unconfirmed counts the bytes written and not confirmed.
func (s *Stream) Unconfirmed() int { return s.outLen }

// Ended tells that the connection ended. Unless all was confirmed and the end was in order, what was not, and
// the stated window before it, goes again.
func (s *Stream) Ended(orderly bool) {
	if orderly && s.conf == s.window.len() {
		for s.conf > 0 {
			s.forget()
		}
	}
	var back []*Entry
	for s.window.len() > 0 {
		e := s.window.pop()
		e.state, e.again = waiting, true
		back = append(back, e)
		if e.handed { // it waits anew
			e.handed = false
			s.Handed--
			if _, held := s.held[e.Seq]; held { // it is on disk yet, and to be kept there after all
				s.hold(e)
			} else if !e.saved && !e.saving {
				s.unsave(e)
			}
		}
	}
	s.conf, s.confLen, s.outLen = 0, 0, 0
	for s.again.len() > 0 {
		back = append(back, s.again.pop())
	}
	slices.SortFunc(back, bySeq)
	for _, e := range back {
		s.again.push(e)
	}
	for i := range s.fresh { // they are no longer fresh when it comes back
		for s.fresh[i].len() > 0 {
			s.old[i].push(s.fresh[i].pop())
		}
	}
}

func bySeq(a, b *Entry) int {
	if a.Seq < b.Seq {
		return -1
	}
	return 1
}

// Renumberer makes the message of an entry anew under another number of the stream it goes to.
type Renumberer func(e *Entry, seq uint64) *Entry

// MoveTo gives what waits to other streams: to names the one for a record, nil to keep it. What may have
// arrived already goes there as a copy and stays here too.
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
			if e.again {
				e.copied = true
				keep.push(e)
				continue
			}
			s.bytes -= e.size()
			s.leave(e)
			s.drop(Moved, e.Seq, 1)
		}
		for keep.len() > 0 {
			l.push(keep.pop())
		}
	}
	for i := range s.old {
		each(&s.old[i])
		each(&s.fresh[i])
	}
	each(&s.again)
}

// Unsaved appends entries that are to be written to disk: those made before so, or any with all.
func (s *Stream) Unsaved(before Time, most int, out []*Entry) []*Entry {
	n := 0
	for _, p := range s.unsaved {
		e := p.e
		if e.Seq == p.seq && e.At > before || most <= 0 {
			break
		}
		n++
		if e.Seq != p.seq || e.state == left || e.handed || e.saved || e.saving || e.Worth == logroute.GapRecord {
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

// Saved tells what became of what Unsaved gave. What could not be saved is given again.
func (s *Stream) Saved(entries []*Entry, ok bool) {
	var again []pushed
	for _, e := range entries {
		e.saving = false
		switch {
		case e.state == left || e.handed:
			if ok {
				e.saved = true
				s.unwanted(e)
			}
		case ok:
			s.hold(e)
		default:
			again = append(again, pushed{e, e.Seq})
		}
	}
	if len(again) > 0 {
		s.unsaved = append(again, s.unsaved...)
	}
}

// Unsave tells that records are on disk no longer, for want of room or of the disk. Those that were only there
// are dropped.
func (s *Stream) Unsave(cause Cause, seqs []uint64) {
	for _, seq := range seqs {
		e, held := s.held[seq]
		if e != nil {
			s.unhold(e)
			s.unsave(e)
		}
		if held {
			continue
		}
		s.onDisk--
		s.drop(cause, seq, 1)
	}
}

// Done returns the numbers that need be kept on disk no longer, and forgets them.
func (s *Stream) Done(out []uint64) []uint64 {
	for _, seq := range s.done {
		if e, held := s.held[seq]; held && e == nil { // else it waits again, see Ended
			delete(s.held, seq)
			out = append(out, seq)
		}
	}
	s.done = s.done[:0]
	return out
}

// Found tells of records that a restart found on disk, made under numbers below the first.
func (s *Stream) Found(n int) {
	s.onDisk += n
	s.Made += uint64(n)
}

// WriteOff drops all that should wait on disk only, where it can't be found there.
func (s *Stream) WriteOff(cause Cause) (n int) {
	n, s.onDisk = s.onDisk, 0
	s.Dropped[cause] += uint64(n)
	s.drops[cause].Count += uint64(n)
	return n
}

// OnDisk counts what waits on disk only.
func (s *Stream) OnDisk() int { return s.onDisk }

// WantsLoad tells how many bytes may be read back from disk now.
func (s *Stream) WantsLoad(most int) int {
	if s.onDisk == 0 || s.loaded.len() > 0 {
		return 0
	}
	return max(0, min(most, s.c.Memory/2-(s.bytes-s.confLen))) // what is kept to go again must not keep it out
}

// Load takes entries read back from disk, those of the lowest numbers that there is room for. The others wait on.
func (s *Stream) Load(entries []*Entry) {
	slices.SortFunc(entries, bySeq)
	for _, e := range entries {
		if s.bytes+e.size() > s.c.Memory {
			return
		}
		e.state = waiting
		s.hold(e)
		s.bytes += e.size()
		s.loaded.push(e)
		s.onDisk--
	}
}

// Shelve lets all that is on disk go from memory, for the end of the process.
func (s *Stream) Shelve() {
	each := func(l *list) {
		keep := list{}
		for l.len() > 0 {
			e := l.pop()
			if !e.saved {
				keep.push(e)
				continue
			}
			s.unhold(e)
			s.bytes -= e.size()
			e.state = left
			s.onDisk++
		}
		for keep.len() > 0 {
			l.push(keep.pop())
		}
	}
	for i := range s.old {
		each(&s.old[i])
		each(&s.fresh[i])
	}
	each(&s.again)
	each(&s.loaded)
}

// Abandon drops all that waits in memory, for a collector that is no more.
func (s *Stream) Abandon(cause Cause, keepSaved bool) (dropped int) {
	s.Ended(false)
	if keepSaved {
		s.Shelve()
	}
	each := func(l *list) {
		for l.len() > 0 {
			e := l.first()
			s.remove(e)
			s.drop(cause, e.Seq, 1)
			dropped++
		}
	}
	for i := range s.old {
		each(&s.old[i])
		each(&s.fresh[i])
	}
	each(&s.again)
	each(&s.loaded)
	return dropped
}

// Reroute tells that the routes have new places: to[i] is that of the i-th, -1 if it is no more.
func (s *Stream) Reroute(to []int) {
	each := func(l *list) {
		for _, e := range l.e[l.from:] {
			if e.Route >= 0 && e.Route < len(to) {
				e.Route = to[e.Route]
			}
		}
	}
	for i := range s.old {
		each(&s.old[i])
		each(&s.fresh[i])
	}
	each(&s.again)
	each(&s.loaded)
	each(&s.window)
}
