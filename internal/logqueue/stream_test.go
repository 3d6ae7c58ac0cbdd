package logqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachwind/internal/logroute"
)

// world is a stream with a collector and a disk that fail at will, and what is known of each record.
type world struct {
	t       *rapid.T
	s       *Stream
	now     Time
	up      bool
	sent    uint64            // bytes on this connection
	pipe    []uint64          // written and not confirmed
	unread  []uint64          // confirmed and not read
	ends    map[uint64]uint64 // where the records of the pipe end
	have    map[uint64]bool   // what the collector has read
	told    uint64            // dropped, by gap records that it has read
	gaps    map[uint64]uint64 // the counts that gap records stand for
	disk    map[uint64]*Entry
	sizes   map[uint64]int
	records int
}

func (w *world) push(worth logroute.Priority, n int) {
	before, disk := w.s.Dropped[Memory], w.s.OnDisk()
	kept := map[logroute.Priority]int{}
	for i := range w.s.old {
		kept[logroute.Priority(i)] = w.s.old[i].len() + w.s.fresh[i].len()
	}
	e := w.s.Get()
	e.Worth, e.At, e.Msg, e.Route = worth, w.now, append(e.Msg, make([]byte, n)...), w.records%3
	w.records++
	w.s.Push(e)
	if w.s.Dropped[Memory] > before && w.s.OnDisk() == disk { // then the least worthy went first
		for i := range w.s.old {
			if wh := logroute.Priority(i); wh > worth && w.s.old[i].len()+w.s.fresh[i].len() < kept[wh] {
				w.t.Fatalf("worth %d was dropped for one of %d", wh, worth)
			}
		}
	}
}

// write sends what the stream gives.
func (w *world) write(most int, backlog bool) {
	batch := w.s.Batch(w.now, most, backlog, nil)
	for _, e := range batch {
		w.sent += uint64(len(e.Msg))
		w.pipe = append(w.pipe, e.Seq)
		w.sizes[e.Seq] = e.size()
	}
	if len(batch) > 0 {
		w.s.Wrote(w.sent)
		for _, e := range batch {
			w.ends[e.Seq] = w.sent
		}
	}
}

func (w *world) read(seq uint64) {
	if !w.have[seq] {
		w.told += w.gaps[seq]
	}
	w.have[seq] = true
}

// confirm has the collector's kernel take so many bytes, and the collector read all but a few of the last, of Resend
// bytes at most.
func (w *world) confirm(to uint64, unread int) {
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
	for len(w.unread) > unread || size > w.s.c.Resend {
		size -= w.sizes[w.unread[0]]
		w.read(w.unread[0])
		w.unread = w.unread[1:]
	}
}

// breaks ends the connection; what the collector had not read is lost to it.
func (w *world) breaks(orderly bool) {
	if orderly {
		w.confirm(w.sent, 0)
	}
	w.s.Ended(orderly)
	w.up, w.sent, w.pipe, w.unread, w.ends = false, 0, nil, nil, map[uint64]uint64{}
}

// save writes to the disk, or fails to.
func (w *world) save(ok bool) {
	for _, seq := range w.s.Done(nil) {
		if w.disk[seq] == nil {
			w.t.Fatalf("%d is done with, and was not on disk", seq)
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

func (w *world) load() {
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

func (w *world) check() {
	memory, disk := w.s.Waiting()
	dropped := uint64(0)
	for _, n := range w.s.Dropped {
		dropped += n
	}
	if w.s.Made != w.s.Handed+dropped+uint64(memory+disk) {
		w.t.Fatalf("made %d, handed over %d, dropped %d, in memory %d, on disk %d", w.s.Made, w.s.Handed, dropped, memory, disk)
	}
	if gaps := len(w.gaps) * 300; w.s.Bytes() > w.s.c.Memory+gaps {
		w.t.Fatalf("%d bytes held, %d allowed", w.s.Bytes(), w.s.c.Memory)
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

func (w *world) tell(all bool) {
	for _, g := range w.s.Gaps(w.now, all) {
		e := w.s.Get()
		e.Worth, e.Msg, e.At, e.Route = logroute.GapRecord, append(e.Msg, make([]byte, 100)...), w.now, -1
		w.gaps[w.s.Next()] = g.Count
		w.s.Push(e)
	}
}

// TestStream: under random steps of records, a collector and a disk, the account adds up after each, memory stays
// within its bound, and in the end each number was read by the collector or told of as dropped, never both.
func TestStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, sizes: map[uint64]int{}, ends: map[uint64]uint64{}, have: map[uint64]bool{}, gaps: map[uint64]uint64{}, disk: map[uint64]*Entry{}}
		spooled := rapid.Bool().Draw(t, "spooled")
		w.s = New(Config{Memory: rapid.IntRange(2000, 20000).Draw(t, "memory"), Resend: rapid.IntRange(0, 2000).Draw(t, "resend"),
			CatchUp: rapid.SampledFrom([]float64{0, 100, 10000}).Draw(t, "catchup"), GapTime: time.Second, Disk: spooled}, 1)
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
			case op == 11 && spooled && rapid.IntRange(0, 5).Draw(t, "trim") == 0: // a segment goes, in part of what was sent
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
				w.s.Unsave(Disk, seqs)
				w.s.done = nil // the spool forgets them too
				for seq, e := range w.s.held {
					if e == nil {
						delete(w.s.held, seq)
						delete(w.disk, seq)
					}
				}
			}
			w.check()
		}
		w.breaks(false)
		for i := 0; ; i++ { // a collector that works, and all the time it needs
			w.now += time.Second
			w.tell(true)
			w.write(1<<20, true)
			w.confirm(w.sent, 0)
			if spooled {
				w.save(true)
				w.load()
			}
			if memory, disk := w.s.Waiting(); memory+disk == 0 && !w.s.Untold() {
				break
			}
			if i > 5000 {
				t.Fatal("it never ends")
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
			t.Fatalf("%d numbers never came, %d were told of", missing, w.told)
		}
	})
}

// TestOrder: fresh records pass the backlog, which comes at its rate beside them; numbers wrap as the RFC says.
func TestOrder(t *testing.T) {
	s := New(Config{Memory: 1 << 20, CatchUp: 10}, 1)
	push := func(n int) {
		for range n {
			s.Push(&Entry{Msg: make([]byte, 10), Worth: logroute.ServedRequest})
		}
	}
	push(100)
	s.Ended(false)
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
	if Wire(1) != 1 || Wire(1<<31-1) != 1<<31-1 || Wire(1<<31) != 1 {
		t.Error("sequenceId does not go from 2^31-1 to 1")
	}
}

// TestHour: after an hour without a collector all of it comes back from the disk, at its rate and no faster, while
// each fresh record goes in the tick that made it.
func TestHour(t *testing.T) {
	const second, hour, rate = 10, 3600 * 10, 500
	s := New(Config{Memory: 64 << 10, CatchUp: rate, Disk: true}, 1)
	disk := map[uint64]bool{}
	next := uint64(1) // of the lowest that may be on disk
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
	s.Ended(false)
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
		s.Wrote(sent)
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
