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

// Shipper sends records to collectors. The package comment states its guarantees.
type Shipper struct {
	now func() time.Duration
	log *slog.Logger // must not pass its records to Put

	inbox struct {
		sync.Mutex
		records []numbered
		spare   []numbered
		next    uint64
		dropped uint64
		closed  bool
	}
	wake       chan struct{}
	refreshNow chan struct{} // requests a check of the certificate files

	mu           sync.Mutex // guards all fields below, and all streams
	conf         Config
	enc          *syslog.Encoder
	table        *logroute.Table
	circuits     *logroute.Circuits
	collectors   []*collector
	targets      []logroute.Target
	buf          []byte
	inboxDropped uint64 // records dropped at the inbox since the start

	stop   context.CancelFunc // ends the collectors' goroutines
	ctx    context.Context
	done   sync.WaitGroup
	routed chan struct{} // closed when, after Close, all records in the inbox are routed
	ending chan struct{} // closed by Close: remaining records are sent, then the collectors end
}

type numbered struct {
	record.Record
	number uint64
}

// New starts a shipper for conf. now is the gateway's clock. log must not pass its records to Put.
func New(conf Config, now func() time.Duration, log *slog.Logger) (*Shipper, error) {
	s := &Shipper{now: now, log: log, wake: make(chan struct{}, 1), refreshNow: make(chan struct{}, 1), routed: make(chan struct{}), ending: make(chan struct{})}
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

// Put queues a copy of a record for routing. It never blocks; when records come faster than they can be routed, those
// of the lowest priority are dropped and counted.
func (s *Shipper) Put(r *record.Record) {
	in := &s.inbox
	in.Lock()
	in.next++
	if full := float64(len(in.records)) / maxInboxRecords; in.closed || !logroute.Admit(logroute.PriorityOf(r, 1), full) {
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

// route routes the records in the inbox in batches, until Close.
func (s *Shipper) route() {
	defer close(s.routed)
	for closed := false; !closed; {
		select {
		case <-s.wake:
			s.mu.Lock()
			linger := s.conf.Linger
			s.mu.Unlock()
			t := time.NewTimer(linger) // so that one write carries many records
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
		s.routeBatch(batch, dropped)
		clear(batch)
		in.Lock()
		in.spare = batch
		in.Unlock()
	}
}

const maxRecordsPerLock = 64 // records routed before the lock is released for others

func (s *Shipper) routeBatch(batch []numbered, dropped uint64) {
	for len(batch) > 0 || dropped > 0 {
		n := min(len(batch), maxRecordsPerLock)
		s.mu.Lock()
		if dropped > 0 {
			s.inboxDropped += dropped
			s.collectors[0].stream.DropUnnumbered(logqueue.Inbox, dropped)
			dropped = 0
		}
		for i := range batch[:n] {
			s.routeRecord(&batch[i])
		}
		for _, c := range s.collectors {
			c.signal()
		}
		s.mu.Unlock()
		batch = batch[n:]
	}
}

// routeRecord routes one record and queues it for its collectors. The caller holds the lock.
func (s *Shipper) routeRecord(r *numbered) {
	now := s.now()
	s.targets = s.table.Route(now, &r.Record, s.circuits, s.targets[:0])
	for _, t := range s.targets {
		q := s.collectors[t.Collector].stream
		if t.OverRate {
			q.Skip(logqueue.Rate)
			continue
		}
		e, ok := s.entry(q, &r.Record, syslog.Meta{Seq: logqueue.SequenceID(q.Next()), Number: r.number, Weight: t.Weight})
		if !ok {
			q.Skip(logqueue.Size)
			continue
		}
		e.Route, e.Key = t.Route, logroute.Key(&r.Record)
		q.Push(e)
	}
}

// entry encodes a record for a stream. It returns false if the record does not fit a message.
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

// pushGaps queues gap records for a collector's drops that are due, or with all every one. The caller holds the lock.
func (s *Shipper) pushGaps(c *collector, all bool) {
	now := s.now()
	for _, g := range c.stream.Gaps(now, all) {
		r := record.Record{Kind: record.Gap, Severity: record.Warning, At: now, Class: -1, Tenant: -1}
		s.inbox.Lock()
		s.inbox.next++
		n := s.inbox.next
		s.inbox.Unlock()
		if e, ok := s.entry(c.stream, &r, syslog.Meta{Seq: logqueue.SequenceID(c.stream.Next()), Number: n, Weight: 1, Gap: &g}); ok {
			e.Route = -1
			c.stream.Push(e)
		}
	}
}

// renumber returns a copy of an entry with a number of another stream.
func renumber(e *logqueue.Entry, seq uint64) *logqueue.Entry {
	return &logqueue.Entry{Worth: e.Worth, Route: e.Route, Key: e.Key, At: e.At, SeqAt: e.SeqAt,
		Msg: syslog.Renumber(nil, e.Msg, e.SeqAt, logqueue.SequenceID(seq))}
}

// moveToOthers moves what waits for a collector that is down to others that are up, where its routes allow it. The
// caller holds the lock.
func (s *Shipper) moveToOthers(c *collector) {
	moved := make([]bool, len(s.collectors))
	c.stream.MoveTo(func(route int, key uint64) *logqueue.Stream {
		to := s.table.Reassign(route, key, c.index, s.circuits)
		if to < 0 || s.collectors[to] == c {
			return nil
		}
		moved[to] = true
		return s.collectors[to].stream
	}, renumber, maxMoves)
	for i, m := range moved {
		if m {
			s.collectors[i].signal()
		}
	}
}

// Prepare checks a new configuration against the running one. apply puts it in force; until then nothing changes. The
// error is a *CollectorError, a *FixedError or a fault of the configuration.
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

// CollectorError is an error in one collector's settings.
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
	old := s.collectors
	for _, o := range old { // records move to other collectors by the old routes, before these are replaced
		if !slices.ContainsFunc(conf.Collectors, func(k Collector) bool { return k.Name == o.name }) {
			s.moveToOthers(o)
		}
	}
	s.collectors = nil
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
			c.index = i
			s.collectors = append(s.collectors, c)
			continue
		}
		c := old[place]
		old[place] = nil
		c.index = i
		c.stream.SetConfig(conf.stream(k))
		if sameSettings(&c.conf, k) {
			select { // its certificate files are checked now
			case s.refreshNow <- struct{}{}:
			default:
			}
		} else {
			c.conf, c.keys = *k, keys[i]
			c.settingsVersion++
			s.circuits.Reset(place)
		}
		c.signal()
		s.collectors = append(s.collectors, c)
	}
	routes := make([]int, len(s.conf.Routes)) // the new index of each old route
	for i := range s.conf.Routes {
		routes[i] = table.RouteIndex(s.conf.Routes[i].Name)
	}
	if !first {
		table.Inherit(s.table)
	}
	s.conf, s.enc, s.table = conf, enc, table
	s.circuits.Reorder(from)
	for i, c := range s.collectors {
		if from[i] >= 0 {
			c.stream.RemapRoutes(routes)
			continue
		}
		s.done.Add(1)
		go c.run()
	}
	for _, o := range old {
		if o == nil {
			continue
		}
		o.stream.RemapRoutes(routes)
		o.remove(s)
	}
}

func sameSettings(a, b *Collector) bool {
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

// refresh checks the certificate files periodically, so that changed files are used without a reload signal.
func (s *Shipper) refresh() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for ; s.ctx.Err() == nil; s.wait(t) {
		s.mu.Lock()
		all := append([]*collector(nil), s.collectors...)
		s.mu.Unlock()
		for _, c := range all {
			c.refresh()
		}
	}
}

func (s *Shipper) wait(t *time.Ticker) {
	select {
	case <-s.ctx.Done():
	case <-s.refreshNow:
	case <-t.C:
	}
}

// Close sends the remaining records until ctx ends, writes the rest to the spool and stops the shipper. Put must not
// be called afterwards. It returns how many records were neither handed over nor kept on disk.
func (s *Shipper) Close(ctx context.Context) (dropped int) {
	s.inbox.Lock()
	s.inbox.closed = true
	s.inbox.Unlock()
	close(s.ending)
	<-s.routed
	s.mu.Lock()
	for _, c := range s.collectors {
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
	case <-time.After(closeTimeout): // a disk or a peer that does not answer must not keep the process from ending
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.collectors {
		memory, _ := c.stream.Waiting()
		dropped += memory
	}
	return dropped
}

// Count holds the record counts of one collector: Made = Handed + Dropped + Memory + Disk. Bytes is its memory use.
type Count struct {
	Name                   string
	Made, Handed, Repeated uint64
	Dropped                [logqueue.NumCauses]uint64
	Memory, Disk, Bytes    int
	Phase                  logroute.Phase
}

// Counts returns the record counts of each collector, and how many records were dropped before they were routed.
func (s *Shipper) Counts() (counts []Count, lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.collectors {
		q := c.stream
		memory, disk := q.Waiting()
		counts = append(counts, Count{c.conf.Name, q.Made, q.HandedOver, q.Resent, q.Dropped, memory, disk, q.Bytes(),
			s.circuits.Phase(s.now(), i)})
	}
	return counts, s.inboxDropped
}
