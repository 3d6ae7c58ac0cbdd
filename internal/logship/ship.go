package logship

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"reachwind/internal/logqueue"
	"reachwind/internal/logroute"
	"reachwind/internal/record"
	"reachwind/internal/syslog"
	"reachwind/internal/tlskeys"
)

// Shipper carries records to collectors. See the package's comment.
type Shipper struct {
	now func() time.Duration
	log *slog.Logger // must not lead back to Put

	inbox struct {
		sync.Mutex
		records []numbered
		spare   []numbered
		next    uint64
		dropped uint64
		closed  bool
	}
	wake chan struct{}
	look chan struct{} // certificates are to be looked at

	mu       sync.Mutex // all below, and all streams
	conf     Config
	enc      *syslog.Encoder
	table    *logroute.Table
	circuits *logroute.Circuits
	all      []*collector
	targets  []logroute.Target
	buf      []byte
	lost     uint64 // dropped from the inbox, ever

	stop   context.CancelFunc // ends the collectors' goroutines
	ctx    context.Context
	done   sync.WaitGroup
	routed chan struct{} // closed when all that was put is routed, after Close
	ending chan struct{} // closed by Close: what is left is sent, then collectors end
}

type numbered struct {
	record.Record
	n uint64
}

// New returns a shipper for conf, whose defaults were filled in. now is the gateway's clock.
func New(conf Config, now func() time.Duration, log *slog.Logger) (*Shipper, error) {
	s := &Shipper{now: now, log: log, wake: make(chan struct{}, 1), look: make(chan struct{}, 1), routed: make(chan struct{}), ending: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.circuits = logroute.NewCircuits(0, conf.Seed)
	apply, err := s.Prepare(conf)
	if err != nil {
		s.stop()
		return nil, err
	}
	apply()
	go s.route()
	go s.refresh()
	return s, nil
}

// Put takes a record. It never blocks; when records come faster than they can be routed, the least worthy are
// dropped and counted.
func (s *Shipper) Put(r *record.Record) {
	in := &s.inbox
	in.Lock()
	in.next++
	if full := float64(len(in.records)) / inboxMost; in.closed || !logroute.Admit(logroute.PriorityOf(r, 1), full) {
		in.dropped++
		in.Unlock()
		return
	}
	in.records = append(in.records, numbered{*r, in.next})
	first := len(in.records) == 1
	in.Unlock()
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// route takes what was put, again and again, until Close.
func (s *Shipper) route() {
	defer close(s.routed)
	for closed := false; !closed; {
		select {
		case <-s.wake:
			s.mu.Lock()
			linger := s.conf.Linger
			s.mu.Unlock()
			t := time.NewTimer(linger) // so that one write carries many
			select {
			case <-t.C:
			case <-s.ending:
			}
			t.Stop()
		case <-s.ending:
		}
		in := &s.inbox
		in.Lock()
		batch, dropped := in.records, in.dropped
		in.records, in.dropped = in.spare[:0], 0
		closed = in.closed
		in.Unlock()
		s.take(batch, dropped)
		clear(batch)
		in.Lock()
		in.spare = batch
		in.Unlock()
	}
}

const lockedMost = 64 // records routed without letting others have the lock

func (s *Shipper) take(batch []numbered, dropped uint64) {
	for len(batch) > 0 || dropped > 0 {
		n := min(len(batch), lockedMost)
		s.mu.Lock()
		if dropped > 0 {
			s.lost += dropped
			s.all[0].stream.Uncounted(logqueue.Inbox, dropped)
			dropped = 0
		}
		for i := range batch[:n] {
			s.place(&batch[i])
		}
		for _, c := range s.all {
			c.signal()
		}
		s.mu.Unlock()
		batch = batch[n:]
	}
}

// place routes one record and queues it. The caller holds the lock.
func (s *Shipper) place(r *numbered) {
	now := s.now()
	s.targets = s.table.Route(now, &r.Record, s.circuits, s.targets[:0])
	for _, t := range s.targets {
		q := s.all[t.Collector].stream
		if t.OverRate {
			q.Skip(logqueue.Rate)
			continue
		}
		e, ok := s.entry(q, &r.Record, syslog.Meta{Seq: logqueue.Wire(q.Next()), Number: r.n, Weight: t.Weight})
		if !ok {
			q.Skip(logqueue.Size)
			continue
		}
		e.Route, e.Key = t.Route, logroute.Key(&r.Record)
		q.Push(e)
	}
}

// entry encodes a record for a stream.
func (s *Shipper) entry(q *logqueue.Stream, r *record.Record, m syslog.Meta) (*logqueue.Entry, bool) {
	var at int
	var err error
	if s.buf, at, err = s.enc.Append(s.buf[:0], r, m); err != nil {
		return nil, false
	}
	e := q.Get()
	e.Worth, e.At, e.SeqAt, e.Msg = logroute.PriorityOf(r, m.Weight), r.At, at, append(e.Msg, s.buf...)
	return e, true
}

// gaps queues gap records for what was dropped. The caller holds the lock.
func (s *Shipper) gaps(c *collector, all bool) {
	now := s.now()
	for _, g := range c.stream.Gaps(now, all) {
		r := record.Record{Kind: record.Gap, Severity: record.Warning, At: now, Class: -1, Tenant: -1}
		s.inbox.Lock()
		s.inbox.next++
		n := s.inbox.next
		s.inbox.Unlock()
		if e, ok := s.entry(c.stream, &r, syslog.Meta{Seq: logqueue.Wire(c.stream.Next()), Number: n, Weight: 1, Gap: &g}); ok {
			e.Route = -1
			c.stream.Push(e)
		}
	}
}

// renumber makes an entry anew for another stream.
func renumber(e *logqueue.Entry, seq uint64) *logqueue.Entry {
	return &logqueue.Entry{Worth: e.Worth, Route: e.Route, Key: e.Key, At: e.At, SeqAt: e.SeqAt,
		Msg: syslog.Renumber(nil, e.Msg, e.SeqAt, logqueue.Wire(seq))}
}

// down moves what waits for a collector that is down to others that are up, where its routes say so. The caller
// holds the lock.
func (s *Shipper) down(c *collector) {
	moved := make([]bool, len(s.all))
	c.stream.MoveTo(func(route int, key uint64) *logqueue.Stream {
		to := s.table.Reassign(route, key, c.at, s.circuits)
		if to < 0 || s.all[to] == c {
			return nil
		}
		moved[to] = true
		return s.all[to].stream
	}, renumber, movesMost)
	for i, m := range moved {
		if m {
			s.all[i].signal()
		}
	}
}

// Prepare checks a new configuration against what runs. apply takes it over; until then nothing changes.
func (s *Shipper) Prepare(conf Config) (apply func(), err error) {
	if err := conf.Defaults(); err != nil {
		return nil, err
	}
	enc, err := syslog.New(conf.Syslog)
	if err != nil {
		return nil, err
	}
	table, err := conf.table()
	if err != nil {
		return nil, err
	}
	keys := make([]*tlskeys.Store, len(conf.Collectors))
	for i := range conf.Collectors {
		k := &conf.Collectors[i]
		if k.Transport != TLS {
			continue
		}
		if keys[i], err = tlskeys.Open(k.Files); err != nil {
			return nil, &CollectorError{k.Name, err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && conf.Spool != s.conf.Spool {
		return nil, &FixedError{"spool", s.conf.Spool, conf.Spool}
	}
	return func() { s.apply(conf, enc, table, keys) }, nil
}

// CollectorError is a fault of one collector's settings.
type CollectorError struct {
	Name string
	Err  error
}

func (e *CollectorError) Error() string { return "collector \"" + e.Name + "\": " + e.Err.Error() }
func (e *CollectorError) Unwrap() error { return e.Err }

// FixedError is a setting that can't change while the gateway runs.
type FixedError struct{ Name, Has, Wants string }

func (e *FixedError) Error() string {
	return e.Name + " is \"" + e.Has + "\" since the start and can't become \"" + e.Wants + "\" while the gateway runs"
}

func (s *Shipper) apply(conf Config, enc *syslog.Encoder, table *logroute.Table, keys []*tlskeys.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.table == nil
	old := s.all
	for _, o := range old { // what the routes of before give to others goes while they hold
		if !slices.ContainsFunc(conf.Collectors, func(k Collector) bool { return k.Name == o.name }) {
			s.down(o)
		}
	}
	s.all = nil
	var from []int
	for i := range conf.Collectors {
		k := &conf.Collectors[i]
		place := -1
		for at, o := range old {
			if o != nil && o.conf.Name == k.Name {
				place = at
			}
		}
		from = append(from, place)
		if place < 0 {
			c := s.newCollector(k, keys[i], &conf)
			c.at = i
			s.all = append(s.all, c)
			continue
		}
		c := old[place]
		old[place] = nil
		c.at = i
		c.stream.SetConfig(conf.stream(k))
		if same(&c.conf, k) {
			select { // its files are looked at now
			case s.look <- struct{}{}:
			default:
			}
		} else {
			c.conf, c.keys = *k, keys[i]
			c.change++
			s.circuits.Reset(place)
		}
		c.signal()
		s.all = append(s.all, c)
	}
	routes := make([]int, len(s.conf.Routes)) // where each route of before is now
	for i := range s.conf.Routes {
		routes[i] = table.RouteIndex(s.conf.Routes[i].Name)
	}
	if !first {
		table.Inherit(s.table)
	}
	s.conf, s.enc, s.table = conf, enc, table
	s.circuits.Reorder(from)
	for i, c := range s.all {
		if from[i] >= 0 {
			c.stream.Reroute(routes)
			continue
		}
		s.done.Add(1)
		go c.run()
	}
	for _, o := range old {
		if o == nil {
			continue
		}
		o.stream.Reroute(routes)
		o.leave(s)
	}
}

func same(a, b *Collector) bool {
	if a.Address != b.Address || a.Transport != b.Transport || a.Framing != b.Framing || a.Files != b.Files ||
		a.ServerName != b.ServerName || a.Connect != b.Connect || a.Write != b.Write || len(a.Fingerprints) != len(b.Fingerprints) {
		return false
	}
	for i := range a.Fingerprints {
		if a.Fingerprints[i] != b.Fingerprints[i] {
			return false
		}
	}
	return true
}

// refresh looks at certificates again and again: files that change are taken without a signal.
func (s *Shipper) refresh() {
	t := time.NewTicker(refreshTime)
	defer t.Stop()
	for ; s.ctx.Err() == nil; s.wait(t) {
		s.mu.Lock()
		all := append([]*collector(nil), s.all...)
		s.mu.Unlock()
		for _, c := range all {
			c.refresh()
		}
	}
}

func (s *Shipper) wait(t *time.Ticker) {
	select {
	case <-s.ctx.Done():
	case <-s.look:
	case <-t.C:
	}
}

// Close sends what is left for as long as ctx lasts, puts the rest in the spool and ends. Nothing may be put
// afterwards. It returns how many records were neither handed over nor kept on disk.
func (s *Shipper) Close(ctx context.Context) (dropped int) {
	s.inbox.Lock()
	s.inbox.closed = true
	s.inbox.Unlock()
	close(s.ending)
	<-s.routed
	s.mu.Lock()
	for _, c := range s.all {
		c.signal()
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	s.stop()
	select {
	case <-ended:
	case <-time.After(closeTime): // a disk or a peer that does not answer must not keep the process
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.all {
		memory, _ := c.stream.Waiting()
		dropped += memory
	}
	return dropped
}

// Count is what became of the records of one collector.
type Count struct {
	Name                   string
	Made, Handed, Repeated uint64
	Dropped                [logqueue.Causes]uint64
	Memory, Disk, Bytes    int
	Phase                  logroute.Phase
}

// Counts tells what became of all records, and how many were lost before they were routed.
func (s *Shipper) Counts() (counts []Count, lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.all {
		q := c.stream
		memory, disk := q.Waiting()
		counts = append(counts, Count{c.conf.Name, q.Made, q.Handed, q.Repeated, q.Dropped, memory, disk, q.Bytes(),
			s.circuits.Phase(s.now(), i)})
	}
	return counts, s.lost
}
