package logqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachwind/internal/logroute"
)

// simulation drives a stream with a simulated collector and disk that fail at random, and tracks each record.
type simulation struct {
	t       *rapid.T
	s       *Stream
	now     Time
	up      bool
	sent    uint64            // bytes on this connection
	pipe    []uint64          // written, not confirmed
	unread  []uint64          // confirmed by the kernel, not read by the collector
	ends    map[uint64]uint64 // end offsets on the connection of the records in pipe
	have    map[uint64]bool   // what the collector has read
	told    uint64            // drops reported by the gap records that the collector has read
	gaps    map[uint64]uint64 // drops reported by each gap record
	disk    map[uint64]*Entry
	sizes   map[uint64]int
	records int
}

func (w *simulation) push(worth logroute.Priority, n int) {
	before, disk := w.s.Dropped[Memory], w.s.OnDisk()
	kept := map[logroute.Priority]int{}
	for i := range w.s.backlog {
		kept[logroute.Priority(i)] = w.s.backlog[i].len() + w.s.fresh[i].len()
	}
	e := w.s.Get()
	e.Worth, e.At, e.Msg, e.Route = worth, w.now, append(e.Msg, make([]byte, n)...), w.records%3
	w.records++
	w.s.Push(e)
	if w.s.Dropped[Memory] > before && w.s.OnDisk() == disk { // then the lowest priority must have been dropped first
		for i := range w.s.backlog {
			if wh := logroute.Priority(i); wh > worth && w.s.backlog[i].len()+w.s.fresh[i].len() < kept[wh] {
				w.t.Fatalf("a record of priority %d was dropped for one of priority %d", wh, worth)
			}
		}
	}
}

// write sends the stream's next batch.
func (w *simulation) write(most int, backlog bool) {
	batch := w.s.Batch(w.now, most, backlog, nil)
	for _, e := range batch {
		w.sent += uint64(len(e.Msg))
		w.pipe = append(w.pipe, e.Seq)
		w.sizes[e.Seq] = e.size()
	}
	if len(batch) > 0 {
		w.s.MarkWritten(w.sent)
		for _, e := range batch {
			w.ends[e.Seq] = w.sent
		}
	}
}

func (w *simulation) read(seq uint64) {
	if !w.have[seq] {
		w.told += w.gaps[seq]
	}
	w.have[seq] = true
}

// confirm makes the collector's kernel confirm the first to bytes, and the collector read all of them except the last
// unread records, which take at most ResendBytes.
func (w *simulation) confirm(to uint64, unread int) {
	n := 0
	for n < len(w.pipe) && w.ends[w.pipe[n]] <= to {
		n++
	}
	w.unread = append(w.unread, w.pipe[:n]...)
	w.pipe = append([]uint64(nil), w.pipe[n:]...)
	w.s.Confirm(to)
	size := 0
	for _, seq := range w.unread {
		size += w.sizes[seq]
	}
	for len(w.unread) > unread || size > w.s.config.ResendBytes {
		size -= w.sizes[w.unread[0]]
		w.read(w.unread[0])
		w.unread = w.unread[1:]
	}
}

// breaks ends the connection; the collector loses what it had not read.
func (w *simulation) breaks(orderly bool) {
	if orderly {
		w.confirm(w.sent, 0)
	}
	w.s.ConnectionEnded(orderly)
	w.up, w.sent, w.pipe, w.unread, w.ends = false, 0, nil, nil, map[uint64]uint64{}
}

// save writes unsaved entries to the disk, or fails if ok is false.
func (w *simulation) save(ok bool) {
	for _, seq := range w.s.Done(nil) {
		if w.disk[seq] == nil {
			w.t.Fatalf("record %d is done, but was not on disk", seq)
		}
		delete(w.disk, seq)
	}
	entries := w.s.Unsaved(w.now, 1500, nil)
	if ok {
		for _, e := range entries {
			w.disk[e.Seq] = &Entry{Seq: e.Seq, Worth: e.Worth, Msg: append([]byte(nil), e.Msg...), Route: e.Route}
		}
	}
	w.s.Saved(entries, ok)
}

func (w *simulation) load() {
	var entries []*Entry
	most := w.s.WantsLoad(2000)
	for seq, e := range w.disk {
		if most > 0 && !w.s.Holds(seq) {
			c := *e
			entries = append(entries, &c)
			most -= len(e.Msg)
		}
	}
	w.s.Load(entries)
}

func (w *simulation) check() {
	memory, disk := w.s.Waiting()
	dropped := uint64(0)
	for _, n := range w.s.Dropped {
		dropped += n
	}
	if w.s.Made != w.s.HandedOver+dropped+uint64(memory+disk) {
		w.t.Fatalf("made %d, handed over %d, dropped %d, in memory %d, on disk %d", w.s.Made, w.s.HandedOver, dropped, memory, disk)
	}
	if gaps := len(w.gaps) * 300; w.s.Bytes() > w.s.config.MemoryBytes+gaps {
		w.t.Fatalf("%d bytes held, %d allowed", w.s.Bytes(), w.s.config.MemoryBytes)
	}
	found := 0
	for seq := range w.disk {
		if !w.s.Holds(seq) {
			found++
		}
	}
	if found != disk {
		w.t.Fatalf("%d records wait on disk only, %d are there", disk, found)
	}
}

func (w *simulation) tell(all bool) {
	for _, g := range w.s.Gaps(w.now, all) {
		e := w.s.Get()
		e.Worth, e.Msg, e.At, e.Route = logroute.GapRecord, append(e.Msg, make([]byte, 100)...), w.now, -1
		w.gaps[w.s.Next()] = g.Count
		w.s.Push(e)
	}
}

// TestStream runs random operations on a stream with a simulated collector and disk. After each operation the record
// counts must add up and memory must be within its limit. At the end the collector must have read each number or a
// gap record must have reported it as dropped, never both.
func TestStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, sizes: map[uint64]int{}, ends: map[uint64]uint64{}, have: map[uint64]bool{}, gaps: map[uint64]uint64{}, disk: map[uint64]*Entry{}}
		spooled := rapid.Bool().Draw(t, "spooled")
		w.s = New(Config{MemoryBytes: rapid.IntRange(2000, 20000).Draw(t, "memory"), ResendBytes: rapid.IntRange(0, 2000).Draw(t, "resend"),
			CatchUpRate: rapid.SampledFrom([]float64{0, 100, 10000}).Draw(t, "catchup"), GapInterval: time.Second, Spooled: spooled}, 1)
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			w.now += Time(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch op := rapid.IntRange(0, 11).Draw(t, "op"); {
			case op < 4:
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					w.push(logroute.Priority(rapid.IntRange(0, int(logroute.MemberChange)).Draw(t, "worth")), rapid.IntRange(20, 600).Draw(t, "len"))
				}
			case op == 4:
				w.s.Skip(Rate)
			case op < 7:
				w.up = true
				w.tell(false)
				w.write(rapid.IntRange(1, 4000).Draw(t, "bytes"), rapid.Bool().Draw(t, "backlog"))
			case op == 7 && w.sent > 0:
				w.confirm(uint64(rapid.IntRange(0, int(w.sent)).Draw(t, "to")), rapid.IntRange(0, 5).Draw(t, "unread"))
			case op == 8 && w.up:
				w.breaks(rapid.Bool().Draw(t, "orderly"))
			case op == 9 && spooled:
				w.save(rapid.IntRange(0, 3).Draw(t, "ok") > 0)
			case op == 10 && spooled:
				w.load()
			case op == 11 && spooled && rapid.IntRange(0, 5).Draw(t, "trim") == 0: // a segment is removed, with some records that were sent
				var seqs []uint64
				for seq := range w.disk {
					if seq%2 == 0 {
						seqs = append(seqs, seq)
						delete(w.disk, seq)
					}
				}
				held := map[uint64]bool{}
				for _, seq := range seqs {
					held[seq] = w.s.Holds(seq)
				}
				w.s.RemovedFromDisk(Disk, seqs)
				w.s.done = nil // the spool no longer has them either
				for seq, e := range w.s.savedBySeq {
					if e == nil {
						delete(w.s.savedBySeq, seq)
						delete(w.disk, seq)
					}
				}
			}
			w.check()
		}
		w.breaks(false)
		for i := 0; ; i++ { // the collector works until everything is delivered
			w.now += time.Second
			w.tell(true)
			w.write(1<<20, true)
			w.confirm(w.sent, 0)
			if spooled {
				w.save(true)
				w.load()
			}
			if memory, disk := w.s.Waiting(); memory+disk == 0 && !w.s.HasUnreportedDrops() {
				break
			}
			if i > 5000 {
				t.Fatal("records still wait after 5000 rounds with a working collector")
			}
		}
		w.check()
		missing := uint64(0)
		for seq := uint64(1); seq < w.s.Next(); seq++ {
			if !w.have[seq] {
				missing++
			}
		}
		if missing != w.told {
			t.Fatalf("%d numbers never arrived, %d were reported as dropped", missing, w.told)
		}
	})
}

// TestOrder checks that fresh records are sent before the backlog, that the backlog follows at its rate, and that the
// sequenceId wraps as RFC 5424 requires.
func TestOrder(t *testing.T) {
	s := New(Config{MemoryBytes: 1 << 20, CatchUpRate: 10}, 1)
	push := func(n int) {
		for range n {
			s.Push(&Entry{Msg: make([]byte, 10), Worth: logroute.ServedRequest})
		}
	}
	push(100)
	s.ConnectionEnded(false)
	push(3)
	var got []uint64
	for now := Time(0); now <= time.Second; now += 100 * time.Millisecond {
		for _, e := range s.Batch(now, 1000, true, nil) {
			got = append(got, e.Seq)
		}
	}
	if want := "[101 102 103 1 2 3 4 5 6 7 8]"; len(got) < 11 || len(got) > 14 || fmt.Sprint(got[:11]) != want {
		t.Errorf("sent %v, want %s and few more", got, want)
	}
	if SequenceID(1) != 1 || SequenceID(1<<31-1) != 1<<31-1 || SequenceID(1<<31) != 1 {
		t.Error("sequenceId does not go from 2^31-1 to 1")
	}
}

// TestHour checks that after an hour without a collector the whole backlog is sent from disk, no faster than the
// catch-up rate, while each fresh record is sent in the tick in which it was made.
func TestHour(t *testing.T) {
	const second, hour, rate = 10, 3600 * 10, 500
	s := New(Config{MemoryBytes: 64 << 10, CatchUpRate: rate, Spooled: true}, 1)
	disk := map[uint64]bool{}
	next := uint64(1) // lowest number that may be on disk
	save := func(now Time) {
		for _, seq := range s.Done(nil) {
			delete(disk, seq)
		}
		entries := s.Unsaved(now, 1<<20, nil)
		for _, e := range entries {
			disk[e.Seq] = true
		}
		s.Saved(entries, true)
	}
	push := func(now Time) uint64 {
		s.Push(&Entry{Worth: logroute.ServedRequest, At: now, Msg: make([]byte, 300)})
		return s.Next() - 1
	}
	now := Time(0)
	for range hour {
		now += time.Second / second
		push(now)
		save(now)
	}
	if memory, onDisk := s.Waiting(); memory+onDisk != hour || s.Bytes() > 64<<10 {
		t.Fatalf("%d wait in memory, %d on disk, want %d; %d bytes held", memory, onDisk, hour, s.Bytes())
	}
	s.ConnectionEnded(false)
	begin, sent, have := now, uint64(0), map[uint64]bool{}
	for len(have) < hour {
		now += 10 * time.Millisecond
		fresh := push(now)
		for _, e := range s.Batch(now, 1<<20, true, nil) {
			have[e.Seq] = true
			sent += uint64(len(e.Msg))
		}
		if !have[fresh] {
			t.Fatalf("a fresh record waited behind the backlog, %v after the collector came back", now-begin)
		}
		s.MarkWritten(sent)
		s.Confirm(sent)
		save(now)
		var entries []*Entry
		for most := s.WantsLoad(20 << 10); most > 0 && next <= hour; next++ {
			if disk[next] && !s.Holds(next) {
				entries = append(entries, &Entry{Seq: next, Worth: logroute.ServedRequest, Msg: make([]byte, 300)})
				most -= 300
			}
		}
		s.Load(entries)
		if old := len(have) - int((now-begin)/(10*time.Millisecond)); float64(old) > rate*(now-begin).Seconds()+rate/10+1 {
			t.Fatalf("%d of the backlog in %v", old, now-begin)
		}
		if now-begin > 10*time.Minute {
			t.Fatalf("%d of %d came in ten minutes", len(have), hour)
		}
	}
}
