package logship

import (
	"net/url"
	"path/filepath"
	"time"

	"reachwind/internal/logqueue"
	"reachwind/internal/logroute"
	"reachwind/internal/logthrottle"
	"reachwind/internal/spool"
	"reachwind/internal/tlskeys"
)

// collector holds one collector's queue and the goroutine that runs its connection.
// The shipper's lock guards conf, keys, index, settingsVersion and stream.
type collector struct {
	s               *Shipper
	name            string
	conf            Collector
	keys            *tlskeys.Store
	index           int // index in the configuration, -1 once it is removed from it
	settingsVersion int // incremented when its settings change: the connection is then replaced
	stream          *logqueue.Stream
	disk            *disk // nil: no spool

	wake    chan struct{}
	removed chan struct{} // closed when it is removed from the configuration
	ended   chan struct{} // closed when the connection goroutine has ended

	warned     time.Time // last warning that the certificate expires
	failureLog logthrottle.Line
}

func (s *Shipper) newCollector(k *Collector, keys *tlskeys.Store, conf *Config) *collector {
	c := &collector{s: s, name: k.Name, conf: *k, keys: keys, wake: make(chan struct{}, 1), removed: make(chan struct{}), ended: make(chan struct{})}
	first := uint64(1)
	if conf.Spool != "" {
		c.disk = &disk{c: c, fs: conf.open(SpoolDir(conf.Spool, k.Name)), wake: make(chan struct{}, 1), options: spool.Options{
			Owner: conf.Syslog.Hostname + "/" + k.Name, Most: conf.Disk / int64(len(conf.Collectors)), Age: conf.MaxAge}}
		first = c.disk.first()
	}
	c.stream = logqueue.New(conf.stream(k), first)
	return c
}

func (c *Config) open(dir string) spool.FS {
	if c.folder != nil {
		return c.folder(dir)
	}
	return spool.Dir(dir)
}

// SpoolDir returns the path of one collector's spool folder below dir.
func SpoolDir(dir, collector string) string {
	return filepath.Join(dir, "c-"+url.PathEscape(collector))
}

func (c *collector) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// refresh rereads the certificate files; if they have changed, the connection is replaced.
func (c *collector) refresh() {
	c.s.mu.Lock()
	keys, name := c.keys, c.name
	c.s.mu.Unlock()
	if keys == nil {
		return
	}
	changed, err := keys.Refresh()
	if err != nil {
		c.s.log.Error("certificates refused, the old ones hold", "collector", name, "err", err)
	}
	if changed {
		c.s.log.Info("certificates changed", "collector", name, "until", keys.Current().Expiry)
		c.warned = time.Time{}
		c.signal()
	}
	c.warnExpiry()
}

// warnExpiry warns at most once a day of a certificate that expires soon.
func (c *collector) warnExpiry() {
	c.s.mu.Lock()
	keys, ahead := c.keys, c.s.conf.WarnExpiry
	c.s.mu.Unlock()
	if keys == nil || time.Since(c.warned) < 24*time.Hour {
		return
	}
	if end := keys.Current().Expiry; !end.IsZero() && time.Until(end) < ahead {
		c.warned = time.Now()
		c.s.log.Warn("a certificate ends soon", "collector", c.name, "at", end)
	}
}

// remove ends a collector that was removed from the configuration: what waits moves to other collectors
// where its routes allow that, and the rest is sent for at most removalGrace. The caller holds the lock.
func (c *collector) remove(s *Shipper) {
	c.index = -1
	close(c.removed)
	c.signal()
}

// run connects and sends until the collector is finished. It is the connection goroutine.
func (c *collector) run() {
	defer c.s.done.Done()
	if c.disk != nil {
		ended := make(chan struct{})
		go func() {
			c.disk.run()
			close(ended)
		}()
		defer func() { <-ended }()
	}
	defer close(c.ended)
	for {
		l, change := c.connect()
		if l == nil {
			break
		}
		if !c.serve(l, change) {
			break
		}
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.stream.ConnectionEnded(false)
	if c.index >= 0 {
		return
	}
	c.s.moveToOthers(c)
	if n := c.stream.DropAll(logqueue.Removed, c.disk != nil); n > 0 || c.stream.OnDisk() > 0 {
		c.s.log.Warn("a collector was taken out with records waiting", "collector", c.name, "dropped", n, "kept_on_disk", c.stream.OnDisk())
	}
}

// finished reports whether nothing more is to be sent. The caller holds the lock.
func (c *collector) finished() bool {
	select {
	case <-c.s.ctx.Done():
		return true
	default:
	}
	memory, _ := c.stream.Waiting()
	select {
	case <-c.s.ending:
		select {
		case <-c.s.routed:
			return memory == 0 && !c.stream.HasUnreportedDrops()
		default:
			return false
		}
	case <-c.removed:
		return memory == 0
	default:
		return false
	}
}

// connect returns a connection and the settings version it was made with, or nil when none is needed any more. It
// retries as the circuit allows.
func (c *collector) connect() (*link, int) {
	s := c.s
	for {
		s.mu.Lock()
		if c.finished() || c.index < 0 {
			s.mu.Unlock()
			return nil, 0
		}
		wait := s.circuits.TryConnect(s.now(), c.index)
		conf, keys, change := c.conf, c.keys, c.settingsVersion
		s.mu.Unlock()
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-s.ctx.Done():
			case <-c.removed:
			}
			t.Stop()
			continue
		}
		l, err := dial(s.ctx, &conf, keys)
		s.mu.Lock()
		if c.index < 0 {
			s.mu.Unlock()
			if err == nil {
				l.close()
			}
			return nil, 0
		}
		if err == nil {
			s.circuits.Connected(s.now(), c.index)
			for _, o := range s.collectors { // this collector may take over what waits for others that are down
				if o != c && !s.circuits.Up(o.index) {
					s.moveToOthers(o)
				}
			}
			s.mu.Unlock()
			s.log.Info("collector connected", "collector", conf.Name, "address", conf.Address)
			return l, change
		}
		c.connectionFailed(nil)
		s.mu.Unlock()
		c.failureLog.Warn(s.log, "collector connect failed", "collector", conf.Name, "address", conf.Address, "err", err)
	}
}

// connectionFailed records that a connection failed; l is nil if it was never established. The caller holds the lock.
func (c *collector) connectionFailed(l *link) {
	if l != nil {
		c.stream.Confirm(l.confirmed())
		l.close()
	}
	if c.index >= 0 {
		c.s.circuits.Failed(c.s.now(), c.index)
	}
	c.stream.ConnectionEnded(false)
	if c.index >= 0 {
		c.s.moveToOthers(c)
	}
}

const (
	minPollInterval = 5 * time.Millisecond // polled, as the kernel sends no notice when bytes are confirmed
	maxPollInterval = 200 * time.Millisecond
)

// serve sends waiting records until the connection ends, and reports whether a new connection is needed.
func (c *collector) serve(l *link, change int) bool {
	s := c.s
	var batch []*logqueue.Entry
	poll := minPollInterval
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	leaveBy := time.Time{}
	for {
		s.mu.Lock()
		c.stream.Confirm(l.confirmed())
		left := c.index < 0
		if left && leaveBy.IsZero() {
			leaveBy = time.Now().Add(removalGrace)
		}
		over := c.finished() || !leaveBy.IsZero() && time.Now().After(leaveBy)
		if over || c.settingsVersion != change || c.keys != nil && c.keys.Current().Generation != l.keys {
			s.mu.Unlock()
			return c.end(l) && !over
		}
		phase := logroute.Working
		if c.index >= 0 {
			phase = s.circuits.Phase(s.now(), c.index)
		}
		ending := false
		select {
		case <-s.ending:
			ending = true
		default:
		}
		s.pushGaps(c, ending)
		now := s.now()
		batch = c.stream.Batch(now, batchBytes, phase == logroute.Working, batch[:0])
		if len(batch) > 0 {
			s.mu.Unlock()
			err := l.write(batch)
			s.mu.Lock()
			if err != nil {
				c.connectionFailed(l)
				s.mu.Unlock()
				c.failureLog.Warn(s.log, "collector connection broke", "collector", c.name, "err", err)
				return true
			}
			c.stream.MarkWritten(l.sent.Load())
			c.stream.Confirm(l.confirmed())
			s.mu.Unlock()
			clear(batch)
			poll = minPollInterval
			continue
		}
		wait := c.stream.BacklogDelay(now)
		switch {
		case phase == logroute.Probation && wait >= 0:
			wait = 100 * time.Millisecond
		case wait == 0: // the window is full
			wait = minPollInterval
		}
		if c.stream.Unconfirmed() > 0 && (wait < 0 || wait > poll) {
			wait, poll = poll, min(2*poll, maxPollInterval)
		}
		if c.stream.HasUnreportedDrops() && (wait < 0 || wait > gapInterval) {
			wait = gapInterval
		}
		if c.disk != nil && c.stream.WantsLoad(loadBytes) > 0 {
			c.disk.signal()
		}
		s.mu.Unlock()
		if left && (wait < 0 || wait > maxPollInterval) {
			wait = maxPollInterval
		}
		if wait >= 0 {
			timer.Reset(wait)
		}
		select {
		case <-c.wake:
		case <-timer.C:
		case <-s.ctx.Done():
		case <-l.peerClosed:
			s.mu.Lock()
			c.connectionFailed(l)
			s.mu.Unlock()
			c.failureLog.Warn(s.log, "collector connection broke", "collector", c.name, "err", "closed by the collector")
			return true
		}
	}
}

// end closes a connection in an orderly way. What the collector's kernel does not confirm is sent again.
func (c *collector) end(l *link) bool {
	s := c.s
	wait := closeTimeout
	if s.ctx.Err() != nil { // the process must end now
		wait = 20 * time.Millisecond
	}
	all := l.finish(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stream.Confirm(l.confirmed())
	if all {
		c.stream.Confirm(l.sent.Load())
	}
	c.stream.ConnectionEnded(all)
	if c.index >= 0 {
		s.circuits.Closed(s.now(), c.index)
	}
	return true
}
