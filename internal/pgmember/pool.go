// Package pgmember connects the gateway to members that speak the PostgreSQL
// protocol: it holds their connections and carries out attempts and probes. The
// pool's state belongs to the core's owner goroutine, which all methods of Pool
// must run on. Each connection has a goroutine of its own, which gets its orders
// from a mailbox and reports through the core's queue.
package pgmember

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/logthrottle"
	"reachwind/internal/pgwire"
)

// Config is the configuration of a Pool.
type Config struct {
	User, Database    string        // sent in the startup message to members
	MaxConns          int           // connections to all members together
	MemberIdleTimeout time.Duration // members close connections that are idle for this long
	ConnectTimeout    time.Duration // time limit for dialing, startup included, and for probes
	DrainGrace        time.Duration // sends to a draining member must end within it
	KeepDelisted      bool          // a member that is missing from the list without having drained may still be used
	ReservedBuffers   int           // buffers that streamed answers leave to others
	ReportFigures     []string      // the figures of a load report, as the settings name them
}

const (
	idlePart    = 0.8 // of Idle; the pool closes idle connections by then, so that no request crosses the member's close
	gracePart   = 0.6 // of Grace; no statement is written after it
	sweepEvery  = time.Second
	membersMost = 2 * decide.MaxMembers // kept in all, including members off the list that still have connections
	boundMargin = 2 * time.Millisecond  // data ages further until the last byte of the statement is written
)

// Pool holds the connections to all members.
type Pool struct {
	core    *core.Core
	log     *slog.Logger
	conf    atomic.Pointer[Config] // read by the connections' goroutines; Max and Keep count only in New
	most    int                    // connections, see Limit
	keep    int                    // see Config.Keep
	bufs    *pgwire.Pool
	dial    Dialer
	members map[string]*member // by id
	open    int                // connections, including those being established
	jobs    map[*core.Attempt]*job
	stamps  atomic.Bool // some member has reported a log position

	spoilt, cut, failing, short, cutList logthrottle.Line

	beforeWrite func(*job) // test hook: called right before a job's statement is written
}

// member is the pool's state of one member.
type member struct {
	id, addr string
	unwanted core.Time // since when it may get no new work; 0 = it may
	left     bool      // no longer in the list
	idle     []*conn   // the most recently used last
	busy     []*conn
	waiting  []*job // for a connection
	making   int    // connections being established
	room     int    // connections to other members that are closing to make room for one to this member
}

// job is an attempt or a probe.
type job struct {
	m       *member
	attempt *core.Attempt // nil for a probe
	c       *conn         // that it was given to, nil while it waits
	off     atomic.Bool   // stopped: no byte of it may be written any more
}

// over reports whether no byte of the job may be written any more. Any goroutine may call it.
func (j *job) over() bool { return j.off.Load() || j.attempt != nil && j.attempt.Request.Closed() }

// New returns a pool that reports to c and opens connections with dial.
func New(c *core.Core, conf Config, bufs *pgwire.Pool, dial Dialer, log *slog.Logger) *Pool {
	p := &Pool{core: c, log: log, bufs: bufs, dial: dial, most: conf.MaxConns, keep: conf.ReservedBuffers,
		members: map[string]*member{}, jobs: map[*core.Attempt]*job{}}
	p.conf.Store(&conf)
	c.Post(p.sweep)
	return p
}

// Reconfigure replaces the configuration, except for Max, see Limit, and Keep. Only the owner goroutine may call it. Connections
// and jobs that are under way keep the time limits that they started with.
func (p *Pool) Reconfigure(conf Config) { p.conf.Store(&conf) }

// Sizes are the lengths of the pool's tables.
type Sizes struct{ Members, Connections, Jobs int }

// Sizes returns the lengths of the pool's tables. Only the owner goroutine may call it.
func (p *Pool) Sizes() Sizes { return Sizes{len(p.members), p.open, len(p.jobs)} }

// SetMaxConns sets the maximum number of connections and closes idle ones above it. Only the owner goroutine may call it.
func (p *Pool) SetMaxConns(most int) {
	p.most = most
	for n := p.open - most; n > 0 && p.evict(nil); n-- {
	}
}

// List applies a list of members, or a change of it: their addresses, and which of them may get new work.
func (p *Pool) List(kind decide.EventKind, list []core.ListedMember) {
	named := map[string]bool{}
	for _, l := range list {
		named[l.ID] = true
		m := p.members[l.ID]
		if m == nil {
			if l.State == decide.Removed {
				continue
			}
			if len(p.members) >= decide.MaxMembers {
				p.cutList.Warn(p.log, "list of members is too long, the rest is not used", "kept", len(p.members), "member", l.ID)
			}
			if len(p.members) >= membersMost {
				continue
			}
			m = &member{id: l.ID}
			p.members[l.ID] = m
		}
		if m.addr != l.Addr {
			m.addr = l.Addr
			p.closeIdle(m, 0)
		}
		m.left = l.State == decide.Removed
		p.want(m, l.State == decide.Up || m.left && p.conf.Load().KeepDelisted)
	}
	if kind == decide.ListChange || p.conf.Load().KeepDelisted {
		return
	}
	for id, m := range p.members {
		if !named[id] {
			m.left = true
			p.want(m, false)
		}
	}
}

// want sets whether a member may get new work. If not, jobs that still wait for
// a connection to it are not sent, and jobs that a connection was given must be
// written within the grace time.
func (p *Pool) want(m *member, yes bool) {
	if yes {
		m.unwanted = 0
	} else if m.unwanted == 0 {
		m.unwanted = p.core.Now()
		p.closeIdle(m, 0)
		for len(m.waiting) > 0 {
			p.finish(m.waiting[0], core.Outcome{Result: decide.NotSent})
		}
	}
	for _, c := range m.busy {
		c.limit(p.sendBy(m))
	}
}

// sendBy returns until when statements may be written to m, 0 = no limit.
func (p *Pool) sendBy(m *member) core.Time {
	if m.unwanted == 0 {
		return 0
	}
	return m.unwanted + core.Time(gracePart*float64(p.conf.Load().DrainGrace))
}

// Send starts an attempt. Exactly one Core.Done follows.
func (p *Pool) Send(a *core.Attempt) {
	m := p.members[a.Member]
	j := &job{m: m, attempt: a}
	if m == nil {
		p.core.Done(a, core.Outcome{Result: decide.NotSent})
		return
	}
	p.jobs[a] = j
	p.start(j)
}

// Probe asks a member for its load report. Exactly one Core.Probed follows.
func (p *Pool) Probe(id string) {
	m := p.members[id]
	if m == nil {
		p.core.Probed(id, decide.NotSent, decide.Report{})
		return
	}
	j := &job{m: m}
	p.core.RunAt(p.core.Now()+p.conf.Load().ConnectTimeout, func() { p.stop(j, decide.TimedOut) })
	p.start(j)
}

// Stop abandons an attempt with why as its outcome, see core.Members.
func (p *Pool) Stop(a *core.Attempt, why decide.Result) {
	if j := p.jobs[a]; j != nil {
		p.stop(j, why)
	}
}

// stop abandons a job. If its connection has just ended without writing it, the job comes back to ended, which does not
// restart it.
func (p *Pool) stop(j *job, why decide.Result) {
	j.off.Store(true)
	switch {
	case j.c != nil:
		j.c.withdraw(j)
		if why != decide.NotSent {
			j.c.Post(order{job: j, stop: true, why: why})
		}
	case slices.Contains(j.m.waiting, j): // no byte of it was written
		p.finish(j, core.Outcome{Result: decide.NotSent})
	}
}

// start gives a job to the most recently used idle connection, or lets it wait for a new one.
func (p *Pool) start(j *job) {
	m := j.m
	if m.unwanted != 0 || j.over() {
		p.finish(j, core.Outcome{Result: decide.NotSent})
		return
	}
	for n := len(m.idle); n > 0; n-- {
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		m.busy = append(m.busy, c)
		j.c = c
		c.limit(0)
		if c.Post(order{job: j}) {
			return
		}
		j.c = nil // the connection has just ended; its report follows in the core's queue
	}
	m.waiting = append(m.waiting, j)
	p.make(m)
}

// make opens connections for the waiting jobs, within the limit of connections.
func (p *Pool) make(m *member) {
	for m.making+m.room < len(m.waiting) {
		if p.open >= p.most { // a descriptor is free only once an evicted connection has ended
			if !p.evict(m) {
				p.short.Warn(p.log, "out of member connections", "open", p.open, "member", m.id)
				p.finish(m.waiting[len(m.waiting)-1], core.Outcome{Result: decide.NotSent})
			}
			continue
		}
		m.making++
		p.open++
		newConn(p, m).start()
	}
}

// evict closes the connection that has been idle longest and reports whether there was one. Once it has ended, a
// connection to the given member takes its place, if that is not nil.
func (p *Pool) evict(to *member) bool {
	var oldest *conn
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].since < oldest.since) {
			oldest = m.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.m.idle = oldest.m.idle[1:]
	if oldest.roomFor = to; to != nil {
		to.room++
	}
	oldest.close()
	return true
}

// sweep closes idle connections ahead of the members' limit, and removes
// members that left the list and have no connections or jobs: new members come
// under ever new ids, so the table would grow without end.
func (p *Pool) sweep() {
	for id, m := range p.members {
		if m.left && m.unwanted != 0 && len(m.idle)+len(m.busy)+len(m.waiting)+m.making+m.room == 0 {
			delete(p.members, id)
			continue
		}
		p.closeIdle(m, p.core.Now()-core.Time(idlePart*float64(p.conf.Load().MemberIdleTimeout))+sweepEvery)
	}
	p.core.RunAt(p.core.Now()+sweepEvery, p.sweep)
}

// closeIdle closes the idle connections of m that were last used before t; all of them if t is 0.
func (p *Pool) closeIdle(m *member, t core.Time) {
	m.idle = slices.DeleteFunc(m.idle, func(c *conn) bool {
		if t != 0 && c.since >= t {
			return false
		}
		c.close()
		return true
	})
}

// finish reports a job's outcome to the core.
func (p *Pool) finish(j *job, o core.Outcome) {
	m := j.m
	m.waiting = slices.DeleteFunc(m.waiting, func(o *job) bool { return o == j })
	if j.attempt == nil {
		p.core.Probed(m.id, o.Result, o.Report)
		return
	}
	delete(p.jobs, j.attempt)
	p.core.Done(j.attempt, o)
}

// Connections post the functions below to the owner goroutine.

// ready handles a connection that has become free.
func (p *Pool) ready(c *conn) {
	m := c.m
	m.busy = slices.DeleteFunc(m.busy, func(o *conn) bool { return o == c })
	if m.unwanted != 0 || c.addr != m.addr {
		c.close()
		return
	}
	if len(m.waiting) == 0 {
		c.since = p.core.Now()
		m.idle = append(m.idle, c)
		return
	}
	j := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.busy = append(m.busy, c)
	j.c = c
	c.limit(0)
	if !c.Post(order{job: j}) {
		j.c = nil
		m.waiting = append(m.waiting, j)
	}
}

// ended handles the end of a connection. Jobs that it was given and did not
// begin to write restart on another one: an old connection that ended says
// nothing about the present state of the member.
func (p *Pool) ended(c *conn, left []order) {
	m := c.m
	p.open--
	same := func(o *conn) bool { return o == c }
	m.busy = slices.DeleteFunc(m.busy, same)
	m.idle = slices.DeleteFunc(m.idle, same)
	for _, o := range left {
		if o.job == nil || o.stop || o.stall || o.job.c != c {
			continue
		}
		o.job.c = nil
		if slices.ContainsFunc(left, func(s order) bool { return s.stop && s.job == o.job }) {
			p.finish(o.job, core.Outcome{Result: decide.NotSent})
		} else {
			p.start(o.job)
		}
	}
	if to := c.roomFor; to != nil {
		to.room--
		p.make(to)
	}
	p.make(m)
}

// failed handles a connection that could not be established. The waiting jobs
// that now have no connection on the way end with the same result.
func (p *Pool) failed(c *conn, result decide.Result, err error) {
	m := c.m
	m.making--
	p.open--
	p.failing.Info(p.log, "member connect failed", "member", m.id, "result", int(result), "err", err)
	for len(m.waiting) > m.making+m.room {
		p.finish(m.waiting[0], core.Outcome{Result: result})
	}
}
