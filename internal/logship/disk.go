package logship

import (
	"errors"
	"time"

	"reachwind/internal/logqueue"
	"reachwind/internal/logroute"
	"reachwind/internal/logthrottle"
	"reachwind/internal/spool"
)

// disk manages one collector's spool. Only its goroutine uses the spool; it never
// holds the shipper's lock during disk operations.
type disk struct {
	c       *collector
	fs      spool.FS
	options spool.Options
	sp      *spool.Spool // nil: not open
	wake    chan struct{}

	retry    time.Time     // no attempt before this time
	backoff  time.Duration // delay after a failure; doubles while failures go on
	empty    int           // consecutive reads that found no record although some should be there
	last     error
	slow     logthrottle.Line
	records  []spool.Record
	unusable bool // the spool cannot be used by this process
}

// first returns the first record number of the stream, one that is certain to be unused.
func (d *disk) first() uint64 {
	next, ok := spool.NextNumber(d.fs)
	if ok {
		return next
	}
	o := d.options
	o.ReadOnly = true
	if sp, found, err := spool.Open(d.fs, o); err == nil {
		sp.Close()
		return found.Next
	}
	return 1
}

func (d *disk) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run updates the spool until the connection goroutine has ended, and then saves what is left.
func (d *disk) run() {
	d.c.s.mu.Lock()
	every := d.c.s.conf.Sync
	d.c.s.mu.Unlock()
	t := time.NewTicker(every / 2)
	defer t.Stop()
	for {
		begun := time.Now()
		d.step(every/2, false)
		if took := time.Since(begun); took > slowDiskThreshold {
			d.slow.Warn(d.c.s.log, "spool is slow", "collector", d.c.name, "took", took)
		}
		select {
		case <-t.C:
		case <-d.wake:
		case <-d.c.ended:
			d.step(0, true)
			if d.sp != nil {
				d.sp.Close()
				d.c.s.mu.Lock()
				d.c.stream.ReleaseSaved()
				d.c.s.mu.Unlock()
			}
			return
		}
	}
}

// open opens the spool unless a retry is not due yet, and reports whether it is open.
func (d *disk) open() bool {
	if d.sp != nil || d.unusable || time.Now().Before(d.retry) {
		return d.sp != nil
	}
	sp, found, err := spool.Open(d.fs, d.options)
	s := d.c.s
	if err != nil {
		var newer *spool.VersionError
		var foreign *spool.OwnerError
		if errors.Is(err, spool.ErrLocked) || errors.As(err, &newer) || errors.As(err, &foreign) {
			d.unusable = true
			s.log.Error("spool refused, records wait in memory only", "collector", d.c.name, "err", err)
			return false
		}
		d.fail(err)
		return false
	}
	d.sp, d.last, d.backoff = sp, nil, 0
	s.log.Info("spool open", "collector", d.c.name, "records", found.Records, "bytes", found.Bytes, "rotten", found.Rotten, "torn", found.Torn)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	sp.Pending(func(seq uint64) {
		if !d.c.stream.Holds(seq) {
			n++
		}
	})
	d.c.stream.AddFound(n)
	if found.Rotten > 0 {
		d.c.stream.DropUnnumbered(logqueue.Rotten, uint64(found.Rotten))
	}
	return true
}

// fail logs a disk error, unless the last one was the same, and schedules a retry. Records wait in memory meanwhile.
func (d *disk) fail(err error) {
	d.backoff = min(max(2*d.backoff, minDiskBackoff), maxDiskBackoff)
	d.retry = time.Now().Add(d.backoff)
	if d.last == nil || d.last.Error() != err.Error() {
		d.c.s.log.Error("spool failed, records wait in memory only", "collector", d.c.name, "err", err, "again_in", d.backoff)
	}
	d.last = err
}

// folderLost closes a spool whose folder was removed. Records that were only there are counted as dropped.
func (d *disk) folderLost(err error) {
	s := d.c.s
	s.mu.Lock()
	done := d.c.stream.Done(nil)
	s.mu.Unlock()
	_ = d.sp.Done(done)
	var seqs []uint64
	d.sp.Pending(func(seq uint64) { seqs = append(seqs, seq) })
	d.sp.Close()
	d.sp = nil
	s.mu.Lock()
	d.c.stream.RemovedFromDisk(logqueue.Disk, seqs)
	s.mu.Unlock()
	d.fail(err)
}

var errFolderGone = errors.New("the folder is gone")

// step updates the spool: it marks records that were handed over as done, saves those that have waited for the time
// waited, or all of them with all, and loads records back when there is memory for them.
func (d *disk) step(waited time.Duration, all bool) {
	s := d.c.s
	if !d.open() {
		return
	}
	if d.sp.Gone() {
		d.folderLost(errFolderGone)
		return
	}
	q := d.c.stream
	s.mu.Lock()
	done := q.Done(nil)
	next := q.Next()
	s.mu.Unlock()
	failed := d.sp.Done(done)
	if err := d.sp.Reserve(next + uint64(1<<14)); err != nil && failed == nil {
		failed = err
	}
	for failed == nil && time.Now().After(d.retry) {
		s.mu.Lock()
		before := s.now() - waited
		if all {
			before = 1<<62 - 1
		}
		entries := q.Unsaved(before, 1<<20, nil)
		routes := s.conf.Routes
		s.mu.Unlock()
		if len(entries) == 0 {
			break
		}
		kept := entries[:0:0]
		var turned []*logqueue.Entry
		d.records = d.records[:0]
		for _, e := range entries {
			if !logroute.Admit(e.Worth, float64(d.sp.Bytes())/float64(d.options.Most)) {
				turned = append(turned, e)
				continue
			}
			kept = append(kept, e)
			r := spool.Record{Seq: e.Seq, At: e.At, Key: e.Key, SeqAt: e.SeqAt, Worth: uint8(e.Worth), Moves: e.Moves, Msg: e.Msg}
			if e.Route >= 0 && e.Route < len(routes) {
				r.Route = routes[e.Route].Name
			}
			d.records = append(d.records, r)
		}
		err := d.sp.Append(d.records)
		if err == nil {
			err = d.sp.Sync()
		}
		s.mu.Lock()
		q.Saved(kept, err == nil)
		q.Saved(turned, false)
		s.mu.Unlock()
		clear(d.records)
		if err != nil {
			failed = err
		}
		if len(turned) > 0 || len(entries) == 0 {
			break
		}
	}
	if failed != nil {
		d.fail(failed)
	} else if d.last != nil && time.Now().After(d.retry) {
		s.log.Info("spool works again", "collector", d.c.name)
		d.last, d.backoff = nil, 0
	}
	d.sp.Trim(s.now(), func(aged bool, seqs []uint64) {
		cause := logqueue.Disk
		if aged {
			cause = logqueue.Age
		}
		s.mu.Lock()
		q.RemovedFromDisk(cause, seqs)
		s.mu.Unlock()
	})
	if !all {
		d.load()
	}
}

// load reads records back from the spool as far as memory allows.
func (d *disk) load() {
	s, q := d.c.s, d.c.stream
	s.mu.Lock()
	most := 0
	if d.c.index >= 0 && s.circuits.Up(d.c.index) {
		most = q.WantsLoad(loadBytes)
	}
	s.mu.Unlock()
	if most == 0 {
		return
	}
	records, rotten, err := d.sp.Read(most, func(seq uint64) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !q.Holds(seq)
	})
	if err != nil {
		d.fail(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(rotten) > 0 {
		q.RemovedFromDisk(logqueue.Rotten, rotten)
		s.log.Warn("spool records are rotten", "collector", d.c.name, "records", len(rotten))
	}
	if len(records) == 0 {
		if d.empty++; d.empty > 2 { // the whole spool was read at least twice
			s.log.Error("spool lacks records", "collector", d.c.name, "records", q.DropOnDisk(logqueue.Rotten))
			d.empty = 0
		}
		return
	}
	d.empty = 0
	var entries []*logqueue.Entry
	for i := range records {
		r := &records[i]
		entries = append(entries, &logqueue.Entry{Seq: r.Seq, Worth: logroute.Priority(min(r.Worth, uint8(logroute.MemberChange))), Moves: r.Moves,
			Route: s.table.RouteIndex(r.Route), Key: r.Key, At: r.At, SeqAt: r.SeqAt, Msg: append([]byte(nil), r.Msg...)})
	}
	q.Load(entries)
	d.c.signal()
}
